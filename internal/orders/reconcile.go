package orders

import (
	"math/rand"
	"time"
)

const (
	// readTimeout bounds a status read.
	readTimeout = 2 * time.Second
	// readBackInterval is the time between status reads of an engine with the desired state. A late order of
	// another gate to an engine that ignores fencing numbers is found by this read.
	readBackInterval = 5 * time.Second
	// pollInterval is the time between status reads while an order is carried out.
	pollInterval = time.Second
	// maxStatusAge is the age up to which a status may be the base of an order.
	maxStatusAge = time.Second
	// sendWindow is the time in which a returned order must be written.
	sendWindow = time.Second
	// orderTimeout is the time from the end of the send window to the answer.
	orderTimeout = 5 * time.Second
	// initialRetryDelay and maxRetry bound the time between orders with no effect.
	initialRetryDelay = 5 * time.Second
	maxRetryDelay     = 5 * time.Minute
	// fencedRetryDelay is the delay after an order with an old number.
	fencedRetryDelay = 500 * time.Millisecond
)

// phase is what the machine waits for at an engine.
type phase int

const (
	// idle for the time of the next status read.
	idle phase = iota
	// readingStatus the status.
	readingStatus
	// awaitingPermit is waiting for the answer to a permit request.
	awaitingPermit
	// awaitingOrder is waiting for the answer to an order.
	awaitingOrder
)

// engine is one owned target.
type engine struct {
	name          string
	managed       bool
	checksFencing bool
	desired       Desired
	acquiredAt    time.Duration
	released      bool

	phase      phase
	callID     uint64
	deadline   time.Duration
	nextReadAt time.Duration

	status   Status
	statusAt time.Duration
	// holdOffUntil is the time before which earlier orders may arrive or not show yet.
	holdOffUntil time.Duration
	// attempts counts orders since the desired state was last reached or changed; retryAt is the earliest
	// time of the next one.
	attempts   int
	retryAt    time.Duration
	reconciled bool
	// lastChange is what the last order asked.
	lastChange Change
	// permitUntil is the end of an unused permit.
	permitUntil time.Duration
}

// holdOffEnd returns the time before which no status is a base for an order. An engine that ignores fencing
// numbers could get an order of the predecessor until then.
func (m *Machine) holdOffEnd(e *engine) time.Duration {
	switch {
	case e.checksFencing:
		return e.holdOffUntil
	case e.released:
		return max(e.holdOffUntil, e.acquiredAt+m.settings.ReportLag)
	}
	return max(e.holdOffUntil, e.acquiredAt+m.staleWindow())
}

func (m *Machine) advanceEngine(now time.Duration, e *engine) {
	switch e.phase {
	case idle:
		if e.managed && now >= e.nextReadAt && now >= m.holdOffEnd(e) {
			read := m.startCall(e, readingStatus, now+readTimeout)
			m.emit(ReadStatus{read, e.name})
		}
	case readingStatus:
		if now >= e.deadline {
			m.statusFailed(now, e.callID)
		}
	case awaitingPermit:
		if now >= e.deadline {
			m.permitAnswered(now, PermitAnswered{Request: e.callID})
		}
	case awaitingOrder:
		if now >= e.deadline {
			m.orderAnswered(now, e.callID, Unanswered)
		}
	}
}

// restarted brings the next status read forward, as often as once in a poll interval.
func (m *Machine) restarted(now time.Duration, target string) {
	if e, ok := m.engines[target]; ok && e.phase == idle {
		e.nextReadAt = min(e.nextReadAt, max(now, e.statusAt+pollInterval))
	}
}

func (m *Machine) statusFailed(now time.Duration, read uint64) {
	if e, ok := m.finishCall(read, readingStatus); ok {
		e.nextReadAt = now + withJitter(m.random, pollInterval)
	}
}

func (m *Machine) statusRead(now time.Duration, event StatusRead) {
	e, ok := m.finishCall(event.Read, readingStatus)
	if !ok {
		return
	}
	e.status, e.statusAt = event.Status, now
	m.reconcile(now, e)
}

// reconcile acts on a status that was read just now.
func (m *Machine) reconcile(now time.Duration, e *engine) {
	switch {
	case !e.managed:
	case now < m.holdOffEnd(e):
		e.nextReadAt = m.holdOffEnd(e)
	case e.status.Busy:
		e.nextReadAt = now + pollInterval
	case e.desired.satisfiedBy(e.status):
		m.markReconciled(now, e)
	default:
		m.applyNextChange(now, e)
	}
}

// applyNextChange orders the next change. An engine that has carried out the last change waits for no retry.
func (m *Machine) applyNextChange(now time.Duration, e *engine) {
	if e.desired.nextChange(e.status) != e.lastChange {
		e.attempts, e.retryAt = 0, 0
	}
	switch {
	case now < e.retryAt || !m.holdsLease(now):
		e.nextReadAt = now + pollInterval
	case e.desired.needsWeights(e.status) && now >= e.permitUntil:
		m.requestPermit(now, e)
	default:
		m.sendOrder(now, e)
	}
}

func (m *Machine) markReconciled(now time.Duration, e *engine) {
	e.attempts, e.retryAt = 0, 0
	e.nextReadAt = now + withJitter(m.random, readBackInterval)
	if !e.reconciled {
		e.reconciled = true
		m.emit(Noted{e.name, Reconciled})
	}
}

func (m *Machine) sendOrder(now time.Duration, e *engine) {
	if e.attempts > 0 || e.reconciled {
		m.emit(Noted{e.name, OrderRepeated})
	}
	e.reconciled = false
	notAfter := min(now+sendWindow, m.leaseUntil)
	if e.desired.needsWeights(e.status) {
		notAfter = min(notAfter, e.permitUntil)
		e.permitUntil = 0
	}
	e.lastChange = e.desired.nextChange(e.status)
	order := m.startCall(e, awaitingOrder, notAfter+orderTimeout)
	m.emit(SendOrder{
		Order:    order,
		Target:   e.name,
		Fence:    nextFence(e.status.Fence, m.settings.Incarnation),
		Desired:  e.desired,
		Change:   e.lastChange,
		NotAfter: notAfter,
	})
}

func (m *Machine) orderAnswered(now time.Duration, order uint64, result OrderResult) {
	e, ok := m.finishCall(order, awaitingOrder)
	if !ok {
		return
	}
	e.nextReadAt = now + pollInterval
	switch result {
	case Accepted:
		m.delayRetry(now, e)
		e.holdOffUntil = now + m.settings.ReportLag
	case Fenced:
		e.nextReadAt = now + withJitter(m.random, fencedRetryDelay)
		m.emit(Noted{e.name, OrderFenced})
	case Rejected:
		m.delayRetry(now, e)
		m.emit(Noted{e.name, OrderRejected})
	case Unanswered:
		m.delayRetry(now, e)
		e.holdOffUntil = now + m.staleWindow()
		m.emit(Noted{e.name, OrderUnanswered})
	}
}

func (m *Machine) delayRetry(now time.Duration, e *engine) {
	delay := initialRetryDelay
	for range e.attempts {
		delay = min(2*delay, maxRetryDelay)
	}
	e.attempts++
	e.retryAt = now + withJitter(m.random, delay)
}

// withJitter returns a random time from d to 1.2 d.
func withJitter(random *rand.Rand, d time.Duration) time.Duration {
	return d + time.Duration(random.Int63n(int64(d/5)+1))
}

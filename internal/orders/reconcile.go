package orders

import (
	"math/rand"
	"time"
)

const (
	// readTimeout is the longest time to wait for a status read.
	readTimeout = 2 * time.Second
	// readBackInterval is the time between status reads of an engine in the desired state. These reads detect a late
	// order of another gate to an engine that ignores fencing numbers.
	readBackInterval = 5 * time.Second
	// pollInterval is the time between status reads while an engine carries out an order.
	pollInterval = time.Second
	// maxStatusAge is the largest age of a status on which an order may be based.
	maxStatusAge = time.Second
	// sendWindow is the time within which a SendOrder must be written.
	sendWindow = time.Second
	// orderTimeout is the longest time to wait for the answer after the end of the send window.
	orderTimeout = 5 * time.Second
	// initialRetryDelay and maxRetryDelay bound the delay between orders that have no effect.
	initialRetryDelay = 5 * time.Second
	maxRetryDelay     = 5 * time.Minute
	// fencedRetryDelay is the delay after an order that was refused because of its fencing number.
	fencedRetryDelay = 500 * time.Millisecond
)

// phase is the call to an engine, if any, whose answer the machine is waiting for.
type phase int

const (
	// idle means that no call is pending; the next status read is due at nextReadAt.
	idle phase = iota
	// readingStatus means that a status read is pending.
	readingStatus
	// awaitingPermit means that a permit request is pending.
	awaitingPermit
	// awaitingOrder means that an order is pending.
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
	// holdOffUntil is the time before which earlier orders may still arrive or may not yet show in reports.
	holdOffUntil time.Duration
	// attempts counts orders since the desired state was last reached or changed; retryAt is the earliest
	// time of the next one.
	attempts   int
	retryAt    time.Duration
	reconciled bool
	// lastChange is the change requested by the last order.
	lastChange Change
	// permitUntil is the time until which the unused permit is valid.
	permitUntil time.Duration
}

// holdOffEnd returns the time before which no order may be based on a status. Until then, an engine that ignores
// fencing numbers may receive an order of the predecessor.
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
			m.handleStatusFailed(now, e.callID)
		}
	case awaitingPermit:
		if now >= e.deadline {
			m.handlePermitAnswered(now, PermitAnswered{Request: e.callID})
		}
	case awaitingOrder:
		if now >= e.deadline {
			m.handleOrderAnswered(now, e.callID, Unanswered)
		}
	}
}

// handleRestarted brings the next status read forward, at most once per poll interval.
func (m *Machine) handleRestarted(now time.Duration, target string) {
	if e, ok := m.engines[target]; ok && e.phase == idle {
		e.nextReadAt = min(e.nextReadAt, max(now, e.statusAt+pollInterval))
	}
}

func (m *Machine) handleStatusFailed(now time.Duration, read uint64) {
	if e, ok := m.finishCall(read, readingStatus); ok {
		e.nextReadAt = now + withJitter(m.random, pollInterval)
	}
}

func (m *Machine) handleStatusRead(now time.Duration, event StatusRead) {
	e, ok := m.finishCall(event.Read, readingStatus)
	if !ok {
		return
	}
	e.status, e.statusAt = event.Status, now
	m.reconcile(now, e)
}

// reconcile acts on an engine's status that was read recently enough.
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

// applyNextChange orders the next change if the retry delay, lease and permit allow it. The retry delay is reset once
// the engine has carried out the last change.
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
		m.emit(RecordOutcome{e.name, Reconciled})
	}
}

func (m *Machine) sendOrder(now time.Duration, e *engine) {
	if e.attempts > 0 || e.reconciled {
		m.emit(RecordOutcome{e.name, OrderRepeated})
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

func (m *Machine) handleOrderAnswered(now time.Duration, order uint64, result OrderResult) {
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
		m.emit(RecordOutcome{e.name, OrderFenced})
	case Rejected:
		m.delayRetry(now, e)
		m.emit(RecordOutcome{e.name, OrderRejected})
	case Unanswered:
		m.delayRetry(now, e)
		e.holdOffUntil = now + m.staleWindow()
		m.emit(RecordOutcome{e.name, OrderUnanswered})
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

// withJitter returns a random duration from d to 1.2 d.
func withJitter(random *rand.Rand, d time.Duration) time.Duration {
	return d + time.Duration(random.Int63n(int64(d/5)+1))
}

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
	// statusFresh is the age up to which a status may be the base of an order.
	statusFresh = time.Second
	// sendWindow is the time in which a returned order must be written.
	sendWindow = time.Second
	// orderTimeout is the time from the end of the send window to the answer.
	orderTimeout = 5 * time.Second
	// firstRetry and maxRetry bound the time between orders with no effect.
	firstRetry = 5 * time.Second
	maxRetry   = 5 * time.Minute
	// fencedRetry is the delay after an order with an old number.
	fencedRetry = 500 * time.Millisecond
)

// phase is what the machine waits for at an engine.
type phase int

const (
	// waiting for the time of the next status read.
	waiting phase = iota
	// reading the status.
	reading
	// permitting is waiting for the answer to a permit request.
	permitting
	// ordering is waiting for the answer to an order.
	ordering
)

// engine is one owned target.
type engine struct {
	name          string
	managed       bool
	checksFencing bool
	desired       Desired
	acquiredAt    time.Duration
	released      bool

	phase    phase
	call     uint64
	deadline time.Duration
	nextAt   time.Duration

	status   Status
	statusAt time.Duration
	// quietUntil is the time before which earlier orders may arrive or not show yet.
	quietUntil time.Duration
	// attempts counts orders since the desired state was last reached or changed; retryAt is the earliest
	// time of the next one.
	attempts   int
	retryAt    time.Duration
	reconciled bool
	// change is what the last order asked.
	change Change
	// permitUntil is the end of an unused permit.
	permitUntil time.Duration
}

// quietEnd returns the time before which no status is a base for an order. An engine that ignores fencing
// numbers could get an order of the predecessor until then.
func (m *Machine) quietEnd(e *engine) time.Duration {
	switch {
	case e.checksFencing:
		return e.quietUntil
	case e.released:
		return max(e.quietUntil, e.acquiredAt+m.settings.ReportLag)
	}
	return max(e.quietUntil, e.acquiredAt+m.waitOut())
}

func (m *Machine) advanceEngine(now time.Duration, e *engine) {
	switch e.phase {
	case waiting:
		if e.managed && now >= e.nextAt && now >= m.quietEnd(e) {
			read := m.call(e, reading, now+readTimeout)
			m.emit(ReadStatus{read, e.name})
		}
	case reading:
		if now >= e.deadline {
			m.statusFailed(now, e.call)
		}
	case permitting:
		if now >= e.deadline {
			m.permitAnswered(now, PermitAnswered{Request: e.call})
		}
	case ordering:
		if now >= e.deadline {
			m.orderAnswered(now, e.call, Unanswered)
		}
	}
}

// restarted brings the next status read forward, as often as once in a poll interval.
func (m *Machine) restarted(now time.Duration, target string) {
	if e, ok := m.engines[target]; ok && e.phase == waiting {
		e.nextAt = min(e.nextAt, max(now, e.statusAt+pollInterval))
	}
}

func (m *Machine) statusFailed(now time.Duration, read uint64) {
	if e, ok := m.answered(read, reading); ok {
		e.nextAt = now + spread(m.random, pollInterval)
	}
}

func (m *Machine) statusRead(now time.Duration, event StatusRead) {
	e, ok := m.answered(event.Read, reading)
	if !ok {
		return
	}
	e.status, e.statusAt = event.Status, now
	m.decide(now, e)
}

// decide acts on a status that was read just now.
func (m *Machine) decide(now time.Duration, e *engine) {
	switch {
	case !e.managed:
	case now < m.quietEnd(e):
		e.nextAt = m.quietEnd(e)
	case e.status.Busy:
		e.nextAt = now + pollInterval
	case e.desired.metBy(e.status):
		m.reached(now, e)
	default:
		m.correct(now, e)
	}
}

// correct orders the next change. An engine that has carried out the last change waits for no retry.
func (m *Machine) correct(now time.Duration, e *engine) {
	if e.desired.nextChange(e.status) != e.change {
		e.attempts, e.retryAt = 0, 0
	}
	switch {
	case now < e.retryAt || !m.holdsLease(now):
		e.nextAt = now + pollInterval
	case e.desired.needsWeights(e.status) && now >= e.permitUntil:
		m.requestPermit(now, e)
	default:
		m.order(now, e)
	}
}

func (m *Machine) reached(now time.Duration, e *engine) {
	e.attempts, e.retryAt = 0, 0
	e.nextAt = now + spread(m.random, readBackInterval)
	if !e.reconciled {
		e.reconciled = true
		m.emit(Noted{e.name, Reconciled})
	}
}

func (m *Machine) order(now time.Duration, e *engine) {
	if e.attempts > 0 || e.reconciled {
		m.emit(Noted{e.name, OrderRepeated})
	}
	e.reconciled = false
	notAfter := min(now+sendWindow, m.lease)
	if e.desired.needsWeights(e.status) {
		notAfter = min(notAfter, e.permitUntil)
		e.permitUntil = 0
	}
	e.change = e.desired.nextChange(e.status)
	order := m.call(e, ordering, notAfter+orderTimeout)
	m.emit(SendOrder{
		Order:    order,
		Target:   e.name,
		Fence:    nextFence(e.status.Fence, m.settings.Incarnation),
		Desired:  e.desired,
		Change:   e.change,
		NotAfter: notAfter,
	})
}

func (m *Machine) orderAnswered(now time.Duration, order uint64, result OrderResult) {
	e, ok := m.answered(order, ordering)
	if !ok {
		return
	}
	e.nextAt = now + pollInterval
	switch result {
	case Accepted:
		m.delayRetry(now, e)
		e.quietUntil = now + m.settings.ReportLag
	case Fenced:
		e.nextAt = now + spread(m.random, fencedRetry)
		m.emit(Noted{e.name, OrderFenced})
	case Rejected:
		m.delayRetry(now, e)
		m.emit(Noted{e.name, OrderRejected})
	case Unanswered:
		m.delayRetry(now, e)
		e.quietUntil = now + m.waitOut()
		m.emit(Noted{e.name, OrderUnanswered})
	}
}

func (m *Machine) delayRetry(now time.Duration, e *engine) {
	delay := firstRetry
	for range e.attempts {
		delay = min(2*delay, maxRetry)
	}
	e.attempts++
	e.retryAt = now + spread(m.random, delay)
}

// spread returns a random time from d to 1.2 d.
func spread(random *rand.Rand, d time.Duration) time.Duration {
	return d + time.Duration(random.Int63n(int64(d/5)+1))
}

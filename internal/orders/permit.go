package orders

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
)

const (
	// permitTimeout bounds a permit request.
	permitTimeout = time.Second
	// issuerHashKey is the rendezvous key of the weight store's issuer.
	issuerHashKey = "weight-store"
)

// PermitIssuer returns the gate that issues weight-store permits, and false when no gate is live.
func PermitIssuer(view *membership.View) (string, bool) {
	var live []string
	for _, member := range view.Gates {
		if member.State == membership.Live {
			live = append(live, member.Name)
		}
	}
	return rendezvous.First(issuerHashKey, live)
}

// issuer is the state of a gate that issues permits. In any time w the engines of the fleet start at most
// (w + PermitLifetime) / PermitInterval + 1 loads, because a permit may be used until its lifetime ends.
type issuer struct {
	active bool
	// startsAt is when it starts to issue, next the time of the next free permit.
	startsAt     time.Duration
	nextPermitAt time.Duration
}

// updateIssuer starts or ends this gate's term. A new issuer waits until the permits of its predecessor have
// expired: the predecessor may not know of it for the time of disagreement, and a permit lasts one lifetime.
func (m *Machine) updateIssuer(now time.Duration) {
	name, ok := PermitIssuer(m.view)
	chosen := ok && name == m.settings.Self
	if chosen && !m.issuer.active {
		m.issuer.startsAt = now + m.settings.Disagreement + m.settings.PermitLifetime
	}
	m.issuer.active = chosen
}

// renewLease extends the lease. After a gap another gate may have issued permits, so the term starts again.
func (m *Machine) renewLease(now, until time.Duration) {
	if !m.holdsLease(now) {
		m.issuer.active = false
	}
	m.leaseUntil = max(m.leaseUntil, until)
}

// issuePermit answers a permit request.
func (m *Machine) issuePermit(now time.Duration) PermitAnswered {
	i := &m.issuer
	switch {
	case !i.active || !m.holdsLease(now):
		return PermitAnswered{RetryAfter: permitTimeout}
	case now < i.startsAt:
		return PermitAnswered{RetryAfter: i.startsAt - now}
	case now < i.nextPermitAt:
		return PermitAnswered{RetryAfter: i.nextPermitAt - now}
	}
	i.nextPermitAt = now + m.settings.PermitInterval
	return PermitAnswered{Granted: true, Lifetime: m.settings.PermitLifetime}
}

func (m *Machine) permitRequested(now time.Duration, event PermitRequested) {
	m.updateIssuer(now)
	answer := m.issuePermit(now)
	answer.Request = event.Request
	m.emit(AnswerPermit{event.From, answer})
}

func (m *Machine) requestPermit(now time.Duration, e *engine) {
	name, ok := PermitIssuer(m.view)
	if !ok {
		e.nextReadAt = now + pollInterval
		return
	}
	request := m.startCall(e, awaitingPermit, now+permitTimeout)
	if name != m.settings.Self {
		m.emit(RequestPermit{request, name})
		return
	}
	answer := m.issuePermit(now)
	answer.Request = request
	m.permitAnswered(now, answer)
}

// permitAnswered continues with the order when the status is still fresh, else with another read. The permit's
// time counts from the request, which is before the issuer's own count.
func (m *Machine) permitAnswered(now time.Duration, answer PermitAnswered) {
	e, ok := m.calls[answer.Request]
	if !ok {
		return
	}
	requestedAt := e.deadline - permitTimeout
	if _, ok := m.finishCall(answer.Request, awaitingPermit); !ok {
		return
	}
	if !answer.Granted {
		e.nextReadAt = now + answer.RetryAfter + time.Duration(m.random.Int63n(int64(m.settings.PermitInterval)))
		return
	}
	e.permitUntil = requestedAt + answer.Lifetime
	e.nextReadAt = now
	if now-e.statusAt <= maxStatusAge {
		m.reconcile(now, e)
	}
}

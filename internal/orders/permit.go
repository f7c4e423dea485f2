package orders

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
)

const (
	// permitTimeout is the longest time to wait for the answer to a permit request.
	permitTimeout = time.Second
	// issuerHashKey is the rendezvous hashing key that selects the permit issuer of the weight store.
	issuerHashKey = "weight-store"
)

// PermitIssuer returns the gate that issues weight-store permits, and false if no gate is live.
func PermitIssuer(view *membership.View) (string, bool) {
	var live []string
	for _, member := range view.Gates {
		if member.State == membership.Live {
			live = append(live, member.Name)
		}
	}
	return rendezvous.First(issuerHashKey, live)
}

// issuer is the state of a gate that issues permits. Within any period w, the engines of the fleet start at most
// (w + PermitLifetime) / PermitInterval + 1 loads, because a permit may be used until its lifetime ends.
type issuer struct {
	active bool
	// startsAt is the time from which permits are issued, nextPermitAt the time at which the next one is available.
	startsAt     time.Duration
	nextPermitAt time.Duration
}

// updateIssuer starts or ends this gate's term as issuer. A new issuer waits until the permits of its predecessor have
// expired: views may differ for up to MaxViewDisagreement, during which the predecessor may still issue permits, and a
// permit is valid for PermitLifetime.
func (m *Machine) updateIssuer(now time.Duration) {
	name, ok := PermitIssuer(m.view)
	selected := ok && name == m.settings.Self
	if selected && !m.issuer.active {
		m.issuer.startsAt = now + m.settings.MaxViewDisagreement + m.settings.PermitLifetime
	}
	m.issuer.active = selected
}

// handleLeaseRenewed extends the lease. If the lease had lapsed, another gate may have issued permits, so the term as
// issuer starts again.
func (m *Machine) handleLeaseRenewed(now, until time.Duration) {
	if !m.holdsLease(now) {
		m.issuer.active = false
	}
	m.leaseUntil = max(m.leaseUntil, until)
}

// issuePermit grants a permit if this gate is the issuer and one is available.
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

func (m *Machine) handlePermitRequested(now time.Duration, event PermitRequested) {
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
	m.handlePermitAnswered(now, answer)
}

// handlePermitAnswered continues with the order if the status is recent enough, or else with another read. The lifetime
// of the permit is counted from the request, which is earlier than the issuer's own start of the lifetime.
func (m *Machine) handlePermitAnswered(now time.Duration, answer PermitAnswered) {
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

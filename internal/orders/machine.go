package orders

import (
	"maps"
	"math/rand"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
)

// Settings configure a Machine.
type Settings struct {
	// Self is the name of this gate, Incarnation the number of this process.
	Self        string
	Incarnation uint64
	// MaxViewDisagreement is D, the longest time for which the views of gates may differ.
	MaxViewDisagreement time.Duration
	// ReportLag is L, the longest delay until a change shows in an engine's report.
	ReportLag time.Duration
	// PermitInterval is the shortest time between two permits for the weight store.
	PermitInterval time.Duration
	// PermitLifetime is the time for which a permit may be used, counted from its request.
	PermitLifetime time.Duration
}

// Default settings.
const (
	DefaultDisagreement   = 5 * time.Second
	DefaultReportLag      = 2 * time.Second
	DefaultPermitInterval = time.Second
	DefaultPermitLifetime = 5 * time.Second
)

// Machine reconciles the engines that one gate owns.
type Machine struct {
	settings   Settings
	random     *rand.Rand
	view       *membership.View
	catalogue  *catalogue.Catalogue
	leaseUntil time.Duration
	issuer     issuer
	engines    map[string]*engine
	// unresolved maps a target to the time until which an order of a former ownership may still arrive.
	unresolved map[string]time.Duration
	// calls maps the ID of each call in flight to its engine.
	calls      map[uint64]*engine
	lastCallID uint64
	effects    []Effect
}

// New returns a machine that owns no targets. Zero durations in the settings are replaced by their defaults.
func New(settings Settings, random *rand.Rand) *Machine {
	setDefault(&settings.MaxViewDisagreement, DefaultDisagreement)
	setDefault(&settings.ReportLag, DefaultReportLag)
	setDefault(&settings.PermitInterval, DefaultPermitInterval)
	setDefault(&settings.PermitLifetime, DefaultPermitLifetime)
	return &Machine{
		settings:   settings,
		random:     random,
		view:       &membership.View{},
		engines:    map[string]*engine{},
		unresolved: map[string]time.Duration{},
		calls:      map[uint64]*engine{},
	}
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// OrderInFlight reports whether an order to the target has no result yet or may still arrive. While it does, this gate
// must not report the target as released in a handover.
func (m *Machine) OrderInFlight(now time.Duration, target string) bool {
	if e, ok := m.engines[target]; ok {
		return e.phase == awaitingOrder || now < e.holdOffUntil
	}
	return now < m.unresolved[target]
}

// Step handles one event and returns the resulting effects.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	m.effects = nil
	switch e := event.(type) {
	case ViewChanged:
		m.view = e.View
	case CatalogueChanged:
		m.handleCatalogueChanged(now, e.Catalogue)
	case LeaseRenewed:
		m.handleLeaseRenewed(now, e.Until)
	case OwnershipAcquired:
		m.handleAcquired(now, e)
	case OwnershipLost:
		m.handleLost(e.Target)
	case EngineRestarted:
		m.handleRestarted(now, e.Target)
	case StatusRead:
		m.handleStatusRead(now, e)
	case StatusFailed:
		m.handleStatusFailed(now, e.Read)
	case OrderAnswered:
		m.handleOrderAnswered(now, e.Order, e.Result)
	case PermitRequested:
		m.handlePermitRequested(now, e)
	case PermitAnswered:
		m.handlePermitAnswered(now, e)
	}
	m.updateIssuer(now)
	m.advance(now)
	return m.effects
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

// holdsLease reports whether this gate may act on the targets that it owns.
func (m *Machine) holdsLease(now time.Duration) bool { return now < m.leaseUntil }

func (m *Machine) handleCatalogueChanged(now time.Duration, c *catalogue.Catalogue) {
	m.catalogue = c
	for _, e := range m.engines {
		m.setDesired(now, e)
	}
}

// setDesired updates the engine's desired state from the catalogue. Targets of services get no orders.
func (m *Machine) setDesired(now time.Duration, e *engine) {
	e.managed = false
	if m.catalogue == nil {
		return
	}
	target, ok := m.catalogue.Target(e.name)
	if !ok || target.Pool().Kind != catalogue.Model {
		return
	}
	e.managed = true
	e.checksFencing = target.Pool().ChecksFencing
	if desired := DesiredOf(target); !desired.equal(e.desired) {
		e.desired = desired
		e.attempts, e.retryAt, e.reconciled = 0, 0, false
		e.nextReadAt = min(e.nextReadAt, now)
	}
}

func (m *Machine) handleAcquired(now time.Duration, event OwnershipAcquired) {
	if _, ok := m.engines[event.Target]; ok {
		return
	}
	e := &engine{name: event.Target, nextReadAt: now}
	m.engines[event.Target] = e
	m.setDesired(now, e)
	e.released = event.Released
	e.acquiredAt = now
	e.holdOffUntil = m.unresolved[event.Target]
	delete(m.unresolved, event.Target)
}

// handleLost removes the engine but keeps the time until which an order may still arrive there.
func (m *Machine) handleLost(target string) {
	e, ok := m.engines[target]
	if !ok {
		return
	}
	m.unresolved[target] = e.holdOffUntil
	if e.phase == awaitingOrder {
		m.unresolved[target] = e.deadline + m.staleWindow()
	}
	delete(m.calls, e.callID)
	delete(m.engines, target)
}

// staleWindow is the time after which an order of a partitioned owner has either arrived and shows in reports, or will
// never arrive.
func (m *Machine) staleWindow() time.Duration {
	return m.settings.MaxViewDisagreement + m.settings.ReportLag
}

// advance handles the due actions and time-outs of all engines, in the order of their names so that runs are
// reproducible.
func (m *Machine) advance(now time.Duration) {
	maps.DeleteFunc(m.unresolved, func(_ string, until time.Duration) bool { return now >= until })
	for _, name := range slices.Sorted(maps.Keys(m.engines)) {
		m.advanceEngine(now, m.engines[name])
	}
}

// startCall registers a call to an engine and returns its ID.
func (m *Machine) startCall(e *engine, waitFor phase, deadline time.Duration) uint64 {
	m.lastCallID++
	e.phase, e.callID, e.deadline = waitFor, m.lastCallID, deadline
	m.calls[e.callID] = e
	return e.callID
}

// finishCall ends a call and returns its engine. It returns false if the call is no longer pending in the expected
// phase.
func (m *Machine) finishCall(id uint64, expected phase) (*engine, bool) {
	e, ok := m.calls[id]
	if !ok || e.phase != expected {
		return nil, false
	}
	delete(m.calls, id)
	e.phase = idle
	return e, true
}

package configsync

import (
	"math/rand"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
)

// Settings identify the daemon.
type Settings struct {
	// Self is the daemon's name.
	Self string
	// Zone is the daemon's zone.
	Zone string
	// ReadsPlatform is true for gates. Entries get the catalogue from gates only.
	ReadsPlatform bool
	// PeersToQuery is the number of peers to query at startup, 0 for DefaultPeersToQuery. An entry sets it to the number
	// of gates that it follows.
	PeersToQuery int
}

// DefaultPeersToQuery is the number of heartbeat peers of a gate.
const DefaultPeersToQuery = 12

// Machine is the configuration state of one daemon.
type Machine struct {
	settings Settings
	random   *rand.Rand
	view     *membership.View
	current  *catalogue.Catalogue
	// floor is the highest revision that this daemon or any peer accepted. It has no digest, because a peer of
	// another build may compute a digest that this one can't reproduce.
	floor   uint64
	peers   map[string]catalogue.Version
	start   startupState
	watch   watchState
	pull    pullState
	effects []Effect
}

// New returns a machine that holds no catalogue.
func New(settings Settings, random *rand.Rand) *Machine {
	if settings.PeersToQuery == 0 {
		settings.PeersToQuery = DefaultPeersToQuery
	}
	return &Machine{
		settings: settings,
		random:   random,
		view:     &membership.View{},
		peers:    map[string]catalogue.Version{},
	}
}

// Current returns the active catalogue, nil before the first one is applied.
func (m *Machine) Current() *catalogue.Catalogue { return m.current }

// Ready reports whether the Ready effect was emitted.
func (m *Machine) Ready() bool { return m.start.ready }

// Step handles one event.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	m.effects = nil
	m.start.begin(now, m.random)
	switch e := event.(type) {
	case ViewChanged:
		m.viewChanged(e.View)
	case PlatformAnswered:
		m.platformAnswered(now, e)
	case PlatformFailed:
		m.platformFailed(now, e.Read)
	case Announced:
		m.announced(e.Peer, e.Version)
	case Pulled:
		m.pulled(now, e)
	case PullFailed:
		m.pullFailed(now, e.Pull)
	}
	m.advanceStart(now)
	m.advanceWatch(now)
	m.advancePull(now)
	return m.effects
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

// viewChanged discards the versions of peers that are gone, but keeps the floor that they set.
func (m *Machine) viewChanged(view *membership.View) {
	m.view = view
	for name := range m.peers {
		if member, ok := view.Gate(name); !ok || member.State == membership.Gone {
			delete(m.peers, name)
		}
	}
}

// announced records a peer's version. It may be lower than before when the peer has restarted.
func (m *Machine) announced(peer string, version catalogue.Version) {
	if peer == m.settings.Self {
		return
	}
	m.peers[peer] = version
	m.floor = max(m.floor, version.Revision)
}

// propose applies content if it supersedes the current catalogue and is not below the floor.
func (m *Machine) propose(proposed *catalogue.Catalogue) {
	version := proposed.Version()
	accepted, reason := catalogue.Accept(m.current, proposed)
	switch {
	case reason == catalogue.SameContent:
	case version.Revision < m.floor:
		m.emit(Skipped{Reason: BelowFloor, Version: version})
	case !accepted:
		m.emit(Skipped{Reason: OtherContent, Version: version})
	default:
		m.apply(proposed)
	}
}

func (m *Machine) apply(accepted *catalogue.Catalogue) {
	m.current = accepted
	m.floor = max(m.floor, accepted.Revision)
	m.pull.reset()
	m.emit(Apply{accepted})
	m.emit(Announce{accepted.Version()})
}

// jitter returns a random duration between d/2 and d.
func jitter(random *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(random.Int63n(int64(d/2)+1))
}

// backoff returns the jittered exponential delay after a number of consecutive failures.
func backoff(random *rand.Rand, first, longest time.Duration, failures int) time.Duration {
	delay := first
	for range failures - 1 {
		if delay >= longest {
			break
		}
		delay *= 2
	}
	return jitter(random, min(delay, longest))
}

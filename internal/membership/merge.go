package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/statechart"
	"github.com/cespare/xxhash/v2"
)

// refresh updates the view and reports whether it changed.
func (m *Machine) refresh(now time.Duration) bool {
	m.evictGone(now)
	if m.view.Version > 0 && m.upToDate(now) {
		return false
	}
	// The peers depend on the states in the view, and the view records which gates are peers. The first pass determines
	// the states, the second one the peers.
	version := m.view.Version + 1
	m.view = m.build(now, version)
	m.peers = m.Peers()
	m.view = m.build(now, version)
	return true
}

// upToDate reports whether the view matches the records. It runs on every message and does not allocate.
func (m *Machine) upToDate(now time.Duration) bool {
	if len(m.view.Gates) != len(m.gates)+1 || m.targetsChanged {
		return false
	}
	i := 0
	for _, member := range m.view.Gates {
		if member.Name == m.self.Name {
			if member != m.selfMember(now) {
				return false
			}
			continue
		}
		if m.sorted[i].Name != member.Name || m.member(m.sorted[i], now) != member {
			return false
		}
		i++
	}
	return true
}

// build returns a view of the current records.
func (m *Machine) build(now time.Duration, version uint64) *View {
	m.targetsChanged = false
	view := &View{Version: version, Gates: m.members(now), Targets: m.targetStates()}
	view.Digest = digest(view.Gates)
	return view
}

// evictGone removes gates that have been neither listed nor heard for longer than RetainGone.
func (m *Machine) evictGone(now time.Duration) {
	for _, g := range m.sorted {
		if g.listed != "" || m.heard(g, now) {
			continue
		}
		if now-max(g.heardAt, g.unlistedAt) > m.config.RetainGone {
			m.remove(g.Name)
		}
	}
}

// members returns all gates with their states, sorted by name.
func (m *Machine) members(now time.Duration) []Member {
	members := make([]Member, 0, len(m.gates)+1)
	members = append(members, m.selfMember(now))
	for _, g := range m.sorted {
		members = append(members, m.member(g, now))
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// selfMember returns the member for this gate.
func (m *Machine) selfMember(now time.Duration) Member {
	return Member{Gate: m.self.Gate, State: m.selfState(now), Heard: true, Direct: true, HasAnswered: true, Stopping: m.self.draining}
}

// selfState returns the state of this gate by the rules that its peers apply to it.
func (m *Machine) selfState(now time.Duration) State {
	switch {
	case m.self.draining:
		return Leaving
	case !m.selfListed:
		return Joining
	case m.unlistedGraceExpired(&m.self, now):
		return Gone
	}
	return Live
}

// unlistedGraceExpired reports whether a gate has been missing from the VM list for at least UnlistedGrace.
func (m *Machine) unlistedGraceExpired(g *gate, now time.Duration) bool {
	return g.listed == "" && g.unlistedAt != never && now-g.unlistedAt >= m.config.UnlistedGrace
}

// member returns the member for another gate.
func (m *Machine) member(g *gate, now time.Duration) Member {
	member := Member{Gate: g.Gate, State: m.state(g, now), Heard: m.heard(g, now), Stopping: g.draining}
	member.HasAnswered = g.hasAnswered
	member.Direct = m.direct(g, now) && m.isPeer(g.Name)
	member.OneWay = m.oneWay(g, now) && m.recentlyReceived(g, now)
	switch {
	case member.OneWay:
		member.Since = g.unansweredSince
	case member.Heard:
	case g.heardAt == never:
		member.Since = g.listedAt
	default:
		member.Since = g.heardAt
	}
	return member
}

// isPeer reports whether this gate sends heartbeats to the named gate.
func (m *Machine) isPeer(name string) bool {
	return slices.ContainsFunc(m.peers, func(peer Gate) bool { return peer.Name == name })
}

// state applies the merge rules to a gate. A silent gate that the VM list no longer contains stays suspected for
// ListDisagreement before it is gone, because it may still be alive behind a network partition with an older list.
func (m *Machine) state(g *gate, now time.Duration) State {
	heard := m.heard(g, now)
	if g.listed == "" {
		return m.unlistedState(g, heard, now)
	}
	switch {
	case g.draining && !heard && g.listed == Live:
		// The process has stopped. The VM may start another one that this gate doesn't hear yet.
		return Joining
	case g.draining || g.listed == Leaving:
		return Leaving
	case heard:
		return Live
	case g.heardAt == never:
		return Joining
	}
	return Suspected
}

// unlistedState returns the state of a gate that the VM list doesn't contain.
func (m *Machine) unlistedState(g *gate, heard bool, now time.Duration) State {
	switch {
	case heard && m.unlistedGraceExpired(g, now):
		return Gone
	case heard && g.draining:
		return Leaving
	case heard:
		return Live
	case g.heardAt == never || g.draining:
		return Gone
	case now-max(g.unlistedAt, g.heardAt+m.suspectAfter(g)) >= m.config.ListDisagreement && m.listRevision > 0:
		return Gone
	}
	return Suspected
}

// targetStates returns the states of the live and leaving targets by name.
func (m *Machine) targetStates() map[string]State {
	states := make(map[string]State, len(m.targets))
	for name, t := range m.targets {
		switch t.chart.State() {
		case statechart.TargetLive:
			states[name] = Live
		case statechart.TargetLeaving:
			states[name] = Leaving
		}
	}
	return states
}

// digest returns a hash of the live gates, which are the only ones that determine ownership.
func digest(members []Member) uint64 {
	hash := xxhash.New()
	for _, member := range members {
		if member.State != Live {
			continue
		}
		_, _ = hash.WriteString(member.Name + "\x00" + member.Zone + "\x00")
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, member.Incarnation))
	}
	return hash.Sum64()
}

// Message returns the message to a peer for a heartbeat or its answer, and records the relayed statuses as known to the
// peer. Until a VM list contains this gate, the incarnation is 0 and peers ignore the message.
func (m *Machine) Message(now time.Duration, to string) Message {
	from := m.self.Gate
	if !m.selfListed {
		from.Incarnation = 0
	}
	return Message{
		From:            from,
		Draining:        m.view.stateOf(m.self.Name) == Leaving,
		ViewVersion:     m.view.Version,
		ViewDigest:      m.view.Digest,
		ListRevision:    m.listRevision,
		RelayedStatuses: m.relayedStatuses(now, to),
		LeavingTargets:  m.leavingTargets(),
	}
}

// stateOf returns the state of a gate, or an empty state if it is not in the view.
func (v *View) stateOf(name string) State {
	member, _ := v.Gate(name)
	return member.State
}

// leavingTargets returns the sorted names of the targets that are leaving.
func (m *Machine) leavingTargets() []string {
	var names []string
	for name, state := range m.view.Targets {
		if state == Leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// relayedStatuses returns the statuses of other gates to relay: those that are more recent than what the receiver is
// known to have, with the largest gain first. Suspected gates are included with their age, so that a gate that started
// during a network partition learns that others have heard them.
func (m *Machine) relayedStatuses(now time.Duration, to string) []RelayedStatus {
	type candidate struct {
		gate *gate
		gain time.Duration
	}
	var knownHeardAt map[string]time.Duration
	zone := ""
	if receiver := m.gates[to]; receiver != nil {
		knownHeardAt, zone = receiver.knownHeardAt, receiver.Zone
	}
	candidates := make([]candidate, 0, len(m.sorted))
	for _, g := range m.sorted {
		if g.Name == to || g.heardAt == never || now-g.heardAt >= m.config.RetainGone {
			continue
		}
		known, ok := knownHeardAt[g.Name]
		if !ok {
			known = never
		}
		threshold := m.config.RemoteZoneRelayThreshold
		if g.Zone == zone {
			threshold = m.config.RelayThreshold
		}
		if g.heardAt-known >= threshold {
			candidates = append(candidates, candidate{g, g.heardAt - known - threshold})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.gain, a.gain) })
	candidates = candidates[:min(len(candidates), m.config.MaxRelayed)]
	statuses := make([]RelayedStatus, 0, len(candidates))
	for _, chosen := range candidates {
		g := chosen.gate
		statuses = append(statuses, RelayedStatus{Gate: g.Gate, Age: now - g.heardAt, Draining: g.draining})
		if knownHeardAt != nil {
			knownHeardAt[g.Name] = g.heardAt
		}
	}
	return statuses
}

// Peers returns the gates to send heartbeats to: ring successors in the gate's own zone, watched gates, further gates
// of the zone by rank, and gates of other zones. Suspected gates stay peers, because the end of a network partition
// would not be detected otherwise. Every gate is heard, because each one sends to its ring successors and receives from
// its ring predecessors. The ranked peers shorten the relay paths.
func (m *Machine) Peers() []Gate {
	var zone, remote []*gate
	for _, g := range m.sorted {
		switch {
		case m.view.Version > 0 && g.listed == "" && m.view.stateOf(g.Name) == Gone:
		case g.Zone == m.self.Zone:
			zone = append(zone, g)
		default:
			remote = append(remote, g)
		}
	}
	remotePeers := m.selectRemotePeers(remote)
	zonePeers := m.selectZonePeers(zone, m.config.MaxPeers-len(remotePeers))
	peers := make([]Gate, 0, len(zonePeers)+len(remotePeers))
	for _, g := range append(zonePeers, remotePeers...) {
		peers = append(peers, g.Gate)
	}
	return peers
}

// reservedRingPeers is the number of ring successors that watched gates can't displace as peers.
const reservedRingPeers = 2

// selectZonePeers returns up to limit gates of this gate's own zone.
func (m *Machine) selectZonePeers(zone []*gate, limit int) []*gate {
	if len(zone) <= limit {
		return zone
	}
	own := m.self.hash
	slices.SortFunc(zone, func(a, b *gate) int {
		// The unsigned difference, which wraps around, is the distance on the hash ring.
		return cmp.Or(cmp.Compare(a.hash-own, b.hash-own), strings.Compare(a.Name, b.Name))
	})
	chosen := slices.Clone(zone[:min(reservedRingPeers, limit)])
	rest := zone[len(chosen):]
	slices.SortFunc(rest, func(a, b *gate) int {
		return cmp.Or(cmp.Compare(m.watchOrder(a), m.watchOrder(b)), m.compareRank(a, b))
	})
	return append(chosen, rest[:limit-len(chosen)]...)
}

// compareRank orders gates by their rendezvous score for this gate, then by name.
func (m *Machine) compareRank(a, b *gate) int {
	return cmp.Or(
		cmp.Compare(rendezvous.Score(a.hash, m.self.hash), rendezvous.Score(b.hash, m.self.hash)),
		strings.Compare(a.Name, b.Name))
}

// watchOrder returns 0 for watched gates and 1 for others, so that watched gates sort first.
func (m *Machine) watchOrder(g *gate) int {
	if slices.Contains(m.watched, g.Name) {
		return 0
	}
	return 1
}

// selectRemotePeers returns up to OtherZonePeers gates of other zones: the first by rank, then those that are heard
// before others, so that a dead gate that ranks first doesn't break the link between the zones.
func (m *Machine) selectRemotePeers(remote []*gate) []*gate {
	limit := m.config.OtherZonePeers
	if len(remote) <= limit {
		return remote
	}
	slices.SortFunc(remote, m.compareRank)
	slices.SortStableFunc(remote[1:], func(a, b *gate) int {
		return cmp.Compare(m.heardOrder(a), m.heardOrder(b))
	})
	return remote[:limit]
}

// heardOrder returns 0 for gates that are heard and 1 for others, so that gates that are heard sort first.
func (m *Machine) heardOrder(g *gate) int {
	if m.heard(g, m.lastStep) {
		return 0
	}
	return 1
}

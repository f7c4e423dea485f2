package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/statechart"
)

// Config holds the timeouts and limits of a Machine.
type Config struct {
	// HeartbeatInterval is the time between consecutive heartbeats to a peer.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without direct or relayed contact after which a gate is suspected.
	SuspectAfter time.Duration
	// RemoteZoneSuspectAfter replaces SuspectAfter for gates in other zones, whose status takes more relay hops to
	// arrive. The targets of a zone are owned by the gates of that zone, so only targets in a zone without gates are
	// affected by the longer timeout.
	RemoteZoneSuspectAfter time.Duration
	// UnlistedGrace is how long a gate that is still heard stays live after the VM list no longer contains it.
	UnlistedGrace time.Duration
	// ListDisagreement is the maximum time for which the VM lists of different gates may differ.
	ListDisagreement time.Duration
	// ClockGap is the time between two steps above which the process is considered to have been paused.
	ClockGap time.Duration
	// RetainGone is how long the record of a gone gate is retained, so that delayed relays about it are recognized.
	RetainGone time.Duration
	// MaxPeers limits the number of heartbeat peers, and OtherZonePeers the number of those in other zones.
	MaxPeers       int
	OtherZonePeers int
	// RelayThreshold is the minimum by which a status must be more recent than the one that the receiver is known to
	// have before it is relayed. RemoteZoneRelayThreshold replaces it for gates outside the receiver's zone.
	RelayThreshold           time.Duration
	RemoteZoneRelayThreshold time.Duration
	// MaxRelayed limits the number of other gates whose status one heartbeat relays.
	MaxRelayed int
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval:        500 * time.Millisecond,
		SuspectAfter:             2 * time.Second,
		RemoteZoneSuspectAfter:   6 * time.Second,
		UnlistedGrace:            30 * time.Second,
		ListDisagreement:         5 * time.Second,
		ClockGap:                 time.Second,
		RetainGone:               2 * time.Minute,
		MaxPeers:                 12,
		OtherZonePeers:           2,
		RemoteZoneRelayThreshold: 3 * time.Second,
		RelayThreshold:           time.Second,
		MaxRelayed:               12,
	}
}

// never is the timestamp of an event that has not happened.
const never = time.Duration(-1 << 62)

// maxOldIncarnations limits the replaced incarnations that are recorded per gate.
const maxOldIncarnations = 8

// gate is the record of a gate.
type gate struct {
	Gate
	listed             State // Live or Leaving; empty if the VM list doesn't contain the gate
	listedAt           time.Duration
	unlistedAt         time.Duration // when a list first omitted the gate, or when it was first heard while unlisted
	draining           bool
	heardAt            time.Duration // last contact, direct or relayed
	receivedAt         time.Duration // last message received from the gate itself
	answeredSentAt     time.Duration // when the last answered heartbeat was sent
	reachableAt        time.Duration // last answer or relayed status; a gate that receives nothing can produce neither
	unansweredSince    time.Duration // when the first heartbeat after the last answer was sent; never if none is pending
	hasAnswered        bool          // whether this incarnation has answered a heartbeat
	digestDiffersSince time.Duration // since when its answers carry a different view digest; never while they match
	oldIncarnations    []uint64      // replaced incarnations, whose processes are dead
	hash               uint64        // rendezvous hash of the name
	// knownHeardAt holds, for each other gate by name, the latest heardAt that this gate is known to have.
	knownHeardAt map[string]time.Duration
}

// target is the record of a target.
type target struct {
	chart statechart.Instance[statechart.TargetState, statechart.TargetEvent, statechart.TargetAction]
}

var targetChart = statechart.MustLoad(statechart.TargetVocabulary())

// Machine merges VM lists and heartbeats into a view. It is not safe for concurrent use.
type Machine struct {
	config       Config
	self         gate
	gates        map[string]*gate
	sorted       []*gate // all other gates, sorted by name
	targets      map[string]*target
	listRevision uint64
	// targetsChanged is set when the state of a target may differ from the one in the view.
	targetsChanged bool
	// reportedLeaving holds, by target name, the newest list revision for which a peer reported the target as leaving.
	reportedLeaving map[string]uint64
	// selfListed is true once a VM list has contained this gate. Until then the gate takes no part in the heartbeat
	// mesh. This ensures that of two gates that start on different sides of a network partition, at least the one that
	// was listed later sees the other one in its list.
	selfListed bool
	watched    []string
	// peers holds the heartbeat peers for the current view.
	peers     []Gate
	view      *View
	lastStep  time.Duration
	lastSent  time.Duration
	lastRound time.Duration
}

// New returns a machine whose view contains only its own gate.
func New(config Config, self Gate, now time.Duration) *Machine {
	m := &Machine{
		config:          config,
		self:            gate{Gate: self, unlistedAt: never, hash: rendezvous.Hash(self.Name)},
		gates:           map[string]*gate{},
		targets:         map[string]*target{},
		reportedLeaving: map[string]uint64{},
		view:            &View{Targets: map[string]State{}},
		lastStep:        now,
		lastSent:        never,
		lastRound:       never,
	}
	m.refresh(now)
	return m
}

// View returns the current view.
func (m *Machine) View() *View {
	return m.view
}

// Ready reports whether a VM list has contained this gate and a heartbeat round has been confirmed.
func (m *Machine) Ready() bool {
	return m.selfListed && m.lastRound != never
}

// Step applies an event and returns its effects. A view change precedes confirmed rounds, so that a lease is never
// renewed under a view in which a suspected gate is still live.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	var effects []Effect
	if gap := now - m.lastStep; gap > m.config.ClockGap {
		m.restartSuspicion(now)
		effects = append(effects, ClockGap{Length: gap})
	}
	m.lastStep = now
	m.apply(now, event)
	m.discountOneWay(now)
	if m.refresh(now) {
		effects = append(effects, ViewChanged{View: m.view})
	}
	switch e := event.(type) {
	case Tick:
		effects = append(effects, m.heartbeats(now)...)
	case HeartbeatAnswered:
		if m.confirms(e) {
			effects = append(effects, PeerConfirmed{Peer: e.Message.From, Started: e.Sent})
		}
	}
	return append(effects, m.confirmRound(now)...)
}

// restartSuspicion restarts the suspicion timeouts of gates that were heard before this process was paused. Missing
// messages during the pause are no sign of failure, and if all peers were suspected, a round would be confirmed without
// any answer.
func (m *Machine) restartSuspicion(now time.Duration) {
	for _, g := range m.gates {
		if g.unansweredSince != never {
			g.unansweredSince = now
		}
		if m.lastStep-g.receivedAt < m.config.SuspectAfter {
			g.receivedAt = now
		}
		if m.lastStep-g.heardAt < m.suspectAfter(g) {
			g.heardAt = now
		}
	}
}

// apply updates the records that an event affects.
func (m *Machine) apply(now time.Duration, event Event) {
	switch e := event.(type) {
	case ListUpdate:
		m.applyList(now, e)
	case HeartbeatReceived:
		m.applyMessage(now, e.Message)
	case HeartbeatAnswered:
		m.applyAnswer(now, e)
	case Contact:
		m.applyDirect(now, e.From, nil)
	case Watch:
		m.watched = slices.Clone(e.Gates)
		m.peers = m.Peers()
	case Drain:
		m.self.draining = true
	}
}

// applyList merges a VM list if it is newer than the last one.
func (m *Machine) applyList(now time.Duration, list ListUpdate) {
	if list.Revision <= m.listRevision {
		return
	}
	m.listRevision = list.Revision
	named := map[string]bool{}
	for _, listed := range list.Gates {
		named[listed.Gate.Name] = true
		m.applyListed(now, listed)
	}
	if !named[m.self.Name] {
		m.markUnlisted(now, &m.self)
	}
	for name, g := range m.gates {
		if !named[name] {
			m.markUnlisted(now, g)
		}
	}
	m.applyTargets(list)
}

// applyListed merges one gate of a VM list. Lists don't carry incarnations.
func (m *Machine) applyListed(now time.Duration, listed ListedGate) {
	g := &m.self
	if listed.Gate.Name != m.self.Name {
		if g = m.gates[listed.Gate.Name]; g == nil {
			g = m.add(listed.Gate)
			g.Incarnation = 0
		}
		g.Address, g.Zone, g.Region = listed.Gate.Address, listed.Gate.Zone, listed.Gate.Region
	}
	if g.listed == "" {
		g.listedAt = now
	}
	g.listed = listed.State
	g.unlistedAt = never
	m.selfListed = m.selfListed || g == &m.self
	if listed.State == Leaving {
		m.self.draining = m.self.draining || g == &m.self
	}
}

// markUnlisted records that the VM list doesn't contain a gate.
func (m *Machine) markUnlisted(now time.Duration, g *gate) {
	g.listed = ""
	if g.unlistedAt == never {
		g.unlistedAt = now
	}
}

// add creates the record of a gate that has been neither listed nor heard.
func (m *Machine) add(id Gate) *gate {
	g := &gate{
		Gate: id, unlistedAt: never, heardAt: never, receivedAt: never, answeredSentAt: never, digestDiffersSince: never,
		reachableAt: never, unansweredSince: never,
	}
	g.hash = rendezvous.Hash(id.Name)
	g.knownHeardAt = map[string]time.Duration{}
	m.gates[id.Name] = g
	m.rebuildSorted()
	return g
}

// remove deletes the record of a gate and what other gates are known to have heard of it.
func (m *Machine) remove(name string) {
	delete(m.gates, name)
	for _, g := range m.gates {
		delete(g.knownHeardAt, name)
	}
	m.rebuildSorted()
}

// rebuildSorted rebuilds the slice of gates sorted by name.
func (m *Machine) rebuildSorted() {
	m.sorted = slices.SortedFunc(maps.Values(m.gates), func(a, b *gate) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// applyTargets merges the targets of a newer VM list, which overrides what peers reported from the same or older lists.
func (m *Machine) applyTargets(list ListUpdate) {
	named := map[string]bool{}
	for _, listed := range list.Targets {
		named[listed.Name] = true
		event := statechart.TargetOnListedLive
		if listed.State == Leaving {
			event = statechart.TargetOnListedLeaving
		}
		m.fireTarget(listed.Name, event)
	}
	for name := range m.targets {
		if !named[name] {
			m.fireTarget(name, statechart.TargetOnUnlisted)
			delete(m.targets, name)
		}
	}
	for name, revision := range m.reportedLeaving {
		if revision <= list.Revision {
			delete(m.reportedLeaving, name)
			continue
		}
		m.fireTarget(name, statechart.TargetOnReportedLeaving)
	}
}

// fireTarget fires an event in the state machine of a target. It panics on an error, because the statechart defines
// every event in every state.
func (m *Machine) fireTarget(name string, event statechart.TargetEvent) {
	t := m.targets[name]
	if t == nil {
		t = &target{chart: targetChart.New()}
		m.targets[name] = t
	}
	before := t.chart.State()
	if _, err := t.chart.Fire(event); err != nil {
		panic(err)
	}
	m.targetsChanged = m.targetsChanged || t.chart.State() != before
}

// applyAnswer merges an answer and records which heartbeat it confirms. An answer whose view digest has differed for
// longer than ListDisagreement confirms nothing.
func (m *Machine) applyAnswer(now time.Duration, answer HeartbeatAnswered) {
	if g := m.gates[answer.Message.From.Name]; g != nil && !slices.Contains(g.oldIncarnations, answer.Message.From.Incarnation) {
		g.unansweredSince = never
	}
	m.applyMessage(now, answer.Message)
	g := m.gates[answer.Message.From.Name]
	if g == nil || g.Incarnation != answer.Message.From.Incarnation {
		return
	}
	g.hasAnswered = true
	g.reachableAt = now
	if answer.Message.ViewDigest == m.view.Digest {
		g.digestDiffersSince = never
	} else if g.digestDiffersSince == never {
		g.digestDiffersSince = now
	}
	if g.digestDiffersSince == never || now-g.digestDiffersSince <= m.config.ListDisagreement {
		g.answeredSentAt = max(g.answeredSentAt, answer.Sent)
	}
}

// applyMessage merges a message from a peer, including the statuses that it relays.
func (m *Machine) applyMessage(now time.Duration, message Message) {
	if !m.applyDirect(now, message.From, &message.Draining) {
		return
	}
	knownHeardAt := m.gates[message.From.Name].knownHeardAt
	for _, status := range message.RelayedStatuses {
		m.applyRelayed(now, status)
		knownHeardAt[status.Gate.Name] = max(knownHeardAt[status.Gate.Name], now-status.Age)
	}
	if message.ListRevision <= m.listRevision {
		return
	}
	for _, name := range message.LeavingTargets {
		m.reportedLeaving[name] = max(m.reportedLeaving[name], message.ListRevision)
		m.fireTarget(name, statechart.TargetOnReportedLeaving)
	}
}

// applyDirect records direct contact with a gate. It returns false for messages that are ignored, such as those of
// replaced incarnations.
func (m *Machine) applyDirect(now time.Duration, from Gate, draining *bool) bool {
	if from.Name == m.self.Name || from.Incarnation == 0 {
		return false
	}
	g := m.processRecord(now, from)
	if g == nil {
		return false
	}
	g.receivedAt = now
	if !m.oneWay(g, now) {
		g.heardAt = now
	}
	if draining != nil {
		g.draining = g.draining || *draining
	}
	return true
}

// applyRelayed merges a relayed status. The status of a different incarnation is accepted only if it is more recent
// than the known one, because incarnations are random and have no order.
func (m *Machine) applyRelayed(now time.Duration, status RelayedStatus) {
	if status.Gate.Name == m.self.Name || status.Gate.Incarnation == 0 {
		return
	}
	heardAt := now - status.Age
	known := m.gates[status.Gate.Name]
	if known != nil && known.Incarnation != status.Gate.Incarnation && heardAt <= known.heardAt {
		return
	}
	if known == nil && status.Age >= m.config.RetainGone {
		return
	}
	g := m.processRecord(now, status.Gate)
	if g == nil {
		return
	}
	g.heardAt = max(g.heardAt, heardAt)
	g.reachableAt = max(g.reachableAt, heardAt)
	g.draining = g.draining || status.Draining
}

// processRecord returns the record of a gate process, creating or resetting it as needed, or nil if a later process has
// replaced this one. A new incarnation under a known name or address means that the old process is dead.
func (m *Machine) processRecord(now time.Duration, id Gate) *gate {
	g := m.gates[id.Name]
	if g == nil {
		m.removeAddress(id)
		g = m.add(id)
		if m.listRevision > 0 {
			g.unlistedAt = now
		}
		return g
	}
	if slices.Contains(g.oldIncarnations, id.Incarnation) {
		return nil
	}
	if g.Incarnation == id.Incarnation {
		return g
	}
	if g.Incarnation != 0 {
		g.oldIncarnations = append(g.oldIncarnations, g.Incarnation)
		g.oldIncarnations = g.oldIncarnations[max(0, len(g.oldIncarnations)-maxOldIncarnations):]
	}
	g.Gate = id
	g.draining, g.hasAnswered = false, false
	clear(g.knownHeardAt)
	g.heardAt, g.receivedAt, g.answeredSentAt, g.digestDiffersSince = never, never, never, never
	g.reachableAt, g.unansweredSince = never, never
	return g
}

// removeAddress removes the gates whose address is now used by another gate.
func (m *Machine) removeAddress(id Gate) {
	for name, g := range m.gates {
		if g.Address == id.Address {
			m.remove(name)
		}
	}
}

// heartbeats returns a heartbeat to every peer once per HeartbeatInterval.
func (m *Machine) heartbeats(now time.Duration) []Effect {
	if m.lastSent != never && now-m.lastSent < m.config.HeartbeatInterval {
		return nil
	}
	m.lastSent = now
	if !m.selfListed {
		return nil
	}
	var effects []Effect
	for _, g := range m.sorted {
		if !m.isPeer(g.Name) {
			g.unansweredSince = never
		} else if g.unansweredSince == never {
			g.unansweredSince = now
		}
	}
	for _, peer := range m.peers {
		effects = append(effects, SendHeartbeat{To: peer, Message: m.Message(now, peer.Name)})
	}
	return effects
}

// confirms reports whether an answer, once applied, is the latest confirmation of its sender.
func (m *Machine) confirms(answer HeartbeatAnswered) bool {
	g := m.gates[answer.Message.From.Name]
	return g != nil && g.Incarnation == answer.Message.From.Incarnation && g.answeredSentAt == answer.Sent
}

// confirmRound returns RoundConfirmed if a round that started later than the last one is confirmed. Without reachable
// peers a round is confirmed without any answer: ownership then limits the work, because it can't hear the gates that
// may take over.
func (m *Machine) confirmRound(now time.Duration) []Effect {
	started := now
	for _, peer := range m.peers {
		g := m.gates[peer.Name]
		if m.direct(g, now) {
			started = min(started, g.answeredSentAt)
		}
	}
	if started == never || started <= m.lastRound {
		return nil
	}
	m.lastRound = started
	return []Effect{RoundConfirmed{Started: started}}
}

// heard reports whether a gate was heard, directly or through relays, within its suspicion timeout.
func (m *Machine) heard(g *gate, now time.Duration) bool {
	return g.heardAt != never && now-g.heardAt < m.suspectAfter(g)
}

// suspectAfter returns the suspicion timeout of a gate.
func (m *Machine) suspectAfter(g *gate) time.Duration {
	if g.Zone == m.self.Zone {
		return m.config.SuspectAfter
	}
	return m.config.RemoteZoneSuspectAfter
}

// oneWay reports whether a peer has left every heartbeat unanswered for the suspicion timeout. Its own messages may
// still arrive, but it does not hear this gate and may take over its targets.
func (m *Machine) oneWay(g *gate, now time.Duration) bool {
	return g.unansweredSince != never && now-g.unansweredSince >= m.config.SuspectAfter
}

// discountOneWay makes a one-way network partition look the same from both ends. Messages from a peer that does not
// answer no longer count as contact with it, and neither do those received since its last answer or relayed status.
func (m *Machine) discountOneWay(now time.Duration) {
	for _, g := range m.sorted {
		if m.oneWay(g, now) && g.reachableAt != never {
			g.heardAt = min(g.heardAt, g.reachableAt)
		}
	}
}

// direct reports whether a gate itself was heard within the suspicion timeout and answers heartbeats.
func (m *Machine) direct(g *gate, now time.Duration) bool {
	return m.recentlyReceived(g, now) && !m.oneWay(g, now)
}

// recentlyReceived reports whether a message from the gate itself was received within the suspicion timeout.
func (m *Machine) recentlyReceived(g *gate, now time.Duration) bool {
	return g.receivedAt != never && now-g.receivedAt < m.config.SuspectAfter
}

package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/statechart"
)

// Config holds the times and sizes of the machine.
type Config struct {
	// HeartbeatInterval is the time between two heartbeats to a peer.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without news after which a gate is suspected.
	SuspectAfter time.Duration
	// RemoteZoneSuspectAfter is the same for gates of other zones, whose news takes more relays. Gates of a zone own its
	// targets among themselves, so that only targets of a zone without gates depend on it.
	RemoteZoneSuspectAfter time.Duration
	// UnlistedGrace is how long a gate that is heard stays live after the list dropped it.
	UnlistedGrace time.Duration
	// ListDisagreement is the longest time for which lists of different gates disagree.
	ListDisagreement time.Duration
	// ClockGap is the pause between two steps after which the process counts as having been frozen.
	ClockGap time.Duration
	// RetainGone is how long a gate that is gone stays known, so that late relays of it are recognised.
	RetainGone time.Duration
	// MaxPeers bounds the heartbeat peers, and OtherZonePeers those of them in other zones.
	MaxPeers       int
	OtherZonePeers int
	// RelayThreshold is how much younger news must be than what the receiver is known to know, and FarNewsGain the
	// same for gates outside the receiver's zone.
	RelayThreshold           time.Duration
	RemoteZoneRelayThreshold time.Duration
	// MaxRelayed bounds the third gates that one heartbeat relays.
	MaxRelayed int
}

// DefaultConfig returns the values of the design.
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

// never is the time of something that has not happened.
const never = time.Duration(-1 << 62)

// maxOldIncarnations bounds the replaced incarnations that are remembered of a gate.
const maxOldIncarnations = 8

// gate is what the machine knows of another gate.
type gate struct {
	Gate
	listed             State // Live, Leaving or empty
	listedAt           time.Duration
	unlistedAt         time.Duration // when a list without the gate came, or when it was first heard without being listed
	draining           bool
	heardAt            time.Duration // last news, direct or relayed
	receivedAt         time.Duration // last message of the gate itself
	answeredSentAt     time.Duration // when the last answered heartbeat was sent
	reachableAt        time.Duration // last news by an answer or a relay, which a gate that hears nothing can't give
	unansweredSince    time.Duration // when the first heartbeat since the last answer was sent; never if there is none
	hasAnswered        bool          // whether any heartbeat was answered
	digestDiffersSince time.Duration // since when its answers carry another view digest; never while they agree
	oldIncarnations    []uint64      // incarnations that were replaced and are dead
	hash               uint64        // rendezvous hash of the name
	// knownHeardAt holds, for each third gate, the latest time of hearing it that this gate is known to know.
	knownHeardAt map[string]time.Duration
}

// target is the state of a target.
type target struct {
	chart statechart.Instance[statechart.TargetState, statechart.TargetEvent, statechart.TargetAction]
}

var targetChart = statechart.MustLoad(statechart.TargetVocabulary())

// Machine merges lists and heartbeats into a view. It is not safe for concurrent use.
type Machine struct {
	config       Config
	self         gate
	gates        map[string]*gate
	sorted       []*gate // all other gates by name
	targets      map[string]*target
	listRevision uint64
	// targetsChanged is set when a target's state may differ from the view's.
	targetsChanged bool
	// reportedLeaving holds the newest list revision with which a peer reportedLeaving a target as leaving.
	reportedLeaving map[string]uint64
	// selfListed says that a list has selfListed this gate. Until then it takes no part in the mesh: of two gates that
	// start behind a cut, at least the one that was listed later then sees the other one in its list.
	selfListed bool
	watched    []string
	// peers holds the heartbeat peers of the current view.
	peers     []Gate
	view      *View
	lastStep  time.Duration
	lastSent  time.Duration
	lastRound time.Duration
}

// New returns a machine that knows only its own gate.
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

// Ready says whether a list named this gate and a heartbeat round was confirmed.
func (m *Machine) Ready() bool {
	return m.selfListed && m.lastRound != never
}

// Step applies one event. View changes come before confirmed rounds, so that a lease is never renewed with a
// view that still counts a suspected gate as live.
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

// restartSuspicion restarts the suspicion time of gates that were heard before this process was frozen: their silence
// meanwhile says nothing, and without peers a round would be confirmed by nobody.
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

// apply changes the records that an event concerns.
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

// applyList merges a VM list that is newer than the last one.
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

// applyListed merges one gate of a list. Lists don't carry incarnations.
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

// markUnlisted records that the list doesn't name a gate.
func (m *Machine) markUnlisted(now time.Duration, g *gate) {
	g.listed = ""
	if g.unlistedAt == never {
		g.unlistedAt = now
	}
}

// add creates the record of a gate that was neither listed nor heard.
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

// remove deletes the record of a gate.
func (m *Machine) remove(name string) {
	delete(m.gates, name)
	for _, g := range m.gates {
		delete(g.knownHeardAt, name)
	}
	m.rebuildSorted()
}

// rebuildSorted rebuilds the list of gates by name.
func (m *Machine) rebuildSorted() {
	m.sorted = slices.SortedFunc(maps.Values(m.gates), func(a, b *gate) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// applyTargets takes the targets of a newer list, which overrides what peers reported with an older one.
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

// fireTarget fires an event at a target. The chart lists every event in every state.
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

// applyAnswer merges an answer and notes which heartbeat it confirms.
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

// applyMessage merges a message of a peer and the news in it.
func (m *Machine) applyMessage(now time.Duration, message Message) {
	if !m.applyDirect(now, message.From, &message.Draining) {
		return
	}
	told := m.gates[message.From.Name].knownHeardAt
	for _, news := range message.News {
		m.applyRelayed(now, news)
		told[news.Gate.Name] = max(told[news.Gate.Name], now-news.Age)
	}
	if message.ListRevision <= m.listRevision {
		return
	}
	for _, name := range message.LeavingTargets {
		m.reportedLeaving[name] = max(m.reportedLeaving[name], message.ListRevision)
		m.fireTarget(name, statechart.TargetOnReportedLeaving)
	}
}

// applyDirect notes that a gate was heard without a relay. It refuses messages of dead processes.
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

// applyRelayed merges relayed news. News of another incarnation counts only when it is younger than what is
// known, because incarnations are random and have no order.
func (m *Machine) applyRelayed(now time.Duration, news News) {
	if news.Gate.Name == m.self.Name || news.Gate.Incarnation == 0 {
		return
	}
	at := now - news.Age
	known := m.gates[news.Gate.Name]
	if known != nil && known.Incarnation != news.Gate.Incarnation && at <= known.heardAt {
		return
	}
	if known == nil && news.Age >= m.config.RetainGone {
		return
	}
	g := m.processRecord(now, news.Gate)
	if g == nil {
		return
	}
	g.heardAt = max(g.heardAt, at)
	g.reachableAt = max(g.reachableAt, at)
	g.draining = g.draining || news.Draining
}

// processRecord returns the record of a process, or nil for one that was replaced by a later process. A new incarnation
// under a known name or address means that the old process is dead.
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

// removeAddress removes a gate whose address another gate uses now.
func (m *Machine) removeAddress(id Gate) {
	for name, g := range m.gates {
		if g.Address == id.Address {
			m.remove(name)
		}
	}
}

// heartbeats sends to every peer once per interval.
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

// confirms says whether an answer that was applied is the latest confirmation of its sender.
func (m *Machine) confirms(answer HeartbeatAnswered) bool {
	g := m.gates[answer.Message.From.Name]
	return g != nil && g.Incarnation == answer.Message.From.Incarnation && g.answeredSentAt == answer.Sent
}

// confirmRound reports a confirmed confirmRound that started later than the last one. Without reachable peers the confirmRound is
// complete by itself: ownership then limits the work because it can't hear the gates that may take over.
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

// heard says whether news of a gate is younger than the suspicion time.
func (m *Machine) heard(g *gate, now time.Duration) bool {
	return g.heardAt != never && now-g.heardAt < m.suspectAfter(g)
}

// suspectAfter returns the suspicion time of a gate.
func (m *Machine) suspectAfter(g *gate) time.Duration {
	if g.Zone == m.self.Zone {
		return m.config.SuspectAfter
	}
	return m.config.RemoteZoneSuspectAfter
}

// oneWay says whether a peer has left every heartbeat unanswered for the suspicion time. Its own messages may still
// arrive, but it does not hear this gate and may take its targets over.
func (m *Machine) oneWay(g *gate, now time.Duration) bool {
	return g.unansweredSince != never && now-g.unansweredSince >= m.config.SuspectAfter
}

// discountOneWay makes a cut in one direction look the same from both of its ends: messages of a peer that does not answer
// count as news of it no more, nor do those since its last answer.
func (m *Machine) discountOneWay(now time.Duration) {
	for _, g := range m.sorted {
		if m.oneWay(g, now) && g.reachableAt != never {
			g.heardAt = min(g.heardAt, g.reachableAt)
		}
	}
}

// direct says whether a gate itself was heard within the suspicion time.
func (m *Machine) direct(g *gate, now time.Duration) bool {
	return m.recentlyReceived(g, now) && !m.oneWay(g, now)
}

// recentlyReceived says whether a message of a gate itself came within the suspicion time.
func (m *Machine) recentlyReceived(g *gate, now time.Duration) bool {
	return g.receivedAt != never && now-g.receivedAt < m.config.SuspectAfter
}

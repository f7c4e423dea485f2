package ownership

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/statechart"
)

// Config holds the durations of the machine. SuspectAfter must equal the value that membership uses.
type Config struct {
	// Lease is how long a confirmed heartbeat round permits admission.
	Lease time.Duration
	// SuspectAfter is the time without news of a gate after which it is suspected.
	SuspectAfter time.Duration
	// ListDisagreement is the longest time for which the views of gates that hear from each other differ (D).
	ListDisagreement time.Duration
	// ReportLag bounds the age of engine reports (L).
	ReportLag time.Duration
	// JoinGrace is how long a gate may be listed without having been heard from before it counts as cut off.
	JoinGrace time.Duration
	// HandoverRetryInterval is the time between two requests for the same handover.
	HandoverRetryInterval time.Duration
	// RetakeDelay is how long the gate waits before it takes back a target that it handed over while its view still
	// names it as the owner.
	RetakeDelay time.Duration
}

// DefaultConfig returns the durations that the bound in the package comment assumes.
func DefaultConfig() Config {
	return Config{
		Lease:                 1500 * time.Millisecond,
		SuspectAfter:          2 * time.Second,
		ListDisagreement:      5 * time.Second,
		ReportLag:             2 * time.Second,
		JoinGrace:             20 * time.Second,
		HandoverRetryInterval: time.Second,
		RetakeDelay:           2 * time.Second,
	}
}

// settlingTime returns D + L.
func (c Config) settlingTime() time.Duration {
	return c.ListDisagreement + c.ReportLag
}

// never is the time of an event that has not happened.
const never = time.Duration(-1 << 62)

// unbounded is the value of a bound that no report has set yet.
const unbounded = math.MaxInt32

var chart = statechart.MustLoad(statechart.OwnershipVocabulary())

// handedOverWork is work of one customer that a former owner handed over.
type handedOverWork struct {
	from        membership.Gate
	requestedAt time.Duration
	customer    string
	count       int
	deadline    time.Duration
}

// requestTimes holds the times of the first and last handover request to a gate since it was last unreachable.
type requestTimes struct{ first, last time.Duration }

// target is the ownership state of one target.
type target struct {
	Target
	chart    statechart.Instance[statechart.OwnershipState, statechart.OwnershipEvent, statechart.OwnershipAction]
	assigned bool
	// owner and standby are the names of the first two gates in rank order by the view, or empty. They are cached
	// because ranking the gates for each target in each step took 7.5 ms with 165 gates and 600 targets.
	owner, standby string
	// previous is the owner by the last view before this gate became the owner.
	previous membership.Gate
	// takeoverStart is the start of the current takeover.
	takeoverStart time.Duration
	// wasFull reports that this gate was the full owner and has not stopped for another gate since.
	wasFull bool
	// cleanHandover reports that a full owner has handed the target over in this takeover.
	cleanHandover bool
	// requested, stopped and refused describe the gates of this takeover by name: when each was asked to stop, which
	// incarnation has stopped, and which gates refused.
	requested map[string]requestTimes
	stopped   map[string]uint64
	refused   map[string]bool
	// standbySeenAt holds, by gate name, when each gate was last the standby while this gate owned the target.
	standbySeenAt map[string]time.Duration
	// interruptedAt is the earliest start of a heartbeat round whose confirmation ends the suspension.
	interruptedAt time.Duration
	handedOverAt  time.Duration
	// lostFromFull reports that this gate ceased to be the full owner at lostAt, with external work bounded by
	// lostExternal, and that no successor has been told yet.
	lostFromFull   bool
	lostAt         time.Duration
	lostExternal   int
	handedOverWork []handedOverWork
	// reportedExternal is the external work in the last report since the takeover, and measuredAt the time of its
	// measurement.
	reportedExternal int
	measuredAt       time.Duration
	// minReportTime is the earliest measurement that permits full admission without a clean handover.
	minReportTime time.Duration
	// orphanBound bounds the work of dead gates. It comes from a clean handover or from the least external work in
	// reports.
	orphanBound int
	// lastStopAt is when the last gate stopped or was found dead, and minExternal the least external work in reports
	// measured since then.
	lastStopAt  time.Duration
	minExternal int
	// peerDied reports that a gate died without having stopped since this gate was last the full owner.
	peerDied bool
	// wasInterrupted reports that this gate owned the target and was interrupted. Any gate that it did not hear from in
	// the meantime may have taken over, whenever that gate was last heard from.
	wasInterrupted bool
	// skipOrphanBound reports that probation needs no bound for the work of dead gates.
	skipOrphanBound bool
}

// Machine decides the permissions of one gate. It is not safe for concurrent use.
type Machine struct {
	config Config
	self   membership.Gate
	// startedAt is the start of the process or the end of its last pause, since the VM list may be stale after either.
	startedAt  time.Duration
	view       *membership.View
	targets    map[string]*target
	leaseStart time.Duration // start of the last confirmed round
	// peerConfirmations holds the last confirmation of each gate by name.
	peerConfirmations map[string]PeerConfirmed
	draining          bool
	snapshot          *Snapshot
	watched           []string
	pendingRequests   map[membership.Gate][]string
	pendingClaims     []string
}

// New returns a machine without targets.
func New(config Config, self membership.Gate, now time.Duration) *Machine {
	return &Machine{
		config:            config,
		self:              self,
		startedAt:         now,
		view:              &membership.View{},
		targets:           map[string]*target{},
		leaseStart:        never,
		peerConfirmations: map[string]PeerConfirmed{},
		snapshot:          &Snapshot{},
		pendingRequests:   map[membership.Gate][]string{},
	}
}

// Snapshot returns the current permissions.
func (m *Machine) Snapshot() *Snapshot {
	return m.snapshot
}

// Step applies one event and returns the resulting effects in the order in which to apply them.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	m.expireLeases(now)
	reply := m.apply(now, event)
	for _, name := range slices.Sorted(maps.Keys(m.targets)) {
		m.evaluate(now, m.targets[name])
	}
	return m.collectEffects(now, reply)
}

// expireLeases suspends the targets whose lease has expired.
func (m *Machine) expireLeases(now time.Duration) {
	for _, t := range m.targets {
		if end := m.leaseEnd(t); now >= end {
			m.interrupt(t, end)
		}
	}
}

// leaseEnd returns the time from which the permission for the target is no longer valid (I1). A confirmation by the
// standby alone extends the lease of a full owner, since otherwise each killed gate would suspend all targets that its
// peers own.
func (m *Machine) leaseEnd(t *target) time.Duration {
	end := m.leaseStart + m.config.Lease
	if t.chart.State() != statechart.OwnershipFull {
		return end
	}
	standby, ok := m.standby(t)
	if !ok {
		return end
	}
	confirmed, ok := m.peerConfirmations[standby.Name]
	if !ok || confirmed.Peer.Incarnation != standby.Incarnation {
		return end
	}
	return max(end, min(confirmed.Started+m.config.Lease, end+m.config.SuspectAfter))
}

// apply updates the state that an event concerns and returns the reply to a successor, if any.
func (m *Machine) apply(now time.Duration, event Event) *SendHandoverReply {
	switch e := event.(type) {
	case ViewChanged:
		m.applyView(now, e)
	case HandoverReply:
		m.applyHandoverReply(now, e)
	case HandoverRequested:
		return m.applyHandoverRequest(now, e)
	case RoundConfirmed:
		m.leaseStart = max(m.leaseStart, e.Started)
	case PeerConfirmed:
		m.peerConfirmations[e.Peer.Name] = e
	case ClockGap:
		m.startedAt = now
		for _, t := range m.targets {
			m.interrupt(t, now)
		}
	case PeerClaim:
		m.applyClaim(now, e)
	case EngineReport:
		m.applyReport(now, e)
	case WorkDone:
		m.applyWorkDone(e)
	case Drain:
		m.draining = true
	}
	return nil
}

// applyView records the owners by the new view and the gates that died.
func (m *Machine) applyView(now time.Duration, e ViewChanged) {
	oldView := m.view
	m.view = e.View
	known := map[string]bool{}
	for _, wanted := range e.Targets {
		known[wanted.Name] = true
		m.updateTarget(now, oldView, wanted)
	}
	for name, t := range m.targets {
		if !known[name] {
			t.assigned = false
			m.evaluate(now, t)
			delete(m.targets, name)
		}
	}
}

// updateTarget applies the new view to one target.
func (m *Machine) updateTarget(now time.Duration, oldView *membership.View, wanted Target) {
	t := m.targets[wanted.Name]
	if t == nil {
		t = &target{Target: wanted, chart: chart.New(), standbySeenAt: map[string]time.Duration{}}
		m.targets[wanted.Name] = t
	}
	t.Zone = wanted.Zone
	t.owner, t.standby = ownerAndStandby(m.view, t)
	isOwner := t.owner == m.self.Name
	if isOwner && !t.assigned {
		t.previous, _ = Owner(oldView, t.Name, t.Zone)
	}
	t.assigned = isOwner
	m.recordDeaths(now, oldView, t)
}

// recordDeaths makes the takeover wait for a new report if a gate died without having stopped, because the work that it
// left at the target is not known yet.
func (m *Machine) recordDeaths(now time.Duration, oldView *membership.View, t *target) {
	if t.chart.State() == statechart.OwnershipFull {
		return
	}
	for _, oldMember := range oldView.Gates {
		newMember, ok := m.view.Gate(oldMember.Name)
		// A listed gate that was never heard from has no incarnation here, but it may have owned the target.
		replaced := oldMember.Incarnation != 0 && newMember.Incarnation != oldMember.Incarnation
		ended := !ok || hasStopped(newMember) || replaced
		if oldMember.Name == m.self.Name || hasStopped(oldMember) || !ended {
			continue
		}
		if oldMember.Incarnation == 0 || t.stopped[oldMember.Name] != oldMember.Incarnation {
			t.peerDied, t.cleanHandover = true, false
			t.minReportTime = max(t.minReportTime, now)
			// The dead gate may have admitted more work after earlier reports were measured.
			t.lastStopAt, t.minExternal, t.orphanBound = now, unbounded, unbounded
		}
	}
}

// hasStopped reports whether a gate certainly no longer admits anything.
func hasStopped(member membership.Member) bool {
	return !member.Heard && (member.State == membership.Gone || member.Stopping)
}

// applyHandoverReply records the reply of a gate to a handover request.
func (m *Machine) applyHandoverReply(now time.Duration, e HandoverReply) {
	for _, handover := range e.Handovers {
		t := m.targets[handover.Target]
		if t == nil || t.requested == nil {
			continue
		}
		// A gate that has been unreachable since the request has to be asked again, and so has every gate in a new
		// takeover.
		if times, ok := t.requested[e.From.Name]; !ok || e.RequestedAt < times.first {
			continue
		}
		if !handover.Stopped {
			t.refused[e.From.Name] = true
			continue
		}
		delete(t.refused, e.From.Name)
		t.stopped[e.From.Name] = e.From.Incarnation
		t.lastStopAt, t.minExternal = now, unbounded
		m.recordHandedOverWork(t, e, handover)
	}
}

// recordHandedOverWork replaces what is known about a gate's handed-over work.
func (m *Machine) recordHandedOverWork(t *target, e HandoverReply, handover Handover) {
	from := e.From
	t.handedOverWork = slices.DeleteFunc(t.handedOverWork, func(known handedOverWork) bool {
		return known.from.Name == from.Name && known.from.Incarnation == from.Incarnation
	})
	for _, work := range handover.InFlight {
		t.handedOverWork = append(t.handedOverWork, handedOverWork{from, e.RequestedAt, work.Customer, work.Count, work.Deadline})
	}
	if handover.Clean && !t.peerDied {
		t.cleanHandover = true
		t.orphanBound = min(t.orphanBound, handover.External)
	}
}

// applyHandoverRequest stops admission for a successor, or refuses to.
func (m *Machine) applyHandoverRequest(now time.Duration, e HandoverRequested) *SendHandoverReply {
	reply := &SendHandoverReply{To: e.By}
	for _, name := range e.Targets {
		reply.Handovers = append(reply.Handovers, m.grant(now, name, e.By))
	}
	return reply
}

// grant decides on the handover of one target.
func (m *Machine) grant(now time.Duration, name string, by membership.Gate) Handover {
	t := m.targets[name]
	if t == nil {
		return Handover{Target: name, Stopped: true}
	}
	if t.chart.Lists(statechart.OwnershipOnGranted) {
		if t.assigned && !m.outranks(by, t) {
			return Handover{Target: name}
		}
		m.recordLoss(now, t)
		m.fire(t, statechart.OwnershipOnGranted)
	}
	t.handedOverAt = now
	handover := Handover{Target: name, Stopped: true}
	// A clean state is passed on only once and for less than one lease, so that no other owner can have come in
	// between.
	if t.lostFromFull && now-t.lostAt < m.config.Lease {
		handover.Clean, handover.External = true, t.lostExternal
	}
	t.lostFromFull = false
	return handover
}

// outranks reports whether another gate ranks before this one.
func (m *Machine) outranks(other membership.Gate, t *target) bool {
	if member, ok := m.view.Gate(other.Name); ok && member.State != membership.Live && member.Heard {
		return false
	}
	selfInZone, otherInZone := m.self.Zone == t.Zone, other.Zone == t.Zone
	if selfInZone != otherInZone {
		return otherInZone
	}
	return rankGates(t.Name, []membership.Gate{m.self, other})[0].Name == other.Name
}

// applyClaim suspends the targets that a peer claims, unless the peer has since stopped admitting to them for this
// gate.
func (m *Machine) applyClaim(now time.Duration, e PeerClaim) {
	for _, name := range e.Targets {
		t := m.targets[name]
		if t == nil || t.stopped[e.By.Name] == e.By.Incarnation {
			continue
		}
		m.interrupt(t, now)
	}
}

// applyReport records a report that was measured after the current takeover began.
func (m *Machine) applyReport(now time.Duration, e EngineReport) {
	t := m.targets[e.Target]
	if t == nil || t.requested == nil || e.MeasuredAt < t.takeoverStart || e.MeasuredAt <= t.measuredAt {
		return
	}
	t.measuredAt = e.MeasuredAt
	t.reportedExternal = max(0, e.Load-e.Own)
	if t.measuredAt >= t.minReportTime {
		t.orphanBound = min(t.orphanBound, t.reportedExternal)
	}
	if t.measuredAt >= t.lastStopAt {
		t.minExternal = min(t.minExternal, t.reportedExternal)
	}
}

// applyWorkDone subtracts ended requests from the handed-over work.
func (m *Machine) applyWorkDone(e WorkDone) {
	t := m.targets[e.Target]
	if t == nil {
		return
	}
	for i := range t.handedOverWork {
		work := &t.handedOverWork[i]
		same := work.from.Name == e.From.Name && work.from.Incarnation == e.From.Incarnation && work.requestedAt == e.RequestedAt
		if same && work.customer == e.Customer {
			work.count = max(0, work.count-e.Count)
		}
	}
}

// interrupt suspends a target until the confirmation of a heartbeat round that started at from or later.
func (m *Machine) interrupt(t *target, from time.Duration) {
	if t.chart.State() == statechart.OwnershipSuspended {
		t.interruptedAt = max(t.interruptedAt, from)
		return
	}
	if t.chart.Lists(statechart.OwnershipOnInterrupted) {
		t.interruptedAt = from
		m.fire(t, statechart.OwnershipOnInterrupted)
	}
}

// recordLoss records what a successor needs to know when this gate ceases to be the full owner.
func (m *Machine) recordLoss(now time.Duration, t *target) {
	if t.chart.State() == statechart.OwnershipFull {
		t.lostFromFull, t.lostAt, t.lostExternal = true, now, t.externalBound()
	}
	t.wasFull = false
}

// fire takes a transition that the caller has checked to be possible, and performs its actions.
func (m *Machine) fire(t *target, event statechart.OwnershipEvent) {
	actions, err := t.chart.Fire(event)
	if err != nil {
		panic(err)
	}
	for _, action := range actions {
		if action == statechart.OwnershipDoSpreadClaim {
			m.pendingClaims = append(m.pendingClaims, t.Name)
		}
	}
}

// collectEffects returns the effects of the step.
func (m *Machine) collectEffects(now time.Duration, reply *SendHandoverReply) []Effect {
	var effects []Effect
	if next := m.permissions(); !maps.Equal(next, m.snapshot.permissions) {
		m.snapshot = &Snapshot{permissions: next}
		effects = append(effects, Publish{Snapshot: m.snapshot})
	}
	if reply != nil {
		effects = append(effects, *reply)
	}
	gates := slices.SortedFunc(maps.Keys(m.pendingRequests), compareNames)
	for _, gate := range gates {
		effects = append(effects, SendHandoverRequest{To: gate, Targets: m.pendingRequests[gate]})
	}
	clear(m.pendingRequests)
	if len(m.pendingClaims) > 0 {
		effects = append(effects, AnnounceClaims{Targets: m.pendingClaims})
		m.pendingClaims = nil
	}
	if watched := m.gatesToWatch(); !slices.Equal(watched, m.watched) {
		m.watched = watched
		effects = append(effects, Watch{Gates: watched})
	}
	return effects
}

// permissions returns the permissions of all targets.
func (m *Machine) permissions() map[string]Permission {
	permissions := make(map[string]Permission, len(m.targets))
	for name, t := range m.targets {
		permissions[name] = m.permission(t)
	}
	return permissions
}

// permission derives the permission from the target's state.
func (m *Machine) permission(t *target) Permission {
	p := Permission{LeaseEnd: m.leaseEnd(t)}
	switch t.chart.State() {
	case statechart.OwnershipFull:
		p.Mode, p.Reason = Full, reason.OverLimit
		p.External, p.Residual = t.externalBound(), t.handedOverCount()
	case statechart.OwnershipContested:
		p.Mode, p.Reason = Contested, reason.OverLimit
		p.Residual = t.residualBound()
		p.External = p.Residual
	case statechart.OwnershipProbation:
		p.Mode, p.Reason = Probation, reason.Probation
		p.Residual = t.handedOverCount()
		if !t.skipOrphanBound {
			p.Residual = t.residualBound()
		}
		p.External = max(t.reportedExternal, p.Residual)
	case statechart.OwnershipTaking:
		p = Permission{Reason: reason.Probation}
	case statechart.OwnershipSuspended:
		p = Permission{Reason: reason.LeaseLost}
	case statechart.OwnershipDrained:
		p = Permission{Reason: reason.Draining}
	default:
		p = Permission{Reason: reason.NotOwner}
	}
	return p
}

// externalBound bounds the work of other gates while this gate is the full owner. No other gate adds work then, so the
// least external work in any report bounds all later work. A single report may count as external some own requests that
// began or ended around its measurement.
func (t *target) externalBound() int {
	if t.measuredAt != never && t.measuredAt >= t.lastStopAt {
		return max(t.handedOverCount(), t.minExternal)
	}
	return min(unbounded, t.handedOverCount()+t.orphanBound)
}

// residualBound bounds the work of stopped and dead gates while unreachable gates may add work.
func (t *target) residualBound() int {
	return min(t.handedOverCount()+t.orphanBound, max(t.handedOverCount(), t.minExternal))
}

// handedOverCount returns the number of handed-over requests.
func (t *target) handedOverCount() int {
	sum := 0
	for _, work := range t.handedOverWork {
		sum += work.count
	}
	return sum
}

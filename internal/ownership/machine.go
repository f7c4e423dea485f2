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

// Config holds the times of the machine. SuspectAfter must be the value of membership.
type Config struct {
	// Lease is how long a confirmed heartbeat round permits admission.
	Lease time.Duration
	// SuspectAfter is the time without news after which a gate is suspected.
	SuspectAfter time.Duration
	// ListDisagreement is the longest time for which views of gates that hear each other disagree (D).
	ListDisagreement time.Duration
	// ReportLag bounds the age of engine reports (L).
	ReportLag time.Duration
	// JoinGrace is how long a gate may be listed before it is first heard without counting as cut off.
	JoinGrace time.Duration
	// HandoverRetryInterval is the time between two requests for the same handover.
	HandoverRetryInterval time.Duration
	// RetakeDelay is the wait before a target that was handed over is taken back while the view still names this gate.
	RetakeDelay time.Duration
}

// DefaultConfig returns the values of the design.
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

// never is the time of something that has not happened.
const never = time.Duration(-1 << 62)

// unbounded is a bound that no report has given yet.
const unbounded = math.MaxInt32

var chart = statechart.MustLoad(statechart.OwnershipVocabulary())

// handedOverWork is handed-over work of one customer.
type handedOverWork struct {
	from        membership.Gate
	requestedAt time.Duration
	customer    string
	count       int
	deadline    time.Duration
}

// requestTimes holds when a gate was first and last asked to stop, since it was last silent.
type requestTimes struct{ first, last time.Duration }

// target is the state of one target.
type target struct {
	Target
	chart    statechart.Instance[statechart.OwnershipState, statechart.OwnershipEvent, statechart.OwnershipAction]
	assigned bool
	// owner and standby are the names of the first two gates by the view, or empty. They are kept, since to rank the
	// gates for each target in each step took 7.5 ms with 165 gates and 600 targets.
	owner, standby string
	// previous is the owner by the view before this gate was chosen.
	previous membership.Gate
	// takeoverStart is the start of the present takeover.
	takeoverStart time.Duration
	// wasFull says that this gate was full and has not stopped for another gate since.
	wasFull bool
	// cleanHandover says that a gate that held the target in full has handed it over in this takeover.
	cleanHandover bool
	// requested, stopped and refused hold gates of this takeover by name: when they were requested, which incarnation
	// stopped, and which refused.
	requested map[string]requestTimes
	stopped   map[string]uint64
	refused   map[string]bool
	// standbySeenAt holds when each gate was last ranked next while this gate owned the target.
	standbySeenAt map[string]time.Duration
	// interruptedAt is the time from which a round has to start to end the suspension.
	interruptedAt time.Duration
	handedOverAt  time.Duration
	// lostFromFull says that the target was lost from full at leftAt and that nobody has been told yet.
	lostFromFull   bool
	lostAt         time.Duration
	lostExternal   int
	handedOverWork []handedOverWork
	// reportedExternal is the reportedExternal work in the last report since the takeover, and measured its time.
	reportedExternal int
	measuredAt       time.Duration
	// minReportTime is the earliest measurement that permits full admission without a clean handover.
	minReportTime time.Duration
	// orphanBound bounds the work of dead gates: by a clean handover or by the least external work in reports.
	orphanBound int
	// lastStopAt is when the last gate stopped or was found dead, and least the least external work in reports measured later.
	lastStopAt  time.Duration
	minExternal int
	// peerDied says that a gate that had not stopped ended since the target was last full.
	peerDied bool
	// wasInterrupted says that this gate held the target and was wasInterrupted. Meanwhile any gate that it does not
	// hear may have taken over, whenever it was last heard.
	wasInterrupted bool
	// skipOrphanBound says that reduced work needs no bound for work of dead gates.
	skipOrphanBound bool
}

// Machine decides the permissions of one gate. It is not safe for concurrent use.
type Machine struct {
	config Config
	self   membership.Gate
	// startedAt is the start of the process or the end of its last freeze, since its list is as old as either.
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

// Step applies one event.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	m.expireLeases(now)
	answer := m.apply(now, event)
	for _, name := range slices.Sorted(maps.Keys(m.targets)) {
		m.evaluate(now, m.targets[name])
	}
	return m.collectEffects(now, answer)
}

// expireLeases suspends the targets whose lease ran out.
func (m *Machine) expireLeases(now time.Duration) {
	for _, t := range m.targets {
		if end := m.leaseEnd(t); now >= end {
			m.interrupt(t, end)
		}
	}
}

// leaseEnd returns the time from which a permission for the target is void (I1). Without the confirmation of its next
// gate alone, every gate that is killed would suspend the owners of all targets of its peers.
func (m *Machine) leaseEnd(t *target) time.Duration {
	end := m.leaseStart + m.config.Lease
	if t.chart.State() != statechart.OwnershipFull {
		return end
	}
	next, ok := m.standby(t)
	if !ok {
		return end
	}
	confirmed, ok := m.peerConfirmations[next.Name]
	if !ok || confirmed.Peer.Incarnation != next.Incarnation {
		return end
	}
	return max(end, min(confirmed.Started+m.config.Lease, end+m.config.SuspectAfter))
}

// apply changes the records that an event concerns and returns the answer to a successor.
func (m *Machine) apply(now time.Duration, event Event) *AnswerHandover {
	switch e := event.(type) {
	case ViewChanged:
		m.applyView(now, e)
	case HandoverReply:
		m.applyHandoverReply(now, e)
	case HandoverAsked:
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

// applyView notes the owners by the new view, and which gates died.
func (m *Machine) applyView(now time.Duration, e ViewChanged) {
	before := m.view
	m.view = e.View
	known := map[string]bool{}
	for _, wanted := range e.Targets {
		known[wanted.Name] = true
		m.updateTarget(now, before, wanted)
	}
	for name, t := range m.targets {
		if !known[name] {
			t.assigned = false
			m.evaluate(now, t)
			delete(m.targets, name)
		}
	}
}

// updateTarget updates one target to the new view.
func (m *Machine) updateTarget(now time.Duration, before *membership.View, wanted Target) {
	t := m.targets[wanted.Name]
	if t == nil {
		t = &target{Target: wanted, chart: chart.New(), standbySeenAt: map[string]time.Duration{}}
		m.targets[wanted.Name] = t
	}
	t.Zone = wanted.Zone
	t.owner, t.standby = ownerAndStandby(m.view, t)
	chosen := t.owner == m.self.Name
	if chosen && !t.assigned {
		t.previous, _ = Owner(before, t.Name, t.Zone)
	}
	t.assigned = chosen
	m.recordDeaths(now, before, t)
}

// recordDeaths makes settling wait for a report when a gate that had not stopped ended: what it left at the target
// is not known yet.
func (m *Machine) recordDeaths(now time.Duration, before *membership.View, t *target) {
	if t.chart.State() == statechart.OwnershipFull {
		return
	}
	for _, was := range before.Gates {
		is, ok := m.view.Gate(was.Name)
		// A listed gate that was never heard has no incarnation here. It may have owned the target all the same.
		replaced := was.Incarnation != 0 && is.Incarnation != was.Incarnation
		ended := !ok || hasStopped(is) || replaced
		if was.Name == m.self.Name || hasStopped(was) || !ended {
			continue
		}
		if was.Incarnation == 0 || t.stopped[was.Name] != was.Incarnation {
			t.peerDied, t.cleanHandover = true, false
			t.minReportTime = max(t.minReportTime, now)
			// It may have admitted more work since earlier reports were measured.
			t.lastStopAt, t.minExternal, t.orphanBound = now, unbounded, unbounded
		}
	}
}

// hasStopped says whether a gate certainly admits nothing any more.
func hasStopped(member membership.Member) bool {
	return !member.Heard && (member.State == membership.Gone || member.Stopping)
}

// applyHandoverReply merges the answer of a gate that was asked.
func (m *Machine) applyHandoverReply(now time.Duration, e HandoverReply) {
	for _, handover := range e.Handovers {
		t := m.targets[handover.Target]
		if t == nil || t.requested == nil {
			continue
		}
		// A gate that fell silent since it was asked has to be asked again, and so has each gate in a new takeover.
		if asked, ok := t.requested[e.From.Name]; !ok || e.Asked < asked.first {
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

// recordHandedOverWork replaces what is known of a gate's handed-over work.
func (m *Machine) recordHandedOverWork(t *target, e HandoverReply, handover Handover) {
	from := e.From
	t.handedOverWork = slices.DeleteFunc(t.handedOverWork, func(l handedOverWork) bool {
		return l.from.Name == from.Name && l.from.Incarnation == from.Incarnation
	})
	for _, work := range handover.InFlight {
		t.handedOverWork = append(t.handedOverWork, handedOverWork{from, e.Asked, work.Customer, work.Count, work.Ends})
	}
	if handover.Clean && !t.peerDied {
		t.cleanHandover = true
		t.orphanBound = min(t.orphanBound, handover.External)
	}
}

// applyHandoverRequest stops for a successor, or refuses.
func (m *Machine) applyHandoverRequest(now time.Duration, e HandoverAsked) *AnswerHandover {
	answer := &AnswerHandover{To: e.By}
	for _, name := range e.Targets {
		answer.Handovers = append(answer.Handovers, m.grant(now, name, e.By))
	}
	return answer
}

// grant decides one handover.
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
	// A clean state is passed on once and only for a short time, so that no later owner can have come between.
	if t.lostFromFull && now-t.lostAt < m.config.Lease {
		handover.Clean, handover.External = true, t.lostExternal
	}
	t.lostFromFull = false
	return handover
}

// outranks says whether another gate ranks before this one.
func (m *Machine) outranks(other membership.Gate, t *target) bool {
	if member, ok := m.view.Gate(other.Name); ok && member.State != membership.Live && member.Heard {
		return false
	}
	selfIn, otherIn := m.self.Zone == t.Zone, other.Zone == t.Zone
	if selfIn != otherIn {
		return otherIn
	}
	return rankGates(t.Name, []membership.Gate{m.self, other})[0].Name == other.Name
}

// applyClaim suspends targets that a peer claims, unless the peer has stopped for this gate since.
func (m *Machine) applyClaim(now time.Duration, e PeerClaim) {
	for _, name := range e.Targets {
		t := m.targets[name]
		if t == nil || t.stopped[e.By.Name] == e.By.Incarnation {
			continue
		}
		m.interrupt(t, now)
	}
}

// applyReport notes a report that was measured in the present takeover.
func (m *Machine) applyReport(now time.Duration, e EngineReport) {
	t := m.targets[e.Target]
	if t == nil || t.requested == nil || e.Measured < t.takeoverStart || e.Measured <= t.measuredAt {
		return
	}
	t.measuredAt = e.Measured
	t.reportedExternal = max(0, e.Load-e.Own)
	if t.measuredAt >= t.minReportTime {
		t.orphanBound = min(t.orphanBound, t.reportedExternal)
	}
	if t.measuredAt >= t.lastStopAt {
		t.minExternal = min(t.minExternal, t.reportedExternal)
	}
}

// applyWorkDone reduces handed-over work.
func (m *Machine) applyWorkDone(e WorkDone) {
	t := m.targets[e.Target]
	if t == nil {
		return
	}
	for i := range t.handedOverWork {
		l := &t.handedOverWork[i]
		same := l.from.Name == e.From.Name && l.from.Incarnation == e.From.Incarnation && l.requestedAt == e.Asked
		if same && l.customer == e.Customer {
			l.count = max(0, l.count-e.Count)
		}
	}
}

// interrupt suspends a target until a round confirms that started at the time or later.
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

// recordLoss notes what a successor needs when the target is lost from full.
func (m *Machine) recordLoss(now time.Duration, t *target) {
	if t.chart.State() == statechart.OwnershipFull {
		t.lostFromFull, t.lostAt, t.lostExternal = true, now, t.externalBound()
	}
	t.wasFull = false
}

// fire takes a transition that the caller has checked and carries its actions out.
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

// collectEffects collects what the step changed.
func (m *Machine) collectEffects(now time.Duration, answer *AnswerHandover) []Effect {
	var effects []Effect
	if next := m.permissions(); !maps.Equal(next, m.snapshot.permissions) {
		m.snapshot = &Snapshot{permissions: next}
		effects = append(effects, Publish{Snapshot: m.snapshot})
	}
	if answer != nil {
		effects = append(effects, *answer)
	}
	gates := slices.SortedFunc(maps.Keys(m.pendingRequests), compareNames)
	for _, gate := range gates {
		effects = append(effects, AskHandover{To: gate, Targets: m.pendingRequests[gate]})
	}
	clear(m.pendingRequests)
	if len(m.pendingClaims) > 0 {
		effects = append(effects, SpreadClaims{Targets: m.pendingClaims})
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

// permission translates a target's state.
func (m *Machine) permission(t *target) Permission {
	p := Permission{LeaseEnd: m.leaseEnd(t)}
	switch t.chart.State() {
	case statechart.OwnershipFull:
		p.Mode, p.Reason = Full, reason.OverLimit
		p.External, p.Leftover = t.externalBound(), t.handedOverCount()
	case statechart.OwnershipContested:
		p.Mode, p.Reason = Contested, reason.OverLimit
		p.Leftover = t.residualBound()
		p.External = p.Leftover
	case statechart.OwnershipProbation:
		p.Mode, p.Reason = Probation, reason.Probation
		p.Leftover = t.handedOverCount()
		if !t.skipOrphanBound {
			p.Leftover = t.residualBound()
		}
		p.External = max(t.reportedExternal, p.Leftover)
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

// externalBound bounds the work of others while this gate is full. No other gate adds work then, so that the least
// external work in a report bounds all later work. A single report counts own requests that began or ended around its
// measurement as external.
func (t *target) externalBound() int {
	if t.measuredAt != never && t.measuredAt >= t.lastStopAt {
		return max(t.handedOverCount(), t.minExternal)
	}
	return min(unbounded, t.handedOverCount()+t.orphanBound)
}

// residualBound bounds the work of stopped and dead gates, while gates that aren't heard may add work.
func (t *target) residualBound() int {
	return min(t.handedOverCount()+t.orphanBound, max(t.handedOverCount(), t.minExternal))
}

// handedOverCount sums the handed-over work.
func (t *target) handedOverCount() int {
	sum := 0
	for _, l := range t.handedOverWork {
		sum += l.count
	}
	return sum
}

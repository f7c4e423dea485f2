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
	// AskInterval is the time between two requests for the same handover.
	AskInterval time.Duration
	// Retake is the wait before a target that was handed over is taken back while the view still names this gate.
	Retake time.Duration
}

// DefaultConfig returns the values of the design.
func DefaultConfig() Config {
	return Config{
		Lease:            1500 * time.Millisecond,
		SuspectAfter:     2 * time.Second,
		ListDisagreement: 5 * time.Second,
		ReportLag:        2 * time.Second,
		JoinGrace:        20 * time.Second,
		AskInterval:      time.Second,
		Retake:           2 * time.Second,
	}
}

// settle returns D + L.
func (c Config) settle() time.Duration {
	return c.ListDisagreement + c.ReportLag
}

// never is the time of something that has not happened.
const never = time.Duration(-1 << 62)

// unknown is a bound that no report has given yet.
const unknown = math.MaxInt32

var chart = statechart.MustLoad(statechart.OwnershipVocabulary())

// leftover is handed-over work of one customer.
type leftover struct {
	from     membership.Gate
	asked    time.Duration
	customer string
	count    int
	ends     time.Duration
}

// ask holds when a gate was first and last asked to stop, since it was last silent.
type ask struct{ first, last time.Duration }

// target is the state of one target.
type target struct {
	Target
	chart  statechart.Instance[statechart.OwnershipState, statechart.OwnershipEvent, statechart.OwnershipAction]
	chosen bool
	// owner and follower are the names of the first two gates by the view, or empty. They are kept, since to rank the
	// gates for each target in each step took 7.5 ms with 165 gates and 600 targets.
	owner, follower string
	// previous is the owner by the view before this gate was chosen.
	previous membership.Gate
	// since is the start of the present takeover.
	since time.Duration
	// held says that this gate was full and has not stopped for another gate since.
	held bool
	// clean says that a gate that held the target in full has handed it over in this takeover.
	clean bool
	// asked, stopped and refused hold gates of this takeover by name: when they were asked, which incarnation
	// stopped, and which refused.
	asked   map[string]ask
	stopped map[string]uint64
	refused map[string]bool
	// nexts holds when each gate was last ranked next while this gate owned the target.
	nexts map[string]time.Duration
	// interruptedAt is the time from which a round has to start to end the suspension.
	interruptedAt time.Duration
	handedAt      time.Duration
	// leftClean says that the target was lost from full at leftAt and that nobody has been told yet.
	leftClean    bool
	leftAt       time.Duration
	leftExternal int
	leftovers    []leftover
	// external is the external work in the last report since the takeover, and measured its time.
	external int
	measured time.Duration
	// reportFrom is the earliest measurement that permits full admission without a clean handover.
	reportFrom time.Duration
	// orphans bounds the work of dead gates: by a clean handover or by the least external work in reports.
	orphans int
	// stoppedAt is when the last gate stopped or was found dead, and least the least external work in reports measured later.
	stoppedAt time.Duration
	least     int
	// tainted says that a gate that had not stopped ended since the target was last full.
	tainted bool
	// interrupted says that this gate held the target and was interrupted. Meanwhile any gate that it does not
	// hear may have taken over, whenever it was last heard.
	interrupted bool
	// quick says that reduced work needs no bound for work of dead gates.
	quick bool
}

// Machine decides the permissions of one gate. It is not safe for concurrent use.
type Machine struct {
	config Config
	self   membership.Gate
	// started is the start of the process or the end of its last freeze, since its list is as old as either.
	started time.Duration
	view    *membership.View
	targets map[string]*target
	lease   time.Duration // start of the last confirmed round
	// confirmed holds the last confirmation of each gate by name.
	confirmed map[string]PeerConfirmed
	draining  bool
	snapshot  *Snapshot
	watched   []string
	asks      map[membership.Gate][]string
	claims    []string
}

// New returns a machine without targets.
func New(config Config, self membership.Gate, now time.Duration) *Machine {
	return &Machine{
		config:    config,
		self:      self,
		started:   now,
		view:      &membership.View{},
		targets:   map[string]*target{},
		lease:     never,
		confirmed: map[string]PeerConfirmed{},
		snapshot:  &Snapshot{},
		asks:      map[membership.Gate][]string{},
	}
}

// Snapshot returns the current permissions.
func (m *Machine) Snapshot() *Snapshot {
	return m.snapshot
}

// Step applies one event.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	m.lapse(now)
	answer := m.apply(now, event)
	for _, name := range slices.Sorted(maps.Keys(m.targets)) {
		m.evaluate(now, m.targets[name])
	}
	return m.effects(now, answer)
}

// lapse suspends the targets whose lease ran out.
func (m *Machine) lapse(now time.Duration) {
	for _, t := range m.targets {
		if end := m.leaseEnd(t); now >= end {
			m.interrupt(t, end)
		}
	}
}

// leaseEnd returns the time from which a permission for the target is void (I1). Without the confirmation of its next
// gate alone, every gate that is killed would suspend the owners of all targets of its peers.
func (m *Machine) leaseEnd(t *target) time.Duration {
	end := m.lease + m.config.Lease
	if t.chart.State() != statechart.OwnershipFull {
		return end
	}
	next, ok := m.next(t)
	if !ok {
		return end
	}
	confirmed, ok := m.confirmed[next.Name]
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
		m.applyReply(now, e)
	case HandoverAsked:
		return m.applyAsked(now, e)
	case RoundConfirmed:
		m.lease = max(m.lease, e.Started)
	case PeerConfirmed:
		m.confirmed[e.Peer.Name] = e
	case ClockGap:
		m.started = now
		for _, t := range m.targets {
			m.interrupt(t, now)
		}
	case PeerClaim:
		m.applyClaim(now, e)
	case EngineReport:
		m.applyReport(now, e)
	case WorkDone:
		m.applyDone(e)
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
		m.choose(now, before, wanted)
	}
	for name, t := range m.targets {
		if !known[name] {
			t.chosen = false
			m.evaluate(now, t)
			delete(m.targets, name)
		}
	}
}

// choose updates one target to the new view.
func (m *Machine) choose(now time.Duration, before *membership.View, wanted Target) {
	t := m.targets[wanted.Name]
	if t == nil {
		t = &target{Target: wanted, chart: chart.New(), nexts: map[string]time.Duration{}}
		m.targets[wanted.Name] = t
	}
	t.Zone = wanted.Zone
	t.owner, t.follower = firstTwo(m.view, t)
	chosen := t.owner == m.self.Name
	if chosen && !t.chosen {
		t.previous, _ = Owner(before, t.Name, t.Zone)
	}
	t.chosen = chosen
	m.noteDeaths(now, before, t)
}

// noteDeaths makes settling wait for a report when a gate that had not stopped ended: what it left at the target
// is not known yet.
func (m *Machine) noteDeaths(now time.Duration, before *membership.View, t *target) {
	if t.chart.State() == statechart.OwnershipFull {
		return
	}
	for _, was := range before.Gates {
		is, ok := m.view.Gate(was.Name)
		// A listed gate that was never heard has no incarnation here. It may have owned the target all the same.
		replaced := was.Incarnation != 0 && is.Incarnation != was.Incarnation
		ended := !ok || finished(is) || replaced
		if was.Name == m.self.Name || finished(was) || !ended {
			continue
		}
		if was.Incarnation == 0 || t.stopped[was.Name] != was.Incarnation {
			t.tainted, t.clean = true, false
			t.reportFrom = max(t.reportFrom, now)
			// It may have admitted more work since earlier reports were measured.
			t.stoppedAt, t.least, t.orphans = now, unknown, unknown
		}
	}
}

// finished says whether a gate certainly admits nothing any more.
func finished(member membership.Member) bool {
	return !member.Heard && (member.State == membership.Gone || member.Stopping)
}

// applyReply merges the answer of a gate that was asked.
func (m *Machine) applyReply(now time.Duration, e HandoverReply) {
	for _, handover := range e.Handovers {
		t := m.targets[handover.Target]
		if t == nil || t.asked == nil {
			continue
		}
		// A gate that fell silent since it was asked has to be asked again, and so has each gate in a new takeover.
		if asked, ok := t.asked[e.From.Name]; !ok || e.Asked < asked.first {
			continue
		}
		if !handover.Stopped {
			t.refused[e.From.Name] = true
			continue
		}
		delete(t.refused, e.From.Name)
		t.stopped[e.From.Name] = e.From.Incarnation
		t.stoppedAt, t.least = now, unknown
		m.keepLeftovers(t, e, handover)
	}
}

// keepLeftovers replaces what is known of a gate's handed-over work.
func (m *Machine) keepLeftovers(t *target, e HandoverReply, handover Handover) {
	from := e.From
	t.leftovers = slices.DeleteFunc(t.leftovers, func(l leftover) bool {
		return l.from.Name == from.Name && l.from.Incarnation == from.Incarnation
	})
	for _, work := range handover.InFlight {
		t.leftovers = append(t.leftovers, leftover{from, e.Asked, work.Customer, work.Count, work.Ends})
	}
	if handover.Clean && !t.tainted {
		t.clean = true
		t.orphans = min(t.orphans, handover.External)
	}
}

// applyAsked stops for a successor, or refuses.
func (m *Machine) applyAsked(now time.Duration, e HandoverAsked) *AnswerHandover {
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
		if t.chosen && !m.outranks(by, t) {
			return Handover{Target: name}
		}
		m.leave(now, t)
		m.fire(t, statechart.OwnershipOnGranted)
	}
	t.handedAt = now
	handover := Handover{Target: name, Stopped: true}
	// A clean state is passed on once and only for a short time, so that no later owner can have come between.
	if t.leftClean && now-t.leftAt < m.config.Lease {
		handover.Clean, handover.External = true, t.leftExternal
	}
	t.leftClean = false
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
	return rank(t.Name, []membership.Gate{m.self, other})[0].Name == other.Name
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
	if t == nil || t.asked == nil || e.Measured < t.since || e.Measured <= t.measured {
		return
	}
	t.measured = e.Measured
	t.external = max(0, e.Load-e.Own)
	if t.measured >= t.reportFrom {
		t.orphans = min(t.orphans, t.external)
	}
	if t.measured >= t.stoppedAt {
		t.least = min(t.least, t.external)
	}
}

// applyDone reduces handed-over work.
func (m *Machine) applyDone(e WorkDone) {
	t := m.targets[e.Target]
	if t == nil {
		return
	}
	for i := range t.leftovers {
		l := &t.leftovers[i]
		same := l.from.Name == e.From.Name && l.from.Incarnation == e.From.Incarnation && l.asked == e.Asked
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

// leave notes what a successor needs when the target is lost from full.
func (m *Machine) leave(now time.Duration, t *target) {
	if t.chart.State() == statechart.OwnershipFull {
		t.leftClean, t.leftAt, t.leftExternal = true, now, t.fullExternal()
	}
	t.held = false
}

// fire takes a transition that the caller has checked and carries its actions out.
func (m *Machine) fire(t *target, event statechart.OwnershipEvent) {
	actions, err := t.chart.Fire(event)
	if err != nil {
		panic(err)
	}
	for _, action := range actions {
		if action == statechart.OwnershipDoSpreadClaim {
			m.claims = append(m.claims, t.Name)
		}
	}
}

// effects collects what the step changed.
func (m *Machine) effects(now time.Duration, answer *AnswerHandover) []Effect {
	var effects []Effect
	if next := m.permissions(); !maps.Equal(next, m.snapshot.permissions) {
		m.snapshot = &Snapshot{permissions: next}
		effects = append(effects, Publish{Snapshot: m.snapshot})
	}
	if answer != nil {
		effects = append(effects, *answer)
	}
	gates := slices.SortedFunc(maps.Keys(m.asks), compareNames)
	for _, gate := range gates {
		effects = append(effects, AskHandover{To: gate, Targets: m.asks[gate]})
	}
	clear(m.asks)
	if len(m.claims) > 0 {
		effects = append(effects, SpreadClaims{Targets: m.claims})
		m.claims = nil
	}
	if watched := m.nextGates(); !slices.Equal(watched, m.watched) {
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
		p.External, p.Leftover = t.fullExternal(), t.handedOver()
	case statechart.OwnershipContested:
		p.Mode, p.Reason = Contested, reason.OverLimit
		p.Leftover = t.leftover()
		p.External = p.Leftover
	case statechart.OwnershipProbation:
		p.Mode, p.Reason = Probation, reason.Probation
		p.Leftover = t.handedOver()
		if !t.quick {
			p.Leftover = t.leftover()
		}
		p.External = max(t.external, p.Leftover)
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

// fullExternal bounds the work of others while this gate is full. No other gate adds work then, so that the least
// external work in a report bounds all later work. A single report counts own requests that began or ended around its
// measurement as external.
func (t *target) fullExternal() int {
	if t.measured != never && t.measured >= t.stoppedAt {
		return max(t.handedOver(), t.least)
	}
	return min(unknown, t.handedOver()+t.orphans)
}

// leftover bounds the work of stopped and dead gates, while gates that aren't heard may add work.
func (t *target) leftover() int {
	return min(t.handedOver()+t.orphans, max(t.handedOver(), t.least))
}

// handedOver sums the handed-over work.
func (t *target) handedOver() int {
	sum := 0
	for _, l := range t.leftovers {
		sum += l.count
	}
	return sum
}

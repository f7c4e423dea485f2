package ownership

import (
	"slices"
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/statechart"
)

// evaluate takes the transitions that the view, the lease and the handovers call for.
func (m *Machine) evaluate(now time.Duration, t *target) {
	m.expireLeftovers(now, t)
	if m.draining && t.chart.Lists(statechart.OwnershipOnDrain) {
		m.leave(now, t)
		m.fire(t, statechart.OwnershipOnDrain)
	}
	switch t.chart.State() {
	case statechart.OwnershipDrained:
		return
	case statechart.OwnershipIdle:
	default:
		if !t.chosen {
			m.leave(now, t)
			m.fire(t, statechart.OwnershipOnLost)
		}
	}
	if t.chosen {
		m.noteNext(now, t)
		m.enter(now, t)
		m.advance(now, t)
	}
}

// expireLeftovers drops handed-over work whose deadline passed; the lag covers its end at the engine.
func (m *Machine) expireLeftovers(now time.Duration, t *target) {
	t.leftovers = slices.DeleteFunc(t.leftovers, func(l leftover) bool {
		return l.count == 0 || l.ends+m.config.ReportLag <= now
	})
}

// enter starts a takeover where one is due.
func (m *Machine) enter(now time.Duration, t *target) {
	switch t.chart.State() {
	case statechart.OwnershipIdle:
		m.fire(t, statechart.OwnershipOnChosen)
		m.begin(now, t)
	case statechart.OwnershipHanded:
		if now-t.handedAt >= m.config.Retake {
			m.fire(t, statechart.OwnershipOnChosen)
			m.begin(now, t)
		}
	case statechart.OwnershipSuspended:
		if m.lease >= t.interruptedAt && now < m.lease+m.config.Lease && !m.zoneCutOff(now, t) {
			m.fire(t, statechart.OwnershipOnConfirmed)
			m.begin(now, t)
		}
	}
}

// begin resets what belongs to one takeover. A gate that held the target and was interrupted keeps its bounds.
func (m *Machine) begin(now time.Duration, t *target) {
	t.since = now
	t.asked, t.stopped, t.refused = map[string]ask{}, map[string]uint64{}, map[string]bool{}
	t.reportFrom = now
	t.measured = never
	t.leftClean = false
	t.clean = t.held && !t.tainted
	t.interrupted = t.held
	if !t.held {
		t.least = unknown
		t.orphans = unknown
		t.external = unknown
		t.nexts = map[string]time.Duration{}
	}
}

// advance moves between the states of an owner.
func (m *Machine) advance(now time.Duration, t *target) {
	if !t.chart.Lists(statechart.OwnershipOnInterrupted) {
		return
	}
	if m.zoneCutOff(now, t) && t.chart.State() != statechart.OwnershipTaking {
		m.interrupt(t, now)
		return
	}
	if t.chart.State() != statechart.OwnershipFull {
		m.poll(now, t)
	}
	if event, ok := m.decide(now, t); ok && t.chart.Lists(event) {
		if event == statechart.OwnershipOnSettled {
			m.settle(now, t)
		}
		m.fire(t, event)
	}
}

// settle makes the bounds those of a full owner.
func (m *Machine) settle(now time.Duration, t *target) {
	t.held, t.tainted, t.interrupted = true, false, false
	if t.measured >= t.reportFrom {
		t.orphans = t.external
	}
	// Gates that have stopped meanwhile may have added work after the report with the least external work.
	t.stoppedAt, t.least = now, unknown
}

// decide returns the event that the state of other gates calls for.
func (m *Machine) decide(now time.Duration, t *target) (statechart.OwnershipEvent, bool) {
	blocked := m.blockers(now, t)
	switch {
	case m.zoneCutOff(now, t):
		return statechart.OwnershipOnBlocked, true
	case t.held && m.contested(now, t):
		return statechart.OwnershipOnContest, true
	case t.chart.State() == statechart.OwnershipFull:
		return "", false
	case !m.polled(now, t) || m.listMayLag(now):
		return statechart.OwnershipOnBlocked, true
	case (t.held || len(blocked) == 0) && m.settled(now, t):
		return statechart.OwnershipOnSettled, true
	case t.held:
		return "", false
	case m.reducible(now, t, blocked):
		return statechart.OwnershipOnReduced, true
	}
	return statechart.OwnershipOnBlocked, true
}

// settled says whether a takeover without cut-off gates is complete (I2).
func (m *Machine) settled(now time.Duration, t *target) bool {
	if t.clean {
		return true
	}
	if t.measured < t.reportFrom {
		return false
	}
	return t.external == 0 || now >= t.reportFrom+m.config.settle()
}

// reducible says whether reduced work is permitted (I4).
func (m *Machine) reducible(now time.Duration, t *target, blocked []membership.Member) bool {
	t.quick = len(blocked) == 0 || m.follows(now, t, blocked)
	earliest := max(t.since, t.stoppedAt)
	for _, member := range blocked {
		if !t.quick {
			earliest = max(earliest, m.stoppedBy(member))
		}
	}
	return t.measured != never && t.measured >= earliest
}

// stoppedBy returns the time from which a gate that isn't heard is contested or stopped (I3, with a margin of L
// for the difference between what both gates heard last).
func (m *Machine) stoppedBy(member membership.Member) time.Duration {
	switch {
	case member.State == membership.Joining:
		return max(m.matureAt(), member.Since+m.config.JoinGrace+m.config.settle())
	case !member.Met:
		// It may never have heard this process, and then counts it as joining.
		return max(m.matureAt(), member.Since+m.config.SuspectAfter+m.config.settle())
	}
	return member.Since + m.config.SuspectAfter + m.config.settle()
}

// follows says whether the only cut-off gate is the former owner and ranks directly before this gate, so that
// it is contested as soon as it doesn't hear this gate.
func (m *Machine) follows(now time.Duration, t *target, blocked []membership.Member) bool {
	if len(blocked) != 1 {
		return false
	}
	former := blocked[0]
	if former.Name != t.previous.Name || former.Incarnation != t.previous.Incarnation {
		return false
	}
	if !former.Met {
		return false
	}
	if (former.Zone == t.Zone) != (m.self.Zone == t.Zone) || former.State == membership.Joining {
		return false
	}
	gates := []membership.Gate{former.Gate}
	for _, member := range m.candidates(now, t) {
		if hears(member) && member.State == membership.Live {
			gates = append(gates, member.Gate)
		}
	}
	ranked := rank(t.Name, gates)
	return len(ranked) > 1 && ranked[0].Name == former.Name && ranked[1].Name == m.self.Name
}

// candidates returns the gates, with this one, that may own the target on this or another side (I7). A process
// that just started counts gates of other zones as well: until they know of it, they may own targets of its zone.
func (m *Machine) candidates(now time.Duration, t *target) []membership.Member {
	all := m.self.Zone != t.Zone || (m.young(now) && !t.clean) || m.alone(t)
	var members []membership.Member
	for _, member := range m.view.Gates {
		if finished(member) && member.State != membership.Joining {
			continue
		}
		if all || member.Zone == t.Zone {
			members = append(members, member)
		}
	}
	return members
}

// alone says whether no other gate of the zone is live.
func (m *Machine) alone(t *target) bool {
	for _, member := range m.view.Gates {
		if member.Zone == t.Zone && member.Name != m.self.Name && member.State == membership.Live {
			return false
		}
	}
	return true
}

// matureAt returns the time from which gates that were up before know of this process.
func (m *Machine) matureAt() time.Duration {
	return m.started + m.config.JoinGrace + m.config.settle()
}

// young says whether gates that were up before may not have learned of this process yet.
func (m *Machine) young(now time.Duration) bool {
	return now < m.matureAt()
}

// hears says whether a gate is heard and may hear this one. A gate that leaves heartbeats unanswered may take targets
// over, whatever arrives from it.
func hears(member membership.Member) bool {
	return member.Heard && !member.OneWay
}

// blockers returns the gates that this gate doesn't hear and that may admit to the target.
func (m *Machine) blockers(now time.Duration, t *target) []membership.Member {
	return slices.DeleteFunc(m.candidates(now, t), func(member membership.Member) bool {
		switch {
		case hears(member) || member.Name == m.self.Name:
			return true
		case m.self.Zone == t.Zone && member.Zone != t.Zone && !m.young(now):
			return true
		}
		// Gates that were listed before this process had been up for long may be older than it.
		starting := member.State == membership.Joining && member.Since >= m.matureAt()
		return starting && now < member.Since+m.config.JoinGrace
	})
}

// listMayLag says whether this process started so recently that its list may lack gates, and hears no other gate
// that would know them.
func (m *Machine) listMayLag(now time.Duration) bool {
	if now >= m.started+m.config.ListDisagreement {
		return false
	}
	return !slices.ContainsFunc(m.view.Gates, func(member membership.Member) bool {
		return member.Name != m.self.Name && hears(member) && member.Met
	})
}

// zoneCutOff says whether this gate is of another zone and a gate of the target's zone may be alive (I7). A gate
// that held the target continues while a gate of the zone starts, which waits for JoinGrace + D + L meanwhile.
func (m *Machine) zoneCutOff(now time.Duration, t *target) bool {
	if m.self.Zone == t.Zone {
		return false
	}
	return slices.ContainsFunc(m.view.Gates, func(member membership.Member) bool {
		if member.Zone != t.Zone || hears(member) {
			return false
		}
		if member.State == membership.Joining {
			return !t.held || now >= member.Since+m.config.JoinGrace
		}
		return !finished(member)
	})
}

// contested says whether a gate that isn't heard may have taken over from a gate that held the target (I3).
func (m *Machine) contested(now time.Duration, t *target) bool {
	if next, ok := m.next(t); ok && !next.Direct {
		return true
	}
	for _, member := range m.blockers(now, t) {
		if t.interrupted || now >= m.mayOwnFrom(member) || m.wasNext(t, member) {
			return true
		}
	}
	return false
}

// mayOwnFrom returns the time from which a gate that isn't heard counts as a possible owner (I3).
func (m *Machine) mayOwnFrom(member membership.Member) time.Duration {
	if member.State == membership.Joining {
		return member.Since + m.config.JoinGrace
	}
	return member.Since + m.config.SuspectAfter + m.config.ListDisagreement
}

// wasNext says whether a gate that isn't heard ranked next shortly before it fell silent. Its view may lack a
// gate that ranks next now.
func (m *Machine) wasNext(t *target, member membership.Member) bool {
	last, ok := t.nexts[member.Name]
	return ok && member.State != membership.Joining && last >= member.Since-m.config.ListDisagreement
}

// noteNext remembers the gate that ranks next.
func (m *Machine) noteNext(now time.Duration, t *target) {
	if next, ok := m.next(t); ok {
		t.nexts[next.Name] = now
	}
}

// next returns the live gate that ranks directly after this one.
func (m *Machine) next(t *target) (membership.Member, bool) {
	if t.follower == "" || t.owner != m.self.Name {
		return membership.Member{}, false
	}
	return m.view.Gate(t.follower)
}

// firstTwo returns the names of the first two gates for a target, empty where there is none.
func firstTwo(view *membership.View, t *target) (first, second string) {
	ranked := Ranked(view, t.Name, t.Zone)
	if len(ranked) > 0 {
		first = ranked[0].Name
	}
	if len(ranked) > 1 {
		second = ranked[1].Name
	}
	return first, second
}

// nextGates returns the gates that rank next for owned targets, and the owners that this gate follows, sorted.
func (m *Machine) nextGates() []string {
	var names []string
	for _, t := range m.targets {
		switch {
		case t.follower == "":
		case t.owner == m.self.Name:
			names = append(names, t.follower)
		case t.follower == m.self.Name:
			names = append(names, t.owner)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// poll asks the gates that have not stopped yet. Gates that fell silent have to be asked again.
func (m *Machine) poll(now time.Duration, t *target) {
	for _, member := range m.candidates(now, t) {
		if member.Name == m.self.Name {
			continue
		}
		if !hears(member) || (t.stopped[member.Name] != 0 && t.stopped[member.Name] != member.Incarnation) {
			delete(t.stopped, member.Name)
			delete(t.asked, member.Name)
			delete(t.refused, member.Name)
		}
		if !hears(member) || t.stopped[member.Name] != 0 {
			continue
		}
		asked, ok := t.asked[member.Name]
		if !ok {
			asked = ask{first: now, last: never}
		}
		if asked.last == never || now-asked.last >= m.config.AskInterval {
			asked.last = now
			t.asked[member.Name] = asked
			m.asks[member.Gate] = append(m.asks[member.Gate], t.Name)
		}
	}
}

// polled says whether every gate that is heard has stopped, or was given the time in which its view catches up.
func (m *Machine) polled(now time.Duration, t *target) bool {
	for _, member := range m.candidates(now, t) {
		if !hears(member) || member.Name == m.self.Name || t.stopped[member.Name] == member.Incarnation {
			continue
		}
		asked, ok := t.asked[member.Name]
		waited := asked.first + m.config.settle()
		if t.refused[member.Name] || !ok || now < waited {
			return false
		}
		t.clean = false
		t.reportFrom = max(t.reportFrom, waited)
	}
	return true
}

func compareNames(a, b membership.Gate) int {
	return strings.Compare(a.Name, b.Name)
}

package ownership

import (
	"slices"
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/statechart"
)

// evaluate takes the transitions that the view, the lease and the handovers require.
func (m *Machine) evaluate(now time.Duration, t *target) {
	m.expireHandedOverWork(now, t)
	if m.draining && t.chart.Lists(statechart.OwnershipOnDrain) {
		m.recordLoss(now, t)
		m.fire(t, statechart.OwnershipOnDrain)
	}
	switch t.chart.State() {
	case statechart.OwnershipDrained:
		return
	case statechart.OwnershipIdle:
	default:
		if !t.assigned {
			m.recordLoss(now, t)
			m.fire(t, statechart.OwnershipOnLost)
		}
	}
	if t.assigned {
		m.recordStandby(now, t)
		m.startTakeoverIfDue(now, t)
		m.advanceOwner(now, t)
	}
}

// expireHandedOverWork drops handed-over work whose deadline passed at least ReportLag ago. The lag covers the time
// until the work has ended at the engine.
func (m *Machine) expireHandedOverWork(now time.Duration, t *target) {
	t.handedOverWork = slices.DeleteFunc(t.handedOverWork, func(work handedOverWork) bool {
		return work.count == 0 || work.deadline+m.config.ReportLag <= now
	})
}

// startTakeoverIfDue starts a takeover if one is due.
func (m *Machine) startTakeoverIfDue(now time.Duration, t *target) {
	switch t.chart.State() {
	case statechart.OwnershipIdle:
		m.fire(t, statechart.OwnershipOnChosen)
		m.resetTakeover(now, t)
	case statechart.OwnershipHanded:
		if now-t.handedOverAt >= m.config.RetakeDelay {
			m.fire(t, statechart.OwnershipOnChosen)
			m.resetTakeover(now, t)
		}
	case statechart.OwnershipSuspended:
		if m.leaseStart >= t.interruptedAt && now < m.leaseStart+m.config.Lease && !m.zoneUnreachable(now, t) {
			m.fire(t, statechart.OwnershipOnConfirmed)
			m.resetTakeover(now, t)
		}
	}
}

// resetTakeover resets the state of one takeover. A gate that was the full owner and was interrupted keeps its bounds.
func (m *Machine) resetTakeover(now time.Duration, t *target) {
	t.takeoverStart = now
	t.requested, t.stopped, t.refused = map[string]requestTimes{}, map[string]uint64{}, map[string]bool{}
	t.minReportTime = now
	t.measuredAt = never
	t.lostFromFull = false
	t.cleanHandover = t.wasFull && !t.peerDied
	t.wasInterrupted = t.wasFull
	if !t.wasFull {
		t.minExternal = unbounded
		t.orphanBound = unbounded
		t.reportedExternal = unbounded
		t.standbySeenAt = map[string]time.Duration{}
	}
}

// advanceOwner moves between the states of an owner.
func (m *Machine) advanceOwner(now time.Duration, t *target) {
	if !t.chart.Lists(statechart.OwnershipOnInterrupted) {
		return
	}
	if m.zoneUnreachable(now, t) && t.chart.State() != statechart.OwnershipTaking {
		m.interrupt(t, now)
		return
	}
	if t.chart.State() != statechart.OwnershipFull {
		m.requestHandovers(now, t)
	}
	if event, ok := m.nextEvent(now, t); ok && t.chart.Lists(event) {
		if event == statechart.OwnershipOnSettled {
			m.becomeFull(now, t)
		}
		m.fire(t, event)
	}
}

// becomeFull sets the bounds to those of a full owner.
func (m *Machine) becomeFull(now time.Duration, t *target) {
	t.wasFull, t.peerDied, t.wasInterrupted = true, false, false
	if t.measuredAt >= t.minReportTime {
		t.orphanBound = t.reportedExternal
	}
	// Gates that have stopped in the meantime may have added work after the report with the least external work.
	t.lastStopAt, t.minExternal = now, unbounded
}

// nextEvent returns the event that the state of the other gates requires, if any.
func (m *Machine) nextEvent(now time.Duration, t *target) (statechart.OwnershipEvent, bool) {
	unreachable := m.unreachableOwners(now, t)
	switch {
	case m.zoneUnreachable(now, t):
		return statechart.OwnershipOnBlocked, true
	case t.wasFull && m.contested(now, t):
		return statechart.OwnershipOnContest, true
	case t.chart.State() == statechart.OwnershipFull:
		return "", false
	case !m.handoversComplete(now, t) || m.listMayBeStale(now):
		return statechart.OwnershipOnBlocked, true
	case (t.wasFull || len(unreachable) == 0) && m.takeoverComplete(now, t):
		return statechart.OwnershipOnSettled, true
	case t.wasFull:
		return "", false
	case m.reducedPermitted(now, t, unreachable):
		return statechart.OwnershipOnReduced, true
	}
	return statechart.OwnershipOnBlocked, true
}

// takeoverComplete reports whether a takeover without unreachable gates is complete (I2).
func (m *Machine) takeoverComplete(now time.Duration, t *target) bool {
	if t.cleanHandover {
		return true
	}
	if t.measuredAt < t.minReportTime {
		return false
	}
	return t.reportedExternal == 0 || now >= t.minReportTime+m.config.settlingTime()
}

// reducedPermitted reports whether reduced work, that is probation, is permitted (I4).
func (m *Machine) reducedPermitted(now time.Duration, t *target, unreachable []membership.Member) bool {
	t.skipOrphanBound = len(unreachable) == 0 || m.succeedsFormerOwner(now, t, unreachable)
	earliest := max(t.takeoverStart, t.lastStopAt)
	for _, member := range unreachable {
		if !t.skipOrphanBound {
			earliest = max(earliest, m.notFullFrom(member))
		}
	}
	return t.measuredAt != never && t.measuredAt >= earliest
}

// notFullFrom returns the time from which a gate that is not heard from is contested or stopped (I3). It includes a
// margin of L for the difference between the times at which the two gates last heard from each other.
func (m *Machine) notFullFrom(member membership.Member) time.Duration {
	switch {
	case member.State == membership.Joining:
		return max(m.knownToPeersAt(), member.Since+m.config.JoinGrace+m.config.settlingTime())
	case !member.HasAnswered:
		// The gate may never have heard from this process, in which case it counts this process as joining.
		return max(m.knownToPeersAt(), member.Since+m.config.SuspectAfter+m.config.settlingTime())
	}
	return member.Since + m.config.SuspectAfter + m.config.settlingTime()
}

// succeedsFormerOwner reports whether the only unreachable gate is the former owner and ranks directly before this
// gate. Such an owner becomes contested as soon as it does not hear from this gate.
func (m *Machine) succeedsFormerOwner(now time.Duration, t *target, unreachable []membership.Member) bool {
	if len(unreachable) != 1 {
		return false
	}
	former := unreachable[0]
	if former.Name != t.previous.Name || former.Incarnation != t.previous.Incarnation {
		return false
	}
	if !former.HasAnswered {
		return false
	}
	if (former.Zone == t.Zone) != (m.self.Zone == t.Zone) || former.State == membership.Joining {
		return false
	}
	gates := []membership.Gate{former.Gate}
	for _, member := range m.possibleOwners(now, t) {
		if reachable(member) && member.State == membership.Live {
			gates = append(gates, member.Gate)
		}
	}
	ranked := rankGates(t.Name, gates)
	return len(ranked) > 1 && ranked[0].Name == former.Name && ranked[1].Name == m.self.Name
}

// possibleOwners returns the gates, including this one, that may own the target in this or another partition (I7). A
// process that has just started also counts gates of other zones: until they know of it, they may own targets of its
// zone.
func (m *Machine) possibleOwners(now time.Duration, t *target) []membership.Member {
	allZones := m.self.Zone != t.Zone || (m.recentlyStarted(now) && !t.cleanHandover) || m.noOtherLiveInZone(t)
	var members []membership.Member
	for _, member := range m.view.Gates {
		if hasStopped(member) && member.State != membership.Joining {
			continue
		}
		if allZones || member.Zone == t.Zone {
			members = append(members, member)
		}
	}
	return members
}

// noOtherLiveInZone reports whether no other gate of the target's zone is live.
func (m *Machine) noOtherLiveInZone(t *target) bool {
	for _, member := range m.view.Gates {
		if member.Zone == t.Zone && member.Name != m.self.Name && member.State == membership.Live {
			return false
		}
	}
	return true
}

// knownToPeersAt returns the time from which gates that were running before this process know of it.
func (m *Machine) knownToPeersAt() time.Duration {
	return m.startedAt + m.config.JoinGrace + m.config.settlingTime()
}

// recentlyStarted reports whether gates that were running before this process may not know of it yet.
func (m *Machine) recentlyStarted(now time.Duration) bool {
	return now < m.knownToPeersAt()
}

// reachable reports whether a gate is heard from and may hear from this one. A gate that leaves heartbeats unanswered
// may take over targets, whatever messages arrive from it.
func reachable(member membership.Member) bool {
	return member.Heard && !member.OneWay
}

// unreachableOwners returns the gates that this gate does not hear from and that may admit to the target.
func (m *Machine) unreachableOwners(now time.Duration, t *target) []membership.Member {
	return slices.DeleteFunc(m.possibleOwners(now, t), func(member membership.Member) bool {
		switch {
		case reachable(member) || member.Name == m.self.Name:
			return true
		case m.self.Zone == t.Zone && member.Zone != t.Zone && !m.recentlyStarted(now):
			return true
		}
		// Gates listed before this process was known to its peers may be older than this process.
		starting := member.State == membership.Joining && member.Since >= m.knownToPeersAt()
		return starting && now < member.Since+m.config.JoinGrace
	})
}

// listMayBeStale reports whether this process started so recently that its VM list may lack gates, while it hears from
// no other gate that would know them.
func (m *Machine) listMayBeStale(now time.Duration) bool {
	if now >= m.startedAt+m.config.ListDisagreement {
		return false
	}
	return !slices.ContainsFunc(m.view.Gates, func(member membership.Member) bool {
		return member.Name != m.self.Name && reachable(member) && member.HasAnswered
	})
}

// zoneUnreachable reports whether this gate is of another zone and an unreachable gate of the target's zone may be
// alive (I7). If this gate was the full owner, it continues while a gate of the zone starts, which waits for JoinGrace
// + D + L in the meantime.
func (m *Machine) zoneUnreachable(now time.Duration, t *target) bool {
	if m.self.Zone == t.Zone {
		return false
	}
	return slices.ContainsFunc(m.view.Gates, func(member membership.Member) bool {
		if member.Zone != t.Zone || reachable(member) {
			return false
		}
		if member.State == membership.Joining {
			return !t.wasFull || now >= member.Since+m.config.JoinGrace
		}
		return !hasStopped(member)
	})
}

// contested reports whether a gate that is not heard from may have taken over from this gate, which was the full owner
// (I3).
func (m *Machine) contested(now time.Duration, t *target) bool {
	if standby, ok := m.standby(t); ok && !standby.Direct {
		return true
	}
	for _, member := range m.unreachableOwners(now, t) {
		if t.wasInterrupted || now >= m.mayOwnFrom(member) || m.wasStandby(t, member) {
			return true
		}
	}
	return false
}

// mayOwnFrom returns the time from which a gate that is not heard from counts as a possible owner (I3).
func (m *Machine) mayOwnFrom(member membership.Member) time.Duration {
	if member.State == membership.Joining {
		return member.Since + m.config.JoinGrace
	}
	return member.Since + m.config.SuspectAfter + m.config.ListDisagreement
}

// wasStandby reports whether a gate that is not heard from was the standby shortly before it was last heard from. Its
// own view may lack the gate that is the standby now.
func (m *Machine) wasStandby(t *target, member membership.Member) bool {
	last, ok := t.standbySeenAt[member.Name]
	return ok && member.State != membership.Joining && last >= member.Since-m.config.ListDisagreement
}

// recordStandby records when the current standby was last the standby.
func (m *Machine) recordStandby(now time.Duration, t *target) {
	if standby, ok := m.standby(t); ok {
		t.standbySeenAt[standby.Name] = now
	}
}

// standby returns the live gate that ranks directly after this one.
func (m *Machine) standby(t *target) (membership.Member, bool) {
	if t.standby == "" || t.owner != m.self.Name {
		return membership.Member{}, false
	}
	return m.view.Gate(t.standby)
}

// ownerAndStandby returns the names of the first two gates for a target in rank order, empty where there is none.
func ownerAndStandby(view *membership.View, t *target) (first, second string) {
	ranked := Ranked(view, t.Name, t.Zone)
	if len(ranked) > 0 {
		first = ranked[0].Name
	}
	if len(ranked) > 1 {
		second = ranked[1].Name
	}
	return first, second
}

// gatesToWatch returns, sorted, the standbys of owned targets and the owners of targets for which this gate is the
// standby.
func (m *Machine) gatesToWatch() []string {
	var names []string
	for _, t := range m.targets {
		switch {
		case t.standby == "":
		case t.owner == m.self.Name:
			names = append(names, t.standby)
		case t.standby == m.self.Name:
			names = append(names, t.owner)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// requestHandovers asks the gates that have not stopped yet to stop. Gates that became unreachable have to be asked
// again.
func (m *Machine) requestHandovers(now time.Duration, t *target) {
	for _, member := range m.possibleOwners(now, t) {
		if member.Name == m.self.Name {
			continue
		}
		if !reachable(member) || (t.stopped[member.Name] != 0 && t.stopped[member.Name] != member.Incarnation) {
			delete(t.stopped, member.Name)
			delete(t.requested, member.Name)
			delete(t.refused, member.Name)
		}
		if !reachable(member) || t.stopped[member.Name] != 0 {
			continue
		}
		times, ok := t.requested[member.Name]
		if !ok {
			times = requestTimes{first: now, last: never}
		}
		if times.last == never || now-times.last >= m.config.HandoverRetryInterval {
			times.last = now
			t.requested[member.Name] = times
			m.pendingRequests[member.Gate] = append(m.pendingRequests[member.Gate], t.Name)
		}
	}
}

// handoversComplete reports whether every gate that is heard from has stopped, or was given enough time for its view to
// catch up.
func (m *Machine) handoversComplete(now time.Duration, t *target) bool {
	for _, member := range m.possibleOwners(now, t) {
		if !reachable(member) || member.Name == m.self.Name || t.stopped[member.Name] == member.Incarnation {
			continue
		}
		times, ok := t.requested[member.Name]
		deadline := times.first + m.config.settlingTime()
		if t.refused[member.Name] || !ok || now < deadline {
			return false
		}
		t.cleanHandover = false
		t.minReportTime = max(t.minReportTime, deadline)
	}
	return true
}

func compareNames(a, b membership.Gate) int {
	return strings.Compare(a.Name, b.Name)
}

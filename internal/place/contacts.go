package place

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the routers' reports on targets that they can't reach.
const (
	// contactWindow is how long a router reports an attempt, and how long its own success outweighs reports: four digests,
	// so that a few may be lost.
	contactWindow = time.Second
	// reportedBlock is how long a report counts without renewal. It equals blockMax, so that a router which obeys reports
	// and has lost contact with the others makes as many attempts as one without reports.
	reportedBlock = blockMax
	// ownFailureLifetime is how long a router's own failure counts beside one report: the routers that retry the target
	// renew their reports three times in it, and a false reporter can't block a target for longer.
	ownFailureLifetime = 10 * time.Second
	// retryingRouters is the number of routers that retry a target despite reports: two of them may be lost.
	retryingRouters = 3
	// maxReportingZones bounds the zones whose reports on one target are held.
	maxReportingZones = 8
	// longAgo is the time of what has not happened: longer ago than any period here.
	longAgo = -time.Hour
)

// Contact is the latest attempt of a router to reach an instance of a target.
type Contact struct {
	// Instance is the key of the instance, see backpressure.Key.
	Instance uint64
	// Reached is set if the target has responded.
	Reached bool
	// Age is the time since the attempt.
	Age time.Duration
}

// ContactChange is what has changed since the previous call of UpdateContacts.
type ContactChange struct {
	// Begun and Ended count the targets that reports have begun or ceased to block.
	Begun, Ended int
	// Retries counts this router's attempts to reach targets that reports block for others.
	Retries int
	// Urgent is set if others depend on this router to learn whether a target can be reached, and that has changed or was
	// confirmed.
	Urgent bool
}

// zoneReport is what the routers of a zone have last reported on a target.
type zoneReport struct {
	// peer has sent the latest report of a failure, which was at failedAt and has arrived at arrivedAt.
	peer                string
	failedAt, arrivedAt time.Duration
	// reachedAt is when a router of the zone last reached the target.
	reachedAt time.Duration
}

// contactState is what this router knows of the attempts to reach one instance of a target.
type contactState struct {
	instance uint64
	// failedAt and reachedAt are the times of this router's latest attempts, zoneReachedAt that of another one in its zone.
	failedAt, reachedAt, zoneReachedAt time.Duration
	zones                              map[string]zoneReport
	// retries is set if this router is one of those that retry the target.
	retries bool
	retried int
	// toldAt is the time of the latest failure that was reported; toldFailed is set until a success was reported.
	toldAt     time.Duration
	toldFailed bool
	// blocked is the state at the previous call of UpdateContacts.
	blocked bool
}

// contactsOf returns what is known of the target's current instance.
func (p *LoadTracker) contactsOf(state *targetState) *contactState {
	if state.contacts.instance != state.instance {
		state.contacts = contactState{
			instance: state.instance, failedAt: longAgo, reachedAt: longAgo, zoneReachedAt: longAgo, toldAt: longAgo,
			retries: p.retries(state),
		}
	}
	return &state.contacts
}

// retries reports whether this router is one of those that retry the target despite reports.
func (p *LoadTracker) retries(state *targetState) bool {
	return p.statements.RoutersAhead(state.instance) < retryingRouters
}

// recordContact records the result of this router's attempt to reach the target.
func (p *LoadTracker) recordContact(now time.Duration, state *targetState, reached bool) {
	c := p.contactsOf(state)
	if c.retries && c.reportsAgree(now) {
		c.retried++
	}
	if reached {
		c.reachedAt = now
	} else {
		c.failedAt = now
	}
}

// reportsAgree reports whether two routers in different zones, or another one and this one, failed to reach the target. A
// failure does not count if a router of the same zone has reached the target since, and none counts if one of this
// router's zone has: a network partition between zones leaves each zone with the targets that it reaches.
func (c *contactState) reportsAgree(now time.Duration) bool {
	refuted := max(c.reachedAt, c.zoneReachedAt)
	ownFailed := c.failedAt > refuted && now-c.failedAt < ownFailureLifetime
	peer, found := "", false
	for _, report := range c.zones {
		if report.failedAt <= max(refuted, report.reachedAt) || now-report.arrivedAt >= reportedBlock {
			continue
		}
		if ownFailed || found && report.peer != peer {
			return true
		}
		peer, found = report.peer, true
	}
	return false
}

// blockedByReports reports whether the reports of other routers exclude the target.
func (s *targetState) blockedByReports(now time.Duration) bool {
	c := &s.contacts
	if len(c.zones) == 0 || c.instance != s.instance || c.retries {
		return false
	}
	if c.reachedAt > c.failedAt && now-c.reachedAt < contactWindow {
		return false
	}
	return c.reportsAgree(now)
}

// isBlocked reports whether the target is excluded because it could not be reached, by this router or by others.
func (s *targetState) isBlocked(now time.Duration) bool {
	return now < s.blocked || s.blockedByReports(now)
}

// MergeContacts records the attempts that a peer in the given zone has reported to this router in ownZone. Instances that
// are not known and attempts that are too old are ignored.
func (p *LoadTracker) MergeContacts(now time.Duration, peer, zone, ownZone string, contacts []Contact) {
	if len(contacts) == 0 {
		return
	}
	latest := make(map[uint64]Contact, len(contacts))
	for _, contact := range contacts {
		if contact.Age >= 0 && contact.Age < reportedBlock {
			latest[contact.Instance] = contact
		}
	}
	for _, state := range p.byID {
		if contact, found := latest[state.instance]; found {
			p.contactsOf(state).merge(now, peer, zone, contact)
			if contact.Reached && zone == ownZone {
				state.contacts.zoneReachedAt = max(state.contacts.zoneReachedAt, now-contact.Age)
			}
		}
	}
}

func (c *contactState) merge(now time.Duration, peer, zone string, contact Contact) {
	report, found := c.zones[zone]
	if !found {
		if contact.Reached || len(c.zones) >= maxReportingZones {
			return
		}
		report = zoneReport{failedAt: longAgo, reachedAt: longAgo}
	}
	if contact.Reached {
		report.reachedAt = max(report.reachedAt, now-contact.Age)
	} else {
		report.peer, report.arrivedAt = peer, now
		report.failedAt = max(report.failedAt, now-contact.Age)
	}
	if c.zones == nil {
		c.zones = make(map[string]zoneReport)
	}
	c.zones[zone] = report
}

// Contacts returns up to limit attempts of the last second for other routers, the latest first: those that failed, and
// successes at targets that this router or others failed to reach.
func (p *LoadTracker) Contacts(now time.Duration, limit int) []Contact {
	var contacts []Contact
	for _, state := range p.byID {
		c := &state.contacts
		if state.withdrawn || c.instance != state.instance {
			continue
		}
		switch age := now - max(c.failedAt, c.reachedAt); {
		case age >= contactWindow:
		case c.failedAt >= c.reachedAt:
			contacts = append(contacts, Contact{Instance: c.instance, Age: age})
		case len(c.zones) > 0 || now-c.failedAt < ownFailureLifetime:
			contacts = append(contacts, Contact{Instance: c.instance, Age: age, Reached: true})
		}
	}
	slices.SortFunc(contacts, func(a, b Contact) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Instance, b.Instance))
	})
	return contacts[:min(len(contacts), limit)]
}

// UpdateContacts forgets old reports and returns what has changed since the previous call. It is called once for each
// periodic digest.
func (p *LoadTracker) UpdateContacts(now time.Duration) ContactChange {
	var change ContactChange
	for _, state := range p.byID {
		c := &state.contacts
		if c.instance != state.instance || state.withdrawn {
			continue
		}
		for zone, report := range c.zones {
			if now-report.arrivedAt >= reportedBlock {
				delete(c.zones, zone)
			}
		}
		c.retries = p.retries(state)
		blocked := state.blockedByReports(now)
		change.Begun += boolToInt(blocked && !c.blocked)
		change.Ended += boolToInt(!blocked && c.blocked)
		c.blocked = blocked
		change.Retries += c.retried
		c.retried = 0
		switch {
		case c.failedAt > max(c.toldAt, c.reachedAt):
			c.toldAt, c.toldFailed = c.failedAt, true
			change.Urgent = change.Urgent || c.retries
		case c.toldFailed && c.reachedAt > c.failedAt:
			c.toldFailed = false
			change.Urgent = change.Urgent || c.retries
		}
	}
	return change
}

// BlockedByReports returns the number of listed targets that the reports of other routers exclude.
func (p *LoadTracker) BlockedByReports(now time.Duration) int {
	count := 0
	for _, state := range p.byID {
		count += boolToInt(!state.withdrawn && state.blockedByReports(now))
	}
	return count
}

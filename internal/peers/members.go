package peers

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
)

// Limits of membership.
const (
	// memberTimeout is how long a router counts as a member after it was last heard from, directly or through others.
	// It covers a restart and a few lost datagrams.
	memberTimeout = 6 * time.Second
	// probeWindow is how long datagrams are still sent to a router that is no longer heard from, so that both sides of
	// a network partition find each other again.
	probeWindow = 60 * time.Second
	// sampleSize is the number of other routers listed in a datagram, startSampleSize that in the first startPeriod of a
	// process. When all routers have restarted each knows only the seeds, and larger lists spread faster.
	sampleSize      = 6
	startSampleSize = 40
	startPeriod     = 3 * time.Second
	// localZoneFraction is the fraction of datagrams sent to routers in the router's own zone when there are more
	// routers than datagrams.
	localZoneFraction = 0.67
	// readerCount is the number of routers that read the store on behalf of all. Each change costs one call per reader;
	// with three readers, losing two at once causes no delay.
	readerCount = 3
	// proberCount is the number of routers that retry a failing store at short intervals on behalf of all. It is twice
	// readerCount, so that as many as the readers remain when half are cut off from the others.
	proberCount = 2 * readerCount
	// proberInterval is the mean time between two tries of a prober. It finds a store that is back within half of the bound
	// on configuration delay.
	proberInterval = 1500 * time.Millisecond
	// otherProbeRate is the number of tries a second by all other routers together. They find a store that serves some VMs
	// only, none of which is a prober's.
	otherProbeRate = 4
	// rankSettleTime is the time after start within which a router hears from most others: three digests of each, or
	// one of a router that reads the store. A configuration change during this time is read after it, within its bound.
	rankSettleTime = 800 * time.Millisecond
	// readerTimeout is the time without a datagram from a reader after which a router no longer relies on that reader. It
	// spans several digest intervals and leaves the rest of the bound on configuration delay for a read of its own.
	readerTimeout = 1200 * time.Millisecond
	// substituteCount is the number of routers that read the store as soon as no reader is left. It is above readerCount
	// because whatever made the readers fail may affect many.
	substituteCount = 12
	// substituteDelay is how long the other routers wait for one of them: a read, and the datagram that tells of it.
	substituteDelay = 400 * time.Millisecond
	// maxMembers bounds the other routers that are known, far above the largest fleet.
	// Datagrams may list addresses of routers that do not exist.
	maxMembers = 2048
	// readerRankingKey is the rendezvous hashing key by which readers are ranked.
	readerRankingKey = "store reader"
)

// Access describes how a router obtains the store's content.
type Access int

// Kinds of access.
const (
	// Relayed routers receive the content from other routers.
	Relayed Access = iota
	// Reading routers read the store.
	Reading
	// Failing routers try to read the store without success.
	Failing
)

type member struct {
	zone        string
	incarnation uint64
	lastSeen    time.Duration
	// lastDirect is when the last datagram from the router itself arrived.
	lastDirect   time.Duration
	seenDirectly bool
	leaving      bool
	access       Access
	// readsUntil is the time until which the router is relied on to read the store.
	readsUntil time.Duration
}

// Members tracks the other routers known to this one. It is a deterministic state machine without I/O and not safe for
// concurrent use.
type Members struct {
	self    string
	zone    string
	seeds   []string
	members map[string]*member
	rng     *rand.Rand
}

// Sighting is another router as listed in a datagram, with the time since it was last heard from.
type Sighting struct {
	Address string
	Age     time.Duration
}

// NewMembers returns the membership of a router that so far knows only the seeds.
func NewMembers(self string, seeds []string, rng *rand.Rand) *Members {
	return &Members{self: self, seeds: seeds, members: make(map[string]*member), rng: rng}
}

// RecordDatagram records a datagram from another router. It reports whether the router, or its current process, is new.
func (m *Members) RecordDatagram(now time.Duration, address string, incarnation uint64, leaving bool, access Access) bool {
	if address == m.self {
		return false
	}
	if m.members[address] == nil && len(m.members) >= maxMembers {
		m.evictHearsay()
	}
	known := m.getOrCreate(address)
	if known == nil {
		return false
	}
	isNew := !known.seenDirectly || known.incarnation != incarnation || now-known.lastDirect >= memberTimeout
	readsUntil := min(known.readsUntil, now)
	if access == Reading && !leaving {
		readsUntil = now + readerTimeout
	}
	*known = member{
		zone: known.zone, incarnation: incarnation, lastSeen: now, lastDirect: now, seenDirectly: true,
		leaving: leaving, access: access, readsUntil: readsUntil,
	}
	return isNew
}

// SetZone records the zone of another router, or of this one.
func (m *Members) SetZone(address, zone string) {
	if address == m.self {
		m.zone = zone
	} else if known := m.members[address]; known != nil {
		known.zone = zone
	}
}

// MergeSightings merges sightings reported by another router.
func (m *Members) MergeSightings(now time.Duration, sightings []Sighting) {
	for _, sighting := range sightings {
		if sighting.Address == m.self || sighting.Age >= memberTimeout {
			continue
		}
		known := m.getOrCreate(sighting.Address)
		if known == nil {
			return
		}
		known.lastSeen = max(known.lastSeen, now-sighting.Age)
	}
}

// Knows reports whether a current member or a seed has the IP address.
func (m *Members) Knows(now time.Duration, host string) bool {
	prefix := host + ":"
	for _, seed := range m.seeds {
		if strings.HasPrefix(seed, prefix) {
			return true
		}
	}
	for address, known := range m.members {
		if now-known.lastSeen < memberTimeout && strings.HasPrefix(address, prefix) {
			return true
		}
	}
	return false
}

// evictHearsay removes one of the routers that were never heard from directly, the one that was heard of least recently.
func (m *Members) evictHearsay() {
	oldest := ""
	for address, known := range m.members {
		if known.seenDirectly {
			continue
		}
		if first := m.members[oldest]; first == nil || known.lastSeen < first.lastSeen || known.lastSeen == first.lastSeen && address < oldest {
			oldest = address
		}
	}
	delete(m.members, oldest)
}

// getOrCreate returns a member. It returns nil if it is not known and there are too many.
func (m *Members) getOrCreate(address string) *member {
	known := m.members[address]
	if known == nil && len(m.members) >= maxMembers {
		return nil
	}
	if known == nil {
		known = &member{lastSeen: -memberTimeout}
		m.members[address] = known
	}
	return known
}

// Expire removes routers that have not been heard from within probeWindow, and returns those whose membership has timed
// out since the previous call, at previous.
func (m *Members) Expire(now, previous time.Duration) []string {
	var lost []string
	for address, known := range m.members {
		if now-known.lastSeen >= probeWindow {
			delete(m.members, address)
		}
		if now-known.lastSeen >= memberTimeout && previous-known.lastSeen < memberTimeout {
			lost = append(lost, address)
		}
	}
	sort.Strings(lost)
	return lost
}

// Count returns the number of current members, including this router.
func (m *Members) Count(now time.Duration) int {
	count := 1
	for _, known := range m.members {
		if now-known.lastSeen < memberTimeout && !known.leaving {
			count++
		}
	}
	return count
}

// ReadsStore reports whether this router has to read the store: it ranks among the first of the routers that can, or it
// can rely on no other reader. A reader that loses the store says so, and is not relied on from then on. A router that is
// reading goes on until enough of those that rank before it do: some of these may have died since.
func (m *Members) ReadsStore(now time.Duration, reading bool) bool {
	if m.RanksAsReader(now) {
		return true
	}
	if reading && now >= rankSettleTime {
		return m.countRankedBefore(now, func(other *member) bool { return other.readsUntil > now }) < readerCount
	}
	lost := readerTimeout
	for _, other := range m.members {
		lost = max(lost, other.readsUntil)
	}
	return now >= lost+substituteDelay || now >= lost && m.countRankedBefore(now, canRead) < substituteCount
}

// canRead reports whether a router has not said that it fails to read the store.
func canRead(other *member) bool { return other.access != Failing }

// RanksAsReader reports whether this router ranks among the first of the routers that can read the store.
func (m *Members) RanksAsReader(now time.Duration) bool {
	ahead := m.countRankedBefore(now, canRead)
	// A router that has just started waits until it knows the ranks of the others.
	return ahead < readerCount && len(m.members) > 0 && now >= rankSettleTime
}

// IsProber reports whether this router is one of those that probe a store that does not respond on behalf of all. A router
// that hears from no other probes it for itself.
func (m *Members) IsProber(now time.Duration) bool {
	heardAt := -readerTimeout
	for _, other := range m.members {
		heardAt = max(heardAt, other.lastDirect)
	}
	return now-heardAt >= readerTimeout || m.countRankedBefore(now, func(*member) bool { return true }) < proberCount
}

// ProbeInterval returns the mean time between two tries of this router to reach a store that does not respond. The first
// routers in rank probe the store on behalf of all; the others try at a rate that does not grow with their number, since
// they learn from digests that the store is back.
func (m *Members) ProbeInterval(now time.Duration) time.Duration {
	if m.IsProber(now) {
		return proberInterval
	}
	others := m.Count(now) - proberCount
	return max(time.Duration(others)*time.Second/otherProbeRate, proberInterval)
}

// countRankedBefore counts the live routers that satisfy the predicate and rank before this one as readers.
func (m *Members) countRankedBefore(now time.Duration, include func(*member) bool) int {
	key := rendezvous.Hash(readerRankingKey)
	own := rendezvous.Score(key, rendezvous.Hash(m.self))
	ahead := 0
	for address, other := range m.members {
		if !other.seenDirectly || other.leaving || !include(other) || now-other.lastDirect >= memberTimeout {
			continue
		}
		if rendezvous.Score(key, rendezvous.Hash(address)) > own {
			ahead++
		}
	}
	return ahead
}

// Recipients returns the routers that receive the next datagram: all of them, or a random selection if there are more
// than the given maximum, plus each seed that has not been heard from, so that separate groups find each other. A
// selection favours the router's own zone, since traffic between zones is costly.
func (m *Members) Recipients(now time.Duration, limit int) []string {
	var sameZone, otherZones []string
	for address, known := range m.members {
		switch {
		case now-known.lastSeen >= probeWindow:
		case known.zone == m.zone:
			sameZone = append(sameZone, address)
		default:
			otherZones = append(otherZones, address)
		}
	}
	m.shuffle(sameZone)
	m.shuffle(otherZones)
	if len(sameZone)+len(otherZones) > limit {
		sameZoneCount := max(min(len(sameZone), int(float64(limit)*localZoneFraction)), limit-len(otherZones))
		sameZone = sameZone[:sameZoneCount]
		otherZones = otherZones[:limit-sameZoneCount]
	}
	list := append(sameZone, otherZones...)
	for _, seed := range m.seeds {
		if known := m.members[seed]; seed != m.self && known == nil {
			list = append(list, seed)
		}
	}
	return list
}

// Current returns the current members other than this router, in random order. It includes those that were only heard
// of through others: in a large fleet, a router hears directly from few others within the first seconds.
func (m *Members) Current(now time.Duration) []string {
	var list []string
	for address, known := range m.members {
		if !known.leaving && now-known.lastSeen < memberTimeout {
			list = append(list, address)
		}
	}
	m.shuffle(list)
	return list
}

// shuffle orders a list in a way that depends only on the random number generator.
func (m *Members) shuffle(list []string) {
	sort.Strings(list)
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// NeedsIntroduction reports whether a router that lists so many others in a datagram is to be told of more at once. A
// router that knows as many as a datagram usually lists spreads its knowledge by itself.
func (m *Members) NeedsIntroduction(now time.Duration, listed int) bool {
	return listed < sampleSize && m.Count(now) > listed+2
}

// Sample returns a random sample of current members to list in a datagram.
func (m *Members) Sample(now time.Duration) []Sighting {
	var list []Sighting
	for address, known := range m.members {
		if now-known.lastSeen < memberTimeout {
			list = append(list, Sighting{Address: address, Age: now - known.lastSeen})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Address < list[j].Address })
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	size := sampleSize
	if now < startPeriod {
		size = startSampleSize
	}
	return list[:min(len(list), size)]
}

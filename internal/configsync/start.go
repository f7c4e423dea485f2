package configsync

import (
	"math/rand"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
)

const (
	// queryTimeout is how long a starting daemon waits for responses from all peers that it queried.
	queryTimeout = 2 * time.Second
	// queryInterval is the time between repeated queries to peers that have not responded.
	queryInterval = 500 * time.Millisecond
)

// startupState is the state of a daemon before it is ready.
type startupState struct {
	started   bool
	startedAt time.Duration
	// readAfter is when a daemon that is not ready reads the platform although it is not a watcher. It is randomized, so
	// that daemons that start together don't read simultaneously.
	readAfter    time.Duration
	nextQueryAt  time.Duration
	peersQueried bool
	ready        bool
	// deferred is the highest platform content received before the peers had been queried.
	deferred *catalogue.Catalogue
}

func (s *startupState) begin(now time.Duration, random *rand.Rand) {
	if s.started {
		return
	}
	*s = startupState{started: true, startedAt: now, nextQueryAt: now, readAfter: now + jitter(random, queryTimeout)}
}

// deferContent keeps platform content until the peers have been queried.
func (s *startupState) deferContent(proposed *catalogue.Catalogue) {
	if accepted, _ := catalogue.Accept(s.deferred, proposed); accepted {
		s.deferred = proposed
	}
}

func (m *Machine) advanceStart(now time.Duration) {
	if m.start.ready {
		return
	}
	if !m.start.peersQueried {
		m.queryPeers(now)
	}
	if m.start.peersQueried && m.current != nil && m.current.Revision >= m.floor {
		m.start.ready = true
		m.emit(Ready{})
	}
}

// queryPeers queries the peers until all have responded, or until the timeout if at least one peer or the platform has
// responded by then.
func (m *Machine) queryPeers(now time.Duration) {
	peers := m.queryCandidates()
	var unanswered []string
	for _, peer := range peers {
		if _, answered := m.peers[peer]; !answered {
			unanswered = append(unanswered, peer)
		}
	}
	allAnswered := len(peers) > 0 && len(unanswered) == 0
	timedOut := now-m.start.startedAt >= queryTimeout
	if allAnswered || (timedOut && (len(m.peers) > 0 || m.start.deferred != nil)) {
		m.finishQuery()
		return
	}
	if len(unanswered) > 0 && now >= m.start.nextQueryAt {
		m.start.nextQueryAt = now + queryInterval
		m.emit(QueryPeers{unanswered})
	}
}

func (m *Machine) finishQuery() {
	m.start.peersQueried = true
	if m.start.deferred != nil {
		m.propose(m.start.deferred)
		m.start.deferred = nil
	}
}

// queryCandidates returns the peers to query: watchers first, since they receive each revision first, with those in the
// local zone before others, followed by the remaining gates by rank.
func (m *Machine) queryCandidates() []string {
	var names []string
	zones := []string{m.settings.Zone}
	for _, member := range m.view.Gates {
		if member.Name == m.settings.Self || member.State == membership.Gone {
			continue
		}
		names = append(names, member.Name)
		zones = append(zones, member.Zone)
	}
	slices.Sort(names)
	slices.Sort(zones[1:])
	var ordered []string
	for _, zone := range zones {
		ordered = append(ordered, Watchers(m.view, zone)...)
	}
	ordered = append(ordered, rankByHash(m.settings.Self, names)...)
	return firstDistinct(ordered, names, m.settings.PeersToQuery)
}

// firstDistinct returns up to count distinct names from list that are in allowed, which must be sorted.
func firstDistinct(list, allowed []string, count int) []string {
	var chosen []string
	for _, name := range list {
		_, ok := slices.BinarySearch(allowed, name)
		if ok && !slices.Contains(chosen, name) && len(chosen) < count {
			chosen = append(chosen, name)
		}
	}
	return chosen
}

package configsync

import (
	"math/rand"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
)

const (
	// askTimeout is how long a starting daemon waits for answers of all peers that it asked.
	askTimeout = 2 * time.Second
	// askInterval is the time between repeated questions to peers that have not answered.
	askInterval = 500 * time.Millisecond
)

// start is the state of a daemon before it is ready.
type start struct {
	begun bool
	at    time.Duration
	// readAfter is when a daemon that is not ready reads the platform although it does not watch. It is
	// random, so that many daemons that start at once don't read at once.
	readAfter time.Duration
	nextAsk   time.Duration
	asked     bool
	ready     bool
	// held is the highest platform content that arrived before the peers had been asked.
	held *catalogue.Catalogue
}

func (s *start) begin(now time.Duration, random *rand.Rand) {
	if s.begun {
		return
	}
	*s = start{begun: true, at: now, nextAsk: now, readAfter: now + jitter(random, askTimeout)}
}

// hold keeps platform content until the peers have been asked.
func (s *start) hold(proposed *catalogue.Catalogue) {
	if accepted, _ := catalogue.Accept(s.held, proposed); accepted {
		s.held = proposed
	}
}

func (m *Machine) advanceStart(now time.Duration) {
	if m.start.ready {
		return
	}
	if !m.start.asked {
		m.ask(now)
	}
	if m.start.asked && m.current != nil && m.current.Revision >= m.floor {
		m.start.ready = true
		m.emit(Ready{})
	}
}

// ask asks the peers until all have answered, or until the time is over and some peer or the platform has.
func (m *Machine) ask(now time.Duration) {
	peers := m.askable()
	var open []string
	for _, peer := range peers {
		if _, answered := m.peers[peer]; !answered {
			open = append(open, peer)
		}
	}
	allAnswered := len(peers) > 0 && len(open) == 0
	timedOut := now-m.start.at >= askTimeout
	if allAnswered || (timedOut && (len(m.peers) > 0 || m.start.held != nil)) {
		m.endAsking()
		return
	}
	if len(open) > 0 && now >= m.start.nextAsk {
		m.start.nextAsk = now + askInterval
		m.emit(AskPeers{open})
	}
}

func (m *Machine) endAsking() {
	m.start.asked = true
	if m.start.held != nil {
		m.offer(m.start.held)
		m.start.held = nil
	}
}

// askable returns the peers to ask: watchers first, since they get each revision first, those of the own zone
// before others, then the rest by rank.
func (m *Machine) askable() []string {
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
	ordered = append(ordered, rankedFor(m.settings.Self, names)...)
	return firstDistinct(ordered, names, m.settings.AskPeers)
}

// firstDistinct returns up to count different names of the list that are in the sorted allowed names.
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

package configsync

import (
	"fmt"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
)

const (
	// maxFirstPullDelay is the longest delay before the first pull, so that the peers of a watcher don't all pull
	// simultaneously.
	maxFirstPullDelay = 50 * time.Millisecond
	// pullTimeout bounds a pull of differences, fullPullTimeout one of up to a megabyte.
	pullTimeout     = 600 * time.Millisecond
	fullPullTimeout = 2 * time.Second
	// firstPullBackoff and maxPullBackoff bound the delay before trying another peer.
	firstPullBackoff = 100 * time.Millisecond
	maxPullBackoff   = time.Second
	// maxMismatchBackoff bounds the delay after mismatching responses. A peer running another build may send them until
	// it is upgraded, and each can be as large as the whole catalogue.
	maxMismatchBackoff = 5 * time.Minute
)

// pullState is the state of pulls from peers.
type pullState struct {
	pulling    bool
	id         uint64
	peer       string
	base       *catalogue.Catalogue
	deadline   time.Duration
	nextAt     time.Duration
	target     catalogue.Version
	tried      []string
	failures   int
	mismatches int
}

// reset discards the retry state for a target version, but not a pull in flight, whose response may be even newer.
func (p *pullState) reset() {
	p.target = catalogue.Version{}
	p.tried = nil
	p.failures, p.mismatches = 0, 0
}

func (m *Machine) advancePull(now time.Duration) {
	p := &m.pull
	if p.pulling && now >= p.deadline {
		m.pullFailed(now, p.id)
	}
	if p.pulling || !m.start.peersQueried {
		return
	}
	target, holders := m.holders()
	if len(holders) == 0 {
		return
	}
	if target != p.target {
		p.reset()
		p.target = target
		p.nextAt = now + jitter(m.random, maxFirstPullDelay)
	}
	if now < p.nextAt {
		return
	}
	m.startPull(now, m.choosePeer(holders))
}

// holders returns the highest version above the current one that any peer holds, and the peers that hold it.
func (m *Machine) holders() (catalogue.Version, []string) {
	target := m.current.Version()
	var holders []string
	for peer, version := range m.peers {
		switch version.Compare(target) {
		case 1:
			target, holders = version, []string{peer}
		case 0:
			holders = append(holders, peer)
		}
	}
	if target == m.current.Version() || target.Revision < m.floor {
		return target, nil
	}
	slices.Sort(holders)
	return target, holders
}

// choosePeer returns a random holder that has not been tried yet, preferring those in the local zone.
func (m *Machine) choosePeer(holders []string) string {
	untried := slices.DeleteFunc(slices.Clone(holders), func(peer string) bool {
		return slices.Contains(m.pull.tried, peer)
	})
	if len(untried) == 0 {
		m.pull.tried = nil
		untried = holders
	}
	local := slices.DeleteFunc(slices.Clone(untried), func(peer string) bool { return !m.inLocalZone(peer) })
	if len(local) > 0 {
		untried = local
	}
	return untried[m.random.Intn(len(untried))]
}

func (m *Machine) inLocalZone(peer string) bool {
	member, ok := m.view.Gate(peer)
	return ok && member.Zone == m.settings.Zone && member.State != membership.Gone
}

func (m *Machine) startPull(now time.Duration, peer string) {
	p := &m.pull
	p.pulling, p.peer, p.base = true, peer, m.current
	p.id++
	p.tried = append(p.tried, peer)
	p.deadline = now + pullTimeout
	if p.mismatches > 0 {
		p.base = nil
	}
	if p.base == nil {
		p.deadline = now + fullPullTimeout
	}
	m.emit(Pull{Pull: p.id, Peer: peer, Base: p.base})
}

func (m *Machine) pullFailed(now time.Duration, id uint64) {
	p := &m.pull
	if !p.pulling || id != p.id {
		return
	}
	p.pulling = false
	p.failures++
	p.nextAt = now + backoff(m.random, firstPullBackoff, maxPullBackoff, p.failures)
}

func (m *Machine) pulled(now time.Duration, answer Pulled) {
	p := &m.pull
	if !p.pulling || answer.Pull != p.id {
		return
	}
	p.pulling = false
	version := answer.Difference.Version
	m.announced(p.peer, version)
	if version.Compare(m.current.Version()) <= 0 {
		return
	}
	proposed, err := assemble(p.base, answer.Difference)
	if err == nil && proposed.Version() != version {
		err = fmt.Errorf("peer %s sent content with digest %x, not %x", p.peer, proposed.Digest(), version.Digest)
	}
	if err != nil {
		m.contentMismatched(now, version, err)
		return
	}
	m.propose(proposed)
}

func (m *Machine) contentMismatched(now time.Duration, version catalogue.Version, err error) {
	p := &m.pull
	p.mismatches++
	p.nextAt = now + backoff(m.random, firstPullBackoff, maxMismatchBackoff, p.mismatches)
	m.emit(Skipped{Reason: Mismatch, Version: version, Err: err})
}

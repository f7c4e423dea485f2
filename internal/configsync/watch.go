package configsync

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
)

// WatchersPerZone is the number of gates in each zone that watch the platform. With two, one can fail without delaying
// updates for the zone.
const WatchersPerZone = 2

const (
	// longPollWait is how long the platform holds a read of an unchanged value. A read whose response is lost delays a
	// change by longPollWait + readGrace, which counts toward the 3 s within which a change must be active. Ten watchers
	// polling at this rate use about 8 of the platform's 2,000 reads per second.
	longPollWait = time.Second
	// readGrace is the time beyond the long poll after which a read is considered lost.
	readGrace = 500 * time.Millisecond
	// minReadInterval is the minimum time between two reads by one daemon, which allows at most 5 reads per second.
	minReadInterval = 200 * time.Millisecond
	// firstReadBackoff and maxReadBackoff bound the delay after failed or unproductive reads. The longest delay counts
	// toward the 3 s within which a change must be active after the platform recovers.
	firstReadBackoff = 400 * time.Millisecond
	maxReadBackoff   = time.Second
)

// Watchers returns the gates of a zone that watch the platform, by rank.
func Watchers(view *membership.View, zone string) []string {
	var live []string
	for _, member := range view.Gates {
		if member.Zone == zone && member.State == membership.Live {
			live = append(live, member.Name)
		}
	}
	ranked := rankByHash("config-watch/"+zone, live)
	return ranked[:min(WatchersPerZone, len(ranked))]
}

func rankByHash(key string, names []string) []string { return rendezvous.Order(key, names) }

// watchState is the state of reads of the platform.
type watchState struct {
	reading  bool
	read     uint64
	issuedAt time.Duration
	wait     time.Duration
	nextAt   time.Duration
	failures int
	// cursor is the cursor of the platform's last response, highest the greatest cursor seen.
	cursor  uint64
	highest uint64
}

// shouldRead reports whether this daemon reads the platform: as a watcher, or before it is ready if the peers have no
// configuration or don't respond.
func (m *Machine) shouldRead(now time.Duration) bool {
	if !m.settings.ReadsPlatform {
		return false
	}
	for _, name := range Watchers(m.view, m.settings.Zone) {
		if name == m.settings.Self {
			return true
		}
	}
	if m.start.ready {
		return false
	}
	return now >= m.start.readAfter || (m.start.peersQueried && m.floor == 0)
}

func (m *Machine) advanceWatch(now time.Duration) {
	w := &m.watch
	if !m.shouldRead(now) {
		m.cancelRead()
		return
	}
	if w.reading && now-w.issuedAt > w.wait+readGrace {
		m.cancelRead()
		w.nextAt = now + jitter(m.random, minReadInterval)
	}
	if w.reading || now < w.nextAt {
		return
	}
	w.read++
	w.reading, w.issuedAt, w.wait = true, now, longPollWait
	if w.cursor == 0 {
		w.wait = 0
	}
	m.emit(ReadPlatform{Read: w.read, After: w.cursor, Wait: w.wait})
}

func (m *Machine) cancelRead() {
	if !m.watch.reading {
		return
	}
	m.watch.reading = false
	m.emit(CancelRead{m.watch.read})
}

func (m *Machine) platformFailed(now time.Duration, read uint64) {
	if !m.watch.reading || read != m.watch.read {
		return
	}
	m.watch.reading = false
	m.readFailed(now)
}

func (m *Machine) readFailed(now time.Duration) {
	m.watch.failures++
	m.watch.nextAt = now + backoff(m.random, firstReadBackoff, maxReadBackoff, m.watch.failures)
}

func (m *Machine) platformAnswered(now time.Duration, answer PlatformAnswered) {
	w := &m.watch
	if !w.reading || answer.Read != w.read {
		return
	}
	w.reading = false
	m.scheduleRead(now, answer.Cursor)
	switch {
	case answer.Invalid != nil:
		m.emit(Skipped{Reason: Invalid, Err: answer.Invalid})
	case answer.Catalogue == nil:
	case m.start.peersQueried:
		m.propose(answer.Catalogue)
	default:
		m.start.deferContent(answer.Catalogue)
	}
}

// scheduleRead sets the time of the next read. A response that is neither new nor long-polled comes from a stale
// replica or a platform that does not hold reads; it delays the next read like a failure. The cursor may decrease, so
// that the watch continues on a platform that was restored from a backup.
func (m *Machine) scheduleRead(now time.Duration, cursor uint64) {
	w := &m.watch
	useful := cursor > w.highest || (w.wait > 0 && now-w.issuedAt >= w.wait/2)
	w.cursor = cursor
	w.highest = max(w.highest, cursor)
	if !useful {
		m.readFailed(now)
		return
	}
	w.failures = 0
	w.nextAt = now + 2*jitter(m.random, minReadInterval)
}

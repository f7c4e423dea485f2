package gossip

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

const (
	heartbeatInterval = 600 * time.Millisecond
	tickInterval      = 50 * time.Millisecond
	staleAge          = 3 * time.Second
)

// mesh simulates a ring of daemons. Each exchanges messages with its next two neighbours at its own phase and creates a
// version of its record every second.
type mesh struct {
	t           *testing.T
	random      *rand.Rand
	tables      []*Table[int]
	phases      []time.Duration
	now         time.Duration
	lossRate    float64
	isolated    map[int]bool
	versions    uint64
	recordsSent int
}

func newMesh(t *testing.T, nodes int, lossRate float64) *mesh {
	m := &mesh{t: t, random: seededRandom(t), lossRate: lossRate, isolated: make(map[int]bool)}
	for range nodes {
		m.tables = append(m.tables, New[int](lifetime))
		m.phases = append(m.phases, time.Duration(m.random.Int63n(int64(heartbeatInterval))).Truncate(tickInterval))
	}
	return m
}

func (m *mesh) run(duration time.Duration) {
	for end := m.now + duration; m.now < end; m.now += tickInterval {
		if m.now%time.Second == 0 {
			m.versions++
			for i, table := range m.tables {
				table.Put(m.now, fmt.Sprint(i), m.versions, i)
			}
		}
		for i, table := range m.tables {
			table.Expire(m.now)
			for distance := range 2 {
				if (m.now-m.phases[i])%heartbeatInterval == 0 {
					m.exchange(i, (i+distance+1)%len(m.tables))
				}
			}
		}
	}
}

func (m *mesh) exchange(from, to int) {
	if m.isolated[from] || m.isolated[to] {
		return
	}
	if !m.send(from, to) || !m.send(to, from) {
		m.tables[from].Forget(fmt.Sprint(to))
	}
}

// send delivers one message, or drops it. It reports whether the message was delivered.
func (m *mesh) send(from, to int) bool {
	sender, receiver, peer := m.tables[from], m.tables[to], fmt.Sprint(to)
	records := sender.PendingRecords(m.now, peer, 0)
	skip, resume := sender.TakeRedundantOrigins(peer), sender.OverdueOrigins(m.now)
	m.recordsSent += len(records)
	if m.random.Float64() < m.lossRate {
		return false
	}
	for i := range records {
		records[i].Origin = records[i].Key
		records[i].Direct = records[i].Key == fmt.Sprint(from)
	}
	receiver.Merge(m.now, fmt.Sprint(from), records)
	receiver.Skip(m.now, fmt.Sprint(from), skip)
	receiver.Resume(fmt.Sprint(from), resume)
	return true
}

// maxAge returns the greatest age of any record at any daemon that is not isolated.
func (m *mesh) maxAge() time.Duration {
	oldest := time.Duration(0)
	for i, table := range m.tables {
		present := make(map[string]bool)
		for _, record := range table.All(m.now) {
			present[record.Key] = true
			if !m.isolated[record.Payload] && !m.isolated[i] {
				oldest = max(oldest, record.Age)
			}
		}
		for origin := range m.tables {
			if !present[fmt.Sprint(origin)] && !m.isolated[origin] && !m.isolated[i] {
				oldest = max(oldest, lifetime)
			}
		}
	}
	return oldest
}

// runMeasuringAge runs the mesh and returns the greatest age observed.
func (m *mesh) runMeasuringAge(duration time.Duration) time.Duration {
	oldest := time.Duration(0)
	for end := m.now + duration; m.now < end; {
		m.run(tickInterval)
		oldest = max(oldest, m.maxAge())
	}
	return oldest
}

// Guards against relays that send a record to daemons that already receive it by another path, and against records that
// grow stale because no daemon relays them.
func TestEachRecordArrivesAboutOnce(t *testing.T) {
	const nodes, seconds = 12, 30
	m := newMesh(t, nodes, 0)
	m.run(10 * time.Second)
	m.recordsSent = 0
	if oldest := m.runMeasuringAge(seconds * time.Second); oldest >= staleAge {
		t.Errorf("greatest record age is %s, want less than %s", oldest, staleAge)
	}
	// Each version has to reach every other daemon.
	needed := nodes * (nodes - 1) * seconds
	if m.recordsSent > needed*11/10 {
		t.Errorf("%d records sent, %d needed", m.recordsSent, needed)
	}
}

// Guards against daemons that keep waiting for a relay that is gone, and against lost requests to resume relaying.
func TestRecordsAreReroutedWhenARelayIsGone(t *testing.T) {
	for _, lossRate := range []float64{0, 0.1} {
		t.Run(fmt.Sprint("loss ", lossRate), func(t *testing.T) {
			m := newMesh(t, 12, lossRate)
			m.run(10 * time.Second)
			for gone := range 4 {
				m.isolated = map[int]bool{gone: true}
				m.run(overdueThreshold + 4*heartbeatInterval)
				if oldest := m.maxAge(); lossRate == 0 && oldest >= staleAge || oldest >= lifetime {
					t.Fatalf("daemon %d isolated: greatest record age is %s", gone, oldest)
				}
			}
		})
	}
}

// Guards against a relay that is told to continue although the origin sends its records directly, and against one that
// is told to stop although no other peer sends them.
func TestTakeSurplusReportsRedundantRelays(t *testing.T) {
	record := func(version uint64, direct bool) []Record[int] {
		return []Record[int]{{Key: "k", Origin: "o", Version: version, Direct: direct}}
	}
	type message struct {
		peer    string
		records []Record[int]
	}
	cases := []struct {
		name      string
		messages  []message
		redundant bool // whether the relay by the last message's peer is redundant
	}{
		{"first relay", []message{{"p", record(1, false)}}, false},
		{"second relay", []message{{"p", record(1, false)}, {"q", record(1, false)}}, true},
		{"older version", []message{{"p", record(2, false)}, {"q", record(1, false)}}, true},
		{"newer version", []message{{"p", record(1, false)}, {"q", record(2, false)}}, false},
		{"the same relay again", []message{{"p", record(1, false)}, {"p", record(1, false)}}, false},
		{"relay of a reached origin", []message{{"o", record(1, true)}, {"q", record(2, false)}}, true},
		{"origin after a relay", []message{{"q", record(1, false)}, {"o", record(1, true)}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := New[int](lifetime)
			for _, m := range c.messages {
				table.Merge(0, m.peer, m.records)
			}
			peer := c.messages[len(c.messages)-1].peer
			if got := table.TakeRedundantOrigins(peer); (len(got) == 1) != c.redundant || len(table.TakeRedundantOrigins(peer)) != 0 {
				t.Fatalf("redundant origins %q, want any: %v", got, c.redundant)
			}
		})
	}
}

// Guards against a skip that becomes permanent because the peer that asked for it has lost its state.
func TestSkipExpires(t *testing.T) {
	table := New[int](time.Hour)
	table.Skip(0, "q", []string{"o"})
	table.Merge(0, "p", []Record[int]{{Key: "k", Origin: "o", Version: 1}})
	if before, after := table.PendingRecords(0, "q", 0), table.PendingRecords(skipTTL, "q", 0); len(before) != 0 || len(after) != 1 {
		t.Fatalf("%d records sent during the skip, want 0; %d sent after it, want 1", len(before), len(after))
	}
}

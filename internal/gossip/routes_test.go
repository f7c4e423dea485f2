package gossip

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

const (
	beat  = 600 * time.Millisecond
	step  = 50 * time.Millisecond
	stale = 3 * time.Second
)

// mesh is a ring of daemons that exchange messages with their next two neighbours, each at its own phase. Every daemon
// makes a version of its record every second.
type mesh struct {
	t        *testing.T
	random   *rand.Rand
	tables   []*Table[int]
	phases   []time.Duration
	now      time.Duration
	loss     float64
	cut      map[int]bool
	versions uint64
	sent     int
}

func newMesh(t *testing.T, nodes int, loss float64) *mesh {
	m := &mesh{t: t, random: seededRandom(t), loss: loss, cut: make(map[int]bool)}
	for range nodes {
		m.tables = append(m.tables, New[int](lifetime))
		m.phases = append(m.phases, time.Duration(m.random.Int63n(int64(beat))).Truncate(step))
	}
	return m
}

func (m *mesh) run(duration time.Duration) {
	for end := m.now + duration; m.now < end; m.now += step {
		if m.now%time.Second == 0 {
			m.versions++
			for i, table := range m.tables {
				table.Put(m.now, fmt.Sprint(i), m.versions, i)
			}
		}
		for i, table := range m.tables {
			table.Expire(m.now)
			for distance := range 2 {
				if (m.now-m.phases[i])%beat == 0 {
					m.exchange(i, (i+distance+1)%len(m.tables))
				}
			}
		}
	}
}

func (m *mesh) exchange(from, to int) {
	if m.cut[from] || m.cut[to] {
		return
	}
	if !m.send(from, to) || !m.send(to, from) {
		m.tables[from].Forget(fmt.Sprint(to))
	}
}

// send delivers one message, or loses it.
func (m *mesh) send(from, to int) bool {
	sender, receiver, peer := m.tables[from], m.tables[to], fmt.Sprint(to)
	news := sender.News(m.now, peer, 0)
	skip, resume := sender.TakeSurplus(peer), sender.Overdue(m.now)
	m.sent += len(news)
	if m.random.Float64() < m.loss {
		return false
	}
	for i := range news {
		news[i].Origin = news[i].Key
		news[i].Direct = news[i].Key == fmt.Sprint(from)
	}
	receiver.Merge(m.now, fmt.Sprint(from), news)
	receiver.Skip(m.now, fmt.Sprint(from), skip)
	receiver.Resume(fmt.Sprint(from), resume)
	return true
}

// oldest returns the greatest age of any record at any daemon that is not cut off.
func (m *mesh) oldest() time.Duration {
	oldest := time.Duration(0)
	for i, table := range m.tables {
		known := make(map[string]bool)
		for _, record := range table.All(m.now) {
			known[record.Key] = true
			if !m.cut[record.Payload] && !m.cut[i] {
				oldest = max(oldest, record.Age)
			}
		}
		for origin := range m.tables {
			if !known[fmt.Sprint(origin)] && !m.cut[origin] && !m.cut[i] {
				oldest = max(oldest, lifetime)
			}
		}
	}
	return oldest
}

// watch runs the mesh and returns the greatest age that it saw.
func (m *mesh) watch(duration time.Duration) time.Duration {
	oldest := time.Duration(0)
	for end := m.now + duration; m.now < end; {
		m.run(step)
		oldest = max(oldest, m.oldest())
	}
	return oldest
}

// Guards against relays that send a record to daemons which have it from elsewhere, and against records that grow
// stale because nobody relays them.
func TestRecordsArriveAboutOnce(t *testing.T) {
	const nodes, seconds = 12, 30
	m := newMesh(t, nodes, 0)
	m.run(10 * time.Second)
	m.sent = 0
	if oldest := m.watch(seconds * time.Second); oldest >= stale {
		t.Errorf("a record is %s old", oldest)
	}
	// Each version has to reach each of the other daemons.
	needed := nodes * (nodes - 1) * seconds
	if m.sent > needed*11/10 {
		t.Errorf("%d records were sent, %d are needed", m.sent, needed)
	}
}

// Guards against daemons that wait for a relay that is gone, and against requests for records that are lost.
func TestRecordsComeAnotherWay(t *testing.T) {
	for _, loss := range []float64{0, 0.1} {
		t.Run(fmt.Sprint("loss ", loss), func(t *testing.T) {
			m := newMesh(t, 12, loss)
			m.run(10 * time.Second)
			for gone := range 4 {
				m.cut = map[int]bool{gone: true}
				m.run(overdueAfter + 4*beat)
				if oldest := m.oldest(); loss == 0 && oldest >= stale || oldest >= lifetime {
					t.Fatalf("after %d is gone a record is %s old", gone, oldest)
				}
			}
		})
	}
}

// Guards against a relay that is told to go on although the origin sends its records itself, and against one that is
// told to stop although nobody else sends them.
func TestSurplus(t *testing.T) {
	record := func(version uint64, direct bool) []Record[int] {
		return []Record[int]{{Key: "k", Origin: "o", Version: version, Direct: direct}}
	}
	type message struct {
		peer    string
		records []Record[int]
	}
	cases := []struct {
		name     string
		messages []message
		surplus  bool // of the last message's peer
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
			if got := table.TakeSurplus(peer); (len(got) == 1) != c.surplus || len(table.TakeSurplus(peer)) != 0 {
				t.Fatalf("surplus %q, want %v", got, c.surplus)
			}
		})
	}
}

// Guards against a skip that a peer's lost knowledge makes permanent.
func TestSkipEnds(t *testing.T) {
	table := New[int](time.Hour)
	table.Skip(0, "q", []string{"o"})
	table.Merge(0, "p", []Record[int]{{Key: "k", Origin: "o", Version: 1}})
	if before, after := table.News(0, "q", 0), table.News(skipLifetime, "q", 0); len(before) != 0 || len(after) != 1 {
		t.Fatalf("%d records are sent during the skip and %d after it", len(before), len(after))
	}
}

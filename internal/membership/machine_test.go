package membership

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

func id(name string, incarnation uint64) Gate {
	return Gate{Name: name, Address: "addr-" + name, Zone: "z1", Region: "r", Incarnation: incarnation}
}

func list(revision uint64, state State, names ...string) ListUpdate {
	update := ListUpdate{Revision: revision}
	for _, name := range names {
		update.Gates = append(update.Gates, ListedGate{Gate: id(name, 0), State: state})
	}
	return update
}

func heartbeat(name string, incarnation uint64, statuses ...RelayedStatus) HeartbeatReceived {
	return HeartbeatReceived{Message: Message{From: id(name, incarnation), RelayedStatuses: statuses}}
}

func draining(name string, incarnation uint64) HeartbeatReceived {
	event := heartbeat(name, incarnation)
	event.Message.Draining = true
	return event
}

type timedEvent struct {
	at    time.Duration
	event Event
}

const sec = time.Second

// Checks the state and incarnation of gate b after a sequence of lists and heartbeats.
func TestMergeRules(t *testing.T) {
	listed := timedEvent{0, list(5, Live, "a", "b")}
	dropped := timedEvent{2 * sec, list(6, Live, "a")}
	tests := []struct {
		name        string
		events      []timedEvent
		at          time.Duration
		state       State
		incarnation uint64
	}{
		{"a listed gate that was never heard is joining", []timedEvent{listed}, sec, Joining, 0},
		{"a listed and heard gate is live", []timedEvent{listed, {sec, heartbeat("b", 7)}}, 2 * sec, Live, 7},
		{"a relayed status keeps a gate live",
			[]timedEvent{listed, {sec, heartbeat("c", 1, RelayedStatus{Gate: id("b", 7), Age: sec / 2})}},
			2*sec + sec/4, Live, 7},
		{"the age of a relayed status counts towards suspicion",
			[]timedEvent{listed, {sec, heartbeat("c", 1, RelayedStatus{Gate: id("b", 7), Age: sec})}}, 2*sec + sec/4, Suspected, 7},
		{"not suspected just before 2 s of silence",
			[]timedEvent{listed, {sec, heartbeat("b", 7)}}, 3*sec - 1, Live, 7},
		{"suspected after 2 s of silence", []timedEvent{listed, {sec, heartbeat("b", 7)}}, 3 * sec, Suspected, 7},
		{"an unlisted gate is live when heard",
			[]timedEvent{{0, list(5, Live, "a")}, {sec, heartbeat("b", 7)}}, 2 * sec, Live, 7},
		{"an unlisted gate stays live within the grace period",
			[]timedEvent{listed, dropped, {31 * sec, heartbeat("b", 7)}}, 31*sec + 1, Live, 7},
		{"an unlisted gate is gone after the grace period",
			[]timedEvent{listed, dropped, {31 * sec, heartbeat("b", 7)}}, 32 * sec, Gone, 7},
		{"a silent unlisted gate is suspected while lists may disagree",
			[]timedEvent{listed, {sec, heartbeat("b", 7)}, dropped}, 7 * sec, Suspected, 7},
		{"a silent unlisted gate is gone once lists must agree",
			[]timedEvent{listed, {sec, heartbeat("b", 7)}, dropped}, 8*sec + 1, Gone, 7},
		{"an older list does not restore an unlisted gate",
			[]timedEvent{listed, dropped, {3 * sec, list(5, Live, "a", "b")}}, 4 * sec, Gone, 0},
		{"a gate listed as leaving is leaving",
			[]timedEvent{listed, {sec, heartbeat("b", 7)}, {sec, list(6, Leaving, "b")}}, 2 * sec, Leaving, 7},
		{"a draining gate that is listed as live is leaving",
			[]timedEvent{listed, {sec, draining("b", 7)}}, 2 * sec, Leaving, 7},
		{"a stopped gate is joining while its VM is listed as live",
			[]timedEvent{listed, {sec, draining("b", 7)}}, 4 * sec, Joining, 7},
		{"a stopped and unlisted gate is gone rather than suspected",
			[]timedEvent{listed, {sec, draining("b", 7)}, {2 * sec, list(6, Live, "a")}}, 4 * sec, Gone, 7},
		{"draining ends with a restart",
			[]timedEvent{listed, {sec, draining("b", 7)}, {2 * sec, heartbeat("b", 8)}}, 3 * sec, Live, 8},
		{"a delayed message of a replaced process is ignored",
			[]timedEvent{listed, {sec, heartbeat("b", 7)}, {2 * sec, heartbeat("b", 8)}, {3 * sec, heartbeat("b", 7)}}, 3 * sec, Live, 8},
		{"a relayed status of a replaced process is ignored",
			[]timedEvent{listed, {sec, heartbeat("b", 7)}, {2 * sec, heartbeat("b", 8)},
				{3 * sec, heartbeat("c", 1, RelayedStatus{Gate: id("b", 7)})}}, 3 * sec, Live, 8},
		{"an older relayed status does not replace a newer process",
			[]timedEvent{listed, {2 * sec, heartbeat("b", 8)}, {3 * sec, heartbeat("c", 1, RelayedStatus{Gate: id("b", 7), Age: 2 * sec})}},
			3 * sec, Live, 8},
		{"a gate heard before a process pause is not suspected after it",
			[]timedEvent{listed, {sec, heartbeat("b", 7)}, {20 * sec, Tick{}}}, 21 * sec, Live, 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := New(DefaultConfig(), id("a", 1), 0)
			now := time.Duration(0)
			step := func(at time.Duration, event Event) {
				// Steps in between keep the machine from detecting a process pause, except before a Tick of a case, which
				// stands for one.
				for _, paused := event.(Tick); !paused && now < at; now += sec / 2 {
					m.Step(now, Tick{})
				}
				m.Step(at, event)
				now = at
			}
			for _, event := range test.events {
				step(event.at, event.event)
			}
			step(test.at, list(0, Live))
			member, _ := m.View().Gate("b")
			if member.State != test.state && (test.state != Gone || member.Name != "") {
				t.Fatalf("state %q, want %q", member.State, test.state)
			}
			if member.Incarnation != test.incarnation {
				t.Fatalf("incarnation %d, want %d", member.Incarnation, test.incarnation)
			}
		})
	}
}

// Guards against two gates in the view with the same address, after a new process took over the address of an old one.
func TestNewProcessAtKnownAddress(t *testing.T) {
	m := New(DefaultConfig(), id("a", 1), 0)
	m.Step(0, heartbeat("b", 7))
	successor := id("c", 9)
	successor.Address = "addr-b"
	m.Step(sec, HeartbeatReceived{Message: Message{From: successor}})
	if _, ok := m.View().Gate("b"); ok {
		t.Fatal("gate b is still in the view although another process uses its address")
	}
}

// Guards against new work on a leaving target while this gate's VM list lags, and against outdated reports that
// override a newer list.
func TestTargetStates(t *testing.T) {
	targets := func(revision uint64, state State) ListUpdate {
		return ListUpdate{Revision: revision, Targets: []ListedTarget{{Name: "e1", State: state}}}
	}
	report := func(revision uint64) HeartbeatReceived {
		return HeartbeatReceived{Message: Message{From: id("b", 7), ListRevision: revision, LeavingTargets: []string{"e1"}}}
	}
	tests := []struct {
		name   string
		events []Event
		want   State
	}{
		{"listed", []Event{targets(5, Live)}, Live},
		{"listed leaving", []Event{targets(5, Live), targets(6, Leaving)}, Leaving},
		{"older list after a newer one", []Event{targets(6, Leaving), targets(5, Live)}, Leaving},
		{"reported with a newer list", []Event{targets(5, Live), report(6)}, Leaving},
		{"reported with an older list", []Event{targets(5, Live), report(4)}, Live},
		{"reported, then listed by an older list", []Event{targets(5, Live), report(7), targets(6, Live)}, Leaving},
		{"reported, then listed by a newer list", []Event{targets(5, Live), report(6), targets(7, Live)}, Live},
		{"reported, then unlisted", []Event{targets(5, Live), report(6), ListUpdate{Revision: 7}}, Gone},
		{"reported before it is listed", []Event{report(6)}, Gone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := New(DefaultConfig(), id("a", 1), 0)
			for _, event := range test.events {
				m.Step(0, event)
			}
			if got := m.View().Target("e1"); got != test.want {
				t.Fatalf("state %s, want %s", got, test.want)
			}
		})
	}
}

// Guards against a lease that is renewed while a silent peer is not yet suspected, or that a process renews without an
// answer after it was paused.
func TestRounds(t *testing.T) {
	m := New(DefaultConfig(), id("a", 1), 0)
	digestOf := func() uint64 { return m.View().Digest }
	confirmed := func(effects []Effect) time.Duration {
		for _, effect := range effects {
			if round, ok := effect.(RoundConfirmed); ok {
				return round.Started
			}
		}
		return never
	}
	answer := func(sent time.Duration, digest uint64) HeartbeatAnswered {
		return HeartbeatAnswered{Sent: sent, Message: Message{From: id("b", 7), ViewDigest: digest}}
	}
	if got := confirmed(m.Step(0, Tick{})); got != 0 {
		t.Fatalf("round %v without peers, want 0", got)
	}
	m.Step(sec/2, heartbeat("b", 7))
	if got := confirmed(m.Step(sec/2, Tick{})); got != never {
		t.Fatalf("round %v confirmed without an answer from a reachable peer", got)
	}
	if got := confirmed(m.Step(sec, answer(sec/2, digestOf()))); got != sec/2 {
		t.Fatalf("round %v, want 500ms, the time at which the answered heartbeat was sent", got)
	}
	for now := sec; now < 3*sec; now += sec / 2 {
		if got := confirmed(m.Step(now, Tick{})); got != never {
			t.Fatalf("round %v confirmed at %v although a silent peer is not yet suspected", got, now)
		}
	}
	if got := confirmed(m.Step(3*sec, Tick{})); got != 3*sec {
		t.Fatalf("round %v after the peer is suspected, want 3s", got)
	}
	m.Step(3*sec, answer(3*sec, digestOf()))
	if got := confirmed(m.Step(13*sec, Tick{})); got != never {
		t.Fatalf("round %v confirmed after a process pause without an answer", got)
	}
	if got := confirmed(m.Step(13*sec, answer(13*sec, digestOf()))); got != 13*sec {
		t.Fatalf("round %v, want 13s, the round answered after the process pause", got)
	}
}

// Guards against a lease that can't be renewed while messages arrive from a peer that does not answer, and against
// treating such a peer as one that hears this gate.
func TestPeerThatDoesNotAnswer(t *testing.T) {
	m := New(DefaultConfig(), id("a", 1), 0)
	m.Step(0, list(5, Live, "a", "b"))
	m.Step(0, Tick{})
	m.Step(0, heartbeat("b", 7))
	m.Step(0, HeartbeatAnswered{Sent: 0, Message: Message{From: id("b", 7), ViewDigest: m.View().Digest}})
	last := never
	for now := sec / 2; now <= 5*sec; now += sec / 2 {
		effects := append(m.Step(now, heartbeat("b", 7)), m.Step(now, Tick{})...)
		for _, effect := range effects {
			if round, ok := effect.(RoundConfirmed); ok {
				last = round.Started
			}
		}
	}
	if last != 5*sec {
		t.Errorf("last confirmed round started at %v, want 5s", last)
	}
	if b, _ := m.View().Gate("b"); b.Heard || b.Direct || !b.OneWay || b.State != Suspected {
		t.Errorf("peer is %+v, want suspected and one-way", b)
	}
	m.Step(6*sec, HeartbeatAnswered{Sent: 6 * sec, Message: Message{From: id("b", 7), ViewDigest: m.View().Digest}})
	if b, _ := m.View().Gate("b"); !b.Heard || !b.Direct || b.OneWay || b.State != Live {
		t.Errorf("after an answer peer is %+v, want live, heard and direct", b)
	}
}

// Guards against rounds confirmed by a peer whose view has differed for longer than ListDisagreement.
func TestLastingDisagreementConfirmsNothing(t *testing.T) {
	m := New(DefaultConfig(), id("a", 1), 0)
	last := never
	for now := time.Duration(0); now <= 10*sec; now += sec / 2 {
		effects := m.Step(now, Tick{})
		effects = append(effects, m.Step(now, HeartbeatAnswered{Sent: now, Message: Message{From: id("b", 7), ViewDigest: 1}})...)
		for _, effect := range effects {
			if round, ok := effect.(RoundConfirmed); ok {
				last = round.Started
			}
		}
	}
	if last != 5*sec {
		t.Fatalf("last confirmed round started at %v, want 5s", last)
	}
}

// Guards against gates that no other gate hears, too many peers per gate, and network partitions whose end is not
// detected: the peers must connect all gates for any size of the fleet.
func TestPeers(t *testing.T) {
	for _, size := range []int{1, 2, 3, 9, 33} {
		for _, zones := range []int{1, 3, 5} {
			t.Run(fmt.Sprintf("%d gates in %d zones", size*zones, zones), func(t *testing.T) {
				checkPeers(t, fleetGates(size, zones))
			})
		}
	}
}

func fleetGates(size, zones int) []Gate {
	var gates []Gate
	for i := range size * zones {
		gate := id(fmt.Sprintf("g%03d", i), uint64(i+1))
		gate.Zone = fmt.Sprint("z", i%zones)
		gates = append(gates, gate)
	}
	return gates
}

func checkPeers(t *testing.T, gates []Gate) {
	config := DefaultConfig()
	links := map[string]map[string]bool{}
	for _, self := range gates {
		m := New(config, self, 0)
		update := ListUpdate{Revision: 1}
		for _, gate := range gates {
			update.Gates = append(update.Gates, ListedGate{Gate: gate, State: Live})
		}
		m.Step(0, update)
		m.Step(0, Watch{Gates: []string{gates[0].Name}})
		peers := m.Peers()
		if len(peers) > config.MaxPeers {
			t.Fatalf("%s has %d peers, more than MaxPeers", self.Name, len(peers))
		}
		if !slices.Equal(peers, m.Peers()) {
			t.Fatalf("%s: two calls of Peers differ", self.Name)
		}
		if self.Zone == gates[0].Zone && self.Name != gates[0].Name &&
			!slices.ContainsFunc(peers, func(g Gate) bool { return g.Name == gates[0].Name }) {
			t.Fatalf("%s: the watched gate of the same zone is not a peer", self.Name)
		}
		for _, peer := range peers {
			addLink(links, self.Name, peer.Name)
			addLink(links, peer.Name, self.Name)
		}
	}
	if reached := countReachable(links, gates[0].Name); reached != len(gates) {
		t.Fatalf("heartbeats connect %d of %d gates", reached, len(gates))
	}
}

func addLink(links map[string]map[string]bool, a, b string) {
	if links[a] == nil {
		links[a] = map[string]bool{}
	}
	links[a][b] = true
}

func countReachable(links map[string]map[string]bool, from string) int {
	seen := map[string]bool{from: true}
	queue := []string{from}
	for len(queue) > 0 {
		for next := range links[queue[0]] {
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
		queue = queue[1:]
	}
	return len(seen)
}

// Guards against false suspicion and views that do not converge at the fleet size of the design: 5 zones of 33 gates,
// where most statuses arrive through relays, with 5% of the heartbeats lost. The first 5 s are not checked, because
// gates first have to learn of each other through relays.
func TestLargeFleetConverges(t *testing.T) {
	const seed = 1
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewSource(seed))
	gates := fleetGates(33, 5)
	machines := map[string]*Machine{}
	update := ListUpdate{Revision: 1}
	for _, gate := range gates {
		machines[gate.Name] = New(DefaultConfig(), gate, 0)
		update.Gates = append(update.Gates, ListedGate{Gate: gate, State: Live})
	}
	for _, m := range machines {
		m.Step(0, update)
	}
	suspicions := 0
	for now := time.Duration(0); now < 9*sec; now += sec / 10 {
		for i, gate := range gates {
			// The gates tick at different offsets within the heartbeat interval.
			if int(now/(sec/10))%5 != i%5 {
				continue
			}
			exchange(machines, machines[gate.Name], now, random)
		}
		if now > 5*sec {
			suspicions += countState(machines, Suspected)
		}
	}
	digests := map[uint64]bool{}
	for _, m := range machines {
		digests[m.View().Digest] = true
	}
	t.Logf("suspected gates, summed over steps of 0.1 s: %d; distinct digests at the end: %d", suspicions, len(digests))
	if suspicions != 0 || len(digests) != 1 || countState(machines, Live) != len(gates)*len(gates) {
		t.Fatal("the views of a healthy fleet did not converge")
	}
}

// exchange delivers the heartbeats of one gate and their answers, with 5% of each lost.
func exchange(machines map[string]*Machine, m *Machine, now time.Duration, random *rand.Rand) {
	const loss = 0.05
	for _, effect := range m.Step(now, Tick{}) {
		send, ok := effect.(SendHeartbeat)
		if !ok || random.Float64() < loss {
			continue
		}
		peer := machines[send.To.Name]
		peer.Step(now, HeartbeatReceived{Message: send.Message})
		if random.Float64() >= loss {
			m.Step(now, HeartbeatAnswered{Sent: now, Message: peer.Message(now, m.self.Name)})
		}
	}
}

func countState(machines map[string]*Machine, state State) int {
	count := 0
	for _, m := range machines {
		for _, member := range m.View().Gates {
			if member.State == state {
				count++
			}
		}
	}
	return count
}

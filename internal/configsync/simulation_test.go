package configsync

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
)

// newCatalogue returns a valid catalogue; variants of one revision differ in one entry.
func newCatalogue(t testing.TB, revision uint64, variant int) *catalogue.Catalogue {
	t.Helper()
	document := fmt.Sprintf("revision: %d\ncustomers:\n", revision)
	for i := range 3 {
		weight := 1
		if i == variant%3 {
			weight = 2 + variant
		}
		key := strings.Repeat(fmt.Sprint(i), 64)
		document += fmt.Sprintf("- {name: c%d, owner: o, key_sha256: ['%s'], weight: %d}\n", i, key, weight)
	}
	c, err := catalogue.Parse([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// scheduledTask is work that the simulation runs at a given time.
type scheduledTask struct {
	at       time.Duration
	sequence int
	run      func()
}

type taskQueue []scheduledTask

func (q taskQueue) Len() int { return len(q) }
func (q taskQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *taskQueue) Push(x any)   { *q = append(*q, x.(scheduledTask)) }
func (q *taskQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation runs daemons, their network and a platform on one virtual clock.
type simulation struct {
	t        testing.TB
	seed     int64
	random   *rand.Rand
	now      time.Duration
	queue    taskQueue
	sequence int
	daemons  []*daemon
	platform *platform
	// partitions maps each daemon to its network partition; daemons reach only those in the same partition.
	partitions map[string]int
	loss       float64
	// faultAt is the time of the last change to the network.
	faultAt time.Duration
}

// daemon is one simulated process; a restart replaces the machine.
type daemon struct {
	sim         *simulation
	name        string
	zone        string
	machine     *Machine
	incarnation int
	startedAt   time.Duration
	applied     catalogue.Version
	// maxAnnounced is the highest revision announced to the process, maxPeerRevision the highest one that
	// reachable peers held when it started.
	maxAnnounced    uint64
	maxPeerRevision uint64
	reads           []time.Duration
	skipped         map[SkipReason]int
}

// platform is the configuration service.
type platform struct {
	cursor uint64
	// published holds the value of each cursor, starting at 1; nil is an invalid document.
	published    []*catalogue.Catalogue
	down         bool
	stale        bool
	pendingReads []pendingRead
}

type pendingRead struct {
	daemon      *daemon
	incarnation int
	read        ReadPlatform
}

func newSimulation(t testing.TB, seed int64, zones, gatesPerZone int) *simulation {
	w := &simulation{t: t, seed: seed, random: rand.New(rand.NewSource(seed)), platform: &platform{}, partitions: map[string]int{}}
	for z := range zones {
		for g := range gatesPerZone {
			d := &daemon{sim: w, name: fmt.Sprintf("gate-%d-%d", z, g), zone: fmt.Sprint("z", z), skipped: map[SkipReason]int{}}
			w.daemons = append(w.daemons, d)
		}
	}
	for _, d := range w.daemons {
		d.start()
	}
	return w
}

func (w *simulation) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d at %v: %s", w.seed, w.now, fmt.Sprintf(format, args...))
}

func (w *simulation) after(delay time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, scheduledTask{w.now + delay, w.sequence, run})
}

func (w *simulation) runFor(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(scheduledTask)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// between returns a random duration.
func (w *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int63n(int64(high-low)))
}

func (w *simulation) canReach(a, b *daemon) bool { return w.partitions[a.name] == w.partitions[b.name] }

// send delivers a message to the peer's current process after a network delay, unless the message is lost.
func (w *simulation) send(from, to *daemon, deliver func()) {
	if !w.canReach(from, to) || w.random.Float64() < w.loss {
		return
	}
	process := to.incarnation
	w.after(w.randomDuration(time.Millisecond, 15*time.Millisecond), func() {
		if to.incarnation == process && w.canReach(from, to) {
			deliver()
		}
	})
}

// partition assigns daemons to partitions at random and updates the views after the failure detection delay.
func (w *simulation) partition(sides int) {
	for _, d := range w.daemons {
		w.partitions[d.name] = w.random.Intn(sides)
	}
	w.faultAt = w.now
	w.after(2*time.Second, w.updateViews)
}

func (w *simulation) heal() {
	clear(w.partitions)
	w.loss = 0
	w.platform.down, w.platform.stale = false, false
	w.faultAt = w.now
	w.after(500*time.Millisecond, w.updateViews)
	w.answerPendingReads()
}

func (w *simulation) updateViews() {
	for _, d := range w.daemons {
		d.step(ViewChanged{w.view(d, membership.Live)})
	}
}

// view lists all gates; peers that the daemon reaches have the given state.
func (w *simulation) view(d *daemon, reached membership.State) *membership.View {
	view := &membership.View{}
	for _, other := range w.daemons {
		state := reached
		if !w.canReach(d, other) {
			state = membership.Gone
		}
		if other == d {
			state = membership.Live
		}
		view.Gates = append(view.Gates, membership.Member{
			Gate: membership.Gate{Name: other.name, Zone: other.zone}, State: state,
		})
	}
	return view
}

// start replaces the process by one without any state.
func (d *daemon) start() {
	w := d.sim
	d.incarnation++
	d.applied, d.maxAnnounced, d.maxPeerRevision = catalogue.Version{}, 0, 0
	d.startedAt = w.now
	for _, peer := range w.daemons {
		if peer != d && peer.machine != nil && w.canReach(d, peer) {
			d.maxPeerRevision = max(d.maxPeerRevision, peer.applied.Revision)
		}
	}
	seed := w.random.Int63()
	d.machine = New(Settings{Self: d.name, Zone: d.zone, ReadsPlatform: true}, rand.New(rand.NewSource(seed)))
	process := d.incarnation
	d.repeatWhileRunning(process, w.randomDuration(0, 50*time.Millisecond), 50*time.Millisecond, func() { d.step(Tick{}) })
	d.repeatWhileRunning(process, w.randomDuration(0, 500*time.Millisecond), 500*time.Millisecond, d.heartbeat)
	w.after(w.randomDuration(0, 50*time.Millisecond), func() { d.step(ViewChanged{w.view(d, membership.Joining)}) })
	w.after(600*time.Millisecond, func() { d.step(ViewChanged{w.view(d, membership.Live)}) })
}

func (d *daemon) repeatWhileRunning(process int, first, interval time.Duration, run func()) {
	var repeat func()
	repeat = func() {
		if d.incarnation != process {
			return
		}
		run()
		d.sim.after(interval, repeat)
	}
	d.sim.after(first, repeat)
}

func (d *daemon) heartbeat() {
	for _, peer := range d.sim.daemons {
		if peer != d {
			d.exchange(peer)
		}
	}
}

// exchange sends a heartbeat and receives the reply.
func (d *daemon) exchange(peer *daemon) {
	d.sendVersion(peer)
	d.sim.send(d, peer, func() { peer.sendVersion(d) })
}

func (d *daemon) sendVersion(peer *daemon) {
	version := d.machine.Current().Version()
	d.sim.send(d, peer, func() {
		peer.maxAnnounced = max(peer.maxAnnounced, version.Revision)
		peer.step(Announced{d.name, version})
	})
}

func (d *daemon) step(event Event) {
	for _, effect := range d.machine.Step(d.sim.now, event) {
		d.handleEffect(effect)
	}
}

func (d *daemon) handleEffect(effect Effect) {
	w := d.sim
	switch e := effect.(type) {
	case Apply:
		d.checkApply(e.Catalogue.Version())
	case Ready:
		d.checkReady()
	case Announce:
		d.heartbeat()
	case QueryPeers:
		for _, name := range e.Peers {
			d.exchange(w.daemon(name))
		}
	case Pull:
		peer := w.daemon(e.Peer)
		w.send(d, peer, func() {
			difference := DifferenceFrom(peer.machine.Current(), Digests(e.Base))
			w.send(peer, d, func() { d.step(Pulled{e.Pull, difference}) })
		})
	case ReadPlatform:
		d.reads = append(d.reads, w.now)
		w.platformRead(pendingRead{d, d.incarnation, e})
	case CancelRead:
		w.platform.pendingReads = slices.DeleteFunc(w.platform.pendingReads, func(r pendingRead) bool {
			return r.daemon == d && r.incarnation == d.incarnation && r.read.Read == e.Read
		})
	case Skipped:
		d.skipped[e.Reason]++
	}
}

// checkApply checks requirement R7: a process never reverts, nor applies a revision below one that a peer announced.
func (d *daemon) checkApply(version catalogue.Version) {
	if version.Compare(d.applied) <= 0 {
		d.sim.fail("%s reverts from %v to %v", d.name, d.applied, version)
	}
	if version.Revision < d.maxAnnounced {
		d.sim.fail("%s applies %v below the announced revision %d", d.name, version, d.maxAnnounced)
	}
	d.applied = version
}

// checkReady checks that a restarted process does not become ready below the revision that peers held when it started.
// It applies only if the network has been healthy since, because the process can't know of messages that were lost.
func (d *daemon) checkReady() {
	w := d.sim
	if w.loss == 0 && w.faultAt < d.startedAt && d.applied.Revision < d.maxPeerRevision {
		w.fail("%s is ready at revision %d, peers held %d when it started", d.name, d.applied.Revision, d.maxPeerRevision)
	}
}

func (w *simulation) daemon(name string) *daemon {
	i := slices.IndexFunc(w.daemons, func(d *daemon) bool { return d.name == name })
	return w.daemons[i]
}

// publish sets the platform's value; nil is an invalid document.
func (w *simulation) publish(c *catalogue.Catalogue) {
	w.platform.cursor++
	w.platform.published = append(w.platform.published, c)
	w.answerPendingReads()
}

func (w *simulation) answerPendingReads() {
	waiters := w.platform.pendingReads
	w.platform.pendingReads = nil
	for _, r := range waiters {
		w.platformRead(r)
	}
}

// platformRead responds immediately or holds the read; while the platform is down, it fails or never responds.
func (w *simulation) platformRead(r pendingRead) {
	p := w.platform
	cursor := p.cursor
	if p.stale && cursor > 0 {
		cursor -= min(cursor-1, uint64(w.random.Intn(3)))
	}
	switch {
	case p.down && w.random.Intn(10) == 0:
	case p.down:
		w.answer(r, PlatformFailed{r.read.Read})
	case cursor == 0:
		w.answer(r, PlatformAnswered{Read: r.read.Read})
	case cursor != r.read.After:
		w.answer(r, p.valueAt(r.read.Read, cursor))
	default:
		w.platform.pendingReads = append(w.platform.pendingReads, r)
		w.after(r.read.Wait, func() { w.expire(r) })
	}
}

func (p *platform) valueAt(read, cursor uint64) PlatformAnswered {
	answer := PlatformAnswered{Read: read, Cursor: cursor, Catalogue: p.published[cursor-1]}
	if answer.Catalogue == nil {
		answer.Invalid = errors.New("customers[0].name: is required")
	}
	return answer
}

func (w *simulation) answer(r pendingRead, event Event) {
	w.after(w.randomDuration(time.Millisecond, 10*time.Millisecond), func() {
		if r.daemon.incarnation == r.incarnation {
			r.daemon.step(event)
		}
	})
}

// expire ends a long poll without a change.
func (w *simulation) expire(r pendingRead) {
	if i := slices.Index(w.platform.pendingReads, r); i >= 0 {
		w.platform.pendingReads = slices.Delete(w.platform.pendingReads, i, i+1)
		w.answer(r, PlatformAnswered{Read: r.read.Read, Cursor: r.read.After})
	}
}

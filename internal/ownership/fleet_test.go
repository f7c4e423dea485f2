package ownership_test

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
)

// This file simulates the environment of the membership and ownership machines: the gates' daemons, the links between
// them, the VM lists and one engine.

const (
	step             = 10 * time.Millisecond
	engineName       = "engine"
	maxWorkDuration  = 40 * time.Second
	longWorkDuration = 8 * time.Second
	maxUnwritten     = 3 // requests between the last check and the write when a process is paused
	listLag          = 4500 * time.Millisecond
	statusPeriod     = 300 * time.Millisecond
)

// work is one request at the engine.
type work struct {
	gate           string
	incarnation    uint64
	endsAt         time.Duration
	uncheckedWrite bool // written when a paused process resumed, without another check
}

// daemon is one process of a gate. Its clock starts at 0 with the process.
type daemon struct {
	id           membership.Gate
	started      time.Duration
	members      *membership.Machine
	owner        *ownership.Machine
	snapshot     *ownership.Snapshot
	inbox        []func()
	frozenUntil  time.Duration
	stalledUntil time.Duration // end of the stall of the control goroutine alone
	unwritten    int           // admitted, not written
	draining     bool
	busyUntil    time.Duration
	idleUntil    time.Duration
	claims       []string
	claimedAt    time.Duration
	successors   map[string]handoverAnswer
	requestedAt  time.Duration // send time of the request being answered, on the successor's clock
	listDelay    time.Duration
	listed       int
	nextTick     time.Duration
	nextPoll     time.Duration
}

// handoverAnswer identifies the last handover reply to a successor.
type handoverAnswer struct {
	incarnation uint64
	requestedAt time.Duration
}

// link is a pair of gates, undirected if made by pair.
type link struct{ a, b string }

func pair(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// revision is one VM list published by the platform.
type revision struct {
	at   time.Duration
	list membership.ListUpdate
}

// fleet is a simulated fleet of gates with one engine.
type fleet struct {
	random    *rand.Rand
	now       time.Duration
	names     []string
	zones     map[string]string
	daemons   map[string]*daemon
	restart   map[string]time.Duration
	listed    map[string]bool
	revisions []revision
	cut       map[link]bool
	// lostDirections holds the directions, from a to b, in which messages are lost.
	lostDirections map[link]bool
	running        []work
	pending        []delivery
	limit          int
	peak           int
	peakAt         time.Duration
	trafficEnabled bool
	servedTime     time.Duration
	loss           float64
	trace          []string
}

// delivery is a message in transit; from is empty if the engine sent it.
type delivery struct {
	at          time.Duration
	from, to    string
	incarnation uint64
	run         func(*daemon)
}

func newFleet(seed int64, names []string, limit int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewSource(seed)), names: names, limit: limit, trafficEnabled: true, loss: 0.01,
		zones: map[string]string{}, daemons: map[string]*daemon{}, restart: map[string]time.Duration{},
		listed: map[string]bool{}, cut: map[link]bool{}, lostDirections: map[link]bool{},
	}
	for _, name := range names {
		f.zones[name] = "z1"
		f.listed[name] = true
	}
	return f
}

func (f *fleet) log(format string, args ...any) {
	f.trace = append(f.trace, fmt.Sprintf("%v ", f.now)+fmt.Sprintf(format, args...))
}

func (f *fleet) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(f.random.Int63n(int64(most-least)+1))
}

// start starts a process of a gate.
func (f *fleet) start(name string) {
	id := membership.Gate{Name: name, Address: "addr-" + name, Zone: f.zones[name], Region: "r", Incarnation: f.random.Uint64()}
	d := &daemon{
		id: id, started: f.now, successors: map[string]handoverAnswer{}, snapshot: &ownership.Snapshot{},
		members: membership.New(membership.DefaultConfig(), id, 0), owner: ownership.New(ownership.DefaultConfig(), id, 0),
		listDelay: f.randomDuration(0, listLag),
	}
	f.daemons[name] = d
	delete(f.restart, name)
	f.log("start %s", name)
	if !f.listed[name] {
		f.listed[name] = true
		f.publish()
	}
}

// publish publishes the platform's current VM list as a new revision.
func (f *fleet) publish() {
	list := membership.ListUpdate{Revision: uint64(len(f.revisions) + 1)}
	for _, name := range f.names {
		if f.listed[name] {
			gate := membership.Gate{Name: name, Address: "addr-" + name, Zone: f.zones[name], Region: "r"}
			list.Gates = append(list.Gates, membership.ListedGate{Gate: gate, State: membership.Live})
		}
	}
	f.revisions = append(f.revisions, revision{f.now, list})
}

func (d *daemon) clock(now time.Duration) time.Duration { return now - d.started }

// send delivers a message between gates after a random delay, unless the link is cut or loses it.
func (f *fleet) send(from, to string, run func(*daemon)) {
	if f.random.Float64() < f.loss {
		return
	}
	delay := f.randomDuration(time.Millisecond, 20*time.Millisecond)
	if f.random.Intn(20) == 0 {
		delay = f.randomDuration(0, 300*time.Millisecond)
	}
	f.pending = append(f.pending, delivery{at: f.now + delay, from: from, to: to, run: run})
}

// deliver delivers the messages that are due. A message to a paused process waits in its inbox.
func (f *fleet) deliver() {
	due := f.pending
	f.pending = nil
	for _, m := range due {
		if m.at > f.now {
			f.pending = append(f.pending, m)
			continue
		}
		d := f.daemons[m.to]
		if d == nil || (m.from != "" && (f.cut[pair(m.from, m.to)] || f.lostDirections[link{m.from, m.to}])) {
			continue
		}
		if m.incarnation != 0 && m.incarnation != d.id.Incarnation {
			continue
		}
		d.inbox = append(d.inbox, func() { m.run(d) })
	}
}

// memberStep and ownerStep apply an event to a machine and carry out its effects.
func (f *fleet) memberStep(d *daemon, event membership.Event) {
	for _, effect := range d.members.Step(d.clock(f.now), event) {
		switch e := effect.(type) {
		case membership.SendHeartbeat:
			f.heartbeat(d, e)
		case membership.ViewChanged:
			targets := []ownership.Target{{Name: engineName, Zone: "z1"}}
			f.ownerStep(d, ownership.ViewChanged{View: e.View, Targets: targets})
		case membership.RoundConfirmed:
			f.ownerStep(d, ownership.RoundConfirmed{Started: e.Started})
		case membership.PeerConfirmed:
			f.ownerStep(d, ownership.PeerConfirmed{Peer: e.Peer, Started: e.Started})
		case membership.ClockGap:
			f.ownerStep(d, ownership.ClockGap{})
		}
	}
}

func (f *fleet) heartbeat(d *daemon, e membership.SendHeartbeat) {
	sent, claims := d.clock(f.now), d.currentClaims(f.now)
	f.send(d.id.Name, e.To.Name, func(peer *daemon) {
		f.memberStep(peer, membership.HeartbeatReceived{Message: e.Message})
		f.deliverClaims(peer, e.Message.From, claims)
		answer := peer.members.Message(peer.clock(f.now), d.id.Name)
		answered := peer.currentClaims(f.now)
		f.send(peer.id.Name, d.id.Name, func(back *daemon) {
			if back != d {
				return
			}
			f.memberStep(d, membership.HeartbeatAnswered{Sent: sent, Message: answer})
			f.deliverClaims(d, answer.From, answered)
		})
	})
}

func (d *daemon) currentClaims(now time.Duration) []string {
	if now-d.claimedAt > 2*time.Second {
		return nil
	}
	return d.claims
}

func (f *fleet) deliverClaims(d *daemon, by membership.Gate, claims []string) {
	if len(claims) > 0 {
		f.ownerStep(d, ownership.PeerClaim{By: by, Targets: claims})
	}
}

func (f *fleet) ownerStep(d *daemon, event ownership.Event) {
	before := d.snapshot.Permission(engineName).Mode
	for _, effect := range d.owner.Step(d.clock(f.now), event) {
		switch e := effect.(type) {
		case ownership.Publish:
			d.snapshot = e.Snapshot
		case ownership.SendHandoverRequest:
			f.requestHandover(d, e)
		case ownership.SendHandoverReply:
			f.replyHandover(d, e)
		case ownership.AnnounceClaims:
			d.claims, d.claimedAt = e.Targets, f.now
		case ownership.Watch:
			f.memberStep(d, membership.Watch{Gates: e.Gates})
		}
	}
	if p := d.snapshot.Permission(engineName); p.Mode != before {
		f.log("%s: %v (external %d, residual %d) on %T", d.id.Name, p.Mode, p.External, p.Residual, event)
	}
}

// requestHandover sends a handover request. The reply carries the time of the request, as an RPC would.
func (f *fleet) requestHandover(d *daemon, e ownership.SendHandoverRequest) {
	asked := d.clock(f.now)
	f.send(d.id.Name, e.To.Name, func(old *daemon) {
		f.memberStep(old, membership.Contact{From: d.id})
		old.requestedAt = asked
		f.ownerStep(old, ownership.HandoverRequested{By: d.id, Targets: e.Targets})
	})
}

// replyHandover adds the work in flight to the reply and sends it to the successor.
func (f *fleet) replyHandover(d *daemon, e ownership.SendHandoverReply) {
	handovers := append([]ownership.Handover(nil), e.Handovers...)
	asked := d.requestedAt
	d.successors[e.To.Name] = handoverAnswer{e.To.Incarnation, asked}
	left := make([]int, len(handovers))
	for i := range handovers {
		left[i] = f.ownWork(d)
	}
	f.send(d.id.Name, e.To.Name, func(successor *daemon) {
		if successor.id != e.To {
			return
		}
		clock := successor.clock(f.now)
		for i := range handovers {
			handovers[i].InFlight = []ownership.InFlight{{Customer: "c", Count: left[i], Deadline: clock + maxWorkDuration}}
		}
		f.ownerStep(successor, ownership.HandoverReply{From: d.id, RequestedAt: asked, Handovers: handovers})
	})
}

// ownWork counts a daemon's requests that are admitted or running.
func (f *fleet) ownWork(d *daemon) int {
	count := d.unwritten
	for _, w := range f.running {
		if w.gate == d.id.Name && w.incarnation == d.id.Incarnation {
			count++
		}
	}
	return count
}

// finishWork removes work that has ended and notifies the successors of its gate.
func (f *fleet) finishWork() {
	rest := f.running[:0]
	for _, w := range f.running {
		if w.endsAt > f.now {
			rest = append(rest, w)
			continue
		}
		if d := f.daemons[w.gate]; d != nil && d.id.Incarnation == w.incarnation && d.frozenUntil <= f.now {
			f.notifySuccessors(d)
		}
	}
	f.running = rest
}

func (f *fleet) notifySuccessors(d *daemon) {
	for _, name := range f.names {
		last, ok := d.successors[name]
		if !ok {
			continue
		}
		done := ownership.WorkDone{Target: engineName, From: d.id, RequestedAt: last.requestedAt, Customer: "c", Count: 1}
		f.send(d.id.Name, name, func(successor *daemon) {
			if successor.id.Incarnation == last.incarnation {
				f.ownerStep(successor, done)
			}
		})
	}
}

// pollEngine polls the engine. The report arrives up to the report lag later.
func (f *fleet) pollEngine(d *daemon) {
	if f.random.Float64() < f.loss {
		return
	}
	asked := d.clock(f.now)
	own := f.ownWork(d) - d.unwritten
	report := ownership.EngineReport{Target: engineName, Load: len(f.running), Own: own, MeasuredAt: asked}
	delay := f.randomDuration(time.Millisecond, 30*time.Millisecond)
	if f.random.Intn(4) == 0 {
		delay = f.randomDuration(0, 2*time.Second)
	}
	f.pending = append(f.pending, delivery{
		at: f.now + delay, to: d.id.Name, incarnation: d.id.Incarnation,
		run: func(d *daemon) { f.ownerStep(d, report) },
	})
}

// admit offers one request to a daemon and reports whether it is admitted.
func (f *fleet) admit(d *daemon, write bool) bool {
	p := d.snapshot.Permission(engineName)
	if !p.Valid(d.clock(f.now)) || f.ownWork(d) >= p.Limit(f.limit) {
		return false
	}
	d.unwritten++
	if write {
		f.write(d, false)
	}
	return true
}

// write sends an admitted request to the engine.
func (f *fleet) write(d *daemon, late bool) {
	d.unwritten--
	ends := f.now + f.randomDuration(50*time.Millisecond, 2*time.Second)
	switch f.random.Intn(24) {
	case 0:
		ends = f.now + f.randomDuration(0, maxWorkDuration)
	case 1, 2, 3, 4, 5:
		ends = f.now + f.randomDuration(0, longWorkDuration)
	}
	f.running = append(f.running, work{d.id.Name, d.id.Incarnation, ends, late})
}

// traffic offers requests in bursts: each daemon alternates between idle and saturated.
func (f *fleet) traffic(d *daemon) {
	if !f.trafficEnabled {
		return
	}
	if f.now >= d.busyUntil && f.now >= d.idleUntil {
		d.idleUntil = f.now + f.randomDuration(0, 3*time.Second)
		d.busyUntil = d.idleUntil + f.randomDuration(100*time.Millisecond, 4*time.Second)
	}
	if f.now < d.idleUntil {
		return
	}
	for range 4 {
		if !f.admit(d, true) {
			return
		}
	}
}

// freeze pauses a process that has requests between the last check and the write.
func (f *fleet) freeze(d *daemon, length time.Duration) {
	for range maxUnwritten {
		f.admit(d, false)
	}
	d.frozenUntil = f.now + length
	f.log("pause %s for %v with %d unwritten requests", d.id.Name, length, d.unwritten)
}

// stall stops the control goroutine while the traffic goroutines continue.
func (f *fleet) stall(d *daemon, length time.Duration) {
	d.stalledUntil = f.now + length
	f.log("stall control goroutine of %s for %v", d.id.Name, length)
}

// kill ends a process. Its work at the engine may continue.
func (f *fleet) kill(name string) {
	d := f.daemons[name]
	keep := f.random.Intn(3) > 0
	rest := f.running[:0]
	for _, w := range f.running {
		if keep || w.gate != name || w.incarnation != d.id.Incarnation {
			rest = append(rest, w)
		}
	}
	f.running = rest
	delete(f.daemons, name)
	f.restart[name] = f.now + f.randomDuration(200*time.Millisecond, 15*time.Second)
	f.log("kill %s, its work continues: %v, restart at %v", name, keep, f.restart[name])
}

// runDaemon runs one process for a step.
func (f *fleet) runDaemon(d *daemon) {
	if f.now < d.frozenUntil {
		return
	}
	for d.unwritten > 0 {
		f.write(d, true)
	}
	if f.now < d.stalledUntil {
		f.traffic(d)
		return
	}
	if f.now >= d.nextTick {
		d.nextTick = f.now + 100*time.Millisecond
		f.memberStep(d, membership.Tick{})
		f.ownerStep(d, ownership.Tick{})
	}
	inbox := d.inbox
	d.inbox = nil
	for _, run := range inbox {
		run()
	}
	f.readList(d)
	if f.now >= d.nextPoll {
		d.nextPoll = f.now + statusPeriod
		f.pollEngine(d)
	}
	f.traffic(d)
	if d.draining && f.ownWork(d) == 0 && f.now > d.claimedAt {
		f.log("stopped %s", d.id.Name)
		delete(f.daemons, d.id.Name)
		f.restart[d.id.Name] = f.now + f.randomDuration(200*time.Millisecond, 5*time.Second)
	}
}

// readList gives a process the newest VM list that its lag permits.
func (f *fleet) readList(d *daemon) {
	for n := len(f.revisions); n > d.listed; n-- {
		if f.revisions[n-1].at+d.listDelay <= f.now {
			d.listed = n
			f.memberStep(d, f.revisions[n-1].list)
			return
		}
	}
}

// drain starts a graceful stop that takes at least 3 s.
func (f *fleet) drain(d *daemon) {
	d.draining = true
	d.claims, d.claimedAt = nil, f.now+3*time.Second
	f.log("drain %s", d.id.Name)
	f.memberStep(d, membership.Drain{})
	f.ownerStep(d, ownership.Drain{})
}

// run advances the simulation, calling act before each step.
func (f *fleet) run(length time.Duration, act func()) {
	if len(f.revisions) == 0 {
		f.publish()
	}
	for end := f.now + length; f.now < end; f.now += step {
		act()
		f.restartAndUnlist()
		f.finishWork()
		f.deliver()
		anyAdmits := false
		for _, name := range f.names {
			if d := f.daemons[name]; d != nil {
				f.runDaemon(d)
				p := d.snapshot.Permission(engineName)
				anyAdmits = anyAdmits || (p.Valid(d.clock(f.now)) && p.Limit(f.limit) > 0 && f.now >= d.frozenUntil)
			}
		}
		if anyAdmits {
			f.servedTime += step
		}
		if count := f.checkedWork(); count > f.peak {
			f.peak, f.peakAt = count, f.now
		}
	}
}

// checkedWork counts the work at the engine whose permission was checked just before it was written.
func (f *fleet) checkedWork() int {
	count := 0
	for _, w := range f.running {
		if !w.uncheckedWrite {
			count++
		}
	}
	return count
}

// restartAndUnlist starts the processes that are due for a restart and removes VMs that stay down for long from the VM
// list.
func (f *fleet) restartAndUnlist() {
	for _, name := range f.names {
		at, down := f.restart[name]
		switch {
		case !down:
		case at <= f.now:
			f.start(name)
		// The platform does not give the name to another VM while lists may still differ.
		case f.listed[name] && at-f.now > 5*time.Second && f.random.Intn(200) == 0:
			f.listed[name] = false
			f.log("drop %s from the VM list", name)
			f.publish()
		}
	}
}

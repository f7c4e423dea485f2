package ownership_test

import (
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
)

// Guards against arithmetic that breaks the bound: the contested and probation limits together must not exceed the
// limit for any work x of the old partition at the time of the report, including odd limits and residual work.
func TestLimit(t *testing.T) {
	tests := []struct {
		p     ownership.Permission
		limit int
		want  int
	}{
		{ownership.Permission{Mode: ownership.None}, 8, 0},
		{ownership.Permission{Mode: ownership.Full}, 8, 8},
		{ownership.Permission{Mode: ownership.Full, External: 3}, 8, 5},
		{ownership.Permission{Mode: ownership.Full, External: 9}, 8, 0},
		{ownership.Permission{Mode: ownership.Contested}, 8, 4},
		{ownership.Permission{Mode: ownership.Contested}, 1, 1},
		{ownership.Permission{Mode: ownership.Contested, Residual: 3}, 9, 2},
		{ownership.Permission{Mode: ownership.Probation}, 8, 4},
		{ownership.Permission{Mode: ownership.Probation}, 1, 0},
		{ownership.Permission{Mode: ownership.Probation, External: 4}, 8, 2},
		{ownership.Permission{Mode: ownership.Probation, External: 4, Residual: 4}, 8, 0},
		{ownership.Permission{Mode: ownership.Probation, External: 20}, 8, 0},
	}
	for _, test := range tests {
		if got := test.p.Limit(test.limit); got != test.want {
			t.Errorf("%+v: Limit(%d) = %d, want %d", test.p, test.limit, got, test.want)
		}
	}
	for limit := range 30 {
		for x := range limit + 1 {
			for left := range x + 1 {
				old := max(x, ownership.Permission{Mode: ownership.Contested}.Limit(limit))
				p := ownership.Permission{Mode: ownership.Probation, External: x + left, Residual: left}
				if sum := old + left + p.Limit(limit); p.Limit(limit) > 0 && sum > limit {
					t.Fatalf("limit %d, old partition %d, residual work %d: sum %d exceeds the limit", limit, x, left, sum)
				}
			}
		}
	}
}

// Guards against allocations on the request path, and against a permission that stays valid after its lease.
func TestPermissionOnTrafficPath(t *testing.T) {
	f := healthyFleet(1)
	d := f.daemons[owner(f)]
	p := d.snapshot.Permission(engineName)
	if !p.Valid(d.clock(f.now)) || p.Valid(p.LeaseEnd) || p.LeaseEnd-d.clock(f.now) > 1500*time.Millisecond {
		t.Fatalf("lease ends at %v, now %v; want a valid one of at most 1.5 s", p.LeaseEnd, d.clock(f.now))
	}
	sum := 0
	if n := testing.AllocsPerRun(100, func() { sum += d.snapshot.Permission(engineName).Limit(10) }); n != 0 {
		t.Fatalf("Permission and Limit: %v allocations per run, want 0", n)
	}
	if other := d.snapshot.Permission("unheard of"); other.Limit(10) != 0 || other.Reason != "not_owner" {
		t.Fatalf("permission for an unknown target: %+v, want limit 0 and reason not_owner", other)
	}
}

// healthyFleet returns a fleet of three gates that started within 200 ms of each other and have run for 10 s.
func healthyFleet(seed int64) *fleet {
	f := newFleet(seed, []string{"a", "b", "c"}, 8)
	f.loss = 0
	f.publish()
	f.now = 10 * time.Second
	for i, name := range f.names {
		f.restart[name] = f.now + time.Duration(i)*100*time.Millisecond
	}
	f.run(10*time.Second, func() {})
	return f
}

// owner returns the gate whose permission is valid, or an empty string. Handed-over work may use up its limit.
func owner(f *fleet) string {
	for _, name := range f.names {
		d := f.daemons[name]
		if d == nil || f.now < d.frozenUntil {
			continue
		}
		if p := d.snapshot.Permission(engineName); p.Valid(d.clock(f.now)) {
			return name
		}
	}
	return ""
}

// runUntil runs the fleet until a gate other than the named one has the given mode, for at most a minute, and returns
// the elapsed time.
func runUntil(f *fleet, mode ownership.Mode, except string) time.Duration {
	begin := f.now
	for f.now < begin+time.Minute {
		f.run(step, func() {})
		if name := owner(f); name != "" && name != except && f.daemons[name].snapshot.Permission(engineName).Mode == mode {
			return f.now - begin
		}
	}
	return time.Minute
}

// Guards against interruptions of service that exceed the design: a start of the whole fleet that waits for D + L, a
// graceful stop that waits for suspicion, and probation that starts late or never ends.
func TestInterruptions(t *testing.T) {
	kill := func(f *fleet, name string, work bool) {
		rest := f.running[:0]
		for _, w := range f.running {
			if work || w.gate != name {
				rest = append(rest, w)
			}
		}
		f.running = rest
		delete(f.daemons, name)
		f.restart[name] = f.now + time.Hour
	}
	tests := []struct {
		name string
		act  func(f *fleet, old string)
		mode ownership.Mode
		most time.Duration
	}{
		{"drained", func(f *fleet, old string) { f.drain(f.daemons[old]) }, ownership.Full, 500 * time.Millisecond},
		{"killed, reduced work", func(f *fleet, old string) { kill(f, old, true) }, ownership.Probation, 5 * time.Second},
		{"killed and dropped from the list, no work left", func(f *fleet, old string) {
			kill(f, old, false)
			f.listed[old] = false
			f.publish()
		}, ownership.Full, 15 * time.Second},
		{"frozen", func(f *fleet, old string) { f.freeze(f.daemons[old], 20*time.Second) }, ownership.Probation, 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range int64(20) {
				f := healthyFleet(seed)
				old := owner(f)
				if old == "" {
					t.Fatalf("seed %d: no gate owns the target in a healthy fleet", seed)
				}
				f.trafficEnabled = false
				test.act(f, old)
				if took := runUntil(f, test.mode, old); took > test.most {
					t.Fatalf("seed %d: mode %v reached after %v, want at most %v\n%v", seed, test.mode, took, test.most, f.trace)
				}
			}
		})
	}
}

// Guards against a start of the whole fleet that waits for D + L.
func TestFleetStart(t *testing.T) {
	var longest time.Duration
	for seed := range int64(50) {
		f := newFleet(seed, []string{"a", "b", "c"}, 8)
		f.publish()
		f.now = 10 * time.Second
		for _, name := range f.names {
			f.restart[name] = f.now + f.randomDuration(0, 200*time.Millisecond)
		}
		longest = max(longest, runUntil(f, ownership.Full, ""))
	}
	t.Logf("longest time to full ownership in 50 starts: %v", longest)
	if longest > 3*time.Second {
		t.Fatalf("full ownership took %v after the start of the fleet, want at most 3 s", longest)
	}
}

// Guards against a paused owner that admits requests after it resumes and before a heartbeat round is confirmed.
func TestResumedOwnerWaitsForRound(t *testing.T) {
	for seed := range int64(20) {
		f := healthyFleet(seed)
		old := f.daemons[owner(f)]
		f.freeze(old, 10*time.Second)
		f.run(10*time.Second, func() {})
		resumedAt := f.now
		for old.snapshot.Permission(engineName).Mode == ownership.None || !old.snapshot.Permission(engineName).Valid(old.clock(f.now)) {
			f.run(step, func() {})
			if f.now > resumedAt+10*time.Second {
				t.Fatalf("seed %d: the resumed owner has no valid permission after 10 s", seed)
			}
		}
		if p := old.snapshot.Permission(engineName); p.LeaseEnd < old.clock(resumedAt)+1500*time.Millisecond {
			t.Fatalf("seed %d: the resumed owner admits with a lease from before the pause", seed)
		}
	}
}

// Guards against two gates that refuse each other's handover requests, or both give way, while their views differ.
func TestHandoverAnswers(t *testing.T) {
	gate := func(name string) membership.Gate {
		return membership.Gate{Name: name, Zone: "z1", Incarnation: uint64(len(name) + int(name[0]))}
	}
	views := map[string]*membership.View{}
	for _, self := range []string{"a", "b"} {
		members := []membership.Member{{Gate: gate(self), State: membership.Live, Heard: true, Direct: true, HasAnswered: true}}
		views[self] = &membership.View{Version: 1, Gates: members}
	}
	target := ownership.Target{Name: engineName, Zone: "z1"}
	stopped := map[string]bool{}
	for self, other := range map[string]string{"a": "b", "b": "a"} {
		m := ownership.New(ownership.DefaultConfig(), gate(self), 0)
		m.Step(0, ownership.ViewChanged{View: views[self], Targets: []ownership.Target{target}})
		for _, effect := range m.Step(0, ownership.HandoverRequested{By: gate(other), Targets: []string{engineName, "unknown"}}) {
			if answer, ok := effect.(ownership.SendHandoverReply); ok {
				stopped[self] = answer.Handovers[0].Stopped
				if !answer.Handovers[1].Stopped {
					t.Fatal("gate refused the handover of an unknown target")
				}
			}
		}
	}
	if stopped["a"] == stopped["b"] {
		t.Fatalf("stopped: %v, want only the gate that ranks second", stopped)
	}
}

// Guards against a full owner that admits less whenever a report counts the owner's own requests, which began or ended
// around the measurement, as work of other gates.
func TestFullOwnerIgnoresNoiseInReports(t *testing.T) {
	f := healthyFleet(1)
	d := f.daemons[owner(f)]
	before := d.snapshot.Permission(engineName)
	now := d.clock(f.now)
	d.owner.Step(now, ownership.EngineReport{Target: engineName, Load: 3, MeasuredAt: now})
	d.owner.Step(now, ownership.Tick{})
	after := d.owner.Snapshot().Permission(engineName)
	if before.Mode != ownership.Full || after.Mode != ownership.Full || after.External != before.External {
		t.Fatalf("permission before the report: %+v, after: %+v; want full with the same external work", before, after)
	}
}

// Guards against a restarted gate that does not count what its dead process left at the engine: the partitioned owner
// was idle when the report was measured and then uses its half of the limit.
func TestResidualWorkOfDeadProcess(t *testing.T) {
	for seed := range int64(20) {
		f := healthyFleet(seed)
		f.trafficEnabled = false
		f.run(maxWorkDuration, func() {})
		old := owner(f)
		side := isolate(f, old)
		fill := func(name string) {
			for f.daemons[name] != nil && f.admit(f.daemons[name], true) {
				f.running[len(f.running)-1].endsAt = f.now + time.Hour
			}
		}
		f.run(5*time.Second, func() {})
		for _, name := range side {
			fill(name)
		}
		left := append([]work(nil), f.running...)
		for _, name := range side {
			f.kill(name)
			f.restart[name] = f.now + 100*time.Millisecond
		}
		f.running = left
		f.run(time.Minute, func() {})
		for _, name := range append(side, old) {
			fill(name)
		}
		if len(left) == 0 || len(f.running) > f.limit {
			t.Fatalf("seed %d: %d requests left by dead gates, %d in total, limit %d", seed, len(left), len(f.running), f.limit)
		}
	}
}

// isolate cuts one gate off and returns the others.
func isolate(f *fleet, alone string) []string {
	var side []string
	for _, name := range f.names {
		if name != alone {
			f.cut[pair(alone, name)] = true
			side = append(side, name)
		}
	}
	return side
}

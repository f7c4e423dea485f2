package admission

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/reason"
)

var testPool = Pool{
	Name: "p", LoadMultiple: 1.25, MaxInFlight: 8, QueueLength: 16, QueueWait: 2 * time.Second, Targets: 4,
}

// newController returns the Controller of a gate that owns the named targets of testPool, whose settings adjust changes
// if it is set.
func newController(adjust func(*Pool), targets ...string) *Controller {
	settings := testPool
	if adjust != nil {
		adjust(&settings)
	}
	c := New("g")
	c.SetPools([]Pool{settings})
	for _, name := range targets {
		c.SetTarget(name, "z", "p")
		c.SetCap(0, name, Uncapped(), nil)
	}
	return c
}

// fixedLimit sets each target's limit to maxInFlight, independently of the load.
func fixedLimit(maxInFlight int) func(*Pool) {
	return func(p *Pool) {
		p.LoadMultiple, p.MaxInFlight, p.Targets = 1e6, maxInFlight, 1
	}
}

func submit(c *Controller, now time.Duration, req Request) Decision {
	d, _ := c.Submit(now, &req, nil)
	return d
}

// Guards against a limit that is too high because of a rounding error, a stale digest, a relayed digest that is older
// than the stored one, or a target that is not counted.
func TestLimit(t *testing.T) {
	cases := []struct {
		name     string
		multiple float64
		targets  int
		digests  []PoolDigest
		want     int
	}{
		{"empty pool admits one request", 1.25, 4, nil, 1},
		{"sum over gates and zones", 1.25, 4, []PoolDigest{{Zone: "a", Gate: "x", Load: 5}, {Zone: "b", Gate: "x", Load: 6}}, 4},
		{"rounding error does not raise the limit", 1.1, 11, []PoolDigest{{Gate: "x", Load: 49}}, 5},
		{"never over max_in_flight", 1.25, 4, []PoolDigest{{Gate: "x", Load: 1000}}, 8},
		{"stale digest counts zero load but its targets", 1.25, 1, []PoolDigest{{Gate: "x", Load: 20, Targets: 9, Age: 3 * time.Second}}, 1},
		{"targets missing from the view count", 1.25, 2, []PoolDigest{{Gate: "x", Load: 15, Targets: 9}}, 2},
		{"older relayed digest does not replace a newer one", 1.25, 4, []PoolDigest{{Gate: "x", Load: 3}, {Gate: "x", Load: 20, Age: time.Second}}, 2},
		{"echo of own digest is ignored", 1.25, 4, []PoolDigest{{Gate: "g", Load: 20}}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newController(func(p *Pool) { p.LoadMultiple, p.Targets = tc.multiple, tc.targets }, "a")
			for _, d := range tc.digests {
				d.Pool = "p"
				c.SetPoolDigest(time.Minute, d)
			}
			if got, _ := c.Limit(time.Minute, "a"); got != tc.want {
				t.Fatalf("limit %d, want %d", got, tc.want)
			}
		})
	}
}

// Guards against a headroom that raises the limit above the multiple, that stops loads from growing, or that has no
// effect on the load that other gates have reported in digests.
func TestHeadroom(t *testing.T) {
	const targets = 10
	for _, multiple := range []float64{1, 1.05, 1.25, 2} {
		for load := range 300 {
			c := newController(func(p *Pool) { p.LoadMultiple, p.MaxInFlight, p.Targets = multiple, 1000, targets }, "a")
			c.SetPoolDigest(0, PoolDigest{Pool: "p", Gate: "x", Load: load, Targets: targets - 1})
			limit, _ := c.Limit(0, "a")
			if bound := int(math.Ceil(multiple*float64(load+1)/targets - 1e-9)); limit > bound {
				t.Fatalf("multiple %v, load %d: limit %d, bound %d", multiple, load, limit, bound)
			}
			if limit*targets <= load {
				t.Fatalf("multiple %v, load %d: limit %d leaves no room", multiple, load, limit)
			}
		}
	}
	c := newController(func(p *Pool) { p.MaxInFlight, p.Targets = 1000, targets }, "a")
	c.SetPoolDigest(0, PoolDigest{Pool: "p", Gate: "x", Load: 200, Targets: targets - 1})
	if limit, _ := c.Limit(0, "a"); limit != 23 {
		t.Fatalf("limit %d, want 23 of the 26 that the multiple permits", limit)
	}
}

// Guards against a digest whose load still counts after the digest has become stale without a further update.
func TestLimitFallsWhenDigestBecomesStale(t *testing.T) {
	c := newController(nil, "a")
	c.SetPoolDigest(0, PoolDigest{Pool: "p", Gate: "x", Load: 15, Targets: 3})
	before, _ := c.Limit(StaleAfter-1, "a")
	after, _ := c.Limit(StaleAfter, "a")
	if before != 5 || after != 1 {
		t.Fatalf("limit %d before and %d after, want 5 and 1", before, after)
	}
}

// Guards against admission beyond the cap, and against a wrong reason for the refusal.
func TestCap(t *testing.T) {
	cases := []struct {
		name   string
		cap    Cap
		admits int
		reason reason.Reason
	}{
		{"full", Uncapped(), 7, reason.QueueFull},
		{"not owner", NoAdmission(""), 0, reason.NotOwner},
		{"lease lost", NoAdmission(reason.LeaseLost), 0, reason.LeaseLost},
		{"reduced number", Cap{Max: 2}, 2, reason.QueueFull},
		{"contested takes half, rounded down", Cap{Max: Unlimited, Reduce: halfOfRemaining(0)}, 3, reason.QueueFull},
		{"probation leaves room for the predecessor", Cap{Max: Unlimited, Reduce: halfOfRemaining(4)}, 1, reason.QueueFull},
		{"external load over the limit", Cap{Max: Unlimited, Reduce: halfOfRemaining(9)}, 0, reason.QueueFull},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newController(func(p *Pool) { fixedLimit(7)(p); p.QueueLength = 0 }, "a")
			c.SetCap(0, "a", tc.cap, nil)
			admitted := 0
			var d Decision
			for d = submit(c, 0, Request{Target: "a"}); d.Verdict == Start; d = submit(c, 0, Request{Target: "a"}) {
				admitted++
			}
			if admitted != tc.admits || d.Reason != tc.reason || d.RetryAfter <= 0 {
				t.Fatalf("admitted %d, then %+v; want %d, %s", admitted, d, tc.admits, tc.reason)
			}
		})
	}
}

// Guards against waiting requests that hang, or start without permission, when the gate loses the target.
func TestTargetLossRefusesWaiting(t *testing.T) {
	losses := map[string]func(*Controller, []Outcome) []Outcome{
		"cap": func(c *Controller, out []Outcome) []Outcome {
			return c.SetCap(1, "a", NoAdmission(reason.LeaseLost), out)
		},
		"drop": func(c *Controller, out []Outcome) []Outcome { return c.DropTarget(1, "a", reason.LeaseLost, out) },
	}
	for name, lose := range losses {
		c := newController(fixedLimit(1), "a")
		running := submit(c, 0, Request{Target: "a"})
		waiting := submit(c, 0, Request{Target: "a"})
		out := lose(c, nil)
		if len(out) != 1 || out[0].ID != waiting.ID || out[0].Started || out[0].Reason != reason.LeaseLost {
			t.Fatalf("%s: outcomes %+v", name, out)
		}
		if out = c.Release(2, running.ID, true, nil); len(out) != 0 {
			t.Fatalf("%s: outcomes %+v after the release", name, out)
		}
	}
}

// Guards against a refusal that redirects the caller to a full target or to a more loaded one first, and against a wait
// while another target has room.
func TestNextCandidates(t *testing.T) {
	c := newController(func(p *Pool) { p.Targets = 2 }, "a", "b")
	submit(c, 0, Request{Target: "a"})
	for name, load := range map[string]int{"full": 8, "busy": 1, "idle": 0} {
		c.SetTargetLoad(0, name, load, 0)
	}
	submit(c, 0, Request{Target: "a"})
	for submit(c, 0, Request{Target: "a"}).Verdict == Start {
	}
	d := submit(c, 0, Request{Target: "a", Candidates: []string{"a", "full", "unknown", "busy", "b", "idle"}})
	if want := []string{"b", "idle", "busy"}; d.Reason != reason.OverLimit || !slices.Equal(d.Next(), want) {
		t.Fatalf("%s with %v, want %v", d.Reason, d.Next(), want)
	}
	if d = submit(c, 0, Request{Target: "a", Candidates: []string{"full"}}); d.Verdict != Wait {
		t.Fatalf("no candidate has room: %+v", d)
	}
}

// Guards against refusals that all name the same target until its load is reported again, and against counting a
// redirected request on top of a load that already includes it.
func TestRedirectsAreSpread(t *testing.T) {
	c := newController(nil, "a")
	for _, name := range []string{"b", "c", "d"} {
		c.SetTargetLoad(0, name, 0, 0)
	}
	submit(c, 0, Request{Target: "a"})
	req := Request{Target: "a", Candidates: []string{"b", "c", "d"}}
	for _, want := range req.Candidates {
		if d := submit(c, 0, req); len(d.Next()) == 0 || d.Next()[0] != want {
			t.Fatalf("next is %v, want %s first", d.Next(), want)
		}
	}
	c.SetTargetLoad(time.Second, "b", 0, time.Second-redirectTransit/2)
	if d := submit(c, time.Second, req); d.Verdict != Wait {
		t.Fatalf("each target has a request: %+v", d)
	}
	c.SetTargetLoad(time.Second, "b", 0, 0)
	if d := submit(c, time.Second, req); !slices.Equal(d.Next(), []string{"b"}) {
		t.Fatalf("next is %v, want b, which is idle again", d.Next())
	}
}

// Guards against a request that is redirected away from its cached prefix although its target has room soon, that waits
// longer than its MaxTargetWait, or that is then refused without the targets that have room.
func TestWaitForCachedPrefix(t *testing.T) {
	const maxWait = 500 * time.Millisecond
	cases := []struct {
		name    string
		service time.Duration
		maxWait time.Duration
		want    Verdict
	}{
		{"target has room soon", 400 * time.Millisecond, maxWait, Wait},
		{"target has room too late", 600 * time.Millisecond, maxWait, Refuse},
		{"no wait permitted", 400 * time.Millisecond, 0, Refuse},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newController(fixedLimit(1), "a", "b")
			first := submit(c, 0, Request{Target: "a"})
			c.Release(tc.service, first.ID, true, nil)
			now := tc.service
			submit(c, now, Request{Target: "a"})
			req := Request{Target: "a", Candidates: []string{"b"}, MaxTargetWait: tc.maxWait}
			if d := submit(c, now, req); d.Verdict != tc.want {
				t.Fatalf("%+v, want verdict %d", d, tc.want)
			}
			if tc.want == Refuse {
				return
			}
			out := c.Tick(now+maxWait, nil)
			if len(out) != 1 || out[0].Started || out[0].Reason != reason.OverLimit {
				t.Fatalf("outcomes %+v after the longest wait", out)
			}
			if d := c.RefuseWithCandidates(now+maxWait, &req); !slices.Equal(d.Next(), []string{"b"}) {
				t.Fatalf("next is %v, want b", d.Next())
			}
		})
	}
}

// Guards against a request that waits although it can't meet its deadline, and against a service time estimate because
// of which short requests are refused, or all requests are refused forever.
func TestDeadline(t *testing.T) {
	withSamples := func(samples ...time.Duration) (*Controller, time.Duration) {
		c := newController(fixedLimit(1), "a")
		now := time.Duration(0)
		for range 20 {
			for _, sample := range samples {
				d := submit(c, now, Request{Target: "a"})
				now += sample
				c.Release(now, d.ID, true, nil)
			}
		}
		return c, now
	}
	c, now := withSamples(time.Second)
	submit(c, now, Request{Target: "a"})
	if d := submit(c, now, Request{Target: "a", Deadline: now + 1500*time.Millisecond}); d.Reason != reason.DeadlineExceeded || d.RetryAfter < 900*time.Millisecond {
		t.Fatalf("one ahead, 1.5 s left, 1 s each: %+v", d)
	}
	if d := submit(c, now, Request{Target: "a", Deadline: now + 2500*time.Millisecond}); d.Verdict != Wait {
		t.Fatalf("one ahead, 2.5 s left, 1 s each: %+v", d)
	}
	c, now = withSamples(time.Second)
	short := Request{Target: "a", Deadline: now + 800*time.Millisecond}
	if d := submit(c, now, short); d.Reason != reason.DeadlineExceeded {
		t.Fatalf("idle target that takes 1 s, 0.8 s left: %+v", d)
	}
	later := now + 2*minHalfLife
	if d := submit(c, later, Request{Target: "a", Deadline: later + 800*time.Millisecond}); d.Verdict != Start {
		t.Fatalf("the estimate has not decayed: %+v", d)
	}
	c, now = withSamples(100*time.Millisecond, 3*time.Second)
	if d := submit(c, now, Request{Target: "a", Deadline: now + 500*time.Millisecond}); d.Verdict != Start {
		t.Fatalf("short request among long ones: %+v", d)
	}
}

// Guards against a wait beyond its bound, and against a wrong reason for the refusal that ends it.
func TestWaitIsBounded(t *testing.T) {
	c := newController(fixedLimit(1), "a")
	submit(c, 0, Request{Target: "a"})
	withoutDeadline := submit(c, 0, Request{Target: "a"})
	withDeadline := submit(c, 0, Request{Target: "a", Deadline: time.Second})
	out := c.Tick(time.Second, nil)
	if len(out) != 1 || out[0].ID != withDeadline.ID || out[0].Reason != reason.DeadlineExceeded {
		t.Fatalf("after 1 s: %+v", out)
	}
	if out = c.Tick(2*time.Second-1, nil); len(out) != 0 {
		t.Fatalf("before 2 s: %+v", out)
	}
	out = c.Tick(2*time.Second, nil)
	if len(out) != 1 || out[0].ID != withoutDeadline.ID || out[0].Reason != reason.QueueTimeout {
		t.Fatalf("after 2 s: %+v", out)
	}
}

// Guards against a surging customer or class that fills the queue and excludes the others, and against a new request
// that evicts one of a customer with no higher occupancy.
func TestFullQueueEviction(t *testing.T) {
	customers := []Customer{{Name: "s", Weight: 1}, {Name: "c", Weight: 1}, {Name: "d", Weight: 1}}
	for i := range testPool.QueueLength {
		customers = append(customers, Customer{Name: fmt.Sprint(i), Weight: 1})
	}
	fromManyCustomers := func(class catalogue.Class) []Request {
		var requests []Request
		for _, customer := range customers[3:] {
			requests = append(requests, Request{Customer: customer.Name, Class: class})
		}
		return requests
	}
	cases := []struct {
		name     string
		fill     []Request
		arrival  Request
		admitted bool
	}{
		{"other customer evicts a request of the surging one", []Request{{Customer: "s"}}, Request{Customer: "c"}, true},
		{"surging customer evicts none", []Request{{Customer: "s"}}, Request{Customer: "s"}, false},
		{"equal occupancy is not evicted", []Request{{Customer: "s"}, {Customer: "c"}}, Request{Customer: "c"}, false},
		{"less urgent class keeps its reserve", []Request{{Customer: "s", Class: catalogue.Interactive}, {Customer: "d", Class: catalogue.Interactive}}, Request{Customer: "c", Class: catalogue.Batch}, true},
		{"reserve holds against many customers", fromManyCustomers(catalogue.Interactive), Request{Customer: "c", Class: catalogue.Batch}, true},
		{"reserve is not evicted", append(fromManyCustomers(catalogue.Interactive)[:14], fromManyCustomers(catalogue.Batch)[:2]...), Request{Customer: "c", Class: catalogue.Interactive}, false},
		{"more urgent class evicts a less urgent one", []Request{{Customer: "s", Class: catalogue.Batch}, {Customer: "d", Class: catalogue.Batch}}, Request{Customer: "c", Class: catalogue.Interactive}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newController(fixedLimit(1), "a")
			c.SetCustomers(customers)
			submit(c, 0, Request{Target: "a", Customer: "s"})
			for i := range testPool.QueueLength {
				req := tc.fill[i%len(tc.fill)]
				req.Target = "a"
				submit(c, 0, req)
			}
			tc.arrival.Target = "a"
			d, out := c.Submit(0, &tc.arrival, nil)
			if (d.Verdict == Wait) != tc.admitted || (len(out) == 1) != tc.admitted {
				t.Fatalf("%+v with outcomes %+v", d, out)
			}
			if waiting := c.Snapshot(0).Waiting; waiting != testPool.QueueLength {
				t.Fatalf("%d requests wait", waiting)
			}
		})
	}
}

// Guards against a customer that exceeds its rate or concurrency limit, and against a Retry-After below the minimum.
func TestCustomerLimits(t *testing.T) {
	c := newController(fixedLimit(100), "a")
	c.SetCustomers([]Customer{{Name: "rate", RequestsPerSecond: 10}, {Name: "conc", Concurrent: 3}})
	now := time.Duration(0)
	started := 0
	for ; now < 10*time.Second; now += 10 * time.Millisecond {
		d := submit(c, now, Request{Target: "a", Customer: "rate"})
		if d.Verdict == Start {
			started++
			c.Release(now, d.ID, true, nil)
			continue
		}
		if d.Reason != reason.CustomerRate || d.RetryAfter < minRetryAfter {
			t.Fatalf("%+v", d)
		}
	}
	if started < 98 || started > 111 {
		t.Fatalf("%d requests in 10 s at 10 requests/s with a burst of 10", started)
	}
	for range 3 {
		submit(c, now, Request{Target: "a", Customer: "conc"})
	}
	if d := submit(c, now, Request{Target: "a", Customer: "conc"}); d.Reason != reason.CustomerConcurrency {
		t.Fatalf("fourth of three concurrent requests: %+v", d)
	}
}

// Guards against a handover that omits requests in flight, or whose deadline is before that of the last of them.
func TestInFlightByCustomer(t *testing.T) {
	c := newController(fixedLimit(6), "a")
	c.SetCustomers([]Customer{{Name: "x", Weight: 1}, {Name: "y", Weight: 1}})
	for _, deadline := range []time.Duration{time.Hour, time.Minute, 2 * time.Hour} {
		submit(c, 0, Request{Target: "a", Customer: "x", Deadline: deadline})
	}
	submit(c, 0, Request{Target: "a", Customer: "y", Deadline: time.Minute})
	submit(c, 0, Request{Target: "a", Customer: "y"})
	want := []CustomerCount{{"x", 3, 2 * time.Hour}, {"y", 2, 0}}
	if got := c.InFlight("a"); !slices.Equal(got, want) {
		t.Fatalf("in flight %+v, want %+v", got, want)
	}
}

// Guards against starvation of less urgent classes, and against an urgent class that gets no priority.
func TestClasses(t *testing.T) {
	c := newController(func(p *Pool) { fixedLimit(1)(p); p.QueueLength = 300 }, "a")
	running := submit(c, 0, Request{Target: "a"}).ID
	class := make(map[ID]catalogue.Class)
	for _, cl := range []catalogue.Class{catalogue.Batch, catalogue.Standard, catalogue.Interactive} {
		for range 100 {
			class[submit(c, 0, Request{Target: "a", Class: cl}).ID] = cl
		}
	}
	starts := make(map[catalogue.Class]int)
	for range 100 {
		out := c.Release(1, running, true, nil)
		running = out[0].ID
		starts[class[running]]++
	}
	if starts[catalogue.Interactive] < 75 || starts[catalogue.Standard] < 8 || starts[catalogue.Batch] < 8 {
		t.Fatalf("starts by class: %v", starts)
	}
}

// Guards against a surging customer that gets more than its fair share of a contended target: over a busy period the
// starts of each customer with enough demand must be within 5% of the fraction given by its weight.
func TestFairShareUnderSurge(t *testing.T) {
	weights := map[string]float64{"surge": 1, "a": 1, "b": 2, "c": 1}
	demand := map[string]int{"surge": 60, "a": 3, "b": 5, "c": 3}
	for seed := range int64(10) {
		rng := rand.New(rand.NewSource(seed))
		c := newController(func(p *Pool) { fixedLimit(8)(p); p.QueueLength = 32 }, "t")
		var customers []Customer
		for _, name := range []string{"surge", "a", "b", "c"} {
			customers = append(customers, Customer{Name: name, Weight: weights[name]})
		}
		c.SetCustomers(customers)
		owner := make(map[ID]string)
		starts := make(map[string]int)
		var running []ID
		for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
			var out []Outcome
			for _, customer := range customers {
				if rng.Intn(10) >= demand[customer.Name] {
					continue
				}
				var d Decision
				d, out = c.Submit(now, &Request{Target: "t", Customer: customer.Name}, out)
				owner[d.ID] = customer.Name
				if d.Verdict == Start {
					running = append(running, d.ID)
				}
			}
			if len(running) > 0 && rng.Intn(3) == 0 {
				i := rng.Intn(len(running))
				out = c.Release(now, running[i], true, out)
				running = slices.Delete(running, i, i+1)
			}
			for _, o := range c.Tick(now, out) {
				if o.Started {
					running = append(running, o.ID)
					starts[owner[o.ID]]++
				}
			}
		}
		total := starts["surge"] + starts["a"] + starts["b"] + starts["c"]
		for name, weight := range weights {
			fraction := float64(starts[name]) / float64(total)
			if math.Abs(fraction-weight/5) > 0.05*weight/5 {
				t.Fatalf("seed %d: %s got %.3f of the starts, want %.3f (%v)", seed, name, fraction, weight/5, starts)
			}
		}
	}
}

// Guards against a customer that always goes first because the start tag of its flow is reset whenever the flow runs
// empty, while the flow of another customer never does.
func TestEmptyFlowKeepsStartTag(t *testing.T) {
	c := newController(func(p *Pool) { fixedLimit(1)(p); p.QueueLength = 300 }, "a")
	c.SetCustomers([]Customer{{Name: "long", Weight: 1}, {Name: "short", Weight: 1}})
	running := submit(c, 0, Request{Target: "a"}).ID
	owner := make(map[ID]string)
	for range 200 {
		owner[submit(c, 0, Request{Target: "a", Customer: "long"}).ID] = "long"
	}
	starts := make(map[string]int)
	shortWaits := false
	for step := range 100 {
		if !shortWaits {
			owner[submit(c, 0, Request{Target: "a", Customer: "short"}).ID] = "short"
			shortWaits = true
		}
		running = c.Release(0, running, true, nil)[0].ID
		starts[owner[running]]++
		shortWaits = shortWaits && owner[running] != "short"
		c.SetCustomers([]Customer{{Name: "long", Weight: 1}, {Name: "short", Weight: 1}, {Name: fmt.Sprint(step), Weight: 1}})
		transient := submit(c, 0, Request{Target: "a", Customer: fmt.Sprint(step)})
		c.Release(0, transient.ID, false, nil)
	}
	if starts["long"] < 45 || starts["short"] < 45 {
		t.Fatalf("starts of equal customers: %v", starts)
	}
}

func benchmarkController(targets int) (*Controller, []string) {
	names := make([]string, targets)
	for i := range names {
		names[i] = fmt.Sprint("t", i)
	}
	c := newController(func(p *Pool) { p.Targets, p.MaxInFlight, p.QueueLength = 600, 64, 64 }, names...)
	var customers []Customer
	for i := range 350 {
		customers = append(customers, Customer{Name: fmt.Sprint("c", i), Weight: 1, RequestsPerSecond: 1e9, Concurrent: 1e6})
	}
	c.SetCustomers(customers)
	for i := range 160 {
		c.SetPoolDigest(0, PoolDigest{Pool: "p", Zone: "z", Gate: fmt.Sprint("g", i), Load: 30, Targets: 4})
	}
	return c, names
}

func BenchmarkStartAndRelease(b *testing.B) {
	c, names := benchmarkController(4)
	req := Request{Target: names[0], Customer: "c7", Deadline: time.Hour}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i)
		d, _ := c.Submit(now, &req, nil)
		c.Release(now, d.ID, true, nil)
	}
}

func BenchmarkQueueOf64(b *testing.B) {
	c, names := benchmarkController(1)
	c.SetCap(0, names[0], Cap{Max: 1}, nil)
	requests := make([]Request, 350)
	for i := range requests {
		requests[i] = Request{Target: names[0], Customer: fmt.Sprint("c", i), Deadline: time.Hour}
	}
	running, _ := c.Submit(0, &requests[0], nil)
	id := running.ID
	for i := range 63 {
		c.Submit(0, &requests[i], nil)
	}
	out := make([]Outcome, 0, 8)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now := time.Duration(i)
		_, out = c.Submit(now, &requests[i%350], out[:0])
		out = c.Release(now, id, true, out[:0])
		id = out[0].ID
	}
}

func BenchmarkOverLimitWith16Candidates(b *testing.B) {
	const perRefresh = 64
	c, names := benchmarkController(4)
	c.SetCap(0, names[0], Cap{Max: 1}, nil)
	req := Request{Target: names[0]}
	for i := range 16 {
		req.Candidates = append(req.Candidates, fmt.Sprint("other", i))
	}
	c.Submit(0, &req, nil)
	b.ReportAllocs()
	b.ResetTimer()
	now := time.Duration(0)
	for round := range b.N {
		now += redirectTransit
		// A refusal adds to the load of the target that it names first until that load is reported again.
		for i, name := range req.Candidates {
			if round%perRefresh == 0 || i == 0 {
				c.SetTargetLoad(now, name, i%5, 0)
			}
		}
		if d, _ := c.Submit(now, &req, nil); d.nextCount != MaxNext {
			b.Fatalf("%+v", d)
		}
	}
}

func BenchmarkTickWith350CustomersAnd165Gates(b *testing.B) {
	c, _ := benchmarkController(4)
	var gates []string
	for i := range 164 {
		gates = append(gates, fmt.Sprintf("g%d", i))
	}
	c.SetGates(0, gates)
	for _, gate := range gates {
		for i := range 350 {
			share := Share{Demand: 1, Fraction: 1.0 / 165, Enforced: true}
			c.SetUsage(0, Usage{Customer: fmt.Sprint("c", i), Gate: gate, Rate: share, InFlight: share})
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		c.sharesUpdatedAt = -time.Hour
		c.Tick(time.Duration(i), nil)
	}
}

// halfOfRemaining returns a Cap.Reduce that permits half of what the external load leaves of the limit.
func halfOfRemaining(external int) func(limit int) int {
	return func(limit int) int { return max(limit-external, 0) / 2 }
}

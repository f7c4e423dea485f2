package orders

import (
	"math/rand"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membership"
)

// machineHarness drives one machine that owns rose-0; it is the only live gate and so also the issuer.
type machineHarness struct {
	t       *testing.T
	machine *Machine
	now     time.Duration
	status  Status
	orders  []SendOrder
	// orderResult is the result of each order, noAnswer that the result is lost.
	orderResult      OrderResult
	skipLeaseRenewal bool
	dropOrderResults bool
}

func newMachineHarness(t *testing.T, checksFencing bool) *machineHarness {
	r := &machineHarness{t: t, orderResult: Accepted, machine: New(Settings{Self: "a", Incarnation: 7}, rand.New(rand.NewSource(1)))}
	r.step(ViewChanged{&membership.View{Gates: []membership.Member{
		{Gate: membership.Gate{Name: "a"}, State: membership.Live},
	}}})
	r.step(CatalogueChanged{testCatalogue(t, 1, "1", checksFencing, 1)})
	r.runFor(15 * time.Second)
	return r
}

func (r *machineHarness) step(event Event) {
	for _, effect := range r.machine.Step(r.now, event) {
		switch e := effect.(type) {
		case ReadStatus:
			r.step(StatusRead{e.Read, r.status})
		case SendOrder:
			r.orders = append(r.orders, e)
			if !r.dropOrderResults {
				r.step(OrderAnswered{e.Order, r.orderResult})
			}
		}
	}
}

func (r *machineHarness) runFor(d time.Duration) {
	for end := r.now + d; r.now < end; r.now += clockStep {
		if !r.skipLeaseRenewal {
			r.step(LeaseRenewed{r.now + time.Second})
		}
		r.step(Tick{})
	}
}

// Guards against orders at a time when an earlier order may still arrive, work or not show in the report.
func TestTimeToTheNextOrder(t *testing.T) {
	const D, L = DefaultDisagreement, DefaultReportLag
	cases := []struct {
		name          string
		checksFencing bool
		released      bool
		prepare       func(*machineHarness)
		earliest      time.Duration
		latest        time.Duration
	}{
		{"checking engine", true, false, func(*machineHarness) {}, 0, time.Second},
		{"ignoring engine, predecessor unreachable", false, false, func(*machineHarness) {}, D + L, D + L + time.Second},
		{"ignoring engine, predecessor released", false, true, func(*machineHarness) {}, L, L + time.Second},
		{"busy engine", true, true, func(r *machineHarness) { r.status.Busy = true }, time.Minute, time.Minute},
		{"lease lost, order without a permit", true, true, func(r *machineHarness) {
			r.status = Status{Model: "rose", Version: "1", Adapters: []string{"extra"}}
			r.skipLeaseRenewal = true
			r.now += 2 * time.Second
		}, time.Minute, time.Minute},
		{"own order without an answer before the target was lost", true, true, func(r *machineHarness) {
			r.dropOrderResults = true
			r.step(Acquired{Target: "rose-0"})
			r.step(Lost{"rose-0"})
		}, D + L, sendWindow + orderTimeout + D + L + 2*time.Second},
		{"new desired state after an unanswered order", true, true, func(r *machineHarness) {
			r.orderResult = Unanswered
			r.step(Acquired{Target: "rose-0"})
			r.step(CatalogueChanged{testCatalogue(t, 2, "2", true, 1)})
		}, D + L, D + L + 2*time.Second},
		{"new desired state after an accepted order", true, true, func(r *machineHarness) {
			r.step(Acquired{Target: "rose-0"})
			r.step(CatalogueChanged{testCatalogue(t, 2, "2", true, 1)})
		}, L, L + 2*time.Second},
		{"rejected order", true, true, func(r *machineHarness) {
			r.orderResult = Rejected
			r.step(Acquired{Target: "rose-0"})
		}, initialRetryDelay, initialRetryDelay + 3*time.Second},
	}
	for _, test := range cases {
		r := newMachineHarness(t, test.checksFencing)
		test.prepare(r)
		before, start := len(r.orders), r.now
		r.step(Acquired{Target: "rose-0", Released: test.released})
		for len(r.orders) == before && r.now < start+time.Minute {
			r.runFor(clockStep)
		}
		if waited := r.now - start; waited < test.earliest || waited > test.latest+clockStep {
			t.Errorf("%s: order after %v, want %v to %v", test.name, waited, test.earliest, test.latest)
		}
	}
}

// Guards against an engine that stays without its model until the next regular read after a restart.
func TestRestartedEngineIsReadSoon(t *testing.T) {
	r := newMachineHarness(t, true)
	r.status = Status{Model: "rose", Version: "1"}
	r.step(Acquired{Target: "rose-0", Released: true})
	r.status = Status{}
	r.step(Restarted{"rose-0"})
	r.runFor(pollInterval + clockStep)
	if len(r.orders) != 1 {
		t.Errorf("%d orders within a poll interval, want 1", len(r.orders))
	}
}

// Guards against an order that the engine would refuse, and against equal numbers of two owners.
func TestFenceIsAboveThePresentOne(t *testing.T) {
	for _, present := range []uint64{0, 1, 1<<16 - 1, 1 << 16, 1<<40 + 12345} {
		first, second := nextFence(present, 3), nextFence(present, 4)
		if first <= present || second <= present || first == second {
			t.Errorf("numbers after %d are %d and %d", present, first, second)
		}
	}
}

// Guards against a new issuer that issues while permits of its predecessor are valid, and against one that
// issues without a lease.
func TestNewIssuerWaits(t *testing.T) {
	r := newMachineHarness(t, true)
	r.step(ViewChanged{&membership.View{}})
	r.step(ViewChanged{&membership.View{Gates: []membership.Member{
		{Gate: membership.Gate{Name: "a"}, State: membership.Live},
	}}})
	if answer := r.machine.issuePermit(r.now); answer.Granted || answer.RetryAfter < DefaultPermitLifetime {
		t.Errorf("new issuer answers %+v, want a wait of a permit lifetime", answer)
	}
	r.runFor(DefaultDisagreement + DefaultPermitLifetime)
	if answer := r.machine.issuePermit(r.now); !answer.Granted {
		t.Errorf("issuer answers %+v after the wait", answer)
	}
	r.now += 2 * time.Second
	if answer := r.machine.issuePermit(r.now); answer.Granted {
		t.Error("issuer without a lease grants a permit")
	}
	r.step(LeaseRenewed{r.now + time.Second})
	if answer := r.machine.issuePermit(r.now); answer.Granted {
		t.Error("issuer grants a permit at once after its lease had lapsed")
	}
}

// Guards against orders to an engine that has the desired state, for any order of adapters.
func TestDesiredState(t *testing.T) {
	desired := Desired{Model: "rose", Version: "2", Adapters: []string{"a", "b"}, Role: "serve"}
	cases := []struct {
		name         string
		status       Status
		met, weights bool
	}{
		{"same", Status{Model: "rose", Version: "2", Adapters: []string{"b", "a"}, Role: "serve"}, true, false},
		{"other role", Status{Model: "rose", Version: "2", Adapters: []string{"a", "b"}, Role: "prefill"}, false, false},
		{"extra adapter", Status{Model: "rose", Version: "2", Adapters: []string{"a", "b", "c"}, Role: "serve"}, false, false},
		{"missing adapter", Status{Model: "rose", Version: "2", Adapters: []string{"a"}, Role: "serve"}, false, true},
		{"other version", Status{Model: "rose", Version: "1", Adapters: []string{"a", "b"}, Role: "serve"}, false, true},
		{"other model", Status{Model: "lily", Version: "2", Adapters: []string{"a", "b"}, Role: "serve"}, false, true},
	}
	for _, test := range cases {
		if met, weights := desired.satisfiedBy(test.status), desired.needsWeights(test.status); met != test.met || weights != test.weights {
			t.Errorf("%s: met %v, needs weights %v; want %v, %v", test.name, met, weights, test.met, test.weights)
		}
	}
}

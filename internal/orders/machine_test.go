package orders

import (
	"math/rand"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membership"
)

// machineHarness runs one machine that owns rose-0. Its gate is the only live one and therefore also the permit issuer.
type machineHarness struct {
	t       *testing.T
	machine *Machine
	now     time.Duration
	status  Status
	orders  []SendOrder
	// orderResult is the result of each order; dropOrderResults drops it instead.
	orderResult      OrderResult
	skipLeaseRenewal bool
	dropOrderResults bool
}

func newMachineHarness(t *testing.T, checksFencing bool) *machineHarness {
	h := &machineHarness{t: t, orderResult: Accepted, machine: New(Settings{Self: "a", Incarnation: 7}, rand.New(rand.NewSource(1)))}
	h.step(ViewChanged{&membership.View{Gates: []membership.Member{
		{Gate: membership.Gate{Name: "a"}, State: membership.Live},
	}}})
	h.step(CatalogueChanged{testCatalogue(t, 1, "1", checksFencing, 1)})
	h.runFor(15 * time.Second)
	return h
}

func (h *machineHarness) step(event Event) {
	for _, effect := range h.machine.Step(h.now, event) {
		switch e := effect.(type) {
		case ReadStatus:
			h.step(StatusRead{e.Read, h.status})
		case SendOrder:
			h.orders = append(h.orders, e)
			if !h.dropOrderResults {
				h.step(OrderAnswered{e.Order, h.orderResult})
			}
		}
	}
}

func (h *machineHarness) runFor(d time.Duration) {
	for end := h.now + d; h.now < end; h.now += clockStep {
		if !h.skipLeaseRenewal {
			h.step(LeaseRenewed{h.now + time.Second})
		}
		h.step(Tick{})
	}
}

// Guards against orders while an earlier order may still arrive, be in progress or not yet show in the report.
func TestDelayBeforeNextOrder(t *testing.T) {
	const D, L = DefaultDisagreement, DefaultReportLag
	cases := []struct {
		name          string
		checksFencing bool
		released      bool
		prepare       func(*machineHarness)
		earliest      time.Duration
		latest        time.Duration
	}{
		{"engine checks fencing", true, false, func(*machineHarness) {}, 0, time.Second},
		{"engine ignores fencing, predecessor unreachable", false, false, func(*machineHarness) {}, D + L, D + L + time.Second},
		{"engine ignores fencing, predecessor released", false, true, func(*machineHarness) {}, L, L + time.Second},
		{"busy engine", true, true, func(h *machineHarness) { h.status.Busy = true }, time.Minute, time.Minute},
		{"lease lost, order without a permit", true, true, func(h *machineHarness) {
			h.status = Status{Model: "rose", Version: "1", Adapters: []string{"extra"}}
			h.skipLeaseRenewal = true
			h.now += 2 * time.Second
		}, time.Minute, time.Minute},
		{"own unanswered order before ownership was lost", true, true, func(h *machineHarness) {
			h.dropOrderResults = true
			h.step(OwnershipAcquired{Target: "rose-0"})
			h.step(OwnershipLost{"rose-0"})
		}, D + L, sendWindow + orderTimeout + D + L + 2*time.Second},
		{"new desired state after an unanswered order", true, true, func(h *machineHarness) {
			h.orderResult = Unanswered
			h.step(OwnershipAcquired{Target: "rose-0"})
			h.step(CatalogueChanged{testCatalogue(t, 2, "2", true, 1)})
		}, D + L, D + L + 2*time.Second},
		{"new desired state after an accepted order", true, true, func(h *machineHarness) {
			h.step(OwnershipAcquired{Target: "rose-0"})
			h.step(CatalogueChanged{testCatalogue(t, 2, "2", true, 1)})
		}, L, L + 2*time.Second},
		{"rejected order", true, true, func(h *machineHarness) {
			h.orderResult = Rejected
			h.step(OwnershipAcquired{Target: "rose-0"})
		}, initialRetryDelay, initialRetryDelay + 3*time.Second},
	}
	for _, test := range cases {
		h := newMachineHarness(t, test.checksFencing)
		test.prepare(h)
		before, start := len(h.orders), h.now
		h.step(OwnershipAcquired{Target: "rose-0", Released: test.released})
		for len(h.orders) == before && h.now < start+time.Minute {
			h.runFor(clockStep)
		}
		if waited := h.now - start; waited < test.earliest || waited > test.latest+clockStep {
			t.Errorf("%s: next order after %v, want %v to %v", test.name, waited, test.earliest, test.latest)
		}
	}
}

// Guards against an engine that remains without its model after a restart until the next regular read.
func TestStatusIsReadSoonAfterRestart(t *testing.T) {
	h := newMachineHarness(t, true)
	h.status = Status{Model: "rose", Version: "1"}
	h.step(OwnershipAcquired{Target: "rose-0", Released: true})
	h.status = Status{}
	h.step(EngineRestarted{"rose-0"})
	h.runFor(pollInterval + clockStep)
	if len(h.orders) != 1 {
		t.Errorf("got %d orders within a poll interval, want 1", len(h.orders))
	}
}

// Guards against an order that the engine would refuse, and against equal fencing numbers of two owners.
func TestNextFenceExceedsCurrent(t *testing.T) {
	for _, current := range []uint64{0, 1, 1<<16 - 1, 1 << 16, 1<<40 + 12345} {
		first, second := nextFence(current, 3), nextFence(current, 4)
		if first <= current || second <= current || first == second {
			t.Errorf("fencing numbers after %d are %d and %d, want distinct larger ones", current, first, second)
		}
	}
}

// Guards against a new issuer that grants permits while those of its predecessor are valid, and against one that grants
// permits without a lease.
func TestNewIssuerWaitsForOldPermits(t *testing.T) {
	h := newMachineHarness(t, true)
	h.step(ViewChanged{&membership.View{}})
	h.step(ViewChanged{&membership.View{Gates: []membership.Member{
		{Gate: membership.Gate{Name: "a"}, State: membership.Live},
	}}})
	if answer := h.machine.issuePermit(h.now); answer.Granted || answer.RetryAfter < DefaultPermitLifetime {
		t.Errorf("new issuer answers %+v, want a refusal for at least a permit lifetime", answer)
	}
	h.runFor(DefaultDisagreement + DefaultPermitLifetime)
	if answer := h.machine.issuePermit(h.now); !answer.Granted {
		t.Errorf("issuer answers %+v after the wait, want a permit", answer)
	}
	h.now += 2 * time.Second
	if answer := h.machine.issuePermit(h.now); answer.Granted {
		t.Error("issuer without a lease grants a permit")
	}
	h.step(LeaseRenewed{h.now + time.Second})
	if answer := h.machine.issuePermit(h.now); answer.Granted {
		t.Error("issuer grants a permit immediately after its lapsed lease was renewed")
	}
}

// Guards against orders to an engine that is in the desired state, whatever the order of its adapters.
func TestSatisfiedByAndNeedsWeights(t *testing.T) {
	desired := Desired{Model: "rose", Version: "2", Adapters: []string{"a", "b"}, Role: "serve"}
	cases := []struct {
		name               string
		status             Status
		satisfied, weights bool
	}{
		{"same", Status{Model: "rose", Version: "2", Adapters: []string{"b", "a"}, Role: "serve"}, true, false},
		{"other role", Status{Model: "rose", Version: "2", Adapters: []string{"a", "b"}, Role: "prefill"}, false, false},
		{"extra adapter", Status{Model: "rose", Version: "2", Adapters: []string{"a", "b", "c"}, Role: "serve"}, false, false},
		{"missing adapter", Status{Model: "rose", Version: "2", Adapters: []string{"a"}, Role: "serve"}, false, true},
		{"other version", Status{Model: "rose", Version: "1", Adapters: []string{"a", "b"}, Role: "serve"}, false, true},
		{"other model", Status{Model: "lily", Version: "2", Adapters: []string{"a", "b"}, Role: "serve"}, false, true},
	}
	for _, test := range cases {
		if satisfied, weights := desired.satisfiedBy(test.status), desired.needsWeights(test.status); satisfied != test.satisfied || weights != test.weights {
			t.Errorf("%s: satisfied %v, needs weights %v; want %v, %v", test.name, satisfied, weights, test.satisfied, test.weights)
		}
	}
}

package gate

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/orders"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/settings"
	"github.com/amaranthlb/amaranthlb/internal/target"
)

// newTestGate returns a gate that has not been started and a snapshot in which it owns all engines of a pool.
func newTestGate(t *testing.T, engines int) (*Gate, *Snapshot) {
	t.Helper()
	s := &settings.Gate{}
	s.Name, s.Zone, s.FleetKeys = "gate-a", "a", [][]byte{make([]byte, 32)}
	s.Platform.Address = "http://127.0.0.1:1"
	g, err := New(s, logrus.NewEntry(logrus.New()))
	if err != nil {
		t.Fatal(err)
	}
	document := "revision: 1\npools:\n- {name: rose, owner: o, kind: model, version: v2, checks_fencing: true, targets: ["
	view := &membership.View{Targets: make(map[string]membership.State)}
	owned := make(map[string]bool)
	for i := range engines {
		name := fmt.Sprint("e", i)
		document += fmt.Sprintf("{name: %s, address: '127.0.0.1:%d', zone: a},", name, i+1)
		view.Targets[name], owned[name] = membership.Live, true
	}
	c, err := catalogue.Parse([]byte(document + "]}\n"))
	if err != nil {
		t.Fatal(err)
	}
	return g, &Snapshot{Catalogue: c, View: view, Owned: owned}
}

// Guards against requests to an engine with a different model or version, and against a new version that takes most
// engines of a pool out of service at once.
func TestEnginesWithoutTheModelGetNoRequests(t *testing.T) {
	at := func(version string) target.Status { return target.Status{Model: "rose", Version: version} }
	cases := []struct {
		name    string
		reports map[string]target.Status
		closed  []string
	}{
		{"no reports", nil, nil},
		{"other model", map[string]target.Status{"e0": {Model: "lily", Version: "v2"}}, []string{"e0"}},
		{"no model", map[string]target.Status{"e0": {}}, []string{"e0"}},
		{"one outdated", map[string]target.Status{"e0": at("v1"), "e1": at("v2")}, []string{"e0"}},
		{"half outdated", map[string]target.Status{"e0": at("v1"), "e1": at("v1")}, []string{"e0", "e1"}},
		{"most outdated", map[string]target.Status{"e0": at("v1"), "e1": at("v1"), "e2": at("v1")}, nil},
		{"not owned", map[string]target.Status{"e9": {}}, nil},
	}
	for _, test := range cases {
		g, snapshot := newTestGate(t, 4)
		for name, status := range test.reports {
			g.reports.answered(name, status, 0, 0)
		}
		g.markUnloaded(0, snapshot)
		if closed := slices.Sorted(maps.Keys(snapshot.Unloaded)); !slices.Equal(closed, test.closed) {
			t.Errorf("%s: closed %v, want %v", test.name, closed, test.closed)
		}
	}
}

// Guards against a handover that declares a target released while an order of the previous owner may still arrive
// there, and against a successor that treats such a target as released.
func TestOrdersInFlightAreHandedOver(t *testing.T) {
	g, snapshot := newTestGate(t, 2)
	machine := g.state.orders.machine
	g.renewOrderLease(time.Second, time.Hour)
	machine.Step(time.Second, orders.CatalogueChanged{Catalogue: snapshot.Catalogue})
	for _, effect := range machine.Step(time.Second, orders.OwnershipAcquired{Target: "e0", Released: true}) {
		if read, ok := effect.(orders.ReadStatus); ok {
			// An adapter can be removed without a permit, so the order is sent at once.
			machine.Step(time.Second, orders.StatusRead{Read: read.Read, Status: orders.Status{Model: "rose", Version: "v2", Adapters: []string{"x"}}})
		}
	}
	machine.Step(2*time.Second, orders.OwnershipLost{Target: "e0"})
	stopped := []ownership.Handover{{Target: "e0", Stopped: true, Clean: true}, {Target: "e1", Stopped: true, Clean: true}, {Target: "e2", Stopped: true}}
	for at, want := range map[time.Duration][]string{2 * time.Second: {"e1"}, time.Minute: {"e0", "e1"}} {
		successor, _ := newTestGate(t, 3)
		successor.handoverFrom(0, 0, g.handoverReply(at, stopped))
		if released := slices.Sorted(maps.Keys(successor.state.orders.released)); !slices.Equal(released, want) {
			t.Errorf("after %s the successor takes %v as released, want %v", at, released, want)
		}
	}
}

// Guards against an order that counts as rejected or not sent although the engine may have accepted it: the next order
// would then follow too early.
func TestOrderResults(t *testing.T) {
	cases := []struct {
		status int
		guard  bool
		want   orders.OrderResult
	}{
		{http.StatusOK, true, orders.Accepted},
		{http.StatusAccepted, true, orders.Accepted},
		{http.StatusConflict, true, orders.Fenced},
		{http.StatusBadRequest, true, orders.Rejected},
		{http.StatusServiceUnavailable, true, orders.Unanswered},
		{http.StatusOK, false, orders.NotSent},
	}
	for _, test := range cases {
		engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(test.status) }))
		address := strings.TrimPrefix(engine.URL, "http://")
		err := target.NewClient().SendOrder(t.Context(), address, target.Order{}, func() bool { return test.guard })
		if got := orderResult(err); got != test.want {
			t.Errorf("status %d, write permitted %v: %s, want %s", test.status, test.guard, got, test.want)
		}
		engine.Close()
	}
	if got := orderResult(target.NewClient().SendOrder(t.Context(), "127.0.0.1:1", target.Order{}, nil)); got != orders.NotSent {
		t.Errorf("engine without a listener: %s, want %s", got, orders.NotSent)
	}
}

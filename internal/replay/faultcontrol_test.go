package replay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/amaranthlb/amaranthlb/standin/link"
	"github.com/amaranthlb/amaranthlb/standin/platform"
)

// faultFixture is a set of stand-ins that faults act on.
type faultFixture struct {
	control  *faultControl
	client   *http.Client
	platform *platform.Server
	link     *link.Server
	calls    []string
}

func newFaultFixture(t *testing.T) *faultFixture {
	t.Helper()
	parsed := parse(t)
	parsed.Deployment.Pools[0].Targets[1].Absent = true
	standins, err := StartStandins(&parsed.Deployment)
	if err != nil {
		t.Fatal(err)
	}
	vms := []platform.VM{{Name: "e1", State: "live"}, {Name: "e2", State: "live"}}
	f := &faultFixture{
		client:   &http.Client{},
		platform: platform.New(platform.Config{VMs: vms}),
		link:     link.New(link.Config{Routes: []link.Route{{Name: "z1-z2", Listen: "127.0.0.1:0", To: "127.0.0.1:1"}}}),
	}
	harness := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		f.calls = append(f.calls, string(body))
	}))
	for _, start := range []func(string) error{f.platform.Start, f.link.Start} {
		if err := start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		harness.Close()
		_, _, _ = standins.Close(), f.platform.Close(), f.link.Close()
	})
	f.control = newFaultControl(parsed, &Fleet{
		Targets: standins.Targets, Platform: f.platform.Address(), Link: f.link.Address(),
		ZoneRoutes: map[string][]string{"z2": {"z1-z2"}}, Harness: harness.URL,
	}, f.client)
	return f
}

// read returns the answer of a stand-in, or the error.
func (f *faultFixture) read(address, path string) string {
	answer, err := f.client.Get("http://" + address + path)
	if err != nil {
		return "error"
	}
	text, _ := readAnswer(answer)
	return answer.Status + " " + string(text)
}

// Guards against faults of a trace that have no effect, or do not end: a run would then pass without the churn
// that it claims.
func TestFaultsTakeEffectAndEnd(t *testing.T) {
	vms := func(f *faultFixture) string { return f.read(f.platform.Address(), "/v1/vms?after=0") }
	status := func(f *faultFixture) string { return f.read(f.control.fleet.Targets[0].Address, "/status") }
	routes := func(f *faultFixture) string { return f.read(f.link.Address(), "/standin/link") }
	calls := func(f *faultFixture) string { return strings.Join(f.calls, "") }
	for _, test := range []struct {
		event   Event
		look    func(*faultFixture) string
		on, off string
	}{
		{Event{Fault: TargetLeave, Target: "e1"}, vms, `"leaving"`, `"state":"live"`},
		{Event{Fault: TargetJoin, Target: "e2"}, vms, `"e2"`, `"e2"`},
		{Event{Fault: TargetFlap, Target: "e1"}, status, "503", "200"},
		{Event{Fault: ZoneCut, Zone: "z2"}, routes, `"cut":true`, `"cut":false`},
		{Event{Fault: PlatformDown}, vms, "error", "200"},
		{Event{Fault: TargetCrash, Target: "e1"}, calls, `"on":true`, `"on":false`},
		{Event{Fault: VMReplace, VM: "vm-1"}, calls, `"vm":"vm-1","on":true`, `"on":false`},
	} {
		t.Run(string(test.event.Fault), func(t *testing.T) {
			f := newFaultFixture(t)
			ctx := context.Background()
			if err := f.control.prepare(ctx); err != nil {
				t.Fatal(err)
			}
			if before := vms(f); strings.Contains(before, `"e2"`) {
				t.Errorf("the VM list has the target that joins later: %s", before)
			}
			for _, step := range []struct {
				on   bool
				want string
			}{{true, test.on}, {false, test.off}} {
				if err := f.control.apply(ctx, &test.event, step.on); err != nil {
					t.Fatal(err)
				}
				if got := test.look(f); !strings.Contains(got, step.want) {
					t.Errorf("on is %v: got %s, want %s", step.on, got, step.want)
				}
			}
		})
	}
}

package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/standin/backend"
	"github.com/amaranthlb/amaranthlb/standin/platform"
)

// faultControl applies the faults of a trace through the stand-ins' test control. What needs processes to be
// ended or started goes to the harness.
type faultControl struct {
	trace *Trace
	fleet *Fleet
	http  *http.Client

	mu  sync.Mutex
	vms []platform.VM
	// hidden are the VM list's lines of targets that are away.
	hidden map[string]platform.VM
}

func newFaultControl(t *Trace, fleet *Fleet, client *http.Client) *faultControl {
	return &faultControl{trace: t, fleet: fleet, http: client, hidden: make(map[string]platform.VM)}
}

// prepare reads the VM list and takes the targets that join later out of it.
func (f *faultControl) prepare(ctx context.Context) error {
	if f.fleet.Platform == "" {
		return nil
	}
	answer, err := get(ctx, f.http, f.fleet.Platform, "/v1/vms?after=0")
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	var list platform.VMList
	if err := json.NewDecoder(answer.Body).Decode(&list); err != nil {
		return trace.Wrap(err)
	}
	f.vms = list.VMs
	for _, pool := range f.trace.Deployment.Pools {
		for _, target := range pool.Targets {
			if target.Absent {
				f.hide(target.Name)
			}
		}
	}
	return f.publish(ctx)
}

// run applies a fault and ends it after its time.
func (f *faultControl) run(ctx context.Context, event *Event) {
	logrus.WithFields(logrus.Fields{"fault": event.Fault, "target": event.Target, "zone": event.Zone, "vm": event.VM}).Info("fault")
	f.log(f.apply(ctx, event, true), event)
	if event.ForMS == 0 || !control.Sleep(ctx, event.For()) {
		return
	}
	f.log(f.apply(ctx, event, false), event)
}

func (f *faultControl) log(err error, event *Event) {
	if err != nil {
		logrus.WithError(err).WithField("fault", event.Fault).Error("can't apply the fault")
	}
}

// apply switches a fault on or off.
func (f *faultControl) apply(ctx context.Context, event *Event, on bool) error {
	switch event.Fault {
	case TargetLeave:
		return f.leave(ctx, event, on)
	case TargetJoin:
		return f.join(ctx, event.Target)
	case TargetFlap:
		return f.flap(ctx, event.Target, on)
	case ZoneCut:
		return f.cut(ctx, event.Zone, on)
	case PlatformDown:
		return f.post(ctx, f.fleet.Platform, "/standin/mode", platform.Mode{Down: on})
	}
	return f.harness(ctx, event, on)
}

// flap makes a target refuse all calls.
func (f *faultControl) flap(ctx context.Context, target string, on bool) error {
	address, ok := f.fleet.target(target)
	if !ok {
		return trace.NotFound("target %q is not in the fleet file", target)
	}
	var faults backend.Faults
	if on {
		faults.RefuseStatus = http.StatusServiceUnavailable
	}
	return f.post(ctx, address, "/standin/faults", faults)
}

// leave marks a target as leaving in the VM list, and as live when it is back. A harness may replace the
// target before it is live again.
func (f *faultControl) leave(ctx context.Context, event *Event, on bool) error {
	if f.fleet.Harness != "" && !on {
		if err := f.harness(ctx, event, on); err != nil {
			return err
		}
	}
	f.mu.Lock()
	for i := range f.vms {
		if f.vms[i].Name == event.Target {
			f.vms[i].State = map[bool]string{true: "leaving", false: "live"}[on]
		}
	}
	f.mu.Unlock()
	return f.publish(ctx)
}

func (f *faultControl) join(ctx context.Context, target string) error {
	f.mu.Lock()
	if vm, ok := f.hidden[target]; ok {
		f.vms = append(f.vms, vm)
		delete(f.hidden, target)
	}
	f.mu.Unlock()
	return f.publish(ctx)
}

func (f *faultControl) hide(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = slices.DeleteFunc(f.vms, func(vm platform.VM) bool {
		if vm.Name != target {
			return false
		}
		f.hidden[target] = vm
		return true
	})
}

// publish puts the VM list to the platform.
func (f *faultControl) publish(ctx context.Context) error {
	f.mu.Lock()
	list := platform.VMList{VMs: slices.Clone(f.vms)}
	f.mu.Unlock()
	return f.send(ctx, http.MethodPut, "http://"+f.fleet.Platform+"/standin/vms", list)
}

// cut cuts or mends the routes that cross the zone's border.
func (f *faultControl) cut(ctx context.Context, zone string, on bool) error {
	for _, route := range f.fleet.ZoneRoutes[zone] {
		change := map[string]any{"route": route, "cut": on}
		if err := f.post(ctx, f.fleet.Link, "/standin/link", change); err != nil {
			return err
		}
	}
	return nil
}

// harnessCall is what the harness gets.
type harnessCall struct {
	*Event
	// On is false at the end of a fault.
	On bool `json:"on"`
}

func (f *faultControl) harness(ctx context.Context, event *Event, on bool) error {
	if f.fleet.Harness == "" {
		return trace.NotFound("the fleet file names no harness, the fault is left out")
	}
	return f.send(ctx, http.MethodPost, f.fleet.Harness, harnessCall{event, on})
}

func (f *faultControl) post(ctx context.Context, address, path string, body any) error {
	if address == "" {
		return trace.NotFound("the fleet file has no address for %s, the fault is left out", path)
	}
	return f.send(ctx, http.MethodPost, "http://"+address+path, body)
}

func (f *faultControl) send(ctx context.Context, method, url string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return trace.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := f.http.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	_ = answer.Body.Close()
	if answer.StatusCode/100 != 2 {
		return trace.Errorf("%s answered %s", url, answer.Status)
	}
	return nil
}

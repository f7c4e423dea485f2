// Package entry implements the daemon that terminates callers' connections.
//
// An entry keeps no state other than requests in flight and snapshots of the catalogue, the view and the loads. It
// selects the target of a request, forwards the request to the gate that owns the target, and retries only if nothing
// ran, or if the request is repeatable and no byte was sent to the caller. A stream that is interrupted at a gate is
// resumed through another gate; a request that can't be completed ends with an explicit error.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/daemon"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/placement"
	"github.com/amaranthlb/amaranthlb/internal/platform"
	"github.com/amaranthlb/amaranthlb/internal/routing"
	"github.com/amaranthlb/amaranthlb/internal/rpc"
	"github.com/amaranthlb/amaranthlb/internal/settings"
	"github.com/amaranthlb/amaranthlb/internal/telemetry"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

const headerTimeout = 10 * time.Second

// Entry is one entry daemon.
type Entry struct {
	settings    *settings.Entry
	log         *logrus.Entry
	meters      *telemetry.Meters
	clock       control.Clock
	loop        *control.Loop
	platform    *platform.Client
	control     *rpc.Dialer
	traffic     *rpc.Dialer
	sealer      *placement.Codec
	retryBudget *retryBudget
	suspects    *suspects
	codec       *ticket.Codec
	heirs       *heirs
	loadRelay   *loadRelay

	// lifetime is cancelled when the entry has drained; it bounds the calls that the control goroutine starts.
	lifetime context.Context

	// state is accessed only by the control goroutine.
	state    controlState
	snapshot atomic.Pointer[Snapshot]
	life     *daemon.Lifecycle
	activity activity
}

// Snapshot is the immutable part of the control state that traffic goroutines read.
type Snapshot struct {
	Catalogue *catalogue.Catalogue
	View      *membership.View
	Routes    *routing.Table
}

// New returns an entry that has not started yet.
func New(s *settings.Entry, log *logrus.Entry) (*Entry, error) {
	meters, err := telemetry.New()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	tlsConfig, err := rpc.TLSConfig(rpc.TLSFiles(s.TLS))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	codec, err := ticket.NewCodec(s.FleetKeys...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	clock := control.NewClock()
	return &Entry{
		settings:    s,
		log:         log,
		meters:      meters,
		life:        daemon.NewLifecycle(log),
		clock:       clock,
		loop:        control.NewLoop(clock),
		platform:    platform.NewClient(s.Platform.Address),
		control:     rpc.NewDialer(rpc.Control, tlsConfig, meters).WithSource(s.Source),
		traffic:     rpc.NewDialer(rpc.Traffic, tlsConfig, meters).WithSource(s.Source),
		sealer:      placement.NewCodec(s.FleetKeys),
		retryBudget: newRetryBudget(clock),
		suspects:    newSuspects(clock),
		codec:       codec,
		heirs:       newHeirs(),
		loadRelay:   newLoadRelay(clock),
		state:       newControlState(s.Name, s.Zone),
	}, nil
}

// Run serves callers until the context is cancelled, then drains: it reports not ready and completes the requests in
// flight within the drain limit.
func (e *Entry) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	listener, err := net.Listen("tcp", e.settings.Listen)
	if err != nil {
		return trace.Wrap(err, "listening on the caller address")
	}
	admin, err := telemetry.StartAdmin(e.settings.Admin, e.meters, telemetry.Probe{
		Ready:    e.ready,
		Status:   e.status,
		Handlers: map[string]http.HandlerFunc{"/explain": e.explain},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	e.startControl(serving)
	server := &http.Server{Handler: e.routes(), ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	e.log.Info("entry started")

	select {
	case <-ctx.Done():
	case err := <-served:
		return trace.Wrap(err)
	}
	err = e.drain(server)
	stop()
	_ = admin.Close(context.WithoutCancel(ctx))
	return trace.Wrap(err)
}

func (e *Entry) ready() (bool, string) {
	return e.life.Ready(), string(e.life.State())
}

// Status is the state of an entry as served by the admin endpoint.
type Status struct {
	Name     string           `json:"name"`
	Zone     string           `json:"zone"`
	Draining bool             `json:"draining"`
	Revision uint64           `json:"catalogue_revision"`
	View     *membership.View `json:"view"`
}

func (e *Entry) status() any {
	status := Status{Name: e.settings.Name, Zone: e.settings.Zone, Draining: e.life.Draining()}
	if snapshot := e.snapshot.Load(); snapshot != nil {
		status.Revision = snapshot.Catalogue.Revision
		status.View = snapshot.View
	}
	return status
}

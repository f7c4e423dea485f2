// Package gate implements the daemon that owns targets.
//
// A gate is the only process that admits new work to the targets that it owns. It serves entries over DRPC, sends
// requests to targets over HTTP, and relays responses as numbered chunks. If a gate is killed, its streams to the
// entries break and the entries resume them through another gate. If it is stopped, it first finishes the requests
// that it has admitted.
package gate

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmux"

	"github.com/amaranthlb/amaranthlb/internal/admission"
	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/daemon"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/orders"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/platform"
	"github.com/amaranthlb/amaranthlb/internal/rpc"
	"github.com/amaranthlb/amaranthlb/internal/settings"
	"github.com/amaranthlb/amaranthlb/internal/target"
	"github.com/amaranthlb/amaranthlb/internal/telemetry"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

// Gate is a gate daemon.
type Gate struct {
	settings *settings.Gate
	log      *logrus.Entry
	meters   *telemetry.Meters
	clock    control.Clock
	loop     *control.Loop
	self     membership.Gate
	tls      *tls.Config
	targets  *target.Client
	platform *platform.Client
	control  *rpc.Dialer
	traffic  *rpc.Dialer

	// lifetime ends when the gate has drained; it bounds the calls that the control goroutine starts.
	lifetime context.Context

	// state is owned by the control goroutine.
	state    controlState
	snapshot atomic.Pointer[Snapshot]
	// permissions is what this gate may admit, as published by the ownership state machine.
	permissions atomic.Pointer[ownership.Snapshot]
	life        *daemon.Lifecycle
	// targetsReleased is set when a draining gate gives up its targets.
	targetsReleased atomic.Bool

	admission      *admitter
	codec          *ticket.Codec
	tickets        *ticketDriver
	ticketRequests *ticketRequests
	inFlight       inFlight
	heartbeats     *heartbeatStreams
	reports        *reports
	crashes        *crashDetector
	transfers      transfers

	// poller and chargeHeartbeats are owned by the control goroutine.
	poller           poller
	chargeHeartbeats chargeHeartbeats
}

// Snapshot is the part of the control state that request goroutines read. It is immutable.
type Snapshot struct {
	Catalogue *catalogue.Catalogue
	View      *membership.View
	// Owned contains the targets that this gate owns.
	Owned map[string]bool
	// Unloaded contains the engines that currently can't serve their pool.
	Unloaded map[string]bool
	// Outdated holds the reported version of each owned engine that serves with a different version from the
	// catalogue's.
	Outdated map[string]string
}

// New returns a gate that has not been started.
func New(s *settings.Gate, log *logrus.Entry) (*Gate, error) {
	meters, err := telemetry.New()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	g := &Gate{
		settings: s,
		log:      log,
		meters:   meters,
		life:     daemon.NewLifecycle(log),
		clock:    control.NewClock(),
		targets:  target.NewClient(),
		platform: platform.NewClient(s.Platform.Address),
		self: membership.Gate{
			Name:        s.Name,
			Address:     s.Advertise,
			Zone:        s.Zone,
			Region:      s.Region,
			Incarnation: control.NewIncarnation(),
		},
	}
	if g.tls, err = rpc.TLSConfig(rpc.TLSFiles(s.TLS)); err != nil {
		return nil, trace.Wrap(err)
	}
	g.loop = control.NewLoop(g.clock)
	g.admission = newAdmitter(g.clock, s.Name, g.self.Incarnation)
	g.state = newControlState(g)
	g.codec, err = ticket.NewCodec(s.FleetKeys...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	g.tickets = g.newTicketDriver()
	g.ticketRequests = newTicketRequests()
	g.heartbeats = newHeartbeatStreams()
	g.reports = newReports()
	g.crashes = newCrashDetector(g.clock.Now)
	g.transfers = newTransfers()
	g.poller = poller{due: make(map[string]time.Duration)}
	if err := g.registerReportGauges(); err != nil {
		return nil, trace.Wrap(err)
	}
	g.control = rpc.NewDialer(rpc.Control, g.tls, meters).WithSource(s.Source)
	g.traffic = rpc.NewDialer(rpc.Traffic, g.tls, meters).WithSource(s.Source)
	return g, nil
}

// Run serves until the context ends, then drains: it finishes the admitted requests within the drain limit.
func (g *Gate) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	listener, err := net.Listen("tcp", g.settings.Listen)
	if err != nil {
		return trace.Wrap(err, "listening")
	}
	mux := drpcmux.New()
	if err := g.register(mux); err != nil {
		return trace.Wrap(err)
	}
	admin, err := telemetry.StartAdmin(g.settings.Admin, g.meters, telemetry.Probe{Ready: g.ready, Status: g.status})
	if err != nil {
		return trace.Wrap(err)
	}
	served := make(chan error, 1)
	go func() { served <- rpc.Serve(serving, listener, mux, g.tls, g.meters) }()
	g.startControl(serving)
	g.log.WithField("incarnation", g.self.Incarnation).Info("gate started")

	select {
	case <-ctx.Done():
	case err := <-served:
		return trace.Wrap(err)
	}
	err = g.drain()
	stop()
	_ = admin.Close(context.WithoutCancel(ctx))
	g.targets.Close()
	return trace.Wrap(err)
}

func (g *Gate) register(mux *drpcmux.Mux) error {
	if err := pb.DRPCRegisterTraffic(mux, &trafficServer{gate: g}); err != nil {
		return trace.Wrap(err)
	}
	if err := pb.DRPCRegisterTickets(mux, &ticketServer{gate: g}); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(pb.DRPCRegisterControl(mux, &controlServer{gate: g}))
}

func (g *Gate) ready() (bool, string) {
	return g.life.Ready(), string(g.life.State())
}

// Status is the gate's state for operators.
type Status struct {
	Name        string           `json:"name"`
	Zone        string           `json:"zone"`
	Incarnation uint64           `json:"incarnation"`
	Draining    bool             `json:"draining"`
	Revision    uint64           `json:"catalogue_revision"`
	View        *membership.View `json:"view"`
	// Permissions describes how much this gate may admit to each of its targets.
	Permissions map[string]string  `json:"permissions"`
	Admission   admission.Snapshot `json:"admission"`
	InFlight    int                `json:"in_flight"`
	OpenTickets int                `json:"open_tickets"`
	Reports     []ReportStatus     `json:"reports"`
	// CrashSuspects and CrashRefused count the requests charged with one crash and with two.
	CrashSuspects int `json:"crash_suspects"`
	CrashRefused  int `json:"crash_refused"`
	// Orders describes the owned engines. Unloaded names the engines that get no requests until they are loaded.
	Orders   []orders.EngineStatus `json:"orders"`
	Unloaded []string              `json:"unloaded"`
}

func (g *Gate) status() any {
	status := Status{
		Name:        g.self.Name,
		Zone:        g.self.Zone,
		Incarnation: g.self.Incarnation,
		Draining:    g.life.Draining(),
		Admission:   g.admission.snapshot(),
		InFlight:    g.inFlight.count(),
		OpenTickets: g.tickets.openTickets(),
		Reports:     g.reportStatuses(),
		Orders:      g.orderStatus(),
	}
	status.CrashSuspects, status.CrashRefused = g.crashes.suspects()
	if snapshot := g.snapshot.Load(); snapshot != nil {
		status.Revision = snapshot.Catalogue.Revision
		status.Permissions = g.permissionModes(snapshot)
		status.View = snapshot.View
		status.Unloaded = slices.Sorted(maps.Keys(snapshot.Unloaded))
	}
	return status
}

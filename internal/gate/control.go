package gate

import (
	"context"
	"math/rand"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/configsync"
	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/gossip"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/platform"
)

const (
	tickInterval = 50 * time.Millisecond
	gapLimit     = time.Second
	// loadLifetime is how long the load records of an unresponsive gate are kept; they count as zero long before that.
	loadLifetime = 10 * time.Second
	roleGate     = "gate"
	roleTarget   = "target"
	stateLeaving = "leaving"
)

// controlState is owned by the control goroutine.
type controlState struct {
	members *membership.Machine
	config  *configsync.Machine
	owners  *ownership.Machine
	// handedOver holds, by target, the requests of former owners that are still in flight.
	handedOver map[string]handedOverWork
	// claims are the targets that the next heartbeats announce as taken over.
	claims  []string
	loads   *gossip.Table[*pb.LoadRecord]
	notices *gossip.Table[*pb.Notice]
	// gateRefs abbreviates references to gates in heartbeats.
	gateRefs gateRefs
	// loadVersion is the version of this gate's last load record.
	loadVersion uint64
	lastLoad    *pb.LoadRecord
	lastLoadAt  time.Duration
	// useVersion is the version of this gate's last usage record.
	useVersion uint64
	lastUse    *pb.LoadRecord
	// missingUses holds the keys of usage records that this gate lacks or has an outdated version of, and since when.
	missingUses map[string]time.Duration
	// useRequests holds, by peer, the keys of the usage records to request.
	useRequests map[string][][]byte
	// granted is set if the usage record has grants that have not been sent.
	granted bool
	// transit is the last round-trip time to each peer, an upper bound on the age that a message gains in transit.
	transit map[string]time.Duration
	// reads holds the cancel functions of the platform reads in progress.
	reads map[uint64]context.CancelFunc
	// subscribers receive the updates for entries.
	subscribers   map[*subscriber]struct{}
	ticketsTicked time.Duration
	orders        orderState
}

func newControlState(g *Gate) controlState {
	timing := g.settings.Timing
	config := membership.DefaultConfig()
	config.HeartbeatInterval = time.Duration(timing.Heartbeat)
	config.SuspectAfter = time.Duration(timing.Suspicion)
	config.ListDisagreement = time.Duration(timing.ListDisagreement)
	random := rand.New(rand.NewSource(rand.Int63()))
	noticeLifetime := time.Duration(timing.TicketExpiry + timing.TicketGrace)
	return controlState{
		members:     membership.New(config, g.self, g.clock.Now()),
		config:      configsync.New(configsync.Settings{Self: g.self.Name, Zone: g.self.Zone, ReadsPlatform: true}, random),
		loads:       gossip.NewWithDeltas(loadLifetime, useParts),
		notices:     gossip.New[*pb.Notice](max(noticeLifetime, crashLifetime)),
		transit:     make(map[string]time.Duration),
		reads:       make(map[uint64]context.CancelFunc),
		subscribers: make(map[*subscriber]struct{}),
		owners:      g.newOwners(),
		orders:      newOrderState(g),

		gateRefs:    newGateRefs(),
		handedOver:  make(map[string]handedOverWork),
		missingUses: make(map[string]time.Duration),
		useRequests: make(map[string][][]byte),
	}
}

// startControl starts the control goroutine and the watch on the VM list.
func (g *Gate) startControl(ctx context.Context) {
	g.lifetime = ctx
	go g.loop.Run(ctx, control.Handlers{
		OnTick:         g.tick,
		OnPause:        g.clockGap,
		Interval:       tickInterval,
		PauseThreshold: gapLimit,
	})
	go g.watchVMs(ctx)
}

// tick advances every state machine.
func (g *Gate) tick(now time.Duration) {
	g.stepMembers(now, membership.Tick{})
	g.stepOwners(now, ownership.Tick{})
	g.stepConfig(now, configsync.Tick{})
	g.state.loads.Expire(now)
	g.expireMissingUses(now)
	g.state.notices.Expire(now)
	g.tickAdmission(now)
	g.tickOrders(now)
	if now-g.state.ticketsTicked >= ticketTickInterval {
		g.state.ticketsTicked = now
		g.tickets.tick()
	}
	g.tickCrashes(now)
	g.pollTargets(now)
	g.publishUpdates(now)
	if g.snapshot.Load() != nil {
		g.life.Prepared()
	}
}

// clockGap records that the process was paused.
func (g *Gate) clockGap(_, gap time.Duration) {
	g.meters.Event("clock_gap")
	g.log.WithField("gap", gap).Warn("the process was paused")
}

// watchVMs passes VM lists to the control goroutine.
func (g *Gate) watchVMs(ctx context.Context) {
	accept := func(list platform.VMList) {
		g.loop.Post(func(now time.Duration) { g.stepMembers(now, listUpdate(list)) })
	}
	g.platform.WatchVMs(ctx, accept, func() { g.meters.ControlCall("vms", "failed") })
}

// listUpdate converts a VM list to a membership event.
func listUpdate(list platform.VMList) membership.ListUpdate {
	update := membership.ListUpdate{Revision: list.Revision}
	for _, vm := range list.VMs {
		state := membership.Live
		if vm.State == stateLeaving {
			state = membership.Leaving
		}
		switch vm.Role {
		case roleGate:
			gate := membership.Gate{Name: vm.Name, Address: vm.Address, Zone: vm.Zone, Region: vm.Region}
			update.Gates = append(update.Gates, membership.ListedGate{Gate: gate, State: state})
		case roleTarget:
			update.Targets = append(update.Targets, membership.ListedTarget{Name: vm.Name, State: state})
		}
	}
	return update
}

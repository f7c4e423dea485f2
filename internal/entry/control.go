package entry

import (
	"context"
	"math/rand"
	"sync/atomic"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/configsync"
	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/daemon"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/platform"
	"github.com/amaranthlb/amaranthlb/internal/routing"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

const (
	tickInterval   = 50 * time.Millisecond
	pauseThreshold = time.Second
	roleGate       = "gate"
	// loadExpiry is the time without any update from a followed gate after which the reported loads are ignored.
	loadExpiry = 5 * time.Second
)

// controlState is the control state of an entry. Only the control goroutine accesses it.
type controlState struct {
	config *configsync.Machine
	// listedGates are the gates in the VM list.
	listedGates []membership.Gate
	view        *membership.View
	// followed holds the gates that this entry follows, by slot.
	followed [followedGates]followed
	loads    map[string]reportedLoad
	// lastUpdateAt is when a followed gate last sent an update. Updates carry only the loads that changed.
	lastUpdateAt time.Duration
	inFlight     map[string]*atomic.Int32
	// avoidedGates maps each gate that could not be reached to the time until which it is avoided.
	avoidedGates map[string]time.Duration
}

// reportedLoad is the last reported load and state of a target.
type reportedLoad struct {
	load  int32
	state membership.State
	// avoidUntil is set when an attempt finds the target unreachable or crashed.
	avoidUntil time.Duration
}

func newControlState(name, zone string) controlState {
	random := rand.New(rand.NewSource(rand.Int63()))
	return controlState{
		config:       configsync.New(configsync.Settings{Self: name, Zone: zone, PeersToQuery: followedGates}, random),
		loads:        make(map[string]reportedLoad),
		inFlight:     make(map[string]*atomic.Int32),
		avoidedGates: make(map[string]time.Duration),
	}
}

// startControl starts the control goroutine and the goroutines that post events to it.
func (e *Entry) startControl(ctx context.Context) {
	e.lifetime = ctx
	go e.loop.Run(ctx, control.Handlers{
		OnTick: func(now time.Duration) {
			e.stepConfig(now, configsync.Tick{})
			e.suspects.tick(now)
		},
		OnPause:        func(_, gap time.Duration) { e.log.WithField("gap", gap).Warn("the process was paused") },
		Interval:       tickInterval,
		PauseThreshold: pauseThreshold,
	})
	go e.watchVMs(ctx)
	for slot := range followedGates {
		go e.follow(ctx, slot)
	}
}

// watchVMs watches the VM list for gates to follow.
func (e *Entry) watchVMs(ctx context.Context) {
	accept := func(list platform.VMList) {
		e.loop.Post(func(time.Duration) { e.acceptVMs(list) })
	}
	e.platform.WatchVMs(ctx, accept, func() { e.meters.ControlCall("vms", "failed") })
}

func (e *Entry) acceptVMs(list platform.VMList) {
	e.state.listedGates = nil
	for _, vm := range list.VMs {
		if vm.Role == roleGate {
			gate := membership.Gate{Name: vm.Name, Address: vm.Address, Zone: vm.Zone, Region: vm.Region}
			e.state.listedGates = append(e.state.listedGates, gate)
		}
	}
}

// stepConfig applies an event to the configuration state machine and executes the resulting effects.
func (e *Entry) stepConfig(now time.Duration, event configsync.Event) {
	for _, effect := range e.state.config.Step(now, event) {
		switch effect := effect.(type) {
		case configsync.Pull:
			e.pull(effect)
		case configsync.Apply:
			e.meters.Event("catalogue_applied")
			e.log.WithField("revision", effect.Catalogue.Revision).Info("catalogue in force")
			e.publish(now)
		case configsync.Ready:
			e.publish(now)
		case configsync.Skipped:
			e.meters.Event("catalogue_skipped_" + string(effect.Reason))
		}
	}
}

// pull requests the catalogue entries that this entry lacks from a followed gate.
func (e *Entry) pull(pull configsync.Pull) {
	address := e.followedAddress(pull.Peer)
	request := wire.CatalogueRequest(pull.Base)
	go func() {
		event := daemon.PullCatalogue(e.lifetime, e.control, e.meters, address, pull.Pull, request)
		e.loop.Post(func(now time.Duration) { e.stepConfig(now, event) })
	}()
}

// publish replaces the snapshot that traffic goroutines read.
func (e *Entry) publish(now time.Duration) {
	current := e.state.config.Current()
	if current == nil || e.state.view == nil || !e.state.config.Ready() {
		return
	}
	e.state.expireAvoidedGates(now)
	pools := make([]*routing.Pool, 0, len(current.Pools))
	for i := range current.Pools {
		pools = append(pools, e.poolSnapshot(now, &current.Pools[i]))
	}
	e.snapshot.Store(&Snapshot{Catalogue: current, View: e.state.view, Routes: routing.NewTable(pools)})
	e.life.Prepared()
}

func (e *Entry) poolSnapshot(now time.Duration, pool *catalogue.Pool) *routing.Pool {
	candidates := make([]routing.Candidate, len(pool.Targets))
	open := false
	for i := range pool.Targets {
		t := &pool.Targets[i]
		reported := e.state.loads[t.Name]
		candidates[i] = routing.Candidate{
			Target:   t,
			Hash:     t.Hash(),
			Distance: e.distance(t),
			Open:     reported.state == membership.Live && reported.avoidUntil <= now && !e.state.ownerAvoided(now, t),
			InFlight: e.inFlightOf(t.Name),
		}
		open = open || candidates[i].Open
		if now-e.state.lastUpdateAt < loadExpiry {
			candidates[i].Reported = reported.load
		}
	}
	if !open {
		e.state.openLastResort(candidates)
	}
	return routing.NewPool(pool, candidates)
}

// openLastResort opens the targets of a pool that are reported down or avoided, and is used when no other target is
// open. The report that a target has recovered takes up to two seconds, during which all requests would be refused. A
// failed attempt costs no more than such a refusal.
func (s *controlState) openLastResort(candidates []routing.Candidate) {
	for i := range candidates {
		state := s.loads[candidates[i].Target.Name].state
		candidates[i].Open = state == membership.Live || state == wire.TargetDown
	}
}

func (e *Entry) distance(t *catalogue.Target) routing.Distance {
	switch {
	case t.Zone == e.settings.Zone:
		return routing.SameZone
	case t.Region == e.settings.Region:
		return routing.SameRegion
	}
	return routing.OtherRegion
}

func (e *Entry) inFlightOf(target string) *atomic.Int32 {
	counter, ok := e.state.inFlight[target]
	if !ok {
		counter = new(atomic.Int32)
		e.state.inFlight[target] = counter
	}
	return counter
}

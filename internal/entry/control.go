package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/platform"
	"github.com/amaranthlb/amaranthlb/internal/routing"
)

const (
	watchWait    = 20 * time.Second
	retryPause   = 500 * time.Millisecond
	tickInterval = 100 * time.Millisecond
	gapLimit     = time.Second
	roleGate     = "gate"
)

// controlState is owned by the control goroutine.
type controlState struct {
	catalogue *catalogue.Catalogue
	gates     []platform.VM
	update    *pb.FollowUpdate
	inFlight  map[string]*atomic.Int32
}

func newControlState() controlState {
	return controlState{inFlight: make(map[string]*atomic.Int32)}
}

// startControl starts the control goroutine and what feeds it.
func (e *Entry) startControl(ctx context.Context) {
	go e.loop.Run(ctx, control.Handlers{
		Tick:     func(time.Duration) {},
		Gap:      func(_, gap time.Duration) { e.log.WithField("gap", gap).Warn("the process was paused") },
		Interval: tickInterval,
		GapLimit: gapLimit,
	})
	go e.watchConfig(ctx)
	go e.watchVMs(ctx)
	go e.follow(ctx)
}

func (e *Entry) watchConfig(ctx context.Context) {
	var revision uint64
	for ctx.Err() == nil {
		document, err := e.platform.Config(ctx, e.settings.Platform.CatalogueKey, revision, watchWait)
		if err != nil {
			pauseAfter(ctx, err)
			continue
		}
		revision = document.Revision
		e.loop.Post(func(time.Duration) { e.acceptDocument(document.Body) })
	}
}

func (e *Entry) acceptDocument(body []byte) {
	proposed, err := catalogue.Parse(body)
	if err != nil {
		e.meters.Event("catalogue_invalid")
		e.log.WithError(err).Error("catalogue refused")
		return
	}
	if e.state.catalogue != nil && proposed.Revision <= e.state.catalogue.Revision {
		return
	}
	e.state.catalogue = proposed
	e.publish()
}

// watchVMs learns which gates there are.
func (e *Entry) watchVMs(ctx context.Context) {
	var revision uint64
	for ctx.Err() == nil {
		list, err := e.platform.VMs(ctx, revision, watchWait)
		if err != nil {
			pauseAfter(ctx, err)
			continue
		}
		revision = list.Revision
		e.loop.Post(func(time.Duration) { e.acceptVMs(list) })
	}
}

func (e *Entry) acceptVMs(list platform.VMList) {
	e.state.gates = nil
	for _, vm := range list.VMs {
		if vm.Role == roleGate {
			e.state.gates = append(e.state.gates, vm)
		}
	}
}

func pauseAfter(ctx context.Context, err error) {
	if errors.Is(err, platform.ErrUnchanged) {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(retryPause):
	}
}

// follow keeps a stream of updates from one gate open.
func (e *Entry) follow(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		if address, ok := e.gateToFollow(ctx, turn); ok {
			e.followGate(ctx, address)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

func (e *Entry) gateToFollow(ctx context.Context, turn int) (address string, ok bool) {
	_ = e.loop.Call(ctx, func(time.Duration) {
		var near, all []string
		for _, vm := range e.state.gates {
			all = append(all, vm.Address)
			if vm.Zone == e.settings.Zone {
				near = append(near, vm.Address)
			}
		}
		if len(near) > 0 && turn%2 == 0 {
			all = near
		}
		if len(all) > 0 {
			address, ok = all[turn/2%len(all)], true
		}
	})
	return address, ok
}

func (e *Entry) followGate(ctx context.Context, address string) {
	client := pb.NewDRPCControlClient(e.control.Conn(ctx, address))
	updates, err := client.Follow(ctx, &pb.FollowRequest{Entry: e.settings.Name, Zone: e.settings.Zone})
	if err != nil {
		return
	}
	defer func() { _ = updates.Close() }()
	for {
		update, err := updates.Recv()
		if err != nil {
			return
		}
		e.loop.Post(func(time.Duration) {
			e.state.update = update
			e.publish()
		})
	}
}

// publish gives traffic a new snapshot.
func (e *Entry) publish() {
	if e.state.catalogue == nil || e.state.update == nil {
		return
	}
	view := viewOf(e.state.update)
	loads := make(map[string]int32, len(e.state.update.Targets))
	for _, t := range e.state.update.Targets {
		loads[t.Target] = t.Load
	}
	pools := make([]*routing.Pool, 0, len(e.state.catalogue.Pools))
	for i := range e.state.catalogue.Pools {
		pools = append(pools, e.poolSnapshot(&e.state.catalogue.Pools[i], view, loads))
	}
	e.snapshot.Store(&Snapshot{Catalogue: e.state.catalogue, View: view, Routes: routing.NewTable(pools)})
}

func (e *Entry) poolSnapshot(pool *catalogue.Pool, view *membership.View, loads map[string]int32) *routing.Pool {
	candidates := make([]routing.Candidate, len(pool.Targets))
	for i := range pool.Targets {
		t := &pool.Targets[i]
		candidates[i] = routing.Candidate{
			Target:   t,
			Hash:     t.Hash(),
			Distance: e.distance(t),
			Open:     view.Target(t.Name) == membership.Live,
			Reported: loads[t.Name],
			InFlight: e.inFlightOf(t.Name),
		}
	}
	return routing.NewPool(pool, candidates)
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

func viewOf(update *pb.FollowUpdate) *membership.View {
	view := &membership.View{Version: update.ViewVersion, Targets: make(map[string]membership.State)}
	for _, news := range update.Gates {
		state := membership.Live
		if news.Draining {
			state = membership.Leaving
		}
		view.Gates = append(view.Gates, membership.Member{
			Gate: membership.Gate{
				Name:        news.Gate.Name,
				Address:     news.Gate.Address,
				Zone:        news.Gate.Zone,
				Region:      news.Gate.Region,
				Incarnation: news.Gate.Incarnation,
			},
			State: state,
		})
	}
	for _, t := range update.Targets {
		view.Targets[t.Target] = membership.State(t.State)
	}
	return view
}

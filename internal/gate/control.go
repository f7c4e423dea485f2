package gate

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/platform"
)

const (
	watchWait    = 20 * time.Second
	watchBackoff = 500 * time.Millisecond
	tickInterval = 100 * time.Millisecond
	gapLimit     = time.Second
	followPeriod = 500 * time.Millisecond
	roleGate     = "gate"
	roleTarget   = "target"
	stateLeaving = "leaving"
)

// controlState is owned by the control goroutine.
type controlState struct {
	catalogue *catalogue.Catalogue
	list      platform.VMList
	view      *membership.View
}

// startControl starts the control goroutine and the watches that feed it.
func (g *Gate) startControl(ctx context.Context) {
	go g.loop.Run(ctx, control.Handlers{
		Tick:     func(time.Duration) {},
		Gap:      func(_, gap time.Duration) { g.log.WithField("gap", gap).Warn("the process was paused") },
		Interval: tickInterval,
		GapLimit: gapLimit,
	})
	go g.watchConfig(ctx)
	go g.watchVMs(ctx)
}

// watchConfig feeds catalogue documents to the control goroutine.
func (g *Gate) watchConfig(ctx context.Context) {
	var revision uint64
	for ctx.Err() == nil {
		document, err := g.platform.Config(ctx, g.settings.Platform.CatalogueKey, revision, watchWait)
		if err != nil {
			pauseAfter(ctx, err)
			continue
		}
		revision = document.Revision
		g.loop.Post(func(time.Duration) { g.acceptDocument(document.Body) })
	}
}

// watchVMs feeds VM lists to the control goroutine.
func (g *Gate) watchVMs(ctx context.Context) {
	var revision uint64
	for ctx.Err() == nil {
		list, err := g.platform.VMs(ctx, revision, watchWait)
		if err != nil {
			pauseAfter(ctx, err)
			continue
		}
		revision = list.Revision
		g.loop.Post(func(time.Duration) {
			g.state.list = list
			g.publish()
		})
	}
}

// pauseAfter waits before the next read of the platform unless the last one was a normal end of a long poll.
func pauseAfter(ctx context.Context, err error) {
	if errors.Is(err, platform.ErrUnchanged) {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(watchBackoff):
	}
}

func (g *Gate) acceptDocument(body []byte) {
	proposed, err := catalogue.Parse(body)
	if err != nil {
		g.meters.Event("catalogue_invalid")
		g.log.WithError(err).Error("catalogue refused")
		return
	}
	if g.state.catalogue != nil && proposed.Revision <= g.state.catalogue.Revision {
		return
	}
	g.state.catalogue = proposed
	g.log.WithField("revision", proposed.Revision).Info("catalogue in force")
	g.publish()
}

// publish computes the view and gives traffic a new snapshot.
func (g *Gate) publish() {
	if g.state.catalogue == nil || g.state.list.Revision == 0 {
		return
	}
	g.state.view = g.computeView()
	owned := make(map[string]bool)
	for i := range g.state.catalogue.Pools {
		for _, t := range g.state.catalogue.Pools[i].Targets {
			owner, ok := ownership.Owner(g.state.view, t.Name, t.Zone)
			owned[t.Name] = ok && owner.Name == g.self.Name
		}
	}
	g.snapshot.Store(&Snapshot{Catalogue: g.state.catalogue, View: g.state.view, Owned: owned})
}

func (g *Gate) computeView() *membership.View {
	view := &membership.View{Targets: make(map[string]membership.State)}
	if g.state.view != nil {
		view.Version = g.state.view.Version + 1
	}
	digest := xxhash.New()
	for _, vm := range g.state.list.VMs {
		state := membership.Live
		if vm.State == stateLeaving {
			state = membership.Leaving
		}
		switch vm.Role {
		case roleTarget:
			view.Targets[vm.Name] = state
		case roleGate:
			view.Gates = append(view.Gates, membership.Member{
				Gate:  membership.Gate{Name: vm.Name, Address: vm.Address, Zone: vm.Zone, Region: vm.Region},
				State: state,
			})
		}
	}
	slices.SortFunc(view.Gates, func(a, b membership.Member) int { return strings.Compare(a.Name, b.Name) })
	for _, member := range view.Gates {
		_, _ = digest.WriteString(member.Name + string(member.State))
	}
	view.Digest = digest.Sum64()
	return view
}

// controlServer serves control calls of daemons.
type controlServer struct {
	pb.DRPCControlUnimplementedServer
	gate *Gate
}

// Follow sends an entry the view and the loads, again whenever something may have changed.
func (s *controlServer) Follow(_ *pb.FollowRequest, out pb.DRPCControl_FollowStream) error {
	ticker := time.NewTicker(followPeriod)
	defer ticker.Stop()
	for {
		if snapshot := s.gate.snapshot.Load(); snapshot != nil {
			if err := out.Send(s.gate.followUpdate(snapshot)); err != nil {
				return err
			}
		}
		select {
		case <-out.Context().Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (g *Gate) followUpdate(snapshot *Snapshot) *pb.FollowUpdate {
	update := &pb.FollowUpdate{
		ViewVersion:    snapshot.View.Version,
		ConfigRevision: snapshot.Catalogue.Revision,
		ConfigDigest:   snapshot.Catalogue.Digest(),
		Full:           true,
		Draining:       g.draining.Load(),
	}
	for _, member := range snapshot.View.Gates {
		update.Gates = append(update.Gates, &pb.PeerNews{
			Gate: &pb.GateRef{
				Name:        member.Name,
				Address:     member.Address,
				Zone:        member.Zone,
				Region:      member.Region,
				Incarnation: member.Incarnation,
			},
			Draining: member.State != membership.Live,
		})
	}
	loads := g.admission.loads()
	for name, state := range snapshot.View.Targets {
		update.Targets = append(update.Targets, &pb.TargetLoad{Target: name, Load: int32(loads[name]), State: string(state)})
	}
	return update
}

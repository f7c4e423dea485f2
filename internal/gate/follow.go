package gate

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthlb/amaranthlb/internal/admission"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// followInterval is the minimum time between two updates to an entry.
const followInterval = 400 * time.Millisecond

// followRefresh is the maximum time between two updates, which show the entry that the gate is alive.
const followRefresh = time.Second

// stateDown is the state of a live target that refuses connections. Entries send work to it only if no other target of
// the pool is available.
const stateDown = wire.TargetDown

// subscriber is an entry that follows this gate. Except for the channel, it is owned by the control goroutine.
type subscriber struct {
	updates chan *pb.FollowUpdate
	// The remaining fields record what was last sent to the entry.
	sentAt      time.Duration
	viewVersion uint64
	gates       []*pb.GateState
	loads       map[string]*pb.TargetLoad
	notices     map[string]uint64
}

// Follow sends an entry the view, the loads and the catalogue version, and then their changes.
func (s *controlServer) Follow(_ *pb.FollowRequest, out pb.DRPCControl_FollowStream) error {
	g := s.gate
	sub := &subscriber{
		updates: make(chan *pb.FollowUpdate, 1),
		loads:   make(map[string]*pb.TargetLoad),
		notices: make(map[string]uint64),
		sentAt:  -followRefresh,
	}
	ctx := out.Context()
	if err := g.loop.Call(ctx, func(now time.Duration) {
		g.state.subscribers[sub] = struct{}{}
		g.publishUpdates(now)
	}); err != nil {
		return err
	}
	defer g.loop.Post(func(time.Duration) { delete(g.state.subscribers, sub) })
	return sendUpdates(ctx, sub, out)
}

func sendUpdates(ctx context.Context, sub *subscriber, out pb.DRPCControl_FollowStream) error {
	encoder := wire.NewUpdateEncoder()
	for {
		select {
		case <-ctx.Done():
			return nil
		case update := <-sub.updates:
			encoder.Encode(update)
			if err := out.Send(update); err != nil {
				return err
			}
		}
	}
}

// publishUpdates sends each subscriber the changes since its last update. A subscriber that has not yet received its
// last update gets the changes with the next one.
func (g *Gate) publishUpdates(now time.Duration) {
	snapshot := g.snapshot.Load()
	if snapshot == nil || len(g.state.subscribers) == 0 {
		return
	}
	var loads map[string]*pb.TargetLoad
	for sub := range g.state.subscribers {
		viewChanged := sub.viewVersion != snapshot.View.Version
		if len(sub.updates) > 0 || (!viewChanged && now-sub.sentAt < followInterval) {
			continue
		}
		if loads == nil {
			loads = g.knownLoads(snapshot)
		}
		update := g.updateFor(now, sub, snapshot, loads)
		if !viewChanged && len(update.Targets) == 0 && len(update.Notices) == 0 && now-sub.sentAt < followRefresh {
			continue
		}
		sub.sentAt = now
		sub.updates <- update
	}
}

func (g *Gate) updateFor(now time.Duration, sub *subscriber, snapshot *Snapshot, loads map[string]*pb.TargetLoad) *pb.FollowUpdate {
	version := snapshot.Catalogue.Version()
	update := &pb.FollowUpdate{
		Self:           wire.Gate(g.self),
		ConfigRevision: version.Revision,
		ConfigDigest:   version.Digest,
		Draining:       g.targetsReleased.Load(),
	}
	if sub.viewVersion != snapshot.View.Version {
		sub.viewVersion = snapshot.View.Version
		gates := gateStates(snapshot.View)
		if !slices.EqualFunc(gates, sub.gates, equalStates) {
			sub.gates = gates
			update.ViewVersion, update.Gates = snapshot.View.Version, gates
		}
	}
	for name, load := range loads {
		if last, ok := sub.loads[name]; !ok || last.Load != load.Load || last.State != load.State {
			sub.loads[name] = load
			update.Targets = append(update.Targets, load)
		}
	}
	for _, record := range g.state.notices.All(now) {
		if sub.notices[record.Key] < record.Version {
			sub.notices[record.Key] = record.Version
			update.Notices = append(update.Notices, &pb.Notice{
				Key:     record.Key,
				Version: record.Version,
				AgeMs:   record.Age.Milliseconds(),
				Note:    record.Payload.Note,
				Charge:  record.Payload.Charge,
			})
		}
	}
	return update
}

func equalStates(a, b *pb.GateState) bool { return proto.Equal(a, b) }

func gateStates(view *membership.View) []*pb.GateState {
	states := make([]*pb.GateState, 0, len(view.Gates))
	for _, member := range view.Gates {
		if member.State != membership.Gone {
			states = append(states, &pb.GateState{Gate: wire.Gate(member.Gate), State: string(member.State)})
		}
	}
	return states
}

// targetState returns the state of a target as it is reported to entries.
func targetState(snapshot *Snapshot, name string) string {
	state := snapshot.View.Target(name)
	if state == membership.Live && snapshot.Unloaded[name] {
		return stateUnloaded
	}
	return wire.TargetState(state)
}

// knownLoads returns the state and the best known load of every target in the catalogue.
func (g *Gate) knownLoads(snapshot *Snapshot) map[string]*pb.TargetLoad {
	loads := make(map[string]*pb.TargetLoad)
	for i := range snapshot.Catalogue.Pools {
		for _, t := range snapshot.Catalogue.Pools[i].Targets {
			loads[t.Name] = &pb.TargetLoad{Target: t.Name, State: targetState(snapshot, t.Name)}
		}
	}
	for _, record := range g.state.loads.All(g.clock.Now()) {
		for _, load := range record.Payload.Targets {
			if known, ok := loads[load.Target]; ok {
				known.Load = max(known.Load, load.Load)
				if load.State == stateDown && record.Age < admission.StaleAfter {
					known.State = stateDown
				}
			}
		}
	}
	for _, t := range g.admission.snapshot().Targets {
		if known, ok := loads[t.Target]; ok && !t.Lost {
			known.Load = int32(t.InFlight + t.Waiting)
			if g.reports.down(t.Target) {
				known.State = stateDown
			}
		}
	}
	return loads
}

package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/configsync"
	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

const (
	// followedGates is the number of gates that an entry follows, so that updates continue if one of them fails.
	followedGates       = 2
	followRetryInterval = 250 * time.Millisecond
	// followTimeout is the time without an update after which an entry switches to another gate. Gates send an update
	// at least every second.
	followTimeout = 3 * time.Second
	// minFollowTime is how long a gate is followed before a nearer one may replace it.
	minFollowTime = 10 * time.Second
)

// followed is the gate in one slot.
type followed struct {
	gate membership.Gate
	live bool
}

// follow keeps an update stream to one gate open and switches to another gate when the stream ends. After a stream that
// delivered updates, the nearest gates are tried first again.
func (e *Entry) follow(ctx context.Context, slot int) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if gate, ok := e.chooseGate(ctx, slot, attempt); ok && e.followGate(ctx, slot, gate) {
			attempt = -1
		}
		control.Sleep(ctx, followRetryInterval)
	}
}

// chooseGate returns the next gate in the ranking of this entry, in which gates of its zone come first. A gate that
// another slot follows is skipped.
func (e *Entry) chooseGate(ctx context.Context, slot, attempt int) (gate membership.Gate, ok bool) {
	_ = e.loop.Call(ctx, func(time.Duration) {
		gates := e.rankedGates()
		gates = slices.DeleteFunc(gates, func(g membership.Gate) bool {
			return e.followedByOtherSlot(slot, g.Address)
		})
		if len(gates) > 0 {
			gate, ok = gates[attempt%len(gates)], true
		}
		e.state.followed[slot] = followed{gate: gate}
	})
	return gate, ok
}

func (e *Entry) followedByOtherSlot(slot int, address string) bool {
	for other, f := range e.state.followed {
		if other != slot && f.gate.Address == address {
			return true
		}
	}
	return false
}

// rankedGates returns the known gates in the ranking of this entry, or the seeds if it has neither a view nor a VM
// list.
func (e *Entry) rankedGates() []membership.Gate {
	var gates []membership.Gate
	switch {
	case e.state.view != nil:
		for _, member := range e.state.view.Gates {
			if member.State == membership.Live || member.State == membership.Joining {
				gates = append(gates, member.Gate)
			}
		}
	case len(e.state.listedGates) > 0:
		gates = slices.Clone(e.state.listedGates)
	default:
		for _, seed := range e.settings.Seeds {
			gates = append(gates, membership.Gate{Name: seed, Address: seed})
		}
	}
	key := rendezvous.Hash(e.settings.Name)
	slices.SortFunc(gates, func(a, b membership.Gate) int {
		if near := e.proximity(b) - e.proximity(a); near != 0 {
			return near
		}
		scoreA, scoreB := rendezvous.Score(key, rendezvous.Hash(a.Name)), rendezvous.Score(key, rendezvous.Hash(b.Name))
		if scoreA != scoreB && scoreA > scoreB {
			return -1
		}
		return strings.Compare(a.Name, b.Name)
	})
	return gates
}

// proximity ranks a gate by distance; a higher value is nearer.
func (e *Entry) proximity(gate membership.Gate) int {
	switch {
	case gate.Zone == e.settings.Zone:
		return 2
	case gate.Region == e.settings.Region:
		return 1
	}
	return 0
}

// followGate reads updates until the stream ends or times out, or until a nearer gate can be followed. It returns true
// if updates were received and the gate is not draining.
func (e *Entry) followGate(ctx context.Context, slot int, gate membership.Gate) (served bool) {
	since := e.clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(followTimeout, cancel)
	defer silence.Stop()
	client := pb.NewDRPCControlClient(e.control.Conn(ctx, gate.Address))
	updates, err := client.Follow(ctx, &pb.FollowRequest{Entry: e.settings.Name, Zone: e.settings.Zone})
	if err != nil {
		e.meters.ControlCall("follow", "failed")
		return false
	}
	defer func() { _ = updates.Close() }()
	decoder := new(wire.UpdateDecoder)
	for {
		update, err := updates.Recv()
		if err == nil {
			err = decoder.Decode(update)
		}
		if err != nil {
			break
		}
		silence.Reset(followTimeout)
		e.loop.Post(func(now time.Duration) { e.acceptUpdate(now, slot, update) })
		if update.Draining {
			served = false
			break
		}
		served = true
		if e.clock.Now()-since >= minFollowTime && e.nearerGate(ctx, slot) {
			break
		}
	}
	e.meters.Event("follow_ended")
	e.loop.Post(func(time.Duration) { e.state.followed[slot] = followed{} })
	return served
}

// nearerGate reports whether a slot should switch to a nearer gate. Updates from a distant gate continuously use the
// costly links between zones. A slot switches only while the other slots are live, so that the entry always follows a
// gate.
func (e *Entry) nearerGate(ctx context.Context, slot int) (nearer bool) {
	_ = e.loop.Call(ctx, func(time.Duration) {
		for other, f := range e.state.followed {
			if other != slot && !f.live {
				return
			}
		}
		own := e.proximity(e.state.followed[slot].gate)
		for _, gate := range e.rankedGates() {
			if !e.followedByOtherSlot(slot, gate.Address) {
				nearer = e.proximity(gate) > own
				return
			}
		}
	})
	return nearer
}

// acceptUpdate applies an update from a followed gate to the control state.
func (e *Entry) acceptUpdate(now time.Duration, slot int, update *pb.FollowUpdate) {
	gate := wire.GateFrom(update.Self)
	e.state.followed[slot] = followed{gate: gate, live: true}
	if update.ViewVersion > 0 {
		e.state.view = e.viewFrom(update)
		e.stepConfig(now, configsync.ViewChanged{View: e.state.view})
	}
	e.state.acceptLoads(now, update.Targets)
	e.acceptNotices(now, update.Notices)
	version := catalogue.Version{Revision: update.ConfigRevision, Digest: update.ConfigDigest}
	e.stepConfig(now, configsync.Announced{Peer: gate.Name, Version: version})
	e.publish(now)
}

// acceptLoads applies the loads in an update. Targets that it does not contain are unchanged.
func (s *controlState) acceptLoads(now time.Duration, loads []*pb.TargetLoad) {
	s.lastUpdateAt = now
	for _, load := range loads {
		s.loads[load.Target] = reportedLoad{
			load:       load.Load,
			state:      wire.TargetStateFrom(load.State),
			avoidUntil: s.loads[load.Target].avoidUntil,
		}
	}
}

func (e *Entry) followedAddress(name string) string {
	for _, f := range e.state.followed {
		if f.gate.Name == name {
			return f.gate.Address
		}
	}
	return ""
}

// viewFrom converts the gates in an update to a view. Target states are sent separately, with the loads.
func (e *Entry) viewFrom(update *pb.FollowUpdate) *membership.View {
	view := &membership.View{Version: 1}
	if e.state.view != nil {
		view.Version = e.state.view.Version + 1
	}
	for _, state := range update.Gates {
		view.Gates = append(view.Gates, membership.Member{Gate: wire.GateFrom(state.Gate), State: membership.State(state.State)})
	}
	slices.SortFunc(view.Gates, func(a, b membership.Member) int { return strings.Compare(a.Name, b.Name) })
	return view
}

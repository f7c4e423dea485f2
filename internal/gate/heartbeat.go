package gate

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/configsync"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

const (
	// heartbeatTimeout bounds one heartbeat exchange; it is shorter than the suspicion timeout.
	heartbeatTimeout = time.Second
	// unknownTransit is assumed for a peer whose round-trip time has not been measured yet.
	unknownTransit = 200 * time.Millisecond
)

// controlServer serves the control RPCs of other daemons.
type controlServer struct {
	pb.DRPCControlUnimplementedServer
	gate *Gate
}

// stepMembers applies an event to the membership state machine and performs the resulting effects.
func (g *Gate) stepMembers(now time.Duration, event membership.Event) {
	for _, effect := range g.state.members.Step(now, event) {
		switch e := effect.(type) {
		case membership.SendHeartbeat:
			g.sendHeartbeat(now, e)
		case membership.ViewChanged:
			g.meters.Event("view_changed")
			g.stepConfig(now, configsync.ViewChanged{View: e.View})
			g.publish(now)
		case membership.RoundConfirmed:
			g.stepOwners(now, ownership.RoundConfirmed{Started: e.Started})
			g.renewOrderLease(now, e.Started)
		case membership.PeerConfirmed:
			g.stepOwners(now, ownership.PeerConfirmed{Peer: e.Peer, Started: e.Started})
		case membership.ClockGap:
			g.stepOwners(now, ownership.ClockGap{})
		}
	}
}

// sendHeartbeat starts a heartbeat exchange with a peer; the reply is delivered as an event.
func (g *Gate) sendHeartbeat(now time.Duration, send membership.SendHeartbeat) {
	message := g.heartbeatMessage(now, send.To.Name, send.Message)
	go func() {
		reply, err := g.exchangeHeartbeat(send.To.Address, message)
		g.loop.Post(func(answered time.Duration) {
			if err != nil {
				g.heartbeatFailed(answered, send.To.Name)
				return
			}
			g.heartbeatAnswered(now, answered, send.To.Name, reply)
		})
	}()
}

func (g *Gate) heartbeatAnswered(sent, now time.Duration, peer string, reply *pb.HeartbeatMessage) {
	members, ok := wire.HeartbeatFrom(reply, g.state.gateRefs.resolverFor(peer))
	if !ok {
		g.heartbeatFailed(now, peer)
		return
	}
	g.state.transit[peer] = now - sent
	g.receive(now, members.From, reply)
	g.stepMembers(now, membership.HeartbeatAnswered{Sent: sent, Message: members})
}

func (g *Gate) heartbeatFailed(now time.Duration, peer string) {
	g.meters.ControlCall("heartbeat", "failed")
	g.forgetPeer(peer)
	g.stepMembers(now, membership.HeartbeatFailed{Peer: peer})
}

// forgetPeer resets what a peer is assumed to have received, because a message to it may have been lost.
func (g *Gate) forgetPeer(peer string) {
	g.state.loads.Forget(peer)
	g.state.notices.Forget(peer)
	g.state.gateRefs.forget(peer)
}

// heartbeatMessage adds the gossip for a peer to a membership message.
func (g *Gate) heartbeatMessage(now time.Duration, peer string, members membership.Message) *pb.HeartbeatMessage {
	transit, ok := g.state.transit[peer]
	if !ok {
		transit = unknownTransit
	}
	g.refreshLoads(now)
	message := wire.Heartbeat(members, g.state.gateRefs.refsFor(peer))
	message.Introduce = g.state.gateRefs.takeFullNamesRequested(peer)
	message.LackingUses = g.state.useRequests[peer]
	delete(g.state.useRequests, peer)
	version := g.state.gateRefs.newVersion(peer, g.state.config.Current().Version())
	message.ConfigRevision, message.ConfigDigest = version.Revision, version.Digest
	message.Claims = g.state.claims
	message.Loads = wire.Loads(g.state.loads.PendingRecords(now, peer, transit))
	message.Skip = wire.Origins(g.state.loads.TakeRedundantOrigins(peer))
	message.Resume = wire.Origins(g.state.loads.OverdueOrigins(now))
	message.Notices = wire.Notices(g.state.notices.PendingRecords(now, peer, transit))
	return message
}

// answerHeartbeat answers one heartbeat of a peer.
func (g *Gate) answerHeartbeat(ctx context.Context, message *pb.HeartbeatMessage) (*pb.HeartbeatMessage, error) {
	var reply *pb.HeartbeatMessage
	err := g.loop.Call(ctx, func(now time.Duration) {
		peer := message.Self.GetName()
		members, ok := wire.HeartbeatFrom(message, g.state.gateRefs.resolverFor(peer))
		if !ok {
			return
		}
		g.receive(now, members.From, message)
		g.stepMembers(now, membership.HeartbeatReceived{Message: members})
		reply = g.heartbeatMessage(now, peer, g.state.members.Message(now, peer))
	})
	if err == nil && reply == nil {
		err = errUnknownSender
	}
	return reply, err
}

// errUnknownSender makes the sender identify itself in full in its next heartbeat.
var errUnknownSender = errors.New("the heartbeat's sender is not known")

// receive processes the contents of a heartbeat or its reply other than membership.
func (g *Gate) receive(now time.Duration, from membership.Gate, message *pb.HeartbeatMessage) {
	peer := from.Name
	if message.Introduce {
		g.state.gateRefs.forget(peer)
		g.state.loads.Forget(peer)
	}
	for _, key := range message.LackingUses {
		g.state.loads.ForgetRecord(peer, string(key))
	}
	g.acceptLoads(now, peer, g.state.loads.Merge(now, peer, wire.LoadsFrom(peer, message.Loads)))
	g.state.loads.Skip(now, peer, wire.OriginsFrom(message.Skip))
	g.state.loads.Resume(peer, wire.OriginsFrom(message.Resume))
	g.acceptNotices(now, g.state.notices.Merge(now, peer, wire.NoticesFrom(message.Notices)))
	if len(message.Claims) > 0 {
		g.stepOwners(now, ownership.PeerClaim{By: from, Targets: message.Claims})
	}
	sent := catalogue.Version{Revision: message.ConfigRevision, Digest: message.ConfigDigest}
	version := g.state.gateRefs.versionOf(from, sent)
	g.stepConfig(now, configsync.Announced{Peer: peer, Version: version})
}

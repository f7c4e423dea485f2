package gate

import (
	"context"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/configsync"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

const (
	// heartbeatTimeout bounds one call; it is shorter than the suspicion time.
	heartbeatTimeout = time.Second
	// unknownTransit is assumed for a peer whose round trip is not known yet.
	unknownTransit = 200 * time.Millisecond
)

// controlServer serves control calls of daemons.
type controlServer struct {
	pb.DRPCControlUnimplementedServer
	gate *Gate
}

// stepMembers applies an event to the membership machine and carries out the effects.
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
			g.roundConfirmed(now, e.Started)
		}
	}
}

// sendHeartbeat starts a call to a peer; the answer comes back as an event.
func (g *Gate) sendHeartbeat(now time.Duration, send membership.SendHeartbeat) {
	message := g.heartbeatMessage(now, send.To.Name, send.Message)
	go func() {
		ctx, cancel := context.WithTimeout(g.lifetime, heartbeatTimeout)
		defer cancel()
		client := pb.NewDRPCControlClient(g.control.Conn(ctx, send.To.Address))
		reply, err := client.Heartbeat(ctx, message)
		g.loop.Post(func(answered time.Duration) {
			if err != nil {
				g.heartbeatFailed(answered, send.To.Name)
				return
			}
			g.state.transit[send.To.Name] = answered - now
			g.receive(answered, reply)
			g.stepMembers(answered, membership.HeartbeatAnswered{Sent: now, Message: wire.HeartbeatFrom(reply)})
		})
	}()
}

func (g *Gate) heartbeatFailed(now time.Duration, peer string) {
	g.meters.ControlCall("heartbeat", "failed")
	g.state.loads.Forget(peer)
	g.state.notices.Forget(peer)
	g.stepMembers(now, membership.HeartbeatFailed{Peer: peer})
}

// heartbeatMessage adds the gossip for a peer to the membership part.
func (g *Gate) heartbeatMessage(now time.Duration, peer string, members membership.Message) *pb.HeartbeatMessage {
	transit, ok := g.state.transit[peer]
	if !ok {
		transit = unknownTransit
	}
	g.refreshLoads(now)
	message := wire.Heartbeat(members)
	version := g.state.config.Current().Version()
	message.ConfigRevision, message.ConfigDigest = version.Revision, version.Digest
	message.Loads = wire.Loads(g.state.loads.News(now, peer, transit))
	message.Notices = wire.Notices(g.state.notices.News(now, peer, transit))
	return message
}

// Heartbeat answers a peer.
func (s *controlServer) Heartbeat(ctx context.Context, message *pb.HeartbeatMessage) (*pb.HeartbeatMessage, error) {
	g := s.gate
	var reply *pb.HeartbeatMessage
	err := g.loop.Call(ctx, func(now time.Duration) {
		g.receive(now, message)
		g.stepMembers(now, membership.HeartbeatReceived{Message: wire.HeartbeatFrom(message)})
		peer := message.Self.GetName()
		reply = g.heartbeatMessage(now, peer, g.state.members.Message(now, peer))
	})
	return reply, err
}

// receive takes over what a heartbeat or its answer carries besides membership.
func (g *Gate) receive(now time.Duration, message *pb.HeartbeatMessage) {
	peer := message.Self.GetName()
	g.acceptLoads(now, g.state.loads.Merge(now, peer, wire.LoadsFrom(message.Loads)))
	g.acceptNotices(now, g.state.notices.Merge(now, peer, wire.NoticesFrom(message.Notices)))
	version := catalogue.Version{Revision: message.ConfigRevision, Digest: message.ConfigDigest}
	g.stepConfig(now, configsync.Announced{Peer: peer, Version: version})
}

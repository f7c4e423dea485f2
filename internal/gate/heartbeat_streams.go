package gate

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// heartbeatStreams keeps one heartbeat stream open to each peer. A separate call for each heartbeat would carry the
// method name and the frames of the call, about as many bytes as the heartbeat itself.
type heartbeatStreams struct {
	mu    sync.Mutex
	peers map[string]*heartbeatStream
}

// heartbeatStream is the stream to one address. Its mutex is held from sending a message until its reply arrives.
type heartbeatStream struct {
	mu     sync.Mutex
	stream pb.DRPCControl_HeartbeatClient
	cancel context.CancelFunc
	// encoder and decoder keep the state of the stream.
	encoder *wire.HeartbeatEncoder
	decoder *wire.HeartbeatDecoder
}

func newHeartbeatStreams() *heartbeatStreams {
	return &heartbeatStreams{peers: make(map[string]*heartbeatStream)}
}

func (b *heartbeatStreams) peer(address string) *heartbeatStream {
	b.mu.Lock()
	defer b.mu.Unlock()
	peer, ok := b.peers[address]
	if !ok {
		peer = new(heartbeatStream)
		b.peers[address] = peer
	}
	return peer
}

// exchangeHeartbeat sends a heartbeat to an address and returns the reply. After a failure the next heartbeat opens a
// new stream.
func (g *Gate) exchangeHeartbeat(address string, message *pb.HeartbeatMessage) (*pb.HeartbeatMessage, error) {
	peer := g.heartbeats.peer(address)
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.stream == nil {
		if err := g.openHeartbeatStream(peer, address); err != nil {
			return nil, err
		}
	}
	late := time.AfterFunc(heartbeatTimeout, peer.cancel)
	defer late.Stop()
	reply, err := peer.exchange(message)
	if err != nil {
		peer.close()
	}
	return reply, err
}

func (g *Gate) openHeartbeatStream(peer *heartbeatStream, address string) error {
	ctx, cancel := context.WithCancel(g.lifetime)
	late := time.AfterFunc(heartbeatTimeout, cancel)
	defer late.Stop()
	stream, err := pb.NewDRPCControlClient(g.control.Conn(ctx, address)).Heartbeat(ctx)
	if err != nil {
		cancel()
		return err
	}
	peer.stream, peer.cancel = stream, cancel
	peer.encoder, peer.decoder = wire.NewHeartbeatEncoder(), new(wire.HeartbeatDecoder)
	return nil
}

func (p *heartbeatStream) exchange(message *pb.HeartbeatMessage) (*pb.HeartbeatMessage, error) {
	p.encoder.Encode(message)
	if err := p.stream.Send(message); err != nil {
		return nil, err
	}
	reply, err := p.stream.Recv()
	if err != nil {
		return nil, err
	}
	return reply, p.decoder.Decode(reply)
}

func (p *heartbeatStream) close() {
	_ = p.stream.Close()
	p.cancel()
	p.stream = nil
}

// Heartbeat answers the heartbeats of a peer until its stream ends.
func (s *controlServer) Heartbeat(stream pb.DRPCControl_HeartbeatStream) error {
	encoder, decoder := wire.NewHeartbeatEncoder(), new(wire.HeartbeatDecoder)
	for {
		message, err := stream.Recv()
		if err != nil {
			return nil
		}
		if err := decoder.Decode(message); err != nil {
			return err
		}
		reply, err := s.gate.answerHeartbeat(stream.Context(), message)
		if err != nil {
			return err
		}
		encoder.Encode(reply)
		if err := stream.Send(reply); err != nil {
			return err
		}
	}
}

// Package peers exchanges load information and store revisions between routers.
//
// Each router sends small datagrams at a fixed interval. A datagram carries the number of the router's requests at each
// target, the store revision that it has seen, and a sample of the routers that it knows. Datagrams may be lost,
// delayed or duplicated; the next one compensates. A router that learns of a newer revision from another router than it
// gets from the store pulls the changes from that router with a drpc call. No state is shared: every record has a
// single writer and expires by age.
package peers

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/amaranthlb/amaranthlb/internal/mirror"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/place"
	"github.com/amaranthlb/amaranthlb/internal/rpc"
)

// Limits of the exchange.
const (
	// maxDatagram is the largest datagram, in bytes, that fits into one packet on every link.
	maxDatagram = 1400
	// pullTimeout bounds a pull: a few round trips across zones, plus a few hundred kilobytes on a 10 Mbit/s link. It
	// leaves enough time to read the store within the bound on configuration delay.
	pullTimeout = 800 * time.Millisecond
	// maxPulledBytes bounds the decompressed content of a reply. Values in the store are at most 1 MB.
	maxPulledBytes = 16 << 20
	// maxCallBytes bounds the message of a caller: the prefix of a key range and a position.
	maxCallBytes = 16 << 10
	// maxStrangerCalls bounds the connections from hosts that are not those of members. Routers that have just started call
	// before this one knows them; each call takes a few milliseconds.
	maxStrangerCalls = 8
)

// ErrForeignSource reports a datagram that did not come from the address that it states.
var ErrForeignSource = errors.New("datagram does not come from the address that it states")

// Source provides the content for replies to peers.
type Source interface {
	// Changes returns what a peer needs that holds the key range up to the position after; the zero position stands for
	// nothing.
	Changes(prefix string, after mirror.Position) Changes
	// Caches returns what is known about targets' caches.
	Caches() Caches
}

// Caches lists prompts that targets hold in their caches.
type Caches struct {
	// Complete is false while the router has just started and does not know of earlier prompts.
	Complete   bool
	Placements []place.Placement
}

// Changes brings a key range up to a position.
type Changes struct {
	At mirror.Position
	// Snapshot reports whether the events are the entire range rather than changes to it.
	Snapshot bool
	Events   []mirror.Event
	// InForce is the configuration in force if it is newer than the one in the store; nil otherwise.
	InForce *mirror.Item
}

// Counter counts the bytes of control traffic.
type Counter interface {
	ControlSent(bytes int)
	ControlReceived(bytes int)
}

// Link sends and receives the messages of one router.
type Link struct {
	socket   *net.UDPConn
	listener net.Listener
	dialer   *rpc.Dialer
	counter  Counter
}

// Open listens on the address for both datagrams and calls.
func Open(address string, counter Counter) (*Link, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, trace.Wrap(err, "listening for calls from peers on %s", address)
	}
	udpAddress, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		_ = listener.Close()
		return nil, trace.Wrap(err)
	}
	socket, err := net.ListenUDP("udp4", udpAddress)
	if err != nil {
		_ = listener.Close()
		return nil, trace.Wrap(err, "listening for datagrams from peers on %s", address)
	}
	return &Link{
		socket:   socket,
		listener: listener,
		dialer:   rpc.NewDialer(rpc.Control, nil, counter).WithoutReuse(),
		counter:  counter,
	}, nil
}

// Close closes the sockets and all connections to peers.
func (l *Link) Close() error {
	return trace.NewAggregate(l.socket.Close(), l.listener.Close(), l.dialer.Close())
}

// Send sends a digest to the addresses. If the digest does not fit into a packet, target loads are dropped from the end
// of the lists.
func (l *Link) Send(digest *pb.Digest, addresses []string) error {
	content, err := proto.Marshal(digest)
	if err != nil {
		return trace.Wrap(err)
	}
	for len(content) > maxDatagram && len(digest.TargetHashes) > 0 {
		half := len(digest.TargetHashes) / 2
		digest.TargetHashes = digest.TargetHashes[:half]
		digest.TargetRequests = digest.TargetRequests[:half]
		digest.TargetPrefillTenths = digest.TargetPrefillTenths[:half]
		if content, err = proto.Marshal(digest); err != nil {
			return trace.Wrap(err)
		}
	}
	var failures []error
	for _, address := range addresses {
		destination, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			failures = append(failures, trace.Wrap(err))
			continue
		}
		if _, err := l.socket.WriteToUDP(content, destination); err != nil {
			failures = append(failures, trace.Wrap(err))
			continue
		}
		l.counter.ControlSent(len(content))
	}
	return trace.NewAggregate(failures...)
}

// Receive calls handle for each digest. It returns once the context is cancelled and the link is closed. Read errors,
// datagrams that cannot be decoded and ErrForeignSource are passed to invalid.
func (l *Link) Receive(ctx context.Context, handle func(*pb.Digest), invalid func(error)) {
	buffer := make([]byte, 64<<10)
	for {
		length, source, err := l.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			// An ICMP error for an earlier datagram; the socket remains usable.
			invalid(err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		l.counter.ControlReceived(length)
		digest := new(pb.Digest)
		if err := proto.Unmarshal(buffer[:length], digest); err != nil {
			invalid(err)
			continue
		}
		if stated, err := netip.ParseAddrPort(digest.Address); err != nil || unmapped(stated) != unmapped(source) {
			invalid(ErrForeignSource)
			continue
		}
		handle(digest)
	}
}

// unmapped returns the IPv4 form of an address that is written as IPv6.
func unmapped(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// Serve answers calls from peers until the context is cancelled. Known reports whether an IP address is that of a member.
func (l *Link) Serve(ctx context.Context, source Source, known func(host string) bool) error {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterPeers(mux, &server{source: source}); err != nil {
		return trace.Wrap(err)
	}
	limits := rpc.Limits{MessageBytes: maxCallBytes, Strangers: maxStrangerCalls, Known: known}
	return rpc.ServeLimited(ctx, l.listener, drpc.Handler(mux), nil, l.counter, limits)
}

type server struct{ source Source }

// Pull implements the Pull method of the Peers service.
func (s *server) Pull(_ context.Context, request *pb.PullRequest) (*pb.PullReply, error) {
	changes := s.source.Changes(request.Prefix, mirror.Position{Era: request.Era, Revision: request.After})
	list := new(pb.StoreItems)
	for _, event := range changes.Events {
		list.Items = append(list.Items, EncodeEvent(event))
	}
	if changes.InForce != nil {
		list.InForce = EncodeEvent(mirror.Event{Item: *changes.InForce})
	}
	items, err := compress(list)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &pb.PullReply{Era: changes.At.Era, Revision: changes.At.Revision, Whole: changes.Snapshot, Items: items}, nil
}

// compress reduces a configuration of a few hundred kilobytes to a size suitable for the links of the smallest VMs.
func compress(list *pb.StoreItems) ([]byte, error) {
	content, err := proto.Marshal(list)
	if err != nil {
		return nil, err
	}
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(content); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

func decompress(content []byte) (*pb.StoreItems, error) {
	reader, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	decompressed, err := io.ReadAll(io.LimitReader(reader, maxPulledBytes+1))
	if err != nil {
		return nil, err
	}
	if len(decompressed) > maxPulledBytes {
		return nil, trace.LimitExceeded("reply of a peer exceeds %d bytes", maxPulledBytes)
	}
	list := new(pb.StoreItems)
	return list, proto.Unmarshal(decompressed, list)
}

// Pull requests the changes of a key range after a position from a peer.
func (l *Link) Pull(ctx context.Context, address, prefix string, after mirror.Position) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	client := pb.NewDRPCPeersClient(l.dialer.Conn(ctx, address))
	reply, err := client.Pull(ctx, &pb.PullRequest{Prefix: prefix, Era: after.Era, After: after.Revision})
	if err != nil {
		return Changes{}, trace.Wrap(err, "pulling changes of %s from %s", prefix, address)
	}
	list, err := decompress(reply.Items)
	if err != nil {
		return Changes{}, trace.Wrap(err, "decoding changes of %s from %s", prefix, address)
	}
	at := mirror.Position{Era: reply.Era, Revision: reply.Revision}
	changes := Changes{At: at, Snapshot: reply.Whole, Events: DecodeEvents(list.Items)}
	if list.InForce != nil {
		changes.InForce = &DecodeEvents([]*pb.StoreItem{list.InForce})[0].Item
	}
	return changes, nil
}

// Caches implements the Caches method of the Peers service.
func (s *server) Caches(context.Context, *pb.CachesRequest) (*pb.CachesReply, error) {
	caches := s.source.Caches()
	reply := &pb.CachesReply{Complete: caches.Complete}
	reply.PromptHashes, reply.HolderHashes = EncodePlacements(caches.Placements)
	return reply, nil
}

// Caches requests what a peer knows about targets' caches.
func (l *Link) Caches(ctx context.Context, address string) (Caches, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := pb.NewDRPCPeersClient(l.dialer.Conn(ctx, address)).Caches(ctx, &pb.CachesRequest{})
	if err != nil {
		return Caches{}, trace.Wrap(err, "requesting cache contents from %s", address)
	}
	return Caches{Complete: reply.Complete, Placements: DecodePlacements(reply.PromptHashes, reply.HolderHashes)}, nil
}

// EncodePlacements converts placements to the parallel lists of a message.
func EncodePlacements(placements []place.Placement) (prompts, holders []uint64) {
	for _, placement := range placements {
		prompts = append(prompts, placement.Key)
		holders = append(holders, placement.Target)
	}
	return prompts, holders
}

// DecodePlacements converts the parallel lists of a message to placements. Entries without a counterpart in the other
// list are dropped.
func DecodePlacements(prompts, holders []uint64) []place.Placement {
	count := min(len(prompts), len(holders))
	list := make([]place.Placement, 0, count)
	for i, key := range prompts[:count] {
		list = append(list, place.Placement{Key: key, Target: holders[i]})
	}
	return list
}

// EncodeEvent converts a change to its message.
func EncodeEvent(event mirror.Event) *pb.StoreItem {
	return &pb.StoreItem{Key: event.Key, Value: event.Value, Revision: event.Revision, Removed: event.Removed}
}

// DecodeEvents converts the messages of changes.
func DecodeEvents(items []*pb.StoreItem) []mirror.Event {
	events := make([]mirror.Event, len(items))
	for i, item := range items {
		change := mirror.Item{Key: item.Key, Value: item.Value, Revision: item.Revision}
		events[i] = mirror.Event{Item: change, Removed: item.Removed}
	}
	return events
}

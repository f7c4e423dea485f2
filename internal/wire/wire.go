// Package wire converts between the messages of internal/pb and the types of the packages that hold the protocol logic,
// so that those packages do not depend on protobuf.
package wire

import (
	"encoding/binary"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/configsync"
	"github.com/amaranthlb/amaranthlb/internal/gossip"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
)

// Gate converts a gate to a message.
func Gate(g membership.Gate) *pb.GateRef {
	return &pb.GateRef{Name: g.Name, Address: g.Address, Zone: g.Zone, Region: g.Region, Incarnation: g.Incarnation}
}

// GateFrom converts a message to a gate. Nil becomes the zero Gate.
func GateFrom(g *pb.GateRef) membership.Gate {
	return membership.Gate{
		Name:        g.GetName(),
		Address:     g.GetAddress(),
		Zone:        g.GetZone(),
		Region:      g.GetRegion(),
		Incarnation: g.GetIncarnation(),
	}
}

// GateID returns a reference by name and incarnation to a gate process that the receiver already knows in full.
func GateID(g membership.Gate) *pb.GateRef {
	return &pb.GateRef{Name: g.Name, Incarnation: g.Incarnation}
}

// Resolver returns the gate that a reference stands for, which may consist of name and incarnation only. It returns
// false if the gate is unknown.
type Resolver func(ref *pb.GateRef) (membership.Gate, bool)

// Heartbeat converts the membership part of a heartbeat to a message. The function ref determines how gates are
// referenced for the receiver.
func Heartbeat(m membership.Message, ref func(membership.Gate) *pb.GateRef) *pb.HeartbeatMessage {
	message := &pb.HeartbeatMessage{
		Self:           ref(m.From),
		Draining:       m.Draining,
		ViewVersion:    m.ViewVersion,
		ViewDigest:     m.ViewDigest,
		ListRevision:   m.ListRevision,
		LeavingTargets: m.LeavingTargets,
	}
	for _, news := range m.RelayedStatuses {
		message.News = append(message.News, &pb.PeerNews{
			Gate:     ref(news.Gate),
			AgeMs:    ceilMilliseconds(news.Age),
			Draining: news.Draining,
		})
	}
	return message
}

// HeartbeatFrom converts the membership part of a heartbeat message. It returns false if the sender cannot be resolved;
// news about unknown gates is dropped.
func HeartbeatFrom(m *pb.HeartbeatMessage, resolve Resolver) (membership.Message, bool) {
	from, ok := resolve(m.Self)
	if !ok {
		return membership.Message{}, false
	}
	message := membership.Message{
		From:           from,
		Draining:       m.Draining,
		ViewVersion:    m.ViewVersion,
		ViewDigest:     m.ViewDigest,
		ListRevision:   m.ListRevision,
		LeavingTargets: m.LeavingTargets,
	}
	for _, news := range m.News {
		gate, ok := resolve(news.Gate)
		if !ok {
			continue
		}
		message.RelayedStatuses = append(message.RelayedStatuses, membership.RelayedStatus{
			Gate:     gate,
			Age:      duration(news.AgeMs),
			Draining: news.Draining,
		})
	}
	return message, true
}

// Loads converts load records to messages. The keys are not sent; LoadsFrom rebuilds them.
func Loads(records []gossip.Record[*pb.LoadRecord]) []*pb.LoadRecord {
	loads := make([]*pb.LoadRecord, len(records))
	for i, record := range records {
		loads[i] = &pb.LoadRecord{
			Gate:        record.Payload.Gate,
			Incarnation: record.Payload.Incarnation,
			Version:     record.Version,
			AgeMs:       ceilMilliseconds(record.Age),
			Targets:     record.Payload.Targets,
			Uses:        record.Payload.Uses,
			UsesVersion: record.Payload.UsesVersion,
			Use:         record.Payload.Use,
			ShareResets: record.Payload.ShareResets,
			Since:       record.Payload.Since,
		}
	}
	return loads
}

// LoadsFrom converts the messages of load records received from the given gate.
func LoadsFrom(sender string, loads []*pb.LoadRecord) []gossip.Record[*pb.LoadRecord] {
	records := make([]gossip.Record[*pb.LoadRecord], len(loads))
	for i, load := range loads {
		records[i] = gossip.Record[*pb.LoadRecord]{
			Key:     recordKey(load),
			Version: load.Version,
			Age:     duration(load.AgeMs),
			Origin:  LoadKey(load.Gate, load.Incarnation),
			Direct:  load.Gate == sender,
			Payload: load,
		}
	}
	return records
}

func recordKey(load *pb.LoadRecord) string {
	if load.Use {
		return UsageKey(load.Gate, load.Incarnation)
	}
	return LoadKey(load.Gate, load.Incarnation)
}

// UsageKey returns the key of the customer usage record of a gate process.
func UsageKey(gate string, incarnation uint64) string { return LoadKey(gate, incarnation) + "/use" }

// LoadKey returns the key of the load record of a gate process.
func LoadKey(gate string, incarnation uint64) string {
	key := make([]byte, 0, len(gate)+loadKeySuffixLength)
	key = append(key, gate...)
	key = append(key, '/')
	return string(binary.LittleEndian.AppendUint64(key, incarnation))
}

// loadKeySuffixLength is the length of the part of a load key that follows the gate's name: a slash and the incarnation
// in 8 bytes.
const loadKeySuffixLength = 9

// Origins converts the origins of load records, which are load keys, to messages.
func Origins(keys []string) []*pb.GateRef {
	refs := make([]*pb.GateRef, 0, len(keys))
	for _, key := range keys {
		name, incarnation := key[:len(key)-loadKeySuffixLength], key[len(key)-loadKeySuffixLength+1:]
		refs = append(refs, &pb.GateRef{Name: name, Incarnation: binary.LittleEndian.Uint64([]byte(incarnation))})
	}
	return refs
}

// OriginsFrom converts messages to the origins of load records.
func OriginsFrom(refs []*pb.GateRef) []string {
	keys := make([]string, 0, len(refs))
	for _, ref := range refs {
		keys = append(keys, LoadKey(ref.GetName(), ref.GetIncarnation()))
	}
	return keys
}

// Notices converts notices to messages.
func Notices(records []gossip.Record[*pb.Notice]) []*pb.Notice {
	notices := make([]*pb.Notice, len(records))
	for i, record := range records {
		notices[i] = &pb.Notice{
			Key:     record.Key,
			Version: record.Version,
			AgeMs:   ceilMilliseconds(record.Age),
			Note:    record.Payload.Note,
			Charge:  record.Payload.Charge,
		}
	}
	return notices
}

// NoticesFrom converts messages to notices.
func NoticesFrom(notices []*pb.Notice) []gossip.Record[*pb.Notice] {
	records := make([]gossip.Record[*pb.Notice], len(notices))
	for i, notice := range notices {
		records[i] = gossip.Record[*pb.Notice]{
			Key:     notice.Key,
			Version: notice.Version,
			Age:     duration(notice.AgeMs),
			Payload: notice,
		}
	}
	return records
}

// CatalogueRequest returns a request for the catalogue entries that differ from the base.
func CatalogueRequest(base *catalogue.Catalogue) *pb.CatalogueRequest {
	request := &pb.CatalogueRequest{HaveRevision: base.Version().Revision}
	for key, digest := range configsync.Digests(base) {
		request.Have = append(request.Have, &pb.EntryDigest{Key: key, Digest: digest})
	}
	return request
}

// CatalogueReply returns the reply to a catalogue request.
func CatalogueReply(current *catalogue.Catalogue, request *pb.CatalogueRequest) *pb.CatalogueReply {
	have := make(map[string]uint64, len(request.Have))
	for _, entry := range request.Have {
		have[entry.Key] = entry.Digest
	}
	difference := configsync.DifferenceFrom(current, have)
	reply := &pb.CatalogueReply{
		Revision: difference.Version.Revision,
		Digest:   difference.Version.Digest,
		Removed:  difference.Removed,
	}
	for _, entry := range difference.Changed {
		reply.Changed = append(reply.Changed, &pb.CatalogueEntry{Key: entry.Key, Document: entry.Document})
	}
	return reply
}

// CatalogueReplyFrom converts the reply to a catalogue request.
func CatalogueReplyFrom(reply *pb.CatalogueReply) configsync.Difference {
	difference := configsync.Difference{
		Version: catalogue.Version{Revision: reply.Revision, Digest: reply.Digest},
		Removed: reply.Removed,
	}
	for _, entry := range reply.Changed {
		difference.Changed = append(difference.Changed, catalogue.Entry{Key: entry.Key, Document: entry.Document})
	}
	return difference
}

// TargetState converts the state of a target to its wire value. Live becomes the empty string, since nearly every
// target is live.
func TargetState(state membership.State) string {
	if state == membership.Live {
		return ""
	}
	return string(state)
}

// States of a live target in addition to those of the view, as reported by gates to entries.
const (
	// TargetDown is the state of a target that refuses connections.
	TargetDown = "down"
	// TargetUnloaded is the state of a target that has not loaded the catalogue's model version.
	TargetUnloaded = "unloaded"
)

// TargetStateFrom converts a wire value to the state of a target.
func TargetStateFrom(state string) membership.State {
	if state == "" {
		return membership.Live
	}
	return membership.State(state)
}

// ceilMilliseconds rounds up, since an age must not decrease in transit.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func duration(milliseconds int64) time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}

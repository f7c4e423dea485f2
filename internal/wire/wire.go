// Package wire converts between the messages of internal/pb and the types of the pure packages, so that those
// packages stay free of protobuf.
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

// Gate converts a gate.
func Gate(g membership.Gate) *pb.GateRef {
	return &pb.GateRef{Name: g.Name, Address: g.Address, Zone: g.Zone, Region: g.Region, Incarnation: g.Incarnation}
}

// GateFrom converts a gate; a missing one gives the zero Gate.
func GateFrom(g *pb.GateRef) membership.Gate {
	return membership.Gate{
		Name:        g.GetName(),
		Address:     g.GetAddress(),
		Zone:        g.GetZone(),
		Region:      g.GetRegion(),
		Incarnation: g.GetIncarnation(),
	}
}

// BriefGate names a gate process that the receiver has got in full before.
func BriefGate(g membership.Gate) *pb.GateRef {
	return &pb.GateRef{Name: g.Name, Incarnation: g.Incarnation}
}

// Resolver reads a gate that may be named briefly, and reports false when it is not known.
type Resolver func(ref *pb.GateRef) (membership.Gate, bool)

// Heartbeat puts the membership part of a heartbeat into a message; ref says how gates are named to the receiver.
func Heartbeat(m membership.Message, ref func(membership.Gate) *pb.GateRef) *pb.HeartbeatMessage {
	message := &pb.HeartbeatMessage{
		Self:           ref(m.From),
		Draining:       m.Draining,
		ViewVersion:    m.ViewVersion,
		ViewDigest:     m.ViewDigest,
		ListRevision:   m.ListRevision,
		LeavingTargets: m.LeavingTargets,
	}
	for _, news := range m.News {
		message.News = append(message.News, &pb.PeerNews{
			Gate:     ref(news.Gate),
			AgeMs:    milliseconds(news.Age),
			Draining: news.Draining,
		})
	}
	return message
}

// HeartbeatFrom reads the membership part of a heartbeat. It reports false when the sender is named briefly and
// not known; news of unknown gates is left out.
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
		message.News = append(message.News, membership.News{
			Gate:     gate,
			Age:      duration(news.AgeMs),
			Draining: news.Draining,
		})
	}
	return message, true
}

// Loads converts load records; the keys are rebuilt by LoadsFrom.
func Loads(records []gossip.Record[*pb.LoadRecord]) []*pb.LoadRecord {
	loads := make([]*pb.LoadRecord, len(records))
	for i, record := range records {
		loads[i] = &pb.LoadRecord{
			Gate:        record.Payload.Gate,
			Incarnation: record.Payload.Incarnation,
			Version:     record.Version,
			AgeMs:       milliseconds(record.Age),
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

// LoadsFrom converts load records that a gate has sent.
func LoadsFrom(sender string, loads []*pb.LoadRecord) []gossip.Record[*pb.LoadRecord] {
	records := make([]gossip.Record[*pb.LoadRecord], len(loads))
	for i, load := range loads {
		records[i] = gossip.Record[*pb.LoadRecord]{
			Key:     keyOf(load),
			Version: load.Version,
			Age:     duration(load.AgeMs),
			Origin:  LoadKey(load.Gate, load.Incarnation),
			Direct:  load.Gate == sender,
			Payload: load,
		}
	}
	return records
}

func keyOf(load *pb.LoadRecord) string {
	if load.Use {
		return UseKey(load.Gate, load.Incarnation)
	}
	return LoadKey(load.Gate, load.Incarnation)
}

// UseKey is the key of a gate process's record of the customers' use.
func UseKey(gate string, incarnation uint64) string { return LoadKey(gate, incarnation) + "/use" }

// LoadKey is the key of a gate process's load record.
func LoadKey(gate string, incarnation uint64) string {
	key := make([]byte, 0, len(gate)+loadKeyTail)
	key = append(key, gate...)
	key = append(key, '/')
	return string(binary.LittleEndian.AppendUint64(key, incarnation))
}

// loadKeyTail is the length of the part of a load key after the gate's name.
const loadKeyTail = 9

// Origins converts the origins of load records, which are load keys.
func Origins(keys []string) []*pb.GateRef {
	refs := make([]*pb.GateRef, 0, len(keys))
	for _, key := range keys {
		name, tail := key[:len(key)-loadKeyTail], key[len(key)-loadKeyTail+1:]
		refs = append(refs, &pb.GateRef{Name: name, Incarnation: binary.LittleEndian.Uint64([]byte(tail))})
	}
	return refs
}

// OriginsFrom converts the origins of load records.
func OriginsFrom(refs []*pb.GateRef) []string {
	keys := make([]string, 0, len(refs))
	for _, ref := range refs {
		keys = append(keys, LoadKey(ref.GetName(), ref.GetIncarnation()))
	}
	return keys
}

// Notices converts notices.
func Notices(records []gossip.Record[*pb.Notice]) []*pb.Notice {
	notices := make([]*pb.Notice, len(records))
	for i, record := range records {
		notices[i] = &pb.Notice{
			Key:     record.Key,
			Version: record.Version,
			AgeMs:   milliseconds(record.Age),
			Note:    record.Payload.Note,
			Charge:  record.Payload.Charge,
		}
	}
	return notices
}

// NoticesFrom converts notices.
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

// Pull asks for the entries that differ from the base.
func Pull(base *catalogue.Catalogue) *pb.CatalogueRequest {
	request := &pb.CatalogueRequest{HaveRevision: base.Version().Revision}
	for key, digest := range configsync.Digests(base) {
		request.Have = append(request.Have, &pb.EntryDigest{Key: key, Digest: digest})
	}
	return request
}

// Difference answers a pull.
func Difference(current *catalogue.Catalogue, request *pb.CatalogueRequest) *pb.CatalogueReply {
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

// DifferenceFrom reads the answer to a pull.
func DifferenceFrom(reply *pb.CatalogueReply) configsync.Difference {
	difference := configsync.Difference{
		Version: catalogue.Version{Revision: reply.Revision, Digest: reply.Digest},
		Removed: reply.Removed,
	}
	for _, entry := range reply.Changed {
		difference.Changed = append(difference.Changed, catalogue.Entry{Key: entry.Key, Document: entry.Document})
	}
	return difference
}

// TargetState converts the state of a target. Live is empty, since nearly every target is.
func TargetState(state membership.State) string {
	if state == membership.Live {
		return ""
	}
	return string(state)
}

// States of a live target beyond those of the view, as gates tell them to entries.
const (
	// TargetDown is the state of a target that refuses connections.
	TargetDown = "down"
	// TargetUnloaded is the state of a target that doesn't have the catalogue's model version.
	TargetUnloaded = "unloaded"
)

// TargetStateFrom converts the state of a target.
func TargetStateFrom(state string) membership.State {
	if state == "" {
		return membership.Live
	}
	return membership.State(state)
}

// milliseconds rounds up, since an age must not become younger on the way.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func duration(milliseconds int64) time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}

package wire

import (
	"errors"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
)

func heartbeats() []*pb.HeartbeatMessage {
	full := membership.Gate{Name: "g2", Address: "10.0.0.2:1", Zone: "z", Region: "r", Incarnation: 7}
	restarted := full
	restarted.Incarnation = 8
	self := &pb.GateRef{Name: "g1", Incarnation: 5}
	load := func(incarnation uint64, target string) *pb.LoadRecord {
		targets := []*pb.TargetLoad{{Target: target, Load: 3}, {Target: "t9", State: "down"}}
		return &pb.LoadRecord{Gate: "g2", Incarnation: incarnation, Version: 4, AgeMs: 20, Targets: targets}
	}
	return []*pb.HeartbeatMessage{
		{Self: self, ViewVersion: 3, ViewDigest: 1, News: []*pb.PeerNews{{Gate: Gate(full), AgeMs: 4}}},
		{Self: self, ViewVersion: 3, ViewDigest: 1, News: []*pb.PeerNews{{Gate: GateID(full)}}, Loads: []*pb.LoadRecord{load(7, "t1")}},
		{Self: self, ViewVersion: 4, ViewDigest: 2, Draining: true, LeavingTargets: []string{"t1"}, Claims: []string{"t2"}},
		{Self: self, ViewVersion: 4, ViewDigest: 2, Draining: true, LeavingTargets: []string{"t1"}, Loads: []*pb.LoadRecord{load(8, "t2")}},
		{Self: self, ViewVersion: 4, ViewDigest: 2, News: []*pb.PeerNews{{Gate: Gate(restarted)}, {Gate: GateID(full)}}},
		{Self: self, ViewVersion: 4, ViewDigest: 2, News: []*pb.PeerNews{{Gate: GateID(restarted)}}, Loads: []*pb.LoadRecord{load(8, "t2")}},
		{Self: self, Skip: Origins([]string{LoadKey("g2", 7), LoadKey("g3", 1)}), Resume: Origins([]string{LoadKey("g2", 8)})},
	}
}

// transmit marshals a message and unmarshals it into received.
func transmit[M proto.Message](t *testing.T, m, received M) {
	t.Helper()
	content, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(content, received); err != nil {
		t.Fatal(err)
	}
}

// Guards against compressed heartbeats that are altered by the round trip, also after a restart of a gate that they
// refer to.
func TestHeartbeatRoundTrip(t *testing.T) {
	encoder, decoder := NewHeartbeatEncoder(), new(HeartbeatDecoder)
	for i, message := range heartbeats() {
		want := proto.Clone(message)
		encoder.Encode(message)
		if i == 5 && (2*proto.Size(message) > proto.Size(want) || !message.Same) {
			t.Errorf("got %d bytes for known names and an unchanged sender: %v", proto.Size(message), message)
		}
		received := new(pb.HeartbeatMessage)
		transmit(t, message, received)
		if err := decoder.Decode(received); err != nil || !proto.Equal(received, want) {
			t.Fatalf("message %d (%v): got %v, want %v", i, err, received, want)
		}
	}
}

// Guards against origins of load records that are altered by the round trip, also if they contain a zero byte or a
// slash.
func TestOriginsRoundTrip(t *testing.T) {
	keys := []string{LoadKey("g1", 0x2f00000000000000), LoadKey("a/b", 7), LoadKey("", 0)}
	if got := OriginsFrom(Origins(keys)); !slices.Equal(got, keys) {
		t.Fatalf("got %q, want %q", got, keys)
	}
}

// Guards against compression for one peer that modifies a load record shared with messages to other peers.
func TestEncodeDoesNotModifySharedLoads(t *testing.T) {
	shared := []*pb.TargetLoad{{Target: "t1", Load: 3}}
	encoder := NewHeartbeatEncoder()
	for range 2 {
		encoder.Encode(&pb.HeartbeatMessage{Loads: []*pb.LoadRecord{{Gate: "g", Targets: shared}}})
	}
	if shared[0].Target != "t1" || shared[0].Number != 0 {
		t.Fatalf("the shared load was changed to %v", shared[0])
	}
}

// Guards against references to names of another stream, a peer that numbers names out of order or too many of them, and
// a message without a name or number. Each has to end the stream.
func TestDecodeRejectsUnknownReferences(t *testing.T) {
	cases := map[string]*pb.HeartbeatMessage{
		"unchanged sender": {Same: true},
		"gate":             {News: []*pb.PeerNews{{Gate: &pb.GateRef{Number: 1}}}},
		"no gate":          {News: []*pb.PeerNews{{}}},
		"record":           {Loads: []*pb.LoadRecord{{Number: 1}}},
		"target":           {Loads: []*pb.LoadRecord{{Gate: "g", Number: 1, Targets: []*pb.TargetLoad{{Number: 1}}}}},
		"order":            {News: []*pb.PeerNews{{Gate: &pb.GateRef{Name: "g", Number: 2}}}},
	}
	for name, message := range cases {
		t.Run(name, func(t *testing.T) {
			if err := new(HeartbeatDecoder).Decode(message); !errors.Is(err, ErrUnknownReference) {
				t.Fatalf("error is %v", err)
			}
		})
	}
}

// Guards against memory that grows with the number of names on a stream.
func TestDictionarySizeIsBounded(t *testing.T) {
	dictionary := make(encodeDictionary)
	for i := range 2 * maxDictionarySize {
		dictionary.numberOf(string(rune(i + 0x10000)))
	}
	if number, carried := dictionary.numberOf("one more"); len(dictionary) != maxDictionarySize || number != 0 || carried {
		t.Fatalf("%d names in the dictionary, number of the next one is %d", len(dictionary), number)
	}
}

// Guards against updates to entries that are altered by the round trip.
func TestUpdateRoundTrip(t *testing.T) {
	self := &pb.GateRef{Name: "g", Address: "10.0.0.1:1", Incarnation: 3}
	load := func(target string, load int32) *pb.TargetLoad { return &pb.TargetLoad{Target: target, Load: load} }
	encoder, decoder := NewUpdateEncoder(), new(UpdateDecoder)
	for i, update := range []*pb.FollowUpdate{
		{Self: self, ConfigRevision: 1, ConfigDigest: 2, Targets: []*pb.TargetLoad{load("a", 1)}},
		{Self: self, ConfigRevision: 1, ConfigDigest: 2, Targets: []*pb.TargetLoad{load("b", 1), load("a", 0)}},
		{Self: self, ConfigRevision: 2, ConfigDigest: 3, Draining: true},
		{Self: self, ConfigRevision: 2, ConfigDigest: 3, Targets: []*pb.TargetLoad{load("b", 2)}},
	} {
		want := proto.Clone(update)
		encoder.Encode(update)
		if i == 3 && proto.Size(update) > 8 {
			t.Errorf("got %d bytes for one load, want at most 8: %v", proto.Size(update), update)
		}
		received := new(pb.FollowUpdate)
		transmit(t, update, received)
		if err := decoder.Decode(received); err != nil || !proto.Equal(received, want) {
			t.Fatalf("update %d (%v): got %v, want %v", i, err, received, want)
		}
	}
	if err := new(UpdateDecoder).Decode(&pb.FollowUpdate{Same: true}); !errors.Is(err, ErrUnknownReference) {
		t.Fatalf("error is %v", err)
	}
}

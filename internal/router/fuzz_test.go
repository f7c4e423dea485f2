package router

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/peers"
)

// FuzzDigest guards against a datagram that ends the process: any process that reaches the port can send one.
func FuzzDigest(f *testing.F) {
	for _, digest := range []*pb.Digest{
		{},
		{Address: "10.0.0.1:1", Incarnation: 7, Zone: "a", Members: []*pb.Member{{Address: "10.0.0.2:1", AgeMs: 4_000_000_000}, nil}},
		{Notice: true, PromptHashes: []uint64{1, 2}, HolderHashes: []uint64{3}, HeadHashes: []uint64{4, 5}, PlacementPrefillTenths: []uint32{1}},
		{Inheritance: true, PromptHashes: []uint64{1}, HolderHashes: []uint64{2}},
		{Charges: []*pb.Charge{{}, nil}},
		{CrashReport: true, PromptCrashes: []*pb.PromptCrash{{}, {Target: "t", Parts: []uint64{1, 1}, AgeMs: -1 << 62}, nil}, AnsweredParts: []*pb.AnsweredPart{{Part: 1, AgeMs: 1 << 62}}},
		{RefusedPrompts: []*pb.RefusedPrompt{{}, {Parts: []uint64{1}, AgeMs: 1 << 62}, nil}},
		{RelayedPlacements: 4_000_000_000, PromptHashes: []uint64{1}, HolderHashes: []uint64{2}},
		{TargetHashes: []uint64{1}, TargetRequests: []uint32{2, 3}, News: []*pb.RangeNews{{Prefix: "p"}, nil}, Ranges: []*pb.RangeRevision{nil}},
	} {
		content, err := proto.Marshal(digest)
		if err != nil {
			continue // nil entries can't be marshalled in every version of the library
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		digest := new(pb.Digest)
		if proto.Unmarshal(content, digest) != nil {
			return
		}
		r := newReader(t, &slowStore{})
		link, err := peers.Open("127.0.0.1:0", r.meters)
		if err != nil {
			t.Skip(err)
		}
		defer func() { _ = link.Close() }()
		r.link = link
		r.handleDigest(digest)
		r.expire(r.now(), 0)
	})
}

// FuzzCompleteEvents guards against events that are cut in the middle or forwarded twice.
func FuzzCompleteEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n"))
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid"))
	f.Add([]byte("\n\n\r\n\r\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		length := completeEventsLength(content)
		if length < 0 || length > len(content) {
			t.Fatalf("%d of %d bytes", length, len(content))
		}
		if length > 0 && content[length-1] != '\n' {
			t.Errorf("the complete events end within a line: %q", content[:length])
		}
		if rest := content[length:]; completeEventsLength(rest) != 0 {
			t.Errorf("complete events are left: %q", rest)
		}
		_, _ = lastEventID(content, "")
	})
}

// Guards against a stream that is continued after an event that is not its last.
func TestLastEventID(t *testing.T) {
	for name, c := range map[string]struct {
		events, want string
		known        bool
	}{
		"one event":                   {"id: 1\ndata: a\n\n", "1", true},
		"several":                     {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", true},
		"the last has none":           {"id: 1\ndata: a\n\ndata: b\n\n", "1", false},
		"none":                        {"data: a\n\n", "0", false},
		"carriage returns":            {"id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", "2", true},
		"the ID stands behind a data": {"data: a\nid: 3\n\n", "3", true},
	} {
		if got, known := lastEventID([]byte(c.events), "0"); got != c.want || known != c.known {
			t.Errorf("%s: got %q, %t", name, got, known)
		}
	}
}

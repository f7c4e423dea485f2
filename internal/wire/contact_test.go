package wire

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/place"
)

// Guards against an age that decreases in transit, and against reports that are lost or misread in a fleet whose routers
// run different versions: digests without the field, and digests and reports with fields of a later version.
func TestTargetContactsBetweenVersions(t *testing.T) {
	contacts := []place.Contact{{Instance: 1 << 63, Age: 900*time.Millisecond + 1}, {Instance: 7, Reached: true}}
	want := []place.Contact{{Instance: 1 << 63, Age: 901 * time.Millisecond}, {Instance: 7, Reached: true}}
	later := func(content []byte) []byte {
		content = protowire.AppendTag(content, 1000, protowire.BytesType)
		content = protowire.AppendString(content, "later")
		content = protowire.AppendTag(content, 1001, protowire.VarintType)
		return protowire.AppendVarint(content, 5)
	}
	messages := TargetContacts(contacts)
	for _, m := range messages {
		m.ProtoReflect().SetUnknown(later(nil))
	}
	content, err := proto.Marshal(&pb.Digest{Address: "a", TargetContacts: messages})
	if err != nil {
		t.Fatal(err)
	}
	digest := new(pb.Digest)
	if err := proto.Unmarshal(later(content), digest); err != nil {
		t.Fatal(err)
	}
	if got := TargetContactsFrom(digest.TargetContacts); !reflect.DeepEqual(got, want) || digest.Address != "a" {
		t.Errorf("from a later version: got %v, want %v", got, want)
	}
	// An older version has no field of this number in its Digest; neither has Member, which stands for it.
	older := new(pb.Member)
	if err := proto.Unmarshal(content, older); err != nil || older.Address != "a" {
		t.Errorf("an older version reads address %q, %v", older.Address, err)
	}
	if got := TargetContactsFrom(new(pb.Digest).TargetContacts); len(got) != 0 {
		t.Errorf("from an older version: got %v, want none", got)
	}
}

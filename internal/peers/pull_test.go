package peers

import (
	"bytes"
	"compress/gzip"
	"testing"

	"github.com/gravitational/trace"
)

// Guards against a reply that expands beyond the limit and is taken for a complete one after it was cut there.
func TestOversizedReplyIsRejected(t *testing.T) {
	var reply bytes.Buffer
	writer := gzip.NewWriter(&reply)
	// A field that is skipped: the part up to the limit alone would be a valid message.
	if _, err := writer.Write(bytes.Repeat([]byte{0x38, 0x01}, maxPulledBytes/2+1)); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := decompress(reply.Bytes()); !trace.IsLimitExceeded(err) {
		t.Errorf("got %v", err)
	}
}

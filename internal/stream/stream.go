// Package stream numbers the chunks of a response and verifies that the response is complete.
//
// A response is complete only if every chunk has arrived exactly once and in order, and the count and checksum of the
// end marker match. Everything else is an error, never a truncated response.
package stream

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Writer numbers outgoing chunks and computes the end marker.
type Writer struct {
	next int64
	hash xxhash.Digest
}

// NewWriter returns a writer whose first chunk has the sequence number from.
func NewWriter(from int64) *Writer {
	w := &Writer{next: from}
	w.hash.Reset()
	return w
}

// Add accounts for one chunk and returns its sequence number.
func (w *Writer) Add(data []byte) int64 {
	sequence := w.next
	w.next++
	_, _ = w.hash.Write(data)
	return sequence
}

// Next returns the sequence number of the next chunk.
func (w *Writer) Next() int64 { return w.next }

// End returns the end marker: the number of chunks in the complete response and the checksum of the chunks added.
func (w *Writer) End() (count int64, checksum uint64) {
	return w.next, w.hash.Sum64()
}

// Fault reports a violation of the chunk protocol.
type Fault struct {
	Kind FaultKind
	Want int64
	Got  int64
}

// FaultKind is the kind of a protocol violation.
type FaultKind string

// Kinds of faults.
const (
	Gap           FaultKind = "gap"
	WrongCount    FaultKind = "wrong count"
	WrongChecksum FaultKind = "wrong checksum"
	WrongRequest  FaultKind = "answer of another request"
)

func (f *Fault) Error() string {
	if f.Kind == WrongChecksum || f.Kind == WrongRequest {
		return "answer is not whole: " + string(f.Kind)
	}
	return fmt.Sprintf("answer is not whole: %s, want chunk %d, got %d", f.Kind, f.Want, f.Got)
}

// Verifier verifies incoming chunks.
type Verifier struct {
	request string
	next    int64
	hash    xxhash.Digest
}

// NewVerifier returns a verifier for the response to one request, starting at the sequence number from.
func NewVerifier(request string, from int64) *Verifier {
	v := &Verifier{request: request, next: from}
	v.hash.Reset()
	return v
}

// Chunk verifies one chunk. For a duplicate chunk it returns false without a fault.
func (v *Verifier) Chunk(request string, sequence int64, data []byte) (bool, *Fault) {
	if request != v.request {
		return false, &Fault{Kind: WrongRequest}
	}
	if sequence < v.next {
		return false, nil
	}
	if sequence > v.next {
		return false, &Fault{Kind: Gap, Want: v.next, Got: sequence}
	}
	v.next++
	_, _ = v.hash.Write(data)
	return true, nil
}

// End verifies the end marker. It returns nil if the response is complete.
func (v *Verifier) End(request string, count int64, checksum uint64) *Fault {
	switch {
	case request != v.request:
		return &Fault{Kind: WrongRequest}
	case count != v.next:
		return &Fault{Kind: WrongCount, Want: v.next, Got: count}
	case checksum != v.hash.Sum64():
		return &Fault{Kind: WrongChecksum}
	}
	return nil
}

// Next returns the sequence number of the first missing chunk.
func (v *Verifier) Next() int64 { return v.next }

// ResetChecksum resets the checksum at the first missing chunk, for a call that resumes the response.
func (v *Verifier) ResetChecksum() {
	v.hash.Reset()
}

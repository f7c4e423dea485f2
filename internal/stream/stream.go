// Package stream numbers the chunks of an answer and checks that the answer is whole.
//
// An answer is whole only when every chunk from the first to the last has arrived in order and once, and the
// end marker's count and checksum match. Everything else is an error, never a short answer.
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

// Next returns the sequence number that the next chunk will get.
func (w *Writer) Next() int64 { return w.next }

// End returns the end marker: the number of chunks of the whole answer, and the checksum of those added.
func (w *Writer) End() (count int64, checksum uint64) {
	return w.next, w.hash.Sum64()
}

// Fault is a violation of the chunk protocol.
type Fault struct {
	Kind FaultKind
	Want int64
	Got  int64
}

// FaultKind tells violations apart.
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

// Verifier checks incoming chunks.
type Verifier struct {
	request string
	next    int64
	hash    xxhash.Digest
}

// NewVerifier returns a verifier for the answer to one request, starting at the sequence number from.
func NewVerifier(request string, from int64) *Verifier {
	v := &Verifier{request: request, next: from}
	v.hash.Reset()
	return v
}

// Chunk checks one chunk. It reports false, without a fault, for a chunk that has been seen already.
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

// End checks the end marker; nil means that the answer is whole.
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

// Next returns the sequence number of the first chunk that is still missing.
func (v *Verifier) Next() int64 { return v.next }

// Restart begins a new checksum at the first missing chunk, for a call that resumes the answer.
func (v *Verifier) Restart() {
	v.hash.Reset()
}

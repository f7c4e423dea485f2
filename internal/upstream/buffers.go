package upstream

import "sync/atomic"

const (
	// DefaultHeldBytes bounds the held response data of all requests together if no other limit is set.
	DefaultHeldBytes = 64 << 20
	// freeBytes is what each response may hold without regard to that limit, so that ordinary ones are never affected.
	freeBytes = 16 << 10
	// headCost is the memory, in bytes, that a byte of a response head takes at worst when it is parsed: many short fields.
	headCost = 16
)

// buffers counts the response data that is held in memory before it is passed on or skipped. Targets in trouble may send
// data without end in many responses at a time, each of which stays within its own limit. It is safe for concurrent use.
type buffers struct {
	limit int64
	held  atomic.Int64
}

// reserve adds to the held bytes, unless that exceeds the limit. A negative number releases bytes.
func (b *buffers) reserve(bytes int64) bool {
	if b.held.Add(bytes) <= b.limit || bytes <= 0 {
		return true
	}
	b.held.Add(-bytes)
	return false
}

// reservation is the part of the held bytes that belongs to one response.
type reservation struct {
	buffers *buffers
	bytes   int64
}

// hold sets the number of bytes that the response holds, and reports whether that is within the limit. After a refusal
// the reservation is as before.
func (r *reservation) hold(bytes int64) bool {
	wanted := max(bytes-freeBytes, 0)
	if wanted == r.bytes {
		return true
	}
	if !r.buffers.reserve(wanted - r.bytes) {
		return false
	}
	r.bytes = wanted
	return true
}

// Package membudget bounds the memory that many requests hold together.
package membudget

import "sync/atomic"

// FreeBytes is what each reservation may hold, in bytes, without regard to the limit, so that ordinary requests and
// responses are never affected.
const FreeBytes = 16 << 10

// Budget counts the data that is held in memory by all reservations together. Peers in trouble may send data without end
// in many requests or responses at a time, each of which stays within its own limit. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// New returns a budget with a limit in bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the limit, in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Held returns the bytes that are held at present beyond the free part of each reservation.
func (b *Budget) Held() int64 { return b.held.Load() }

// Reservation returns a reservation that holds nothing yet.
func (b *Budget) Reservation() Reservation { return Reservation{budget: b} }

// reserve adds to the held bytes, unless that exceeds the limit. A negative number releases bytes.
func (b *Budget) reserve(bytes, limit int64) bool {
	if b.held.Add(bytes) <= limit || bytes <= 0 {
		return true
	}
	b.held.Add(-bytes)
	return false
}

// Reservation is the part of the held bytes that belongs to one request or response. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Hold sets the number of bytes that are held, and reports whether that is within the limit. After a refusal the
// reservation is as before.
func (r *Reservation) Hold(bytes int64) bool { return r.HoldWithin(bytes, r.budget.limit) }

// HoldWithin is Hold with another limit, in bytes, than that of the budget.
func (r *Reservation) HoldWithin(bytes, limit int64) bool {
	wanted := max(bytes-FreeBytes, 0)
	if wanted == r.bytes {
		return true
	}
	if !r.budget.reserve(wanted-r.bytes, limit) {
		return false
	}
	r.bytes = wanted
	return true
}

// Bytes returns what the reservation counts against the limit, in bytes.
func (r *Reservation) Bytes() int64 { return r.bytes }

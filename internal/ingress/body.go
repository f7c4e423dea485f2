// Package ingress bounds what clients and other processes on the network can take of a router: the memory of request
// bodies, the time for a body, and connections.
package ingress

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membudget"
)

// DefaultRequestBytes bounds the memory of request bodies if the VM's memory is not known.
const DefaultRequestBytes = 64 << 20

// minBodies is the number of bodies of the largest size that the budget holds at least. A buffer of twice a body's size
// is never needed, so a single request inside the limits is always served.
const minBodies = 2

// Errors of ReadBody. Nothing of the request has been sent to a target by then.
var (
	// ErrTooLarge reports a body over the limit.
	ErrTooLarge = errors.New("request body exceeds the limit")
	// ErrTimeout reports a body that was not complete at its deadline.
	ErrTimeout = errors.New("request body was not complete at its deadline")
	// ErrMemory reports a body that was given up because the bodies of all requests would exceed the budget.
	ErrMemory = errors.New("request body was given up to free memory")
)

// Incoming is a request body that has not been read yet.
type Incoming struct {
	Source io.Reader
	// Length is the announced length in bytes; negative if unknown.
	Length int64
	// Limit is the largest body, in bytes.
	Limit int64
	// Customer owns the request; empty if unknown.
	Customer string
	// Interrupt makes a read in progress fail. It may be called from another goroutine.
	Interrupt func()
}

// Reader reads request bodies within a memory budget. It is safe for concurrent use.
type Reader struct {
	now    func() time.Duration
	budget *membudget.Budget

	mu sync.Mutex
	// bodies are those beyond the free part of a reservation that are being read.
	bodies  Bodies
	reading map[*Body]*Held
}

// NewReader returns a reader whose bodies together hold at most the given number of bytes, or two bodies of the largest
// size if that is more. The clock is monotonic.
func NewReader(limit int64, now func() time.Duration) *Reader {
	return &Reader{now: now, budget: membudget.New(limit), reading: make(map[*Body]*Held)}
}

// HeldBytes returns the memory of all bodies, in bytes, beyond the free part of each.
func (r *Reader) HeldBytes() int64 { return r.budget.Held() }

// Held is the memory of one body. It counts until Release.
type Held struct {
	reader      *Reader
	in          Incoming
	startedAt   time.Duration
	reservation membudget.Reservation
	// body is nil as long as the buffer is within the free part, and once the body has been read or given up.
	body  *Body
	given bool
}

// ReadBody reads a body until its end. The caller sets the read deadline of the connection, and releases the memory once
// it needs the body no more, also after an error. An error of the source is returned as it is, unless it is one of
// those above.
func (r *Reader) ReadBody(in Incoming) ([]byte, *Held, error) {
	held := &Held{reader: r, in: in, startedAt: r.now(), reservation: r.budget.Reservation()}
	if in.Length > in.Limit {
		return nil, held, ErrTooLarge
	}
	most := in.Limit + 1
	if in.Length >= 0 {
		most = in.Length + 1
	}
	buffer := make([]byte, 0, min(most, membudget.FreeBytes))
	for {
		if len(buffer) == cap(buffer) {
			larger := min(2*int64(cap(buffer)), most)
			if !held.grow(larger, int64(len(buffer)), most) {
				return nil, held, ErrMemory
			}
			buffer = append(make([]byte, 0, larger), buffer...)
		}
		n, err := in.Source.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		complete := held.received(int64(n), err == io.EOF)
		switch {
		case int64(len(buffer)) > in.Limit:
			return nil, held, ErrTooLarge
		case err == io.EOF && complete:
			return buffer, held, nil
		case held.givenUp():
			return nil, held, ErrMemory
		case isTimeout(err):
			return nil, held, ErrTimeout
		case err != nil:
			return nil, held, err
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// grow charges a larger buffer of a body that has received some bytes of at most the given number. If there is no memory,
// it gives up other bodies, or else reports that this one is given up.
func (h *Held) grow(capacity, received, most int64) bool {
	r := h.reader
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.given {
		return false
	}
	now := r.now()
	if h.body == nil {
		h.body = r.bodies.Start(now, h.startedAt, h.in.Customer, capacity, most)
		h.body.Received(now, received)
		r.reading[h.body] = h
	}
	limit := max(r.budget.Limit(), minBodies*(h.in.Limit+1))
	for !h.reservation.HoldWithin(capacity, limit) {
		victim := r.bodies.Victim(now, limit)
		if victim == nil && r.bodies.Protected() == h.body && h.reservation.HoldWithin(capacity, limit+h.in.Limit+1) {
			// Complete bodies hold the budget. The one body that is still being read may exceed it by its own size.
			break
		}
		if victim == nil {
			victim = h.body
		}
		r.giveUp(victim)
		if victim == h.body || h.given {
			return false
		}
	}
	h.body.Held = capacity
	return true
}

// giveUp releases the memory of a body and ends its reading. The caller holds r.mu.
func (r *Reader) giveUp(body *Body) {
	held := r.reading[body]
	held.stop()
	held.given = true
	held.reservation.Hold(0)
	held.in.Interrupt()
}

// stop ends the tracking of a body. The caller holds the reader's mu.
func (h *Held) stop() {
	if h.body != nil {
		h.reader.bodies.End(h.body)
		delete(h.reader.reading, h.body)
		h.body = nil
	}
}

// received records bytes that have arrived, and whether they were the last. It reports whether the body was not given up.
func (h *Held) received(bytes int64, last bool) bool {
	r := h.reader
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.body != nil {
		h.body.Received(r.now(), bytes)
	}
	if last {
		h.stop()
	}
	return !h.given
}

func (h *Held) givenUp() bool {
	h.reader.mu.Lock()
	defer h.reader.mu.Unlock()
	return h.given
}

// Release states that the body is not needed any more. It may be called more than once, and on nil.
func (h *Held) Release() {
	if h == nil {
		return
	}
	h.reader.mu.Lock()
	defer h.reader.mu.Unlock()
	h.stop()
	h.reservation.Hold(0)
}

package ingress

import (
	"cmp"
	"slices"
	"time"
)

const (
	// progressWindow is the time over which the progress of a body is compared.
	progressWindow = time.Second
	// minProgressAge is the shortest age by which the progress of a body is divided, so that a single early packet does
	// not outweigh a steady sender.
	minProgressAge = 100 * time.Millisecond
)

// Body is a request body that is being read.
type Body struct {
	// Customer owns the request; empty if unknown.
	Customer string
	// Held is the capacity of the body's buffer, in bytes.
	Held int64
	// Left is the number of bytes until the end, at most those until the limit of a body if the end is not known.
	Left int64

	number    uint64
	startedAt time.Duration
	// windowAt is when the current window began; recent and previous are the bytes received in it and in the one before.
	windowAt         time.Duration
	recent, previous int64
}

// Bodies decides which body is given up when there is no memory for all. It reads no clock, does no I/O and is not safe
// for concurrent use. Times are since an arbitrary start.
type Bodies struct {
	list []*Body
	next uint64
}

// Start adds a body of which left bytes are still to come at most, and that has been read since startedAt.
func (b *Bodies) Start(now, startedAt time.Duration, customer string, held, left int64) *Body {
	body := &Body{Customer: customer, Held: held, Left: left, number: b.next, startedAt: startedAt, windowAt: now}
	b.next++
	b.list = append(b.list, body)
	return body
}

// End removes a body. It does nothing if the body was removed before.
func (b *Bodies) End(body *Body) {
	if at := slices.Index(b.list, body); at >= 0 {
		b.list = slices.Delete(b.list, at, at+1)
	}
}

// Received records bytes that have arrived.
func (b *Body) Received(now time.Duration, bytes int64) {
	b.roll(now)
	b.recent += bytes
	b.Left = max(b.Left-bytes, 0)
}

// roll starts a new window if the current one is over.
func (b *Body) roll(now time.Duration) {
	switch age := now - b.windowAt; {
	case age < progressWindow:
	case age < 2*progressWindow:
		b.previous, b.recent, b.windowAt = b.recent, 0, b.windowAt+progressWindow
	default:
		b.previous, b.recent, b.windowAt = 0, 0, now
	}
}

// progress returns the bytes a second in the last progressWindow. The part of it that lies in the previous window counts
// with that share of the window's bytes. Integers give the same order on all architectures.
func (b *Body) progress(now time.Duration) int64 {
	b.roll(now)
	left := int64(progressWindow - (now - b.windowAt))
	bytes := b.recent + b.previous*left/int64(progressWindow)
	return bytes * int64(time.Second) / int64(min(max(now-b.startedAt, minProgressAge), progressWindow))
}

// Protected returns the body that always continues: the one that is nearest to its end, the oldest of several. It
// returns nil if there is none.
func (b *Bodies) Protected() *Body {
	if len(b.list) == 0 {
		return nil
	}
	return slices.MinFunc(b.list, func(x, y *Body) int {
		return cmp.Or(cmp.Compare(x.Left, y.Left), cmp.Compare(x.number, y.number))
	})
}

// Victim returns the body to give up so that others can continue: one of a known customer that holds more than half of
// the limit, in bytes, if there is one, and of these the one with the least progress. Between bodies with the same progress
// the customer that holds the most decides, then the bytes that are left. The protected body is never given up, so the
// result is nil if there is no other.
func (b *Bodies) Victim(now time.Duration, limit int64) *Body {
	protected := b.Protected()
	held := make(map[string]int64)
	for _, body := range b.list {
		held[body.Customer] += body.Held
	}
	var victim *Body
	for _, body := range b.list {
		if body != protected && (victim == nil || b.before(now, body, victim, held, limit) < 0) {
			victim = body
		}
	}
	return victim
}

func (b *Bodies) before(now time.Duration, x, y *Body, held map[string]int64, limit int64) int {
	exceeds := func(body *Body) int {
		if body.Customer != "" && held[body.Customer] > limit/2 {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(exceeds(x), exceeds(y)),
		cmp.Compare(x.progress(now), y.progress(now)),
		-cmp.Compare(held[x.Customer], held[y.Customer]),
		-cmp.Compare(x.Left, y.Left),
		-cmp.Compare(x.number, y.number),
	)
}

package ingress

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membudget"
)

const bodyLimit = 1 << 20

func newTestReader(limit int64) *Reader {
	start := time.Now()
	return NewReader(limit, func() time.Duration { return time.Since(start) })
}

// Guards against a budget that refuses a single request inside the limits, whatever the VM's memory.
func TestSingleBodyIsServedWithAnyBudget(t *testing.T) {
	for _, budget := range []int64{0, 1, bodyLimit, 64 << 20} {
		for _, size := range []int{1, membudget.FreeBytes, 55 << 10, bodyLimit - 1, bodyLimit} {
			for _, length := range []int64{-1, int64(size)} {
				r := newTestReader(budget)
				content := bytes.Repeat([]byte("x"), size)
				body, held, err := r.ReadBody(Incoming{Source: bytes.NewReader(content), Length: length, Limit: bodyLimit, Interrupt: func() {}})
				if err != nil || !bytes.Equal(body, content) {
					t.Errorf("budget %d, size %d, length %d: %d bytes, %v", budget, size, length, len(body), err)
				}
				held.Release()
				if left := r.HeldBytes(); left != 0 || len(r.reading) != 0 {
					t.Errorf("budget %d, size %d: %d bytes and %d bodies held at the end", budget, size, left, len(r.reading))
				}
			}
		}
	}
}

// Guards against bodies over the limit that are read, announced ones even before their first byte.
func TestBodyOverTheLimit(t *testing.T) {
	unread := bytes.NewReader(make([]byte, 2*bodyLimit))
	if _, _, err := newTestReader(0).ReadBody(Incoming{Source: unread, Length: 2 * bodyLimit, Limit: bodyLimit}); !errors.Is(err, ErrTooLarge) || unread.Len() != 2*bodyLimit {
		t.Errorf("announced: %v, %d bytes unread", err, unread.Len())
	}
	if _, _, err := newTestReader(0).ReadBody(Incoming{Source: unread, Length: -1, Limit: bodyLimit}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("not announced: %v", err)
	}
}

// stalledBody delivers a number of bytes and then waits until it is interrupted.
type stalledBody struct {
	left        int
	interrupted chan struct{}
}

func (s *stalledBody) Read(buffer []byte) (int, error) {
	if s.left == 0 {
		<-s.interrupted
		return 0, net.ErrClosed
	}
	n := min(s.left, len(buffer))
	s.left -= n
	return n, nil
}

// Guards against bodies that stop short and together exceed the budget, and against an ordinary body that gets no memory
// because of them.
func TestStalledBodiesStayWithinTheBudget(t *testing.T) {
	const budget, clients = 4 * bodyLimit, 20
	r := newTestReader(budget)
	errs := make(chan error, clients)
	for range clients {
		source := &stalledBody{left: bodyLimit - 1, interrupted: make(chan struct{})}
		go func() {
			_, held, err := r.ReadBody(Incoming{Source: source, Length: -1, Limit: bodyLimit, Interrupt: func() { close(source.interrupted) }})
			held.Release()
			errs <- err
		}()
	}
	// All but those that fit into the budget are given up.
	for range clients - budget/bodyLimit {
		if err := <-errs; !errors.Is(err, ErrMemory) {
			t.Errorf("a stalled body ended with %v", err)
		}
	}
	time.Sleep(2 * progressWindow)
	if held := r.HeldBytes(); held > budget+bodyLimit+1 {
		t.Errorf("%d bytes held", held)
	}
	_, held, err := r.ReadBody(Incoming{Source: io.LimitReader(bytes.NewReader(make([]byte, bodyLimit)), bodyLimit), Length: bodyLimit, Limit: bodyLimit, Interrupt: func() {}})
	if err != nil {
		t.Errorf("an ordinary body: %v", err)
	}
	held.Release()
	r.mu.Lock()
	for _, body := range append([]*Body{}, r.bodies.list...) {
		r.giveUp(body)
	}
	r.mu.Unlock()
	for range len(errs) {
		<-errs
	}
}

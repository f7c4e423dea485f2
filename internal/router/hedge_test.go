package router

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/directory"
	"github.com/amaranthlb/amaranthlb/internal/mirror"
)

// lapsedStore never answers the calls that it received while it was down.
type lapsedStore struct {
	slowStore
	mu    sync.Mutex
	up    time.Time
	calls int
	err   error
}

func (s *lapsedStore) Range(ctx context.Context, prefix string) (mirror.Position, []mirror.Item, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	if time.Now().Before(s.up) {
		<-ctx.Done()
		return mirror.Position{}, nil, ctx.Err()
	}
	if s.err != nil {
		return mirror.Position{}, nil, s.err
	}
	return mirror.Position{Revision: 1}, nil, nil
}

// Guards against a router that waits for a call which a silent store has swallowed although the store is back. After
// the loss of all routers while the store was silent, none served for 2.5 s after its return.
func TestReadSucceedsSoonAfterASilentStoreReturns(t *testing.T) {
	const down, limit = 300 * time.Millisecond, 2 * time.Second
	store := &lapsedStore{up: time.Now().Add(down)}
	r := startReading(t, store)
	for !r.initialized(directory.AllRanges()[0]) {
		if time.Since(store.up) > limit {
			t.Fatalf("no content %v after the store's return", limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if took := time.Since(store.up); took > hedgeDelay+100*time.Millisecond {
		t.Errorf("content %v after the store's return, want at most the hedge delay of %v", took, hedgeDelay)
	}
}

// Guards against more and more calls to a store that does not respond.
func TestHedgedReadsAreBounded(t *testing.T) {
	store := &lapsedStore{up: time.Now().Add(time.Hour)}
	r := newReader(t, store)
	ctx, cancel := context.WithTimeout(t.Context(), (maxHedgedReads+3)*hedgeDelay)
	defer cancel()
	if _, _, err := r.readRange(ctx, "p"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v", err)
	}
	if store.calls != maxHedgedReads {
		t.Errorf("%d calls, want %d", store.calls, maxHedgedReads)
	}
}

// Guards against a refusal that is not reported at once, since the next call may be accepted.
func TestRefusedReadFailsAtOnce(t *testing.T) {
	store := &lapsedStore{err: errEmptyStore}
	r := newReader(t, store)
	if _, _, err := r.readRange(t.Context(), "p"); !errors.Is(err, errEmptyStore) || store.calls != 1 {
		t.Errorf("%v after %d calls", err, store.calls)
	}
}

package router

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/directory"
	"github.com/amaranthlb/amaranthlb/internal/eventlog"
	"github.com/amaranthlb/amaranthlb/internal/mirror"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/peers"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/routes"
	"github.com/amaranthlb/amaranthlb/internal/telemetry"
	"github.com/amaranthlb/amaranthlb/platform"
	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// slowStore takes a fixed time to read a complete range, as when many readers share its network link.
type slowStore struct {
	took  time.Duration
	mu    sync.Mutex
	reads int
	// waits are the wait times of the watches.
	waits []time.Duration
}

func (s *slowStore) Range(ctx context.Context, _ string) (mirror.Position, []mirror.Item, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return mirror.Position{}, nil, ctx.Err()
	case <-time.After(s.took):
		return mirror.Position{Revision: 1}, nil, nil
	}
}

func (s *slowStore) Watch(ctx context.Context, _ string, after mirror.Position, wait time.Duration) (mirror.Position, []mirror.Event, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	sleep(ctx, wait)
	return after, nil, nil
}

func (*slowStore) Ping(context.Context) (uint64, error) { return 0, nil }
func (*slowStore) HistoryGone(error) bool               { return false }
func (*slowStore) Reconnect()                           {}

// emptyDecoder decodes nothing, since the store is empty.
type emptyDecoder struct{}

var errEmptyStore = errors.New("no content")

func (emptyDecoder) DecodeConfig(mirror.Item) (*routes.Table, error) { return nil, errEmptyStore }
func (emptyDecoder) DecodeEvacuation(mirror.Item) (string, error)    { return "", nil }
func (emptyDecoder) DecodeTarget(mirror.Item) (routes.Target, error) {
	return routes.Target{}, errEmptyStore
}

// Guards against routers that never get the store's content because a read takes longer than the initial timeout: in a
// sweep with 300 routers and 3,000 targets, nothing was served for 30 s after all had been killed.
func TestReadOfSlowStoreCompletes(t *testing.T) {
	store := &slowStore{took: readTimeout * 3 / 2}
	r := startReading(t, store)
	limit := time.After(readTimeout + store.took + 2*time.Second)
	for !r.initialized(directory.AllRanges()[0]) {
		select {
		case <-limit:
			t.Fatalf("no content after %d reads", store.reads)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// newReader returns a router that is not running.
func newReader(t *testing.T, store Store) *Router {
	t.Helper()
	meters, err := telemetry.New()
	if err != nil {
		t.Fatal(err)
	}
	log := eventlog.Open(io.Discard, logrus.InfoLevel, nil)
	t.Cleanup(func() { log.Close(time.Second) })
	r := New(Config{PeerAddress: "127.0.0.1:1", LoadMultiple: 2, RetryWindow: time.Second}, nil, store, nil, emptyDecoder{}, log, meters)
	if r.link, err = peers.Open("127.0.0.1:0", meters); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.link.Close() })
	return r
}

// startReading returns a router that reads one range of a store until the test ends.
func startReading(t *testing.T, store Store) *Router {
	t.Helper()
	r := newReader(t, store)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.readStore(ctx, directory.AllRanges()[0])
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return r
}

// Guards against all routers reading the store after a restart: others rely on a new reader only once one of its
// watches was answered, and each reads the store itself after readerSilence.
func TestNewReaderIsConfirmedSoon(t *testing.T) {
	// The time for which other routers wait to hear from a reader.
	const readerSilence = 1200 * time.Millisecond
	store := &slowStore{}
	r := startReading(t, store)
	keyRange := directory.AllRanges()[0]
	accessIs := func(want peers.Access) bool {
		r.controlMu.Lock()
		defer r.controlMu.Unlock()
		access, known := r.access[keyRange]
		return known && access == want
	}
	await := func(limit time.Duration, what string, condition func() bool) {
		for began := time.Now(); !condition(); time.Sleep(10 * time.Millisecond) {
			if time.Since(began) > limit {
				t.Fatalf("timed out after %v waiting for: %s", limit, what)
			}
		}
	}
	// After its first read, a router without peers leaves the store to others until it has heard from no reader for
	// some time.
	await(2*time.Second, "the store is left to others", func() bool { return r.initialized(keyRange) && accessIs(peers.Relayed) })
	await(3*time.Second, "the first watch", func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return len(store.waits) > 0
	})
	await(readerSilence, "the reader is confirmed", func() bool { return accessIs(peers.Reading) })
}

// Guards against one log line for each of thousands of targets after a start, and against changes that are not logged.
func TestBulkListedTargetsShareLogLine(t *testing.T) {
	meters, err := telemetry.New()
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ targets, individual, summary int }{{3, 3, 0}, {maxTargetLogLines + 1, 0, 1}} {
		var output bytes.Buffer
		log := eventlog.Open(&output, logrus.InfoLevel, nil)
		r := New(Config{PeerAddress: "127.0.0.1:1", LoadMultiple: 2, RetryWindow: time.Second}, nil, &slowStore{}, nil, emptyDecoder{}, log, meters)
		changes := []directory.Change{{Kind: directory.TargetDraining, Key: "leaving"}}
		for range test.targets {
			changes = append(changes, directory.Change{Kind: directory.TargetListed})
		}
		r.logChanges(changes, nil, "store")
		log.Close(time.Second)
		text := output.String()
		if got := strings.Count(text, `"event":"target_listed"`) - test.summary; got != test.individual {
			t.Errorf("%d targets: %d lines for single targets, want %d", test.targets, got, test.individual)
		}
		if got := strings.Count(text, `"msg":"targets listed"`); got != test.summary {
			t.Errorf("%d targets: %d summary lines, want %d", test.targets, got, test.summary)
		}
		if !strings.Contains(text, `"event":"target_draining"`) {
			t.Errorf("%d targets: no log line for the draining target", test.targets)
		}
	}
}

// Guards against routers that rely on a reader that has lost the store because they are not among those it tells.
func TestLossOfStoreIsToldToAllThatRelyOnReader(t *testing.T) {
	const routers = 70
	r := newReader(t, &slowStore{})
	for i := range routers {
		r.members.RecordDatagram(0, fmt.Sprintf("10.0.0.%d:1", i), 1, false, peers.Relayed)
	}
	for _, access := range []peers.Access{peers.Reading, peers.Failing} {
		for _, keyRange := range directory.AllRanges() {
			r.access[keyRange] = access
		}
		if _, recipients := r.buildDigest(time.Millisecond, nil, false); len(recipients) != routers {
			t.Errorf("access %v is told to %d routers, want %d", access, len(recipients), routers)
		}
	}
	if _, recipients := r.buildDigest(time.Second, nil, false); len(recipients) != digestFanout {
		t.Errorf("later digests go to %d routers, want %d", len(recipients), digestFanout)
	}
}

// Guards against all routers reading the store because each reader had one failed call.
func TestSingleFailedCallDoesNotRevokeReader(t *testing.T) {
	keyRange := directory.AllRanges()[0]
	failed := errors.New("connection reset")
	for _, test := range []struct {
		name     string
		before   peers.Access
		failures []error
		want     peers.Access
	}{
		{"one failure", peers.Reading, []error{failed}, peers.Reading},
		{"two failures", peers.Reading, []error{failed, failed}, peers.Failing},
		{"silent store", peers.Reading, []error{errStoreSilent}, peers.Failing},
		{"first call fails", peers.Relayed, []error{failed}, peers.Failing},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newReader(t, &slowStore{})
			r.access[keyRange] = test.before
			for _, err := range test.failures {
				r.recordStoreFailure(keyRange, err)
			}
			if got := r.access[keyRange]; got != test.want {
				t.Errorf("access %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a router with the content from before the store was restored that brings it back to the others.
func TestLateRouterDoesNotUndoRestore(t *testing.T) {
	const peer = "127.0.0.1:2"
	keyRange, prefix := directory.Targets, "servers/"
	r := newReader(t, &slowStore{})
	r.config.Prefixes = map[directory.Range]string{directory.Config: "op/config", keyRange: prefix}
	r.applySnapshot(keyRange, mirror.Position{Era: 1, Revision: 20}, []mirror.Item{{Key: "a", Revision: 20}}, "store")
	for _, test := range []struct {
		name  string
		era   uint64
		ahead bool
	}{{"restored before", 0, false}, {"restored since", 2, true}} {
		t.Run(test.name, func(t *testing.T) {
			r.handleDigest(&pb.Digest{
				Address: peer, Store: pb.StoreAccess_STORE_ACCESS_READING,
				Ranges: []*pb.RangeRevision{{Prefix: prefix, Era: test.era, Content: 500}},
				News: []*pb.RangeNews{{
					Prefix: prefix, Era: test.era, After: 20, Revision: 500,
					Items: []*pb.StoreItem{{Key: "a", Revision: 500, Removed: true}},
				}},
			})
			if got := r.directory.Mirror(keyRange).Position(); got != (mirror.Position{Era: 1, Revision: 20}) {
				t.Errorf("content at %v: changes of another era were applied", got)
			}
			if _, ahead := r.aheadPeers[keyRange]; ahead != test.ahead {
				t.Errorf("the peer counts as ahead: %v, want %v", ahead, test.ahead)
			}
			delete(r.aheadPeers, keyRange)
		})
	}
	r.applySnapshot(keyRange, mirror.Position{Revision: 500}, nil, peer)
	if _, ok := r.directory.Mirror(keyRange).Get("a"); !ok {
		t.Error("a late reply with earlier content was applied")
	}
}

// countingSource has a configuration in force that other routers can't decode.
type countingSource struct{ pulls atomic.Int64 }

func (s *countingSource) Changes(string, mirror.Position) peers.Changes {
	s.pulls.Add(1)
	return peers.Changes{At: mirror.Position{Revision: 1}, InForce: &mirror.Item{Key: "op/config", Revision: 1}}
}
func (*countingSource) Caches() peers.Caches { return peers.Caches{} }

// Guards against a router that pulls a peer's configuration again and again since it can't take it.
func TestUnusableConfigurationIsPulledOnce(t *testing.T) {
	r := newReader(t, &slowStore{})
	r.config.Prefixes = map[directory.Range]string{directory.Config: "op/config"}
	address := platformtest.FreeAddress(t)
	link, err := peers.Open(address, r.meters)
	if err != nil {
		t.Fatal(err)
	}
	source := new(countingSource)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- link.Serve(ctx, source, nil) }()
	defer func() {
		stop()
		if err := errors.Join(<-ended, link.Close()); err != nil {
			t.Log(err)
		}
	}()
	for range 10 {
		r.handleDigest(&pb.Digest{Address: address, Ranges: []*pb.RangeRevision{{Prefix: "op/config", Version: 9}}})
		r.pullMissingChanges(ctx, r.now())
		time.Sleep(pullRetryInterval / 2)
	}
	if got := source.pulls.Load(); got != 1 {
		t.Errorf("%d pulls, want 1", got)
	}
}

// Guards against a router that serves after a restart with a configuration from a peer, but without the operator's orders,
// and sends requests to a zone that is evacuated.
func TestNotReadyWithoutOrders(t *testing.T) {
	for _, evacuations := range []bool{true, false} {
		r := newReader(t, &slowStore{})
		r.config.Evacuations = evacuations
		r.directory = directory.New(platform.Decoder{})
		config := mirror.Item{Key: platform.ConfigKey, Value: []byte(`{"version":1}`), Revision: 5}
		r.applyUpdate(func(time.Duration) []directory.Change { return r.directory.ApplySupersedingConfig(config) }, "peer")
		r.applySnapshot(directory.Targets, mirror.Position{Revision: 5}, []mirror.Item{{
			Key: platform.TargetPrefix + "t", Revision: 3,
			Value: []byte(`{"service":"s","addr":"127.0.0.1:9","zone":"a","slots":1,"state":"ready","seq":1}`),
		}}, "peer")
		if got := r.Ready(); got == evacuations {
			t.Errorf("evacuations %v: ready %v before the range is complete", evacuations, got)
		}
		answer := httptest.NewRecorder()
		x := &exchange{router: r, w: answer, r: httptest.NewRequest(http.MethodGet, "/", nil)}
		r.wire = platform.Wire{}
		if code, _ := x.prepare(); (code == reason.NotReady) != evacuations {
			t.Errorf("evacuations %v: a request gets %q", evacuations, code)
		}
		r.applySnapshot(directory.Config, mirror.Position{Revision: 5}, []mirror.Item{config}, "store")
		if !r.Ready() {
			t.Errorf("evacuations %v: not ready with the complete range", evacuations)
		}
	}
}

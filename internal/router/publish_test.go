package router

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/directory"
	"github.com/amaranthlb/amaranthlb/internal/eventlog"
	"github.com/amaranthlb/amaranthlb/internal/mirror"
	"github.com/amaranthlb/amaranthlb/internal/telemetry"
	"github.com/amaranthlb/amaranthlb/platform"
)

type discard struct{}

func (discard) Write(content []byte) (int, error) { return len(content), nil }

// Guards against a router that falls back to an older configuration or list of targets, or to none at all, because
// updates of the configuration, updates of the targets and the periodic expiry run at the same time.
func TestConcurrentUpdatesPublishTheLatest(t *testing.T) {
	const rounds, versions = 60, 40
	meters, err := telemetry.New()
	if err != nil {
		t.Fatal(err)
	}
	log := eventlog.Open(discard{}, logrus.ErrorLevel, nil)
	defer log.Close(time.Second)
	for round := range rounds {
		r := New(Config{PeerAddress: "127.0.0.1:1"}, platform.Wire{}, nil, nil, platform.Decoder{}, log, meters)
		var group sync.WaitGroup
		group.Go(func() {
			for version := 1; version <= versions; version++ {
				value := fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"h","prefix":"/","service":"s"}]}`, version)
				r.applyTestEvent(directory.Config, platform.ConfigKey, uint64(version), value)
				if got := r.table.Load().Version; got < uint64(version) {
					t.Errorf("round %d: version %d is in force after version %d", round, got, version)
				}
			}
		})
		group.Go(func() {
			for i := 1; i <= versions; i++ {
				value := fmt.Appendf(nil, `{"service":"s","addr":"127.0.0.1:%d","zone":"a","slots":8,"state":"ready","seq":1}`, i)
				r.applyTestEvent(directory.Targets, fmt.Sprint(platform.TargetPrefix, i), uint64(i), value)
				if _, listed := r.targetCounts(); listed < int64(i) {
					t.Errorf("round %d: %d targets are listed after %d updates", round, listed, i)
				}
			}
		})
		group.Go(func() {
			for range versions {
				r.expire(r.now(), 0)
			}
		})
		group.Wait()
		if t.Failed() {
			return
		}
		if !r.Ready() {
			t.Fatalf("round %d: the router has a configuration and %d targets but is not ready", round, versions)
		}
	}
}

func (r *Router) applyTestEvent(keyRange directory.Range, key string, revision uint64, value []byte) {
	event := mirror.Event{Item: mirror.Item{Key: key, Value: value, Revision: revision}}
	r.applyUpdate(func(now time.Duration) []directory.Change {
		return r.directory.Apply(now, keyRange, mirror.Position{Revision: revision}, []mirror.Event{event})
	}, "test")
}

package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/directory"
	"github.com/amaranthlb/amaranthlb/internal/eventlog"
	"github.com/amaranthlb/amaranthlb/internal/telemetry"
	"github.com/amaranthlb/amaranthlb/platform"
)

// Guards against a warm-up limit that does not take effect because the configuration comes after the entry, because an entry
// changes nothing else, or because the entry of a sound target is malformed in this field; and against a limit that the
// configuration does not ask for.
func TestWarmupLimitTakesEffect(t *testing.T) {
	const entryFormat = `{"service":"s","addr":"127.0.0.1:9","zone":"a","slots":8,"state":"ready","seq":%d,"born":5,"cold-left-ms":%s}`
	for _, test := range []struct {
		name, service string
		entries       []string
		cold          int64
	}{
		{"starts cold", `,"cold-start-s":3,"cold-per-s":10`, []string{"600000"}, 1},
		{"cold again", `,"cold-per-s":10`, []string{"0", "600000"}, 1},
		{"warm by a later entry", `,"cold-per-s":10`, []string{"600000", "0"}, 0},
		{"malformed", `,"cold-per-s":10`, []string{"0", `"soon"`}, 0},
		{"no limit", "", []string{"600000"}, 0},
		{"limit of 0", `,"cold-per-s":0`, []string{"0", "600000"}, 0},
	} {
		for _, configFirst := range []bool{true, false} {
			meters, err := telemetry.New()
			if err != nil {
				t.Fatal(err)
			}
			log := eventlog.Open(discard{}, logrus.ErrorLevel, nil)
			r := New(Config{PeerAddress: "127.0.0.1:1", WarmupRatio: 1.5, WarmupSlack: 5}, platform.Wire{}, nil, nil, platform.Decoder{}, log, meters)
			config := []byte(`{"version":1,"routes":[{"name":"r","host":"h","prefix":"/","service":"s"}],"services":[{"name":"s"` + test.service + `}]}`)
			if configFirst {
				r.applyTestEvent(directory.Config, platform.ConfigKey, 1, config)
			}
			for i, left := range test.entries {
				r.applyTestEvent(directory.Targets, platform.TargetPrefix+"t", uint64(i+2), fmt.Appendf(nil, entryFormat, i, left))
			}
			if !configFirst {
				r.applyTestEvent(directory.Config, platform.ConfigKey, 1, config)
			}
			if _, listed := r.targetCounts(); listed != 1 || r.admissions()["cold"] != test.cold {
				t.Errorf("%s, configuration first %v: %d targets listed, %d cold, want %d", test.name, configFirst, listed, r.admissions()["cold"], test.cold)
			}
			log.Close(time.Second)
		}
	}
}

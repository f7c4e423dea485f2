package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// gateStatus is the part of a gate's status that concerns targets.
type gateStatus struct {
	Reports []struct {
		Target      string `json:"target"`
		Incarnation uint64 `json:"incarnation"`
		AgeMS       int64  `json:"age_ms"`
	} `json:"reports"`
}

// incarnations returns the incarnation of every target that some gate has a fresh report of.
func incarnations(t *testing.T, f *fleet.Fleet) map[string]uint64 {
	t.Helper()
	found := make(map[string]uint64)
	for _, gate := range f.Names("gate") {
		var status gateStatus
		if err := json.Unmarshal([]byte(send(http.MethodGet, f.AdminURL(gate)+"/status", "rose", nil, nil).body), &status); err != nil {
			t.Fatal(err)
		}
		for _, report := range status.Reports {
			if report.AgeMS < 2000 {
				found[report.Target] = report.Incarnation
			}
		}
	}
	return found
}

// Guards against a gate that has no recent report of a target that it owns, which would leave a new owner unable to
// tell the load of others, and against a restart of a target that goes unnoticed.
func TestOwnersKeepRecentReports(t *testing.T) {
	f := start(t, fleet.Default())
	time.Sleep(1500 * time.Millisecond)
	before := incarnations(t, f)
	for _, name := range append(f.Names("engine"), f.Names("service")...) {
		if before[name] == 0 {
			t.Errorf("no gate has a report of %s", name)
		}
	}
	f.Kill("engine-01")
	if err := f.StartNode("engine-01"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1500 * time.Millisecond)
	if after := incarnations(t, f)["engine-01"]; after == 0 || after == before["engine-01"] {
		t.Errorf("incarnation %d before the restart, %d after it", before["engine-01"], after)
	}
	metrics := ""
	for _, gate := range f.Names("gate") {
		metrics += send(http.MethodGet, f.AdminURL(gate)+"/metrics", "rose", nil, nil).body
	}
	for _, want := range []string{`amaranth_target_load{target="engine-01"}`, `amaranth_target_report_age_ms{target="engine-01"}`} {
		if !strings.Contains(metrics, want) {
			t.Errorf("no gate has the metric %s", want)
		}
	}
}

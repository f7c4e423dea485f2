package ctl_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/amaranthlb/amaranthlb/internal/admission"
	"github.com/amaranthlb/amaranthlb/internal/entry"
	"github.com/amaranthlb/amaranthlb/internal/gate"
	"github.com/amaranthlb/amaranthlb/internal/membership"
)

// Guards against commands that can't decode daemons' responses, and against exit codes that hide differing revisions or
// an unreachable daemon.
func TestAdminCommands(t *testing.T) {
	gateStatus := func(name string, revision uint64) gate.Status {
		targets := []admission.TargetStatus{
			{Target: "engine-1", Pool: "rose", InFlight: 3, Waiting: 2, Limit: 8, Bound: 4},
			{Target: "engine-9", Pool: "rose", InFlight: 1, Lost: true},
		}
		return gate.Status{
			Name: name, Zone: "a", Revision: revision, OpenTickets: 7,
			View:      &membership.View{Digest: 1<<64 - 1},
			Admission: admission.Snapshot{Targets: targets},
		}
	}
	explanation := entry.Explanation{
		Pool: "rose", Revision: 5, Limit: 8, Choice: "engine-2", Rule: entry.RuleHolder,
		Candidates: []entry.ExplainedCandidate{
			{Rank: 1, Target: "engine-1", Distance: "same_zone", Load: 3, Owner: "gate-1"},
			{Rank: 2, Target: "engine-2", Distance: "same_region", Load: 1, Open: true, Owner: "gate-2", Holder: true},
		},
	}
	down := httptest.NewServer(nil)
	down.Close()
	servers := map[string]string{
		"GATE":  serveJSON(t, map[string]any{"/status": gateStatus("gate-1", 5)}),
		"OLD":   serveJSON(t, map[string]any{"/status": gateStatus("gate-2", 4)}),
		"ENTRY": serveJSON(t, map[string]any{"/status": entry.Status{Name: "entry-1", Zone: "b", Revision: 5, Draining: true}, "/explain": explanation}),
		"FULL":  serveJSON(t, map[string]any{"/explain": entry.Explanation{Pool: "rose", Rule: entry.RuleNoneOpen}}),
		"DOWN":  strings.TrimPrefix(down.URL, "http://"),
	}
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/admin",
		RequireExplicitExec: true,
		Cmds:                map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
		Setup: func(env *testscript.Env) error {
			for name, address := range servers {
				env.Setenv(name, address)
			}
			return nil
		},
	})
}

// serveJSON serves a value at each path, and 404 elsewhere or for the pool "unknown".
func serveJSON(t *testing.T, values map[string]any) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		value, ok := values[r.URL.Path]
		if !ok || r.URL.Query().Get("pool") == "unknown" {
			http.Error(w, "the catalogue has no pool unknown", http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(value)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

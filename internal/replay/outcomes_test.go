package replay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file.yaml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// Guards against a bound that is never checked: a misspelt measure, or a comparison that always holds.
func TestOutcomes(t *testing.T) {
	result := &Result{
		Measures:  &Measures{Wrong: 2, Refusals: map[string]int{"over_limit": 3}, Skew: Skew{Worst: 1.4}},
		Baselines: map[string]*Measures{"random": {Skew: Skew{Worst: 2}}},
	}
	for _, test := range []struct {
		name, text, readError, checkError, missed string
	}{
		{"kept", "outcomes: [{measure: measures.skew.worst, max: 1.5}]", "", "", ""},
		{"above the maximum", "outcomes: [{measure: measures.wrong, max: 0}]", "", "", "above the maximum of 0"},
		{"below the minimum", "outcomes: [{measure: measures.skew.worst, min: 1.5}]", "", "", "below the minimum"},
		{"absent count", "outcomes: [{measure: measures.refusals.no_gate, max: 0}]", "", "", ""},
		{"count", "outcomes: [{measure: measures.refusals.over_limit, max: 2}]", "", "", "above the maximum of 2"},
		{"not above", "outcomes: [{measure: measures.skew.worst, above: baselines.random.skew.worst}]", "", "", "not above"},
		{"no such baseline", "outcomes: [{measure: measures.skew.worst, above: baselines.other.skew.worst}]", "", "names no figure", ""},
		{"misspelt", "outcomes: [{measure: measures.skw.worst, max: 1}]", "names no figure", "", ""},
		{"not a number", "outcomes: [{measure: measures.skew, max: 1}]", "not a number", "", ""},
		{"no bound", "outcomes: [{measure: measures.wrong}]", "needs min, max or above", "", ""},
		{"unknown field", "outcomes: [{measure: measures.wrong, most: 1}]", "unknown field", "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			outcomes, err := ReadOutcomes(writeFile(t, test.text))
			checkError(t, "read", err, test.readError)
			if err != nil {
				return
			}
			checkError(t, "check", outcomes.Check(result), test.checkError)
			if got := strings.Join(result.Missed, "; "); (got == "") != (test.missed == "") || !strings.Contains(got, test.missed) {
				t.Errorf("missed %q, want %q", got, test.missed)
			}
		})
	}
}

func checkError(t *testing.T, what string, err error, want string) {
	t.Helper()
	if (err == nil) != (want == "") || (err != nil && !strings.Contains(err.Error(), want)) {
		t.Errorf("%s: error %v, want %q", what, err, want)
	}
}

// Guards against a fleet file whose wrong address only shows up in the middle of a run.
func TestFleetFile(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"entries: [{name: e, zone: z, address: 127.0.0.1:1}]\ntargets: []", ""},
		{"targets: []", "needs at least one"},
		{"entries: [{name: e, zone: z, address: here}]\ntargets: []", `entries[0].address: "here"`},
		{"balancer: 127.0.0.1:1\ntargets: [{name: t, address: x}]", `targets[0].address: "x"`},
		{"balancer: 127.0.0.1:1\nplatfrom: 127.0.0.1:1", "unknown field"},
	} {
		_, err := ReadFleet(writeFile(t, test.text))
		checkError(t, test.text, err, test.want)
	}
}

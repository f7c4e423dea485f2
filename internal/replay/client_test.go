package replay

import (
	"bytes"
	"context"
	"reflect"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func replayFake(t *testing.T, fault string, events ...string) (*fakeFleet, *Measures) {
	t.Helper()
	parsed := parse(t, events...)
	fake, fleet := startFleet(t, parsed, fault)
	measures, err := NewClient(parsed, fleet, nil).Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return fake, measures
}

const (
	longPrompt = "some words that fill more than one block of the cache so that the next turn can use it again"
	firstTurn  = `{"at_ms":0,"kind":"chat","customer":"c","chat":"x","turn":0,"zone":"z1","pool":"m","prompt":"` + longPrompt + `","output":6}`
	secondTurn = `{"at_ms":20,"kind":"chat","customer":"c","chat":"x","turn":1,"zone":"z2","pool":"m","prompt":"two","output":6}`
	order      = `{"at_ms":0,"kind":"call","customer":"c","zone":"z1","pool":"s","path":"orders","prompt":"one wheel"}`
	query      = `{"at_ms":0,"kind":"call","customer":"c","zone":"z1","pool":"s","path":"stock","prompt":"wheels","repeatable":true}`
)

// Guards against a client that takes a wrong, short or duplicated answer for a good one, or that does not
// resume, repeat or give up as a caller should.
func TestChatAnswersAreChecked(t *testing.T) {
	for _, test := range []struct {
		fault string
		want  Measures
	}{
		{"none", Measures{Answered: 2}},
		{"wrong", Measures{Wrong: 2}},
		{"short", Measures{Short: 2}},
		{"duplicate", Measures{Duplicate: 2}},
		{"cut", Measures{Answered: 2, Resumes: 2}},
		{"error event", Measures{Answered: 2, Resumes: 2, Refusals: map[string]int{"gate_failed": 2}}},
		{"refuse", Measures{Answered: 2, Retries: 1, Refusals: map[string]int{"over_limit": 1}}},
	} {
		t.Run(test.fault, func(t *testing.T) {
			_, got := replayFake(t, test.fault, firstTurn, secondTurn)
			if test.want.Refusals == nil {
				test.want.Refusals = map[string]int{}
			}
			counts := Measures{
				Answered: got.Answered, Wrong: got.Wrong, Short: got.Short, Duplicate: got.Duplicate,
				Resumes: got.Resumes, Retries: got.Retries, Refusals: got.Refusals,
			}
			if !reflect.DeepEqual(counts, test.want) || got.Requests != 2 {
				t.Errorf("%d requests with %+v, want 2 with %+v", got.Requests, counts, test.want)
			}
		})
	}
}

// Guards against a client that loses the placement token, the usage or the control counter.
func TestMeasuresOfAGoodRun(t *testing.T) {
	fake, got := replayFake(t, "none", firstTurn, secondTurn)
	if strings.Join(fake.placements, ",") != ",late" {
		t.Errorf("placements %q, want none and then the one of the last chunk", fake.placements)
	}
	if got.Reuse.CachedTokens == 0 || got.Reuse.CachedTokens != got.Reuse.OracleTokens || got.Reuse.OfOracle != 1 {
		t.Errorf("reuse %+v, want that of the oracle", got.Reuse)
	}
	if got.Control.Daemons != 1 || got.Control.Worst <= 0 {
		t.Errorf("control %+v, want one daemon", got.Control)
	}
	if got.FirstTokenMS.P50 <= 0 || got.BetweenTokenMS.Max <= 0 {
		t.Errorf("times %+v and %+v, want some", got.FirstTokenMS, got.BetweenTokenMS)
	}
}

// Guards against a client that misses a call that ran twice, or one that ran although it was said not to.
func TestNonRepeatableCalls(t *testing.T) {
	for _, test := range []struct {
		fault    string
		want     NonRepeatable
		answered int
	}{
		{"none", NonRepeatable{Calls: 1, Answered: 1}, 2},
		{"runs twice", NonRepeatable{Calls: 1, Answered: 1, RepeatedRuns: 1}, 2},
		{"false not run", NonRepeatable{Calls: 1, FalseNotRun: 1}, 0},
		{"unknown outcome", NonRepeatable{Calls: 1, Unknown: 1}, 0},
		{"cut call", NonRepeatable{Calls: 1, Answered: 1, RepeatedRuns: 1}, 2},
	} {
		t.Run(test.fault, func(t *testing.T) {
			events := []string{order, query}
			if test.answered == 0 || test.fault == "cut call" {
				events = events[:1]
			}
			_, got := replayFake(t, test.fault, events...)
			if got.NonRepeatable != test.want || got.Answered != min(test.answered, len(events)) {
				t.Errorf("%+v and %d answered, want %+v and %d", got.NonRepeatable, got.Answered, test.want, test.answered)
			}
		})
	}
}

// Guards against a catalogue that the fleet would refuse, or that gives a customer another key.
func TestDocumentIsAccepted(t *testing.T) {
	for _, name := range Deployments() {
		generated, err := Generate(name, 1)
		if err != nil {
			t.Fatal(err)
		}
		standins, err := StartStandins(&generated.Deployment)
		if err != nil {
			t.Fatal(err)
		}
		document, err := Document(&generated.Deployment, standins.Targets, 7)
		if err := standins.Close(); err != nil {
			t.Error(err)
		}
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := catalogue.Parse(document)
		if err != nil || parsed.Revision != 7 || len(parsed.Customers) != len(generated.Deployment.Customers) {
			t.Fatalf("%s: %v: %+v", name, err, parsed)
		}
		service, _ := parsed.Pool(generated.Deployment.Pools[1].Name)
		call := generated.Deployment.Pools[1].NonRepeatable[0]
		if !service.NonRepeatableCall("POST", call.Path) || service.NonRepeatableCall("POST", "/other") {
			t.Errorf("%s: non-repeatable calls %+v", name, service.NonRepeatable)
		}
	}
}

// Guards against a report that needs the network or lacks its plots.
func TestReportIsSelfContained(t *testing.T) {
	parsed := parse(t, firstTurn, secondTurn)
	measures, err := Simulate(parsed, "fleet", 1)
	if err != nil {
		t.Fatal(err)
	}
	baselines, err := Baselines(parsed, "fleet", 1)
	if err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	result := &Result{Trace: "d", Policy: "fleet", Measures: measures, Baselines: baselines, Missed: []string{"too <slow>"}}
	if err := WriteReport(&page, result); err != nil {
		t.Fatal(err)
	}
	text := page.String()
	for _, want := range []string{"</html>", "too &lt;slow&gt;", "round_robin"} {
		if !strings.Contains(text, want) {
			t.Errorf("the report lacks %q", want)
		}
	}
	if strings.Count(text, "<svg") != 4 || strings.Contains(text, "src=") || strings.Contains(text, "href=") {
		t.Errorf("the report has %d plots or refers to other files", strings.Count(text, "<svg"))
	}
}

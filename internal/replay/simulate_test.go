package replay

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/backend"
)

// Guards against simulations that lose or repeat turns through churn, or differ between runs of one seed.
func TestSimulateAnswersEveryTurn(t *testing.T) {
	for _, name := range Deployments() {
		generated, err := Generate(name, 3)
		if err != nil {
			t.Fatal(err)
		}
		chats := 0
		for _, event := range generated.Events {
			if event.Kind == KindChat {
				chats++
			}
		}
		for _, policy := range Policies() {
			first, err := Simulate(generated, policy, 1)
			if err != nil {
				t.Fatal(err)
			}
			if first.Requests != chats || first.Answered+sumCounts(first.Failures) != chats {
				t.Errorf("%s by %s: %d requests, %d answered, failures %v, want %d in all", name, policy, first.Requests, first.Answered, first.Failures, chats)
			}
			second, _ := Simulate(generated, policy, 1)
			a, _ := json.Marshal(first)
			b, _ := json.Marshal(second)
			if string(a) != string(b) {
				t.Errorf("%s by %s: two runs differ:\n%s\n%s", name, policy, a, b)
			}
		}
	}
}

// Guards against a model in which placement has no effect: the known order of the baselines must show.
func TestBaselinesDiffer(t *testing.T) {
	generated, err := Generate("hanamichi", 1)
	if err != nil {
		t.Fatal(err)
	}
	results, err := Baselines(generated, "", 1)
	if err != nil {
		t.Fatal(err)
	}
	reuse := func(policy string) float64 { return results[policy].Reuse.OfOracle }
	skew := func(policy string) float64 { return results[policy].Skew.Median }
	if reuse("rendezvous") < 1.5*reuse("random") || reuse("rendezvous") > 1 {
		t.Errorf("reuse by rendezvous is %v and by random %v", reuse("rendezvous"), reuse("random"))
	}
	if reuse("rendezvous_bounded") <= reuse("round_robin") || reuse("rendezvous_bounded") >= reuse("rendezvous") {
		t.Errorf("reuse by bounded rendezvous is %v", reuse("rendezvous_bounded"))
	}
	if skew("rendezvous_bounded") >= skew("rendezvous") || skew("round_robin") >= skew("random") {
		t.Errorf("skews: bounded %v, rendezvous %v, round robin %v, random %v",
			skew("rendezvous_bounded"), skew("rendezvous"), skew("round_robin"), skew("random"))
	}
}

// Guards against a bounded oracle that breaks its bound, or an oracle that knows less than a hash does: either would
// make it useless as a measure of what placement can reach.
func TestOracleKeepsBound(t *testing.T) {
	generated, err := Generate("cordillera", 1)
	if err != nil {
		t.Fatal(err)
	}
	oracle, err := Simulate(generated, "oracle_bounded", 1)
	if err != nil {
		t.Fatal(err)
	}
	hashed, err := Simulate(generated, "rendezvous_bounded", 1)
	if err != nil {
		t.Fatal(err)
	}
	if oracle.Skew.Overadmitted != 0 || oracle.Reuse.OfOracle <= hashed.Reuse.OfOracle || oracle.Reuse.OfOracle > 1 {
		t.Errorf("oracle: %d over the limit, reuse %v; rendezvous %v", oracle.Skew.Overadmitted, oracle.Reuse.OfOracle, hashed.Reuse.OfOracle)
	}
}

// Guards against seconds that count a target which was away, or a target that joined too early.
func TestTimeline(t *testing.T) {
	parsed := parse(t,
		`{"at_ms":2000,"kind":"fault","fault":"target_leave","target":"e1","for_ms":1000}`,
		`{"at_ms":5000,"kind":"fault","fault":"target_crash","target":"e1"}`,
		`{"at_ms":6000,"kind":"fault","fault":"target_join","target":"e2"}`)
	parsed.Deployment.Pools[0].Targets[1].Absent = true
	line := newTimeline(parsed, closingFaults)
	for _, test := range []struct {
		target string
		second time.Duration
		live   bool
	}{
		{"e1", 0, true}, {"e1", 1, true}, {"e1", 2, false}, {"e1", 3, true}, {"e1", 5, false}, {"e1", 100, false},
		{"e2", 0, false}, {"e2", 5, false}, {"e2", 6, true}, {"s1", 4, true},
	} {
		from := test.second * time.Second
		if got := line.live(test.target, from, from+time.Second); got != test.live {
			t.Errorf("%s in second %d: live is %v", test.target, test.second, got)
		}
	}
}

// Guards against a wrong ratio, a wrong limit, or idle seconds that count as skewed.
func TestSkew(t *testing.T) {
	parsed := parse(t, `{"at_ms":3500,"kind":"fault","fault":"platform_down"}`)
	loads := map[string][]backend.Second{
		"e1": {{Unix: 0, Mean: 3}, {Unix: 1, Mean: 6}, {Unix: 2, Mean: 0.5}},
		"e2": {{Unix: 0, Mean: 3}, {Unix: 1, Mean: 2}, {Unix: 2, Mean: 0.1}},
	}
	// Second 1: the mean is 4 and the limit is ceil(1.25*9/2) = 6, which a load of 6 keeps.
	want := Skew{Median: 1, P99: 1.5, Worst: 1.5, Seconds: 2}
	if got := skewOf(parsed, loads, 0, 3*time.Second); !reflect.DeepEqual(got, want) {
		t.Errorf("skew %+v, want %+v", got, want)
	}
	if got := skewOf(parsed, loads, 0, 0); got.Seconds != 1 {
		t.Errorf("skew %+v until the first second, want one second", got)
	}
	loads["e1"][1].Mean = 6.6
	if got := skewOf(parsed, loads, 0, 3*time.Second); got.OverLimit != 1 {
		t.Errorf("skew %+v, want one second over the limit", got)
	}
}

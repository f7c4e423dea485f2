package atmostonce

import (
	"flag"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/amaranthlb/amaranthlb/internal/statechart"
)

var fullSearch = flag.Bool("full-search", false, "also explore the scenarios that take minutes")

// stateLimit stops a scenario that has grown by mistake from exhausting the time and memory of the test run.
const stateLimit = 6_000_000

var (
	executorOnly       = []int{placeExecutor}
	witnessOnly        = []int{placeWitness}
	executorAndWitness = []int{placeExecutor, placeWitness}
	allPlaces          = []int{placeExecutor, placeWitness, placeHeir, placeSpare}
	oneHeir            = [placeCount]int8{placeExecutor: placeHeir, placeWitness: placeHeir, placeHeir: placeSpare}
	twoHeirs           = [placeCount]int8{placeExecutor: placeHeir, placeWitness: placeSpare}
)

// correctScenarios returns scenarios of the unmodified protocol. Their faults are bounded so that the searches end
// within seconds. Loss, delay and partitions are not bounded (see the model).
func correctScenarios() []*scenario {
	return []*scenario{
		{name: "no fault", mustAnswer: true},
		{name: "before-first-byte failures", faults: budget{retries: 2, duplicates: 1}, timeouts: true},
		{name: "duplicates and a pause past expiry and grace", faults: budget{duplicates: 1, phases: 3}, timeouts: true},
		{name: "two crashes", faults: budget{crashes: 2, duplicates: 1, phases: 1}, timeouts: true, crashable: executorAndWitness},
		{
			name: "drain of the executor, crash of it or its heir", timeouts: true,
			faults:    budget{drains: 1, drainLimits: 1, crashes: 1, duplicates: 1},
			drainable: executorOnly, crashable: []int{placeExecutor, placeHeir}, heirs: oneHeir,
		},
		{
			name: "drain of the witness, crash of it or its heir", timeouts: true,
			faults:    budget{drains: 1, crashes: 1, duplicates: 1},
			drainable: witnessOnly, crashable: []int{placeWitness, placeHeir}, heirs: oneHeir,
		},
		{
			name: "drain of both to one gate", timeouts: true,
			faults:    budget{drains: 2, redrains: 1},
			drainable: executorAndWitness, heirs: oneHeir,
		},
		{
			name: "drain of the executor and of its heir", timeouts: true,
			faults:    budget{drains: 2, duplicates: 1},
			drainable: []int{placeExecutor, placeHeir}, heirs: oneHeir,
		},
		{
			name: "drain of the executor and a pause", timeouts: true,
			faults:    budget{drains: 1, phases: 2},
			drainable: executorOnly, heirs: oneHeir,
		},
		{
			name: "stale hand-over accepted by a restarted heir, unmodified witness", acceptStaleHandOver: true,
			faults:    staleHandOver,
			drainable: executorOnly, crashable: []int{placeHeir}, heirs: oneHeir,
		},
	}
}

// longScenarios returns scenarios that combine two drains with crashes, which takes more than a million states each.
// The default run leaves such combinations to the random schedules.
func longScenarios() []*scenario {
	return []*scenario{
		{
			name: "drain of both to one gate, two crashes", timeouts: true,
			faults:    budget{drains: 2, crashes: 2},
			drainable: executorAndWitness, crashable: allPlaces, heirs: oneHeir,
		},
		{
			name: "drain of both to two gates, two crashes", timeouts: true,
			faults:    budget{drains: 2, crashes: 2},
			drainable: executorAndWitness, crashable: allPlaces, heirs: twoHeirs,
		},
		{
			name: "drain of both to two gates, a crash and a duplicate", timeouts: true,
			faults:    budget{drains: 2, crashes: 1, duplicates: 1},
			drainable: executorAndWitness, crashable: allPlaces, heirs: twoHeirs,
		},
	}
}

// Guards against a second run, a false ran: no, a retry without the stored answer, and an unnecessary ran: unknown.
func TestEveryStateOfTheModel(t *testing.T) {
	scenarios := correctScenarios()
	if *fullSearch {
		scenarios = append(scenarios, longScenarios()...)
	}
	var total atomic.Int64
	start := time.Now()
	t.Cleanup(func() {
		t.Logf("%d states explored in total, %v", total.Load(), time.Since(start).Round(time.Millisecond))
	})
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			states, found := sc.search(stateLimit)
			total.Add(int64(states))
			t.Logf("%d states explored in %v", states, time.Since(start).Round(time.Millisecond))
			if found != "" {
				t.Error(found)
			}
		})
	}
}

// chartTransition replaces one transition of a chart.
type chartTransition struct {
	state, event, to string
	actions          []string
}

// chartWithTransitions returns a chart in which the given transitions, which break a rule, replace the original ones.
func chartWithTransitions(words chartVocabulary, transitions ...chartTransition) *chart {
	text, err := os.ReadFile("../statechart/charts/" + words.Chart + ".yaml")
	if err != nil {
		panic(err)
	}
	var document struct {
		Name    string                                          `yaml:"name"`
		Initial string                                          `yaml:"initial"`
		States  map[string]map[string]map[string]map[string]any `yaml:"states"`
	}
	if err := yaml.Unmarshal(text, &document); err != nil {
		panic(err)
	}
	for _, t := range transitions {
		document.States[t.state]["on"][t.event] = map[string]any{"to": t.to, "do": t.actions}
	}
	modified, err := yaml.Marshal(document)
	if err != nil {
		panic(err)
	}
	loaded, err := statechart.Parse(words, modified)
	if err != nil {
		panic(err)
	}
	return loaded
}

var (
	actsAfterHandOver = chartWithTransitions(roleVocabulary,
		chartTransition{"handed", "new", "handed", []string{"act"}},
		chartTransition{"handed", "known", "handed", []string{"act"}})
	secondHeir        = chartWithTransitions(roleVocabulary, chartTransition{"handed", "drain", "handed", []string{"choose_heir", "send_records"}})
	acknowledgesOther = chartWithTransitions(witnessVocabulary, chartTransition{"recorded", "intent_other", "recorded", []string{"acknowledge"}})
	// The second transition only keeps the state "intending" reachable; a ticket without a record gets no such event.
	runsEarly = chartWithTransitions(executorVocabulary,
		chartTransition{"absent", "submit", "ready", []string{"record", "join", "send_intent", "execute"}},
		chartTransition{"absent", "acknowledged", "intending", []string{}})
	twoDrains     = budget{drains: 1, redrains: 1}
	staleHandOver = budget{drains: 1, crashes: 1, duplicates: 1}
)

// mutantScenarios returns scenarios that each break one rule. A witness that acknowledges another executor does no harm
// while hand-overs are bound to the heir's incarnation, so this rule is tested as the second line of defence: with
// hand-overs that a restarted heir accepts. The unmodified witness passes the same scenario in correctScenarios.
func mutantScenarios() []*scenario {
	return []*scenario{
		{
			name: "executor hands over to a second heir", timeouts: true, faults: twoDrains,
			drainable: executorOnly, heirs: oneHeir,
			configure: func(e *Executor, _ *Witness) { e.chart = secondHeir },
		},
		{
			name: "witness hands over to a second heir", timeouts: true, faults: twoDrains,
			drainable: witnessOnly, heirs: oneHeir,
			configure: func(_ *Executor, w *Witness) { w.chart = secondHeir },
		},
		{
			name: "executor acts after the hand-over", timeouts: true, faults: budget{drains: 1},
			drainable: executorOnly, heirs: oneHeir,
			configure: func(e *Executor, _ *Witness) { e.chart = actsAfterHandOver },
		},
		{
			name: "witness acts after the hand-over", timeouts: true, faults: budget{drains: 1},
			drainable: witnessOnly, heirs: oneHeir,
			configure: func(_ *Executor, w *Witness) { w.chart = actsAfterHandOver },
		},
		{
			name: "executor runs before the acknowledgement", timeouts: true,
			configure: func(e *Executor, _ *Witness) { e.tickets = runsEarly },
		},
		{
			name: "witness acknowledges another executor", acceptStaleHandOver: true, faults: staleHandOver,
			drainable: executorOnly, crashable: []int{placeHeir}, heirs: oneHeir,
			configure: func(_ *Executor, w *Witness) { w.tickets = acknowledgesOther },
		},
		{
			name: "restarted heir of the witness accepts a stale hand-over", timeouts: true, acceptStaleHandOver: true,
			faults:    staleHandOver,
			drainable: witnessOnly, crashable: []int{placeHeir}, heirs: oneHeir,
		},
	}
}

// Guards against a search that does not detect a broken rule.
func TestBrokenVariantsAreFound(t *testing.T) {
	for _, sc := range mutantScenarios() {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			states, found := sc.search(stateLimit)
			t.Logf("%d states explored: %s", states, found)
			if found == "" || states > stateLimit {
				t.Error("the search found no violation")
			}
		})
	}
}

// Guards against failures that need more crashes, drains and duplicates than the exhaustive search can cover.
func TestRandomSchedules(t *testing.T) {
	const schedules, steps = 1000, 120
	random := seededRandom(t)
	sc := &scenario{
		timeouts: true,
		faults: budget{
			crashes: 4, drains: 4, duplicates: 8, phases: 3, drainLimits: 2, redrains: 3, retries: 3,
		},
		drainable: []int{placeExecutor, placeWitness, placeHeir}, crashable: allPlaces, heirs: oneHeir,
	}
	stepsTaken := 0
	for schedule := range schedules {
		length, found := sc.walk(random, steps)
		stepsTaken += length
		if found != "" {
			t.Fatalf("schedule %d: %s", schedule, found)
		}
	}
	t.Logf("%d schedules, %d steps", schedules, stepsTaken)
}

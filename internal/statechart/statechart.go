// Package statechart interprets the state charts in charts/*.yaml.
//
// A chart is checked when it is loaded: its states, events and actions must be ones that the code knows, and
// every state must be reachable. Instances are values; firing an event that the state lists allocates nothing.
package statechart

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"
)

//go:embed charts/*.yaml
var chartFiles embed.FS

// Vocabulary lists the states, events and actions that the code knows for one chart.
type Vocabulary[S, E, A ~string] struct {
	// Chart is the chart's name and, with .yaml, its file name.
	Chart   string
	States  []S
	Events  []E
	Actions []A
}

// Chart is a checked chart. It is immutable and may be shared.
type Chart[S, E, A ~string] struct {
	name    string
	initial S
	states  map[S]map[E]transition[S, A]
}

// transition is what one event does in one state.
type transition[S, A ~string] struct {
	to      S
	actions []A
	// err is set when the state doesn't list the event; it is built at load so that firing doesn't allocate.
	err error
}

// Instance is the current state of one thing that a chart describes.
type Instance[S, E, A ~string] struct {
	chart *Chart[S, E, A]
	state S
}

// EventError says that a state doesn't list an event.
type EventError struct {
	Chart string
	State string
	Event string
}

// Error implements error.
func (e *EventError) Error() string {
	return fmt.Sprintf("chart %s: state %s does not list event %s", e.Chart, e.State, e.Event)
}

// LoadError says what is wrong in a chart and where.
type LoadError struct {
	Chart string
	// Place is the path in the document, such as states.idle.on.chosen.to.
	Place string
	Cause string
}

// Error implements error.
func (e *LoadError) Error() string {
	return fmt.Sprintf("chart %s: %s: %s", e.Chart, e.Place, e.Cause)
}

// New returns an instance in the chart's initial state.
func (c *Chart[S, E, A]) New() Instance[S, E, A] {
	return Instance[S, E, A]{chart: c, state: c.initial}
}

// Initial returns the chart's initial state.
func (c *Chart[S, E, A]) Initial() S { return c.initial }

// Next returns the transition of an event, for callers that keep the state themselves; false means that the state
// does not list the event. The caller must not change the actions.
func (c *Chart[S, E, A]) Next(state S, event E) (to S, actions []A, ok bool) {
	found, ok := c.states[state][event]
	if !ok || found.err != nil {
		return state, nil, false
	}
	return found.to, found.actions, true
}

// State returns the current state.
func (i *Instance[S, E, A]) State() S {
	return i.state
}

// Lists says whether the current state lists the event.
func (i *Instance[S, E, A]) Lists(event E) bool {
	found, ok := i.chart.states[i.state][event]
	return ok && found.err == nil
}

// Fire takes the transition of an event and returns its actions, which the caller must not change. An event
// that the state doesn't list leaves the state as it is and gives an *EventError.
func (i *Instance[S, E, A]) Fire(event E) ([]A, error) {
	found, ok := i.chart.states[i.state][event]
	if !ok {
		return nil, &EventError{Chart: i.chart.name, State: string(i.state), Event: string(event)}
	}
	if found.err != nil {
		return nil, found.err
	}
	i.state = found.to
	return found.actions, nil
}

// Load returns the embedded chart that the vocabulary names.
func Load[S, E, A ~string](vocabulary Vocabulary[S, E, A]) (*Chart[S, E, A], error) {
	text, err := chartFiles.ReadFile("charts/" + vocabulary.Chart + ".yaml")
	if errors.Is(err, fs.ErrNotExist) {
		return nil, trace.NotFound("chart %s: no file charts/%s.yaml", vocabulary.Chart, vocabulary.Chart)
	}
	if err != nil {
		return nil, trace.Wrap(err, "chart %s", vocabulary.Chart)
	}
	return Parse(vocabulary, text)
}

// MustLoad is Load for package variables: the charts are part of the binary, so a bad one is a build fault.
func MustLoad[S, E, A ~string](vocabulary Vocabulary[S, E, A]) *Chart[S, E, A] {
	chart, err := Load(vocabulary)
	if err != nil {
		panic(err)
	}
	return chart
}

// document is the form of a chart file.
type document struct {
	Name    string                   `yaml:"name"`
	Initial string                   `yaml:"initial"`
	States  map[string]documentState `yaml:"states"`
}

type documentState struct {
	On map[string]documentTransition `yaml:"on"`
}

type documentTransition struct {
	To string   `yaml:"to"`
	Do []string `yaml:"do"`
}

// Parse checks a chart document against the vocabulary.
func Parse[S, E, A ~string](vocabulary Vocabulary[S, E, A], text []byte) (*Chart[S, E, A], error) {
	var doc document
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&doc); err != nil {
		return nil, trace.BadParameter("chart %s: %v", vocabulary.Chart, err)
	}
	if err := check(vocabulary, doc); err != nil {
		return nil, trace.Wrap(err)
	}
	return build(vocabulary, doc), nil
}

// check refuses a document that the code can't run.
func check[S, E, A ~string](vocabulary Vocabulary[S, E, A], doc document) error {
	fail := func(place, format string, args ...any) error {
		return &LoadError{Chart: vocabulary.Chart, Place: place, Cause: fmt.Sprintf(format, args...)}
	}
	if doc.Name != vocabulary.Chart {
		return fail("name", "is %q, want %q", doc.Name, vocabulary.Chart)
	}
	if doc.Initial == "" {
		return fail("initial", "is missing")
	}
	if _, ok := doc.States[doc.Initial]; !ok {
		return fail("initial", "unknown state %q", doc.Initial)
	}
	for _, known := range vocabulary.States {
		if _, ok := doc.States[string(known)]; !ok {
			return fail("states", "state %q of the code is missing", known)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(doc.States)) {
		if !slices.Contains(vocabulary.States, S(name)) {
			return fail("states."+name, "the code knows no such state")
		}
		if err := checkState(vocabulary, doc, name, fail); err != nil {
			return err
		}
	}
	return checkReachable(doc, fail)
}

// checkState checks the events of one state.
func checkState[S, E, A ~string](
	vocabulary Vocabulary[S, E, A], doc document, name string, fail func(string, string, ...any) error,
) error {
	state := doc.States[name]
	for _, event := range slices.Sorted(maps.Keys(state.On)) {
		place := "states." + name + ".on." + event
		if !slices.Contains(vocabulary.Events, E(event)) {
			return fail(place, "unknown event")
		}
		to := state.On[event].To
		if _, ok := doc.States[to]; !ok {
			return fail(place+".to", "unknown state %q", to)
		}
		for n, action := range state.On[event].Do {
			if !slices.Contains(vocabulary.Actions, A(action)) {
				return fail(fmt.Sprintf("%s.do[%d]", place, n), "unknown action %q", action)
			}
		}
	}
	return nil
}

// checkReachable refuses states that no sequence of events reaches.
func checkReachable(doc document, fail func(string, string, ...any) error) error {
	reached := map[string]bool{doc.Initial: true}
	queue := []string{doc.Initial}
	for len(queue) > 0 {
		state := doc.States[queue[0]]
		queue = queue[1:]
		for _, next := range state.On {
			if !reached[next.To] {
				reached[next.To] = true
				queue = append(queue, next.To)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(doc.States)) {
		if !reached[name] {
			return fail("states."+name, "is unreachable from %q", doc.Initial)
		}
	}
	return nil
}

// build converts a checked document.
func build[S, E, A ~string](vocabulary Vocabulary[S, E, A], doc document) *Chart[S, E, A] {
	chart := &Chart[S, E, A]{
		name:    vocabulary.Chart,
		initial: S(doc.Initial),
		states:  make(map[S]map[E]transition[S, A], len(doc.States)),
	}
	for name, state := range doc.States {
		steps := make(map[E]transition[S, A], len(vocabulary.Events))
		for _, event := range vocabulary.Events {
			steps[event] = buildTransition[S, E, A](chart.name, name, event, state)
		}
		chart.states[S(name)] = steps
	}
	return chart
}

// buildTransition converts the step of one event, or its refusal.
func buildTransition[S, E, A ~string](chart, name string, event E, state documentState) transition[S, A] {
	found, ok := state.On[string(event)]
	if !ok {
		return transition[S, A]{err: &EventError{Chart: chart, State: name, Event: string(event)}}
	}
	actions := make([]A, len(found.Do))
	for n, action := range found.Do {
		actions[n] = A(action)
	}
	return transition[S, A]{to: S(found.To), actions: actions}
}

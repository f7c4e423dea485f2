// Package statechart interprets the state charts in charts/*.yaml.
//
// A chart is validated when it is loaded: its states, events and actions must be defined in the code, and every state
// must be reachable. Instances are values; firing an event of the vocabulary does not allocate.
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

// Vocabulary lists the states, events and actions that the code defines for one chart.
type Vocabulary[S, E, A ~string] struct {
	// Chart is the name of the chart and, with the suffix .yaml, of its file.
	Chart   string
	States  []S
	Events  []E
	Actions []A
}

// Chart is a validated chart. It is immutable and may be shared.
type Chart[S, E, A ~string] struct {
	name    string
	initial S
	states  map[S]map[E]transition[S, A]
}

// transition is the effect of one event in one state.
type transition[S, A ~string] struct {
	to      S
	actions []A
	// err is set if the state doesn't list the event; it is created at load time so that firing doesn't allocate.
	err error
}

// Instance is one running state machine of a chart.
type Instance[S, E, A ~string] struct {
	chart *Chart[S, E, A]
	state S
}

// EventError reports an event that the current state doesn't list.
type EventError struct {
	Chart string
	State string
	Event string
}

// Error implements error.
func (e *EventError) Error() string {
	return fmt.Sprintf("chart %s: state %s does not list event %s", e.Chart, e.State, e.Event)
}

// LoadError reports an invalid chart.
type LoadError struct {
	Chart string
	// Place is the path of the invalid value in the document, such as states.idle.on.chosen.to.
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

// Next returns the transition of an event, for callers that store the state themselves. It returns false if the state
// does not list the event. The caller must not modify the actions.
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

// Lists reports whether the current state lists the event.
func (i *Instance[S, E, A]) Lists(event E) bool {
	found, ok := i.chart.states[i.state][event]
	return ok && found.err == nil
}

// Fire takes the transition of an event and returns its actions, which the caller must not modify. For an event that
// the state doesn't list, it keeps the state and returns an *EventError.
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

// Load returns the embedded chart with the name given in the vocabulary.
func Load[S, E, A ~string](vocabulary Vocabulary[S, E, A]) (*Chart[S, E, A], error) {
	text, err := chartFiles.ReadFile("charts/" + vocabulary.Chart + ".yaml")
	if errors.Is(err, fs.ErrNotExist) {
		return nil, trace.NotFound("chart %s: no embedded file charts/%s.yaml", vocabulary.Chart, vocabulary.Chart)
	}
	if err != nil {
		return nil, trace.Wrap(err, "reading chart %s", vocabulary.Chart)
	}
	return Parse(vocabulary, text)
}

// MustLoad is like Load but panics on errors. It is meant for package variables: the charts are embedded in the binary,
// so an invalid one is a programming error.
func MustLoad[S, E, A ~string](vocabulary Vocabulary[S, E, A]) *Chart[S, E, A] {
	chart, err := Load(vocabulary)
	if err != nil {
		panic(err)
	}
	return chart
}

// document is the content of a chart file.
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

// Parse decodes a chart document and validates it against the vocabulary.
func Parse[S, E, A ~string](vocabulary Vocabulary[S, E, A], text []byte) (*Chart[S, E, A], error) {
	var doc document
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&doc); err != nil {
		return nil, trace.BadParameter("chart %s: decoding YAML: %v", vocabulary.Chart, err)
	}
	if err := check(vocabulary, doc); err != nil {
		return nil, trace.Wrap(err)
	}
	return build(vocabulary, doc), nil
}

// check validates a document against the vocabulary.
func check[S, E, A ~string](vocabulary Vocabulary[S, E, A], doc document) error {
	fail := func(path, format string, args ...any) error {
		return &LoadError{Chart: vocabulary.Chart, Place: path, Cause: fmt.Sprintf(format, args...)}
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
	for _, state := range vocabulary.States {
		if _, ok := doc.States[string(state)]; !ok {
			return fail("states", "state %q is defined in the code but missing here", state)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(doc.States)) {
		if !slices.Contains(vocabulary.States, S(name)) {
			return fail("states."+name, "state is not defined in the code")
		}
		if err := checkState(vocabulary, doc, name, fail); err != nil {
			return err
		}
	}
	return checkReachable(doc, fail)
}

// checkState validates the events of one state.
func checkState[S, E, A ~string](
	vocabulary Vocabulary[S, E, A], doc document, name string, fail func(string, string, ...any) error,
) error {
	state := doc.States[name]
	for _, event := range slices.Sorted(maps.Keys(state.On)) {
		path := "states." + name + ".on." + event
		if !slices.Contains(vocabulary.Events, E(event)) {
			return fail(path, "unknown event")
		}
		to := state.On[event].To
		if _, ok := doc.States[to]; !ok {
			return fail(path+".to", "unknown state %q", to)
		}
		for i, action := range state.On[event].Do {
			if !slices.Contains(vocabulary.Actions, A(action)) {
				return fail(fmt.Sprintf("%s.do[%d]", path, i), "unknown action %q", action)
			}
		}
	}
	return nil
}

// checkReachable returns an error if a state can't be reached by any sequence of events.
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

// build converts a validated document.
func build[S, E, A ~string](vocabulary Vocabulary[S, E, A], doc document) *Chart[S, E, A] {
	chart := &Chart[S, E, A]{
		name:    vocabulary.Chart,
		initial: S(doc.Initial),
		states:  make(map[S]map[E]transition[S, A], len(doc.States)),
	}
	for name, state := range doc.States {
		transitions := make(map[E]transition[S, A], len(vocabulary.Events))
		for _, event := range vocabulary.Events {
			transitions[event] = buildTransition[S, E, A](chart.name, name, event, state)
		}
		chart.states[S(name)] = transitions
	}
	return chart
}

// buildTransition converts the transition of one event, or returns one with an error if the state doesn't list the
// event.
func buildTransition[S, E, A ~string](chart, name string, event E, state documentState) transition[S, A] {
	found, ok := state.On[string(event)]
	if !ok {
		return transition[S, A]{err: &EventError{Chart: chart, State: name, Event: string(event)}}
	}
	actions := make([]A, len(found.Do))
	for i, action := range found.Do {
		actions[i] = A(action)
	}
	return transition[S, A]{to: S(found.To), actions: actions}
}

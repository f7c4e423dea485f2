package statechart

import (
	"errors"
	"strings"
	"testing"
)

// loadAll loads all embedded charts as the daemons do at startup, except the ticket charts, which internal/atmostonce
// loads.
func loadAll() error {
	_, request := Load(RequestVocabulary())
	_, target := Load(TargetVocabulary())
	_, ownership := Load(OwnershipVocabulary())
	_, daemon := Load(DaemonVocabulary())
	_, move := Load(MoveVocabulary())
	return errors.Join(request, target, ownership, daemon, move)
}

// Guards against an embedded chart that a daemon would reject at startup, and against a chart file that is never
// loaded.
func TestEmbeddedChartsLoad(t *testing.T) {
	if err := loadAll(); err != nil {
		t.Fatal(err)
	}
	entries, err := chartFiles.ReadDir("charts")
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) != 8 {
		t.Fatalf("got %d chart files, want 8", len(entries))
	}
}

var lampVocabulary = Vocabulary[string, string, string]{
	Chart: "lamp", States: []string{"off", "on"}, Events: []string{"press", "cut"}, Actions: []string{"heat"},
}

const lampChart = `
name: lamp
initial: off
states:
  off: {on: {press: {to: on, do: [heat]}}}
  on: {on: {press: {to: off}}}
`

// Guards against an invalid chart that is detected only when the event occurs, and against errors without the path of
// the invalid value.
func TestParseRejectsInvalidCharts(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown state", "to: off", "to: dim", `chart lamp: states.on.on.press.to: unknown state "dim"`},
		{"unknown event", "on: {on: {press", "on: {on: {kick", "chart lamp: states.on.on.kick: unknown event"},
		{"unknown action", "heat", "cool", `chart lamp: states.off.on.press.do[0]: unknown action "cool"`},
		{"unreachable state", "to: on,", "to: off,", `chart lamp: states.on: is unreachable from "off"`},
		{"missing initial", "initial: off", "", "chart lamp: initial: is missing"},
		{"unknown initial", "initial: off", "initial: dim", `chart lamp: initial: unknown state "dim"`},
		{"other name", "name: lamp", "name: fan", `chart lamp: name: is "fan", want "lamp"`},
		{"unknown field", "to: off", "go: off", "unknown field"},
		{"duplicate state", "  on: {on", "  off: {on", "already defined"},
		{"state missing from the chart", "  on: {on: {press: {to: off}}}", "", `chart lamp: states: state "on" is defined in the code but missing`},
		{"state not defined in the code", "states:", "states:\n  dim: {on: {}}", "chart lamp: states.dim: state is not defined in the code"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(lampChart, test.old, test.new, 1)
			if text == lampChart {
				t.Fatal("test case does not change the chart")
			}
			_, err := Parse(lampVocabulary, []byte(text))
			if err == nil || !strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), "chart lamp") {
				t.Fatalf("got %v, want %s", err, test.want)
			}
		})
	}
}

// Guards against a transition for an event that the state doesn't list.
func TestFire(t *testing.T) {
	chart, err := Parse(lampVocabulary, []byte(lampChart))
	if err != nil {
		t.Fatal(err)
	}
	instance := chart.New()
	actions, err := instance.Fire("press")
	if err != nil || instance.State() != "on" || len(actions) != 1 || actions[0] != "heat" {
		t.Fatalf("state %s, actions %v, error %v", instance.State(), actions, err)
	}
	for _, event := range []string{"cut", "undefined"} {
		var unlisted *EventError
		if _, err := instance.Fire(event); !errors.As(err, &unlisted) || unlisted.Event != event || unlisted.State != "on" {
			t.Fatalf("event %s: got %v", event, err)
		}
		if instance.State() != "on" || instance.Lists(event) {
			t.Fatalf("event %s: state %s", event, instance.State())
		}
	}
}

// Guards against allocations on the request path, where events of the request chart are fired for every request.
func TestFireDoesNotAllocate(t *testing.T) {
	chart := MustLoad(RequestVocabulary())
	allocations := testing.AllocsPerRun(100, func() {
		instance := chart.New()
		for _, event := range []RequestEvent{RequestOnAdmit, RequestOnWrite, RequestOnEnd} {
			if _, err := instance.Fire(event); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := instance.Fire(RequestOnAdmit); err == nil {
			t.Fatal("a finished request was admitted")
		}
	})
	if allocations != 0 {
		t.Fatalf("%v allocations per request", allocations)
	}
}

func BenchmarkFire(b *testing.B) {
	chart := MustLoad(RequestVocabulary())
	for b.Loop() {
		instance := chart.New()
		_, _ = instance.Fire(RequestOnAdmit)
	}
}

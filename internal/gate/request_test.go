package gate

import (
	"testing"

	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/statechart"
)

// Guards against a refusal that says "not run" after a byte may have reached the target.
func TestRefusalAfterTheFirstByteIsNeverNotRun(t *testing.T) {
	cases := []struct {
		name   string
		events []statechart.RequestEvent
		claim  reason.Ran
		want   reason.Ran
	}{
		{"received", nil, reason.No, reason.No},
		{"admitted", []statechart.RequestEvent{statechart.RequestOnAdmit}, reason.No, reason.No},
		{"admitted, outcome unknown", []statechart.RequestEvent{statechart.RequestOnAdmit}, reason.Unknown, reason.Unknown},
		{"written", []statechart.RequestEvent{statechart.RequestOnAdmit, statechart.RequestOnWrite}, reason.No, reason.Unknown},
		{"resumed", []statechart.RequestEvent{statechart.RequestOnResume}, reason.No, reason.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := newRequestState()
			for _, event := range c.events {
				state.fire(event)
			}
			if got := state.allowedRan(c.claim); got != c.want {
				t.Fatalf("claims %s, want %s", got, c.want)
			}
		})
	}
}

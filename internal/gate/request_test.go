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
		{"received", nil, reason.NotRun, reason.NotRun},
		{"admitted", []statechart.RequestEvent{statechart.RequestOnAdmit}, reason.NotRun, reason.NotRun},
		{"admitted, outcome unknown", []statechart.RequestEvent{statechart.RequestOnAdmit}, reason.MayHaveRun, reason.MayHaveRun},
		{"written", []statechart.RequestEvent{statechart.RequestOnAdmit, statechart.RequestOnWrite}, reason.NotRun, reason.MayHaveRun},
		{"resumed", []statechart.RequestEvent{statechart.RequestOnResume}, reason.NotRun, reason.MayHaveRun},
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

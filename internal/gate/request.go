package gate

import (
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/statechart"
)

var requestChart = statechart.MustLoad(statechart.RequestVocabulary())

// requestState tracks one request by the request state chart.
type requestState struct {
	chart statechart.Instance[statechart.RequestState, statechart.RequestEvent, statechart.RequestAction]
}

func newRequestState() requestState { return requestState{chart: requestChart.New()} }

// fire fires an event. Calls that the chart does not describe, such as ticketed calls, which have their own charts,
// are not affected.
func (s *requestState) fire(event statechart.RequestEvent) []statechart.RequestAction {
	if !s.chart.Lists(event) {
		return nil
	}
	actions, _ := s.chart.Fire(event)
	return actions
}

// allowedRan returns what a refusal may state about whether the request ran.
func (s *requestState) allowedRan(ran reason.Ran) reason.Ran {
	event := statechart.RequestOnFail
	if ran == reason.NotRun {
		event = statechart.RequestOnRefuse
	}
	for _, action := range s.fire(event) {
		switch action {
		case statechart.RequestDoSayNotRun:
			return reason.NotRun
		case statechart.RequestDoSayUnknown:
			return reason.MayHaveRun
		}
	}
	return ran
}

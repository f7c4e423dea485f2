package replay

import (
	"slices"

	"github.com/amaranthlb/amaranthlb/standin/batch"
)

// addFaults puts the faults of the trace that concern targets on the agenda. Routers and platform are not
// simulated, so the other faults have no effect.
func (s *simulation) addFaults() {
	for i := range s.trace.Events {
		event := &s.trace.Events[i]
		if event.Kind != KindFault {
			continue
		}
		s.at(event.At(), func() { s.fault(event) })
	}
}

func (s *simulation) fault(event *Event) {
	target := slices.IndexFunc(s.cluster.Pool.Targets, func(t Target) bool { return t.Name == event.Target })
	switch event.Fault {
	case ZoneCut:
		s.cluster.cutZone = event.Zone
		s.at(s.now+event.For(), func() { s.cluster.cutZone = "" })
	case TargetJoin:
		s.setOpen(target, true)
	case TargetFlap:
		s.close(event, target, false)
	case TargetLeave:
		s.close(event, target, true)
	case TargetCrash:
		s.crash(target)
		s.close(event, target, true)
	}
}

func (s *simulation) setOpen(target int, open bool) {
	if target >= 0 {
		s.cluster.Open[target] = open
	}
}

// close takes a target away for a time; empty makes it return without its cache.
func (s *simulation) close(event *Event, target int, empty bool) {
	s.setOpen(target, false)
	if target < 0 || event.ForMS == 0 {
		return
	}
	s.at(s.now+event.For(), func() {
		if empty {
			s.engines[target].Cache().Clear()
		}
		s.setOpen(target, true)
	})
}

// crash ends the target's requests; their callers send them again.
func (s *simulation) crash(target int) {
	if target < 0 {
		return
	}
	s.engines[target] = batch.NewModel(s.cluster.Pool.Engine.Batch())
	for _, request := range s.requestsAt(target) {
		j := s.running[request]
		s.leave(request, j)
		s.recorder.update(func(m *Measures) { m.Retries++ })
		s.at(s.now+j.backoff.grow(), func() { s.place(j) })
	}
}

// requestsAt returns the requests at a target, in a stable order.
func (s *simulation) requestsAt(target int) []*batch.Request {
	var requests []*batch.Request
	for request, j := range s.running {
		if j.target == target {
			requests = append(requests, request)
		}
	}
	slices.SortFunc(requests, func(a, b *batch.Request) int { return s.running[a].compare(s.running[b]) })
	return requests
}

// compare orders jobs by chat, of which only one turn runs at a time.
func (j *job) compare(other *job) int {
	switch {
	case j.ask.Chat < other.ask.Chat:
		return -1
	case j.ask.Chat > other.ask.Chat:
		return 1
	}
	return 0
}

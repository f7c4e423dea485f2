package atmostonce

import (
	"fmt"
	"hash/maphash"
	"math/rand"
	"slices"
	"strings"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// modelStep is one step of the model: a label for the trace, the state after it and the violation found, if any.
type modelStep struct {
	label string
	next  *modelState
	found *violation
}

// successors returns all steps that are possible in a state.
func (sc *scenario) successors(s *modelState) []modelStep {
	var out []modelStep
	add := func(label string, next *modelState, found *violation) {
		out = append(out, modelStep{label, next, found})
	}
	sc.protocolSteps(s, add)
	sc.faultSteps(s, add)
	return out
}

func (sc *scenario) protocolSteps(s *modelState, add addStepFunc) {
	sc.deliverySteps(s, add)
	sc.entrySteps(s, add)
	for place := range placeCount {
		sc.daemonSteps(s, place, add)
	}
}

type addStepFunc func(label string, next *modelState, found *violation)

func (sc *scenario) deliverySteps(s *modelState, add addStepFunc) {
	for i, m := range s.messages {
		next := s.clone()
		next.messages = slices.Delete(next.messages, i, i+1)
		add("deliver "+kindNames[m.kind], next, sc.deliver(next, m))
		if s.remaining.duplicates > 0 {
			next := s.clone()
			next.remaining.duplicates--
			add("deliver and keep "+kindNames[m.kind], next, sc.deliver(next, m))
		}
	}
}

func (sc *scenario) deliver(s *modelState, m message) *violation {
	place, left := int(m.to), s.ticketLeft()
	switch m.kind {
	case submitMessage:
		return sc.step(s, place, ExecutorRole, m, Submit{Ticket: modelTicket, Remaining: left, Call: m.call})
	case settleMessage:
		return sc.step(s, place, WitnessRole, m, Settle{Ticket: modelTicket, Remaining: left, Call: m.call})
	case intentMessage:
		executor := gateAt(int(m.from), int(m.process/incarnationStep))
		ev := Intent{Ticket: modelTicket, Remaining: left, Executor: executor, Call: callOf(m)}
		return sc.step(s, place, WitnessRole, m, ev)
	case outcomeMessage:
		ev := Outcome{Ticket: modelTicket, Remaining: left, Result: m.result.decode(), Call: callOf(m)}
		return sc.step(s, place, WitnessRole, m, ev)
	case inheritMessage:
		return sc.deliverInherit(s, m)
	}
	ev := IntentAnswered{ID: modelTicket.ID, Verdict: m.verdict}
	if m.heir != noPlace {
		ev.Heir = gateAt(int(m.heir), 0)
	}
	sc.updateGate(s, place, func(g *gateProcess) { g.intending = false })
	return sc.step(s, place, ExecutorRole, m, ev)
}

func (sc *scenario) deliverInherit(s *modelState, m message) *violation {
	ev := Inherit{From: m.payload.From, To: m.payload.To, Records: m.payload.Records, Call: callOf(m)}
	if sc.acceptStaleHandOver {
		ev.To = gateAt(int(m.to), s.gates[m.to].generation)
	}
	return sc.step(s, int(m.to), m.payload.Role, m, ev)
}

// entrySteps starts the attempts and lets their waits time out. The attempts are symmetric, so only schedules in which
// the first one starts first are explored.
func (sc *scenario) entrySteps(s *modelState, add addStepFunc) {
	for i, entry := range s.entries {
		switch {
		case entry.stage == entryIdle && (i == 0 || s.entries[0].stage != entryIdle):
			sc.requestSteps(s, i, placeExecutor, submitMessage, add)
		case entry.stage == entryAsking && sc.timeouts:
			sc.requestSteps(s, i, placeWitness, settleMessage, add)
		case entry.stage == entrySettling && sc.timeouts:
			next := s.clone()
			sc.finishAttempt(next, i, resultUnknown)
			add("neither gate answers the entry", next, nil)
		}
	}
}

// requestSteps sends to the gate that the ticket names and, if a drain note exists, alternatively to its heir, since an
// entry may or may not have received the note.
func (sc *scenario) requestSteps(s *modelState, i, place int, kind messageKind, add addStepFunc) {
	next := s.clone()
	sc.sendRequest(next, i, place, kind)
	add(fmt.Sprintf("entry %d asks %d", i, place), next, nil)
	if heir := s.notedHeirs[place]; heir != noPlace {
		next := s.clone()
		sc.sendRequest(next, i, int(heir), kind)
		add(fmt.Sprintf("entry %d asks heir %d", i, heir), next, nil)
	}
}

func (sc *scenario) sendRequest(s *modelState, i, place int, kind messageKind) {
	entry := &s.entries[i]
	sc.abandonCall(s, entry.call)
	entry.call = nextCall(entry.call, i)
	entry.stage = entryAsking
	if kind == settleMessage {
		entry.stage = entrySettling
	}
	s.send(message{kind: kind, to: int8(place), call: entry.call})
}

// nextCall returns the number of an attempt's next call. Zero is the number of all abandoned calls.
func nextCall(c Call, i int) Call {
	if c == 0 {
		return Call(1 + i*callsPerAttempt)
	}
	return c + 1
}

// callsPerAttempt exceeds the number of calls that one attempt can make.
const callsPerAttempt = 16

// abandonCall gives all calls whose reply is no longer awaited the same number, which merges equivalent states.
func (sc *scenario) abandonCall(s *modelState, call Call) {
	if call == 0 {
		return
	}
	for i := range s.messages {
		if s.messages[i].call == call {
			s.messages[i].call = 0
		}
	}
	ev := CallerGone{ID: modelTicket.ID, Call: call}
	for place, gate := range s.gates {
		if rec := gate.executor.records[modelTicket.ID]; rec != nil && slices.Contains(rec.waitingCalls, call) {
			sc.step(s, place, ExecutorRole, ev, ev)
		}
	}
}

// entryReceives handles a reply as an entry daemon does: it asks the heir once, then the witness.
func (sc *scenario) entryReceives(s *modelState, call Call, result Result, elsewhere bool, heir int) *violation {
	if call == 0 {
		return nil
	}
	i := int(call-1) / callsPerAttempt
	entry := &s.entries[i]
	if entry.call != call || entry.stage == entryDone {
		return nil
	}
	switch {
	case elsewhere && heir != noPlace && entry.hops == 0:
		entry.hops++
		sc.sendRequest(s, i, heir, entry.kind())
		return nil
	case elsewhere && entry.stage == entryAsking:
		entry.hops = 0
		sc.sendRequest(s, i, placeWitness, settleMessage)
		return nil
	}
	return sc.completeAttempt(s, i, encodeResult(result).code)
}

func (e entryAttempt) kind() messageKind {
	if e.stage == entrySettling {
		return settleMessage
	}
	return submitMessage
}

// completeAttempt returns the result to the caller and checks it.
func (sc *scenario) completeAttempt(s *modelState, i int, code uint8) *violation {
	sc.finishAttempt(s, i, code)
	if s.mustAnswer && code != resultAnswer {
		return &violation{"a caller got no answer although there was no fault"}
	}
	if code != resultUnknown {
		return nil
	}
	return s.checkUnknown()
}

func (sc *scenario) finishAttempt(s *modelState, i int, code uint8) {
	sc.abandonCall(s, s.entries[i].call)
	s.entries[i] = entryAttempt{stage: entryDone, result: code}
}

// checkUnknown requires a recorded intent, a crashed or drained process, or the end of the grace period.
func (s *modelState) checkUnknown() *violation {
	late := s.ticketLeft() <= -DefaultConfig().Timing.GracePeriod
	if s.history.recorded || s.history.crashed || s.history.drained || late {
		return nil
	}
	return &violation{"unknown without a recorded intent, a crash, a drain or the end of the grace period"}
}

// daemonSteps adds the steps of the gate's daemon for its work in progress.
func (sc *scenario) daemonSteps(s *modelState, place int, add addStepFunc) {
	gate := s.gates[place]
	id := modelTicket.ID
	if gate.intending && sc.timeouts {
		next := s.clone()
		sc.updateGate(next, place, func(g *gateProcess) { g.intending = false })
		ev := WitnessUnreachable{ID: id}
		add("witness unreachable", next, sc.step(next, place, ExecutorRole, ev, ev))
	}
	if gate.preparing {
		next := s.clone()
		ev := Start{ID: id}
		add("start", next, sc.step(next, place, ExecutorRole, ev, ev))
		sc.notStartedSteps(s, place, add)
	}
	if gate.running {
		next := s.clone()
		sc.updateGate(next, place, func(g *gateProcess) { g.running = false })
		if gate.executor.state != "handed" {
			next.history.finished = true
		}
		ev := Finish{ID: id, Result: Result{Answer: modelAnswer}}
		add("finish", next, sc.step(next, place, ExecutorRole, ev, ev))
	}
}

func (sc *scenario) notStartedSteps(s *modelState, place int, add addStepFunc) {
	if s.remaining.retries == 0 {
		return
	}
	for _, retry := range []bool{true, false} {
		next := s.clone()
		next.remaining.retries--
		sc.updateGate(next, place, func(g *gateProcess) { g.preparing = false })
		ev := NotStarted{ID: modelTicket.ID, Reason: reason.TargetUnreachable, Retry: retry}
		add("not started", next, sc.step(next, place, ExecutorRole, ev, ev))
	}
}

func (sc *scenario) faultSteps(s *modelState, add addStepFunc) {
	if s.remaining.phases > 0 {
		next := s.clone()
		next.remaining.phases--
		next.phase++
		add("time passes", next, sc.tickAll(next))
	}
	for _, place := range sc.crashable {
		if s.remaining.crashes > 0 {
			next := s.clone()
			next.remaining.crashes--
			next.history.crashed = true
			next.history.finished = next.history.finished && s.gates[place].executor.state == "handed"
			next.gates[place] = sc.newGate(place, s.gates[place].generation+1)
			add(fmt.Sprintf("crash of %d", place), next, nil)
		}
	}
	for _, place := range sc.drainable {
		sc.drainSteps(s, place, add)
	}
}

func (sc *scenario) drainSteps(s *modelState, place int, add addStepFunc) {
	gate := s.gates[place]
	if s.remaining.drains > 0 && gate.executor.state == "serving" {
		next := s.clone()
		next.remaining.drains--
		next.history.drained = true
		add(fmt.Sprintf("drain of %d", place), next, sc.drain(next, place, int(sc.heirs[place])))
	}
	if s.remaining.redrains > 0 && gate.executor.state != "serving" {
		next := s.clone()
		next.remaining.redrains--
		add(fmt.Sprintf("second drain of %d", place), next, sc.drain(next, place, placeSpare))
	}
	if s.remaining.drainLimits > 0 && gate.executor.state == "draining" {
		next := s.clone()
		next.remaining.drainLimits--
		add(fmt.Sprintf("drain limit of %d", place), next, sc.step(next, place, ExecutorRole, HandOver{}, HandOver{}))
	}
}

func (sc *scenario) drain(s *modelState, place, heir int) *violation {
	ev := Drain{Heir: gateAt(heir, s.gates[heir].generation)}
	if found := sc.step(s, place, ExecutorRole, ev, ev); found != nil {
		return found
	}
	return sc.step(s, place, WitnessRole, ev, ev)
}

func (sc *scenario) tickAll(s *modelState) *violation {
	for place := range placeCount {
		for _, role := range []Role{ExecutorRole, WitnessRole} {
			if found := sc.step(s, place, role, Tick{}, Tick{}); found != nil {
				return found
			}
		}
	}
	return nil
}

// visit is a reached state with the step that led to it.
type visit struct {
	state  *modelState
	parent int
	label  string
}

// search explores all states of a scenario, breadth first, until the first violation.
func (sc *scenario) search(limit int) (states int, found string) {
	seed := maphash.MakeSeed()
	seen := make(map[uint64]struct{})
	start := sc.initial()
	visits := []visit{{state: start, parent: -1}}
	buffer := start.key(nil, sc.messageNumbers)
	seen[maphash.Bytes(seed, buffer)] = struct{}{}
	for i := 0; i < len(visits); i++ {
		current := visits[i].state
		visits[i].state = nil
		for _, m := range sc.successors(current) {
			if m.found != nil {
				return len(seen), m.found.text + ":" + trace(visits, i) + "; " + m.label
			}
			m.next.pruneMessages()
			buffer = m.next.key(buffer, sc.messageNumbers)
			hash := maphash.Bytes(seed, buffer)
			if _, known := seen[hash]; known {
				continue
			}
			seen[hash] = struct{}{}
			visits = append(visits, visit{state: m.next, parent: i, label: m.label})
		}
		if len(seen) > limit {
			return len(seen), "state limit reached"
		}
	}
	return len(seen), ""
}

func trace(visits []visit, last int) string {
	var labels []string
	for i := last; i > 0; i = visits[i].parent {
		labels = append(labels, visits[i].label)
	}
	slices.Reverse(labels)
	return " " + strings.Join(labels, "; ")
}

// walk takes random steps from the initial state. Faults are less frequent than protocol steps.
func (sc *scenario) walk(random *rand.Rand, steps int) (stepsTaken int, found string) {
	const faultShare = 0.1
	state := sc.initial()
	var labels []string
	for stepsTaken = range steps {
		var candidates, faults []modelStep
		collect := func(list *[]modelStep) addStepFunc {
			return func(label string, next *modelState, found *violation) {
				*list = append(*list, modelStep{label, next, found})
			}
		}
		sc.protocolSteps(state, collect(&candidates))
		sc.faultSteps(state, collect(&faults))
		if len(faults) > 0 && (len(candidates) == 0 || random.Float64() < faultShare) {
			candidates = faults
		}
		if len(candidates) == 0 {
			return stepsTaken, ""
		}
		chosen := candidates[random.Intn(len(candidates))]
		labels = append(labels, chosen.label)
		if chosen.found != nil {
			return stepsTaken, chosen.found.text + ": " + strings.Join(labels, "; ")
		}
		state = chosen.next
		state.pruneMessages()
	}
	return stepsTaken, ""
}

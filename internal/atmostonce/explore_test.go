package atmostonce

import (
	"fmt"
	"hash/maphash"
	"math/rand"
	"slices"
	"strings"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// move is one step of the model: a label for the trace and the state after it.
type move struct {
	label string
	next  *modelState
	found *violation
}

// moves returns every step that is possible in a state.
func (sc *scenario) moves(s *modelState) []move {
	var out []move
	add := func(label string, next *modelState, found *violation) {
		out = append(out, move{label, next, found})
	}
	sc.usualMoves(s, add)
	sc.faultMoves(s, add)
	return out
}

func (sc *scenario) usualMoves(s *modelState, add adder) {
	sc.deliveries(s, add)
	sc.entryMoves(s, add)
	for place := range places {
		sc.daemonMoves(s, place, add)
	}
}

type adder func(label string, next *modelState, found *violation)

func (sc *scenario) deliveries(s *modelState, add adder) {
	for i, m := range s.messages {
		next := s.clone()
		next.messages = slices.Delete(next.messages, i, i+1)
		add("deliver "+kindNames[m.kind], next, sc.deliver(next, m))
		if s.left.duplicates > 0 {
			next := s.clone()
			next.left.duplicates--
			add("deliver and keep "+kindNames[m.kind], next, sc.deliver(next, m))
		}
	}
}

func (sc *scenario) deliver(s *modelState, m message) *violation {
	place, left := int(m.to), s.ticketLeft()
	switch m.kind {
	case submitMessage:
		return sc.step(s, place, ExecutorRole, m, Submit{Ticket: modelTicket, Left: left, Call: m.call})
	case settleMessage:
		return sc.step(s, place, WitnessRole, m, Settle{Ticket: modelTicket, Left: left, Call: m.call})
	case intentMessage:
		executor := gateAt(int(m.from), int(m.process/restartStep))
		ev := Intent{Ticket: modelTicket, Left: left, Executor: executor, Call: callOf(m)}
		return sc.step(s, place, WitnessRole, m, ev)
	case outcomeMessage:
		ev := Outcome{Ticket: modelTicket, Left: left, Result: m.result.decode(), Call: callOf(m)}
		return sc.step(s, place, WitnessRole, m, ev)
	case inheritMessage:
		return sc.deliverInherit(s, m)
	}
	ev := IntentAnswered{ID: modelTicket.ID, Verdict: m.verdict}
	if m.heir != nobody {
		ev.Heir = gateAt(int(m.heir), 0)
	}
	sc.change(s, place, func(g *gateProcess) { g.intending = false })
	return sc.step(s, place, ExecutorRole, m, ev)
}

func (sc *scenario) deliverInherit(s *modelState, m message) *violation {
	ev := Inherit{From: m.payload.From, To: m.payload.To, Records: m.payload.Records, Call: callOf(m)}
	if sc.misdelivered {
		ev.To = gateAt(int(m.to), s.gates[m.to].generation)
	}
	return sc.step(s, int(m.to), m.payload.Role, m, ev)
}

// entryMoves starts the tries and lets their waits time out. The tries are alike, so the first starts first.
func (sc *scenario) entryMoves(s *modelState, add adder) {
	for i, entry := range s.entries {
		switch {
		case entry.stage == entryIdle && (i == 0 || s.entries[0].stage != entryIdle):
			sc.ask(s, i, placeP, submitMessage, add)
		case entry.stage == entryAsking && sc.timeouts:
			sc.ask(s, i, placeS, settleMessage, add)
		case entry.stage == entrySettling && sc.timeouts:
			next := s.clone()
			sc.finishTry(next, i, resultUnknown)
			add("neither gate answers the entry", next, nil)
		}
	}
}

// ask sends to the gate that the ticket names and, where a drain note exists, also tries its heir instead: an entry
// may or may not have seen the note.
func (sc *scenario) ask(s *modelState, i, place int, kind messageKind, add adder) {
	next := s.clone()
	sc.askAt(next, i, place, kind)
	add(fmt.Sprintf("entry %d asks %d", i, place), next, nil)
	if heir := s.noted[place]; heir != nobody {
		next := s.clone()
		sc.askAt(next, i, int(heir), kind)
		add(fmt.Sprintf("entry %d asks heir %d", i, heir), next, nil)
	}
}

func (sc *scenario) askAt(s *modelState, i, place int, kind messageKind) {
	entry := &s.entries[i]
	sc.giveUp(s, entry.call)
	entry.call = nextCall(entry.call, i)
	entry.stage = entryAsking
	if kind == settleMessage {
		entry.stage = entrySettling
	}
	s.send(message{kind: kind, to: int8(place), call: entry.call})
}

// nextCall returns the number of a try's next call. Zero is the number of all calls that were given up.
func nextCall(c Call, i int) Call {
	if c == 0 {
		return Call(1 + i*callsPerTry)
	}
	return c + 1
}

// callsPerTry exceeds the number of calls that one try can make.
const callsPerTry = 16

// giveUp lets the calls of which nobody awaits the reply be alike.
func (sc *scenario) giveUp(s *modelState, call Call) {
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
		if rec := gate.executor.records[modelTicket.ID]; rec != nil && slices.Contains(rec.calls, call) {
			sc.step(s, place, ExecutorRole, ev, ev)
		}
	}
}

// entryReceives follows a reply as an entry daemon does: ask the heir once, then the witness.
func (sc *scenario) entryReceives(s *modelState, call Call, result Result, elsewhere bool, heir int) *violation {
	if call == 0 {
		return nil
	}
	i := int(call-1) / callsPerTry
	entry := &s.entries[i]
	if entry.call != call || entry.stage == entryDone {
		return nil
	}
	switch {
	case elsewhere && heir != nobody && entry.hops == 0:
		entry.hops++
		sc.askAt(s, i, heir, entry.kind())
		return nil
	case elsewhere && entry.stage == entryAsking:
		entry.hops = 0
		sc.askAt(s, i, placeS, settleMessage)
		return nil
	}
	return sc.end(s, i, encodeResult(result).code)
}

func (e entryTry) kind() messageKind {
	if e.stage == entrySettling {
		return settleMessage
	}
	return submitMessage
}

// end gives the caller its result.
func (sc *scenario) end(s *modelState, i int, code uint8) *violation {
	sc.finishTry(s, i, code)
	if s.mustAnswer && code != resultAnswer {
		return &violation{"a caller got no answer without a fault"}
	}
	if code != resultUnknown {
		return nil
	}
	return s.checkUnknown()
}

func (sc *scenario) finishTry(s *modelState, i int, code uint8) {
	sc.giveUp(s, s.entries[i].call)
	s.entries[i] = entryTry{stage: entryDone, result: code}
}

// checkUnknown requires a recorded intent, a process that died or handed over, or the end of the grace period.
func (s *modelState) checkUnknown() *violation {
	late := s.ticketLeft() <= -DefaultConfig().Timing.Grace
	if s.past.recorded || s.past.crashed || s.past.drained || late {
		return nil
	}
	return &violation{"unknown without a recorded intent or a lost process"}
}

// daemonMoves are the steps of the gate's daemon for its work in progress.
func (sc *scenario) daemonMoves(s *modelState, place int, add adder) {
	gate := s.gates[place]
	id := modelTicket.ID
	if gate.intending && sc.timeouts {
		next := s.clone()
		sc.change(next, place, func(g *gateProcess) { g.intending = false })
		ev := WitnessUnreachable{ID: id}
		add("witness unreachable", next, sc.step(next, place, ExecutorRole, ev, ev))
	}
	if gate.preparing {
		next := s.clone()
		ev := Start{ID: id}
		add("start", next, sc.step(next, place, ExecutorRole, ev, ev))
		sc.notStarted(s, place, add)
	}
	if gate.running {
		next := s.clone()
		sc.change(next, place, func(g *gateProcess) { g.running = false })
		if gate.executor.life != "handed" {
			next.past.finished = true
		}
		ev := Finish{ID: id, Result: Result{Answer: modelAnswer}}
		add("finish", next, sc.step(next, place, ExecutorRole, ev, ev))
	}
}

func (sc *scenario) notStarted(s *modelState, place int, add adder) {
	if s.left.retries == 0 {
		return
	}
	for _, retry := range []bool{true, false} {
		next := s.clone()
		next.left.retries--
		sc.change(next, place, func(g *gateProcess) { g.preparing = false })
		ev := NotStarted{ID: modelTicket.ID, Reason: reason.TargetUnreachable, Retry: retry}
		add("not started", next, sc.step(next, place, ExecutorRole, ev, ev))
	}
}

func (sc *scenario) faultMoves(s *modelState, add adder) {
	if s.left.phases > 0 {
		next := s.clone()
		next.left.phases--
		next.phase++
		add("time passes", next, sc.tickAll(next))
	}
	for _, place := range sc.crashable {
		if s.left.crashes > 0 {
			next := s.clone()
			next.left.crashes--
			next.past.crashed = true
			next.past.finished = next.past.finished && s.gates[place].executor.life == "handed"
			next.gates[place] = sc.newGate(place, s.gates[place].generation+1)
			add(fmt.Sprintf("crash of %d", place), next, nil)
		}
	}
	for _, place := range sc.drainable {
		sc.drainMoves(s, place, add)
	}
}

func (sc *scenario) drainMoves(s *modelState, place int, add adder) {
	gate := s.gates[place]
	if s.left.drains > 0 && gate.executor.life == "serving" {
		next := s.clone()
		next.left.drains--
		next.past.drained = true
		add(fmt.Sprintf("drain of %d", place), next, sc.drain(next, place, int(sc.heirs[place])))
	}
	if s.left.redrains > 0 && gate.executor.life != "serving" {
		next := s.clone()
		next.left.redrains--
		add(fmt.Sprintf("second drain of %d", place), next, sc.drain(next, place, placeSpare))
	}
	if s.left.forced > 0 && gate.executor.life == "draining" {
		next := s.clone()
		next.left.forced--
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
	for place := range places {
		for _, role := range []Role{ExecutorRole, WitnessRole} {
			if found := sc.step(s, place, role, Tick{}, Tick{}); found != nil {
				return found
			}
		}
	}
	return nil
}

// visit is a reached state and the way to it.
type visit struct {
	state  *modelState
	parent int
	label  string
}

// search explores every state of a scenario, breadth first, until the first violation.
func (sc *scenario) search(limit int) (states int, found string) {
	seed := maphash.MakeSeed()
	seen := make(map[uint64]struct{})
	start := sc.initial()
	visits := []visit{{state: start, parent: -1}}
	buffer := start.key(nil, sc.numbers)
	seen[maphash.Bytes(seed, buffer)] = struct{}{}
	for i := 0; i < len(visits); i++ {
		current := visits[i].state
		visits[i].state = nil
		for _, m := range sc.moves(current) {
			if m.found != nil {
				return len(seen), m.found.text + ":" + trace(visits, i) + "; " + m.label
			}
			m.next.discard()
			buffer = m.next.key(buffer, sc.numbers)
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

// walk takes random steps from the initial state. Faults are rarer than the steps of the protocol.
func (sc *scenario) walk(random *rand.Rand, steps int) (taken int, found string) {
	const faultShare = 0.1
	state := sc.initial()
	var labels []string
	for taken = range steps {
		var usual, faults []move
		collect := func(into *[]move) adder {
			return func(label string, next *modelState, found *violation) {
				*into = append(*into, move{label, next, found})
			}
		}
		sc.usualMoves(state, collect(&usual))
		sc.faultMoves(state, collect(&faults))
		if len(faults) > 0 && (len(usual) == 0 || random.Float64() < faultShare) {
			usual = faults
		}
		if len(usual) == 0 {
			return taken, ""
		}
		chosen := usual[random.Intn(len(usual))]
		labels = append(labels, chosen.label)
		if chosen.found != nil {
			return taken, chosen.found.text + ": " + strings.Join(labels, "; ")
		}
		state = chosen.next
		state.discard()
	}
	return taken, ""
}

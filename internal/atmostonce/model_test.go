package atmostonce

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

// The model runs the state machines of this package with one ticket and two attempts of its caller. Its places stand
// for gate addresses. A crash puts a new incarnation at the same address at once, which also covers a process that
// stays down, since any message may stay undelivered and any wait may time out. For the same reason loss, delay and
// partitions need no bound. Crashes, drains, duplicates, steps of time, drain limits and failures before the first byte
// are bounded by the scenario's budget. Ticks come only with a step of time, and an entry follows one heir per request.
const (
	placeExecutor = iota
	placeWitness
	placeHeir
	placeSpare
	placeCount

	incarnationStep = 100
	noPlace         = -1
)

// phaseTimes are the times of the model: before expiry, in the grace period, after it, and after the eviction of all
// records.
var phaseTimes = []time.Duration{0, 70 * time.Second, 130 * time.Second, 200 * time.Second}

var modelAnswer = &Answer{Status: 200, Body: []byte("done")}

func gateAt(place, generation int) ticket.Gate {
	return ticket.Gate{Address: string(rune('0' + place)), Incarnation: uint64(1 + place + incarnationStep*generation)}
}

func placeOf(gate ticket.Gate) int {
	if gate.Address == "" {
		return noPlace
	}
	return int(gate.Address[0] - '0')
}

var modelTicket = ticket.Ticket{ID: ticket.ID{1}, Executor: gateAt(placeExecutor, 0), Witness: gateAt(placeWitness, 0)}

type messageKind uint8

const (
	submitMessage messageKind = iota
	intentMessage
	intentReplyMessage
	settleMessage
	outcomeMessage
	inheritMessage
)

var kindNames = [...]string{"submit", "intent", "intent reply", "settle", "outcome", "hand-over"}

// message is comparable, so that states with the same messages are equal. Replies other than those to an intent
// take effect at once: the case in which the caller no longer waits is covered by its time-out before the call arrives.
type message struct {
	kind    messageKind
	to      int8
	from    int8
	process uint64 // incarnation of the calling process; a reply is delivered only to it
	call    Call
	verdict Verdict
	result  modelResult
	heir    int8
	payload *SendRecords
}

// modelResult is the part of a Result that the model distinguishes.
type modelResult struct {
	code      uint8
	elsewhere bool
}

const (
	resultNone = iota
	resultAnswer
	resultNo
	resultUnknown
)

func encodeResult(r Result) modelResult {
	switch {
	case r.Answer != nil:
		return modelResult{code: resultAnswer}
	case r.Ran == reason.NotRun:
		return modelResult{code: resultNo, elsewhere: r.Elsewhere}
	case r.Ran == reason.MayHaveRun:
		return modelResult{code: resultUnknown, elsewhere: r.Elsewhere}
	}
	return modelResult{}
}

func (m modelResult) decode() Result {
	switch m.code {
	case resultAnswer:
		return Result{Answer: modelAnswer}
	case resultNo:
		return notRun(reason.TicketSealed)
	}
	return Result{Reason: reason.UnknownOutcome, Ran: reason.MayHaveRun, Elsewhere: m.elsewhere}
}

// gateProcess is one incarnation at a place, with the work that its daemon has in progress.
type gateProcess struct {
	generation int
	executor   *Executor
	witness    *Witness
	key        string
	intending  bool
	preparing  bool
	running    bool
}

type entryStage uint8

const (
	entryIdle entryStage = iota
	entryAsking
	entrySettling
	entryDone
)

// entryAttempt is one attempt of the caller through one entry.
type entryAttempt struct {
	stage  entryStage
	call   Call
	hops   int8
	result uint8
}

// budget bounds the faults of a scenario.
type budget struct {
	crashes     int8
	drains      int8
	duplicates  int8
	phases      int8
	drainLimits int8
	// redrains is the number of further Drain events, which name another heir.
	redrains int8
	// retries is the number of failures before the first byte that are tried at another target.
	retries int8
}

// runHistory is the part of the past that the checks need.
type runHistory struct {
	runs          int8
	repliedNotRun bool
	recorded      bool
	crashed       bool
	drained       bool
	// finished is set if a run ended at a process that had not handed over its records.
	finished bool
}

type modelState struct {
	gates      [placeCount]*gateProcess
	entries    [2]entryAttempt
	messages   []message
	notedHeirs [placeCount]int8 // heir by drain note of the first incarnation at a place
	remaining  budget
	history    runHistory
	phase      int8
	mustAnswer bool
}

// scenario is a set of faults, with the state machines to use.
type scenario struct {
	name   string
	faults budget
	// timeouts allows messages to be lost or late, and any wait to time out.
	timeouts bool
	// acceptStaleHandOver lets a restarted heir accept a hand-over that was addressed to its predecessor.
	acceptStaleHandOver bool
	// mustAnswer requires every attempt to end with the answer, since the scenario has no fault.
	mustAnswer     bool
	heirs          [placeCount]int8
	drainable      []int
	crashable      []int
	configure      func(*Executor, *Witness)
	payloads       map[string]*SendRecords
	messageNumbers map[message]uint16
	gates          map[string]*gateProcess
	steps          map[stepKey]stepResult
}

func (sc *scenario) newGate(place, generation int) *gateProcess {
	self := gateAt(place, generation)
	gate := &gateProcess{
		generation: generation,
		executor:   NewExecutor(self, DefaultConfig()),
		witness:    NewWitness(self, DefaultConfig()),
	}
	if sc.configure != nil {
		sc.configure(gate.executor, gate.witness)
	}
	return sc.internGate(gate)
}

func (sc *scenario) initial() *modelState {
	if sc.steps == nil {
		sc.payloads = make(map[string]*SendRecords)
		sc.messageNumbers = make(map[message]uint16)
		sc.gates = make(map[string]*gateProcess)
		sc.steps = make(map[stepKey]stepResult)
	}
	state := &modelState{remaining: sc.faults, mustAnswer: sc.mustAnswer}
	for place := range placeCount {
		state.gates[place] = sc.newGate(place, 0)
		state.notedHeirs[place] = noPlace
	}
	return state
}

func (s *modelState) now() time.Duration {
	return phaseTimes[s.phase]
}

// ticketLeft returns the time to the ticket's wall-clock expiry.
func (s *modelState) ticketLeft() time.Duration {
	return DefaultConfig().Timing.Expiry - s.now()
}

func (s *modelState) clone() *modelState {
	copied := *s
	copied.messages = slices.Clone(s.messages)
	return &copied
}

// stepKey identifies a step. State machines are pure, so equal steps of equal machines have equal results.
type stepKey struct {
	gate  *gateProcess
	phase int8
	role  Role
	cause any
}

type stepResult struct {
	gate    *gateProcess
	effects []Effect
}

// step passes an event to a state machine and performs the effects. The cause is a comparable stand-in for the event.
func (sc *scenario) step(s *modelState, place int, role Role, cause any, ev Event) *violation {
	key := stepKey{s.gates[place], s.phase, role, cause}
	result, known := sc.steps[key]
	if !known {
		result = sc.run(s.gates[place], role, s.now(), ev)
		sc.steps[key] = result
	}
	s.gates[place] = result.gate
	for _, effect := range result.effects {
		if found := sc.apply(s, place, effect); found != nil {
			return found
		}
	}
	return nil
}

// run steps a copy of the state machine.
func (sc *scenario) run(gate *gateProcess, role Role, now time.Duration, ev Event) stepResult {
	copied := *gate
	if role == WitnessRole {
		copied.witness = cloneWitness(gate.witness)
		effects := copied.witness.Step(now, ev)
		return stepResult{sc.internGate(&copied), effects}
	}
	copied.executor = cloneExecutor(gate.executor)
	effects := copied.executor.Step(now, ev)
	return stepResult{sc.internGate(&copied), effects}
}

// internGate returns the same pointer for equal gates.
func (sc *scenario) internGate(gate *gateProcess) *gateProcess {
	gate.updateKey()
	if known, ok := sc.gates[gate.key]; ok {
		return known
	}
	sc.gates[gate.key] = gate
	return gate
}

// updateGate replaces the gate at a place by an edited copy.
func (sc *scenario) updateGate(s *modelState, place int, edit func(*gateProcess)) {
	copied := *s.gates[place]
	edit(&copied)
	s.gates[place] = sc.internGate(&copied)
}

func cloneExecutor(e *Executor) *Executor {
	copied := *e
	copied.participant = cloneParticipant(e.participant)
	return &copied
}

func cloneWitness(w *Witness) *Witness {
	copied := *w
	copied.participant = cloneParticipant(w.participant)
	return &copied
}

func cloneParticipant(h participant) participant {
	records := make(map[ticket.ID]*record, len(h.records))
	for id, rec := range h.records {
		copied := *rec
		copied.waitingCalls = slices.Clone(rec.waitingCalls)
		records[id] = &copied
	}
	h.records = records
	h.expiryQueue = slices.Clone(h.expiryQueue)
	h.inherited = maps.Clone(h.inherited)
	h.pendingHandOvers = maps.Clone(h.pendingHandOvers)
	return h
}

func (g *gateProcess) updateKey() {
	key := []byte{byte(g.executor.self.Incarnation), byte(g.generation), boolByte(g.intending), boolByte(g.preparing), boolByte(g.running)}
	key = appendParticipantKey(key, &g.executor.participant)
	g.key = string(appendParticipantKey(key, &g.witness.participant))
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func appendParticipantKey(key []byte, h *participant) []byte {
	key = append(key, h.state...)
	key = binary.AppendUvarint(key, h.heir.Incarnation)
	key = binary.AppendVarint(key, int64(h.resendAt))
	for _, gate := range h.incarnations() {
		key = binary.AppendUvarint(key, gate.Incarnation)
		handOver, pending := h.pendingHandOvers[gate.Incarnation]
		key = append(key, boolByte(pending))
		if pending {
			key = append(key, payloadKey(handOver)...)
		}
	}
	for _, rec := range h.records {
		key = append(key, '|')
		key = append(key, rec.state...)
		for _, v := range []int64{
			int64(rec.startDeadline), int64(rec.expiry), int64(rec.executor), int64(rec.attempt), int64(rec.witnessRedirects),
			int64(rec.witness.Incarnation), int64(rec.outcomeSentAt), int64(boolByte(rec.unconfirmed)),
		} {
			key = binary.AppendVarint(key, v)
		}
		for _, call := range rec.waitingCalls {
			if call != 0 {
				key = append(key, byte(call))
			}
		}
		result := encodeResult(rec.result)
		key = append(key, result.code, boolByte(result.elsewhere))
	}
	for _, entry := range h.expiryQueue {
		key = binary.AppendVarint(key, int64(entry.at))
	}
	return append(key, '/')
}

// key encodes the state; states with equal keys behave the same from then on.
func (s *modelState) key(buffer []byte, numbers map[message]uint16) []byte {
	buffer = append(buffer[:0], byte(s.phase))
	for _, gate := range s.gates {
		buffer = append(buffer, gate.key...)
	}
	for _, entry := range s.entries {
		buffer = append(buffer, byte(entry.stage), byte(entry.call), byte(entry.hops), entry.result)
	}
	for _, heir := range s.notedHeirs {
		buffer = append(buffer, byte(heir))
	}
	left, past := s.remaining, s.history
	buffer = append(buffer, byte(left.crashes), byte(left.drains), byte(left.duplicates), byte(left.phases))
	buffer = append(buffer, byte(left.drainLimits), byte(left.redrains), byte(left.retries))
	buffer = append(buffer, byte(past.runs), boolByte(past.repliedNotRun), boolByte(past.recorded), boolByte(past.crashed))
	buffer = append(buffer, boolByte(past.drained), boolByte(past.finished))
	return s.appendMessages(buffer, numbers)
}

func (s *modelState) appendMessages(buffer []byte, numbers map[message]uint16) []byte {
	var sorted [32]uint16
	used := sorted[:0]
	for _, m := range s.messages {
		number, ok := numbers[m]
		if !ok {
			number = uint16(len(numbers))
			numbers[m] = number
		}
		used = append(used, number)
	}
	slices.Sort(used)
	for _, number := range used {
		buffer = binary.BigEndian.AppendUint16(buffer, number)
	}
	return buffer
}

func payloadKey(p SendRecords) string {
	var key strings.Builder
	fmt.Fprint(&key, p.Role, p.From.Incarnation, p.To.Incarnation)
	for _, rec := range p.Records {
		fmt.Fprint(&key, rec.State, rec.Executor, encodeResult(rec.Result), rec.Remaining)
	}
	return key.String()
}

// violation is a violated guarantee of the protocol.
type violation struct{ text string }

func (s *modelState) send(m message) {
	s.messages = append(s.messages, m)
}

// pruneMessages removes the messages that can no longer have an effect.
func (s *modelState) pruneMessages() {
	s.messages = slices.DeleteFunc(s.messages, func(m message) bool {
		switch m.kind {
		case intentReplyMessage:
			return !s.awaits(m)
		case inheritMessage:
			return isUnrelated(m)
		case submitMessage:
			return m.call == 0 && s.remaining.phases == 0 && s.gates[m.to].executor.records[modelTicket.ID] != nil
		case settleMessage:
			return m.call == 0 && s.remaining.phases == 0 && s.gates[m.to].witness.records[modelTicket.ID] != nil
		}
		return false
	})
}

// isUnrelated reports whether a hand-over is of an incarnation that the ticket does not name.
func isUnrelated(m message) bool {
	if m.payload.Role == WitnessRole {
		return m.payload.From != modelTicket.Witness
	}
	return m.payload.From != modelTicket.Executor
}

func (s *modelState) awaits(m message) bool {
	gate := s.gates[m.to]
	rec := gate.executor.records[modelTicket.ID]
	return gate.executor.self.Incarnation == m.process && rec != nil && rec.state == "intending"
}

// apply performs an effect of a step at a place.
func (sc *scenario) apply(s *modelState, place int, effect Effect) *violation {
	gate := s.gates[place]
	from, process := int8(place), gate.executor.self.Incarnation
	switch effect := effect.(type) {
	case Reply:
		if found := s.checkReply(gate, effect.Result); found != nil {
			return found
		}
		return sc.entryReceives(s, effect.Call, effect.Result, effect.Result.Elsewhere, placeOf(effect.Result.Heir))
	case SettleReply:
		if found := s.checkNotRun(effect.Result); found != nil {
			return found
		}
		elsewhere := effect.Verdict == SettleNotWitness
		return sc.entryReceives(s, effect.Call, effect.Result, elsewhere, placeOf(effect.Heir))
	case SendIntent:
		sc.updateGate(s, place, func(g *gateProcess) { g.intending = true })
		s.send(message{kind: intentMessage, to: int8(placeOf(effect.To)), from: from, process: process})
	case IntentReply:
		s.history.recorded = s.history.recorded || effect.Verdict == IntentRecorded
		to, caller := unpackCall(effect.Call)
		s.send(message{
			kind: intentReplyMessage, to: int8(to), process: caller, verdict: effect.Verdict,
			heir: int8(placeOf(effect.Heir)),
		})
	case Execute:
		sc.updateGate(s, place, func(g *gateProcess) { g.preparing = true })
	case Abort:
		sc.updateGate(s, place, func(g *gateProcess) { g.preparing = false })
	case Write:
		sc.updateGate(s, place, func(g *gateProcess) { g.preparing, g.running = false, true })
		s.history.runs++
		return s.checkRuns()
	case SendOutcome:
		s.send(message{
			kind: outcomeMessage, to: int8(placeOf(effect.To)), from: from, process: process,
			result: encodeResult(effect.Result),
		})
	case OutcomeReply:
		return sc.answerOutcome(s, effect)
	case SendRecords:
		s.send(message{
			kind: inheritMessage, to: int8(placeOf(effect.To)), from: from, process: process,
			payload: sc.internPayload(effect),
		})
	case InheritReply:
		return sc.answerInherit(s, effect)
	case GossipNote:
		origin := placeOf(effect.DrainNote.From)
		if s.notedHeirs[origin] == noPlace && effect.DrainNote.From == gateAt(origin, 0) {
			s.notedHeirs[origin] = int8(placeOf(effect.DrainNote.Heir))
		}
	}
	return nil
}

func (sc *scenario) answerOutcome(s *modelState, reply OutcomeReply) *violation {
	to, caller := unpackCall(reply.Call)
	if !reply.Stored || s.gates[to].executor.self.Incarnation != caller {
		return nil
	}
	ev := OutcomeStored{ID: modelTicket.ID}
	return sc.step(s, to, ExecutorRole, ev, ev)
}

func (sc *scenario) answerInherit(s *modelState, reply InheritReply) *violation {
	to, caller := unpackCall(reply.Call)
	if s.gates[to].executor.self.Incarnation != caller {
		return nil
	}
	ev := Inherited{From: reply.From, Accepted: reply.Accepted}
	role := ExecutorRole
	if reply.Call >= witnessCall {
		role = WitnessRole
	}
	return sc.step(s, to, role, ev, ev)
}

// internPayload returns the same pointer for equal hand-overs, so that messages are comparable.
func (sc *scenario) internPayload(effect SendRecords) *SendRecords {
	key := payloadKey(effect)
	if known, ok := sc.payloads[key]; ok {
		return known
	}
	sc.payloads[key] = &effect
	return &effect
}

// callOf packs the calling process into a Call; witnessCall marks calls of its witness.
func callOf(m message) Call {
	call := Call(m.process)*placeCount + Call(m.from)
	if m.payload != nil && m.payload.Role == WitnessRole {
		call |= witnessCall
	}
	return call
}

// witnessCall marks the calls of a witness; the bit does not overlap the place or the incarnation.
const witnessCall = Call(1) << 40

func unpackCall(call Call) (place int, process uint64) {
	call &= witnessCall - 1
	return int(call % placeCount), uint64(call / placeCount)
}

func (s *modelState) checkRuns() *violation {
	if s.history.runs > 1 {
		return &violation{"the ticket ran twice"}
	}
	if s.history.repliedNotRun {
		return &violation{"the ticket ran after ran: no"}
	}
	return nil
}

func (s *modelState) checkNotRun(result Result) *violation {
	if result.Answer != nil || result.Ran != reason.NotRun {
		return nil
	}
	s.history.repliedNotRun = true
	if s.history.runs > 0 {
		return &violation{"ran: no for a ticket that ran"}
	}
	return nil
}

// checkReply checks that a retry gets the stored answer from any process that acts as the executor, and checks ran: no.
func (s *modelState) checkReply(gate *gateProcess, result Result) *violation {
	acts := gate.executor.actsFor(modelTicket.Executor) && gate.executor.permits("known")
	kept := s.ticketLeft() > -DefaultConfig().Timing.GracePeriod
	if acts && kept && s.history.finished && result.Answer == nil {
		return &violation{"a retry did not get the stored answer"}
	}
	return s.checkNotRun(result)
}

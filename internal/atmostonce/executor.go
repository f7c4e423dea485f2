package atmostonce

import (
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

// maxWitnessRedirects bounds the heirs that one intent follows, so that inconsistent drain notes can't route it in a
// loop.
const maxWitnessRedirects = 3

// maxResendsPerTick bounds the outcomes resent by one Tick.
const maxResendsPerTick = 64

var executorVocabulary = chartVocabulary{
	Chart:  "ticket_executor",
	States: []string{"absent", "intending", "ready", "running", "finished", "sealed", "unknown"},
	Events: []string{
		"submit", "submit_refused", "submit_unrecorded", "acknowledged", "moved", "not_run", "other_executor",
		"start", "start_refused", "not_started", "finish", "finish_too_large", "outcome_stored",
	},
	Actions: []string{
		"record", "join", "reply", "replay", "conclude", "send_intent", "execute", "write", "abort",
		"send_outcome", "stop_sending",
	},
}

// Executor is the state machine of the gate that runs tickets, for its own and inherited incarnations.
type Executor struct {
	participant
	tickets *chart

	// The fields below are the inputs and effects of the Step in progress.
	now     time.Duration
	call    Call
	result  Result
	effects []Effect
}

// NewExecutor returns the executor of one gate process.
func NewExecutor(self ticket.Gate, config Config) *Executor {
	return &Executor{participant: newParticipant(ExecutorRole, self, config), tickets: executorChart}
}

// Step handles one event and returns the effects, in the order in which to perform them. Events of the witness
// are ignored, and so are late and duplicate events.
func (e *Executor) Step(now time.Duration, ev Event) []Effect {
	e.now, e.call, e.result, e.effects = now, 0, Result{}, nil
	e.dispatch(ev)
	if e.activeCount == 0 {
		e.emit(e.fireRole(now, "idle", ticket.Gate{})...)
	}
	return e.effects
}

// ActiveTickets returns the number of active tickets. A daemon may log it while draining.
func (e *Executor) ActiveTickets() int {
	return e.activeCount
}

// PendingTickets returns the number of tickets that may still start a run.
func (e *Executor) PendingTickets() int {
	if e.activeCount == 0 {
		return 0
	}
	return len(e.selectSorted(isPending))
}

func (e *Executor) dispatch(ev Event) {
	switch ev := ev.(type) {
	case Submit:
		e.submit(ev)
	case IntentAnswered:
		e.intentAnswered(ev)
	case WitnessUnreachable:
		e.conclude(ev.ID, "not_run", notRun(reason.WitnessUnreachable))
	case Start:
		e.start(ev)
	case NotStarted:
		e.notStarted(ev)
	case Finish:
		e.finish(ev)
	case OutcomeStored:
		e.fireByID(ev.ID, "outcome_stored")
	case CallerGone:
		e.callerGone(ev)
	case Drain:
		e.emit(e.fireRole(e.now, "drain", ev.Heir)...)
	case HandOver:
		e.handOver()
	case Inherit:
		e.emit(e.inherit(e.now, ev)...)
	case Inherited:
		e.emit(e.handleInherited(ev)...)
	case Tick:
		e.tick()
	}
}

func (e *Executor) emit(effects ...Effect) {
	e.effects = append(e.effects, effects...)
}

func (e *Executor) submit(ev Submit) {
	e.call = ev.Call
	rec, known := e.records[ev.Ticket.ID]
	if !e.mayAct(ev.Ticket, known) {
		e.result = unknownOutcome()
		e.result.Heir = e.heirOf(ev.Ticket.Executor)
		e.emit(Reply{Call: ev.Call, ID: ev.Ticket.ID, Result: e.result})
		return
	}
	if known {
		e.fire(rec, "submit")
		return
	}
	rec = e.newRecord(e.now, ev.Ticket, ev.Remaining, e.tickets.Initial())
	rec.firstCall = ev.Call
	e.fire(rec, e.classifySubmit(ev))
}

func (e *Executor) mayAct(t ticket.Ticket, known bool) bool {
	if !e.actsFor(t.Executor) {
		return false
	}
	if known {
		return e.permits("known")
	}
	return e.permits("new")
}

// classifySubmit returns the chart event for the first submit of a ticket and sets the result if it is refused.
func (e *Executor) classifySubmit(ev Submit) string {
	switch {
	case ev.Remaining <= -e.config.Timing.GracePeriod:
		e.result = unknownOutcome()
		return "submit_unrecorded"
	case !e.roomForSeal():
		e.result = Result{Reason: reason.QueueFull, Ran: reason.MayHaveRun}
		return "submit_unrecorded"
	case ev.Remaining <= 0:
		e.result = notRun(reason.TicketExpired)
		return "submit_refused"
	case !e.roomForActive():
		e.result = notRun(reason.QueueFull)
		return "submit_refused"
	}
	return "submit"
}

func (e *Executor) intentAnswered(ev IntentAnswered) {
	rec := e.records[ev.ID]
	switch ev.Verdict {
	case IntentRecorded:
		e.acknowledged(ev.ID)
	case IntentOtherExecutor:
		e.conclude(ev.ID, "other_executor", unknownOutcome())
	case IntentSealed:
		e.conclude(ev.ID, "not_run", notRun(reason.TicketSealed))
	case IntentExpired:
		e.conclude(ev.ID, "not_run", notRun(reason.TicketExpired))
	default:
		if rec == nil || ev.Heir == (ticket.Gate{}) || rec.witnessRedirects == maxWitnessRedirects {
			e.conclude(ev.ID, "not_run", notRun(reason.WitnessUnreachable))
			return
		}
		e.followHeir(rec, ev.Heir)
	}
}

func (e *Executor) followHeir(rec *record, heir ticket.Gate) {
	if rec.state != "intending" {
		return
	}
	rec.witnessRedirects++
	rec.witness = heir
	e.fire(rec, "moved")
}

func (e *Executor) acknowledged(id ticket.ID) {
	if rec := e.records[id]; rec != nil && e.now >= rec.startDeadline {
		e.conclude(id, "not_run", notRun(reason.TicketExpired))
		return
	}
	e.fireByID(id, "acknowledged")
}

func (e *Executor) start(ev Start) {
	rec := e.records[ev.ID]
	switch {
	case rec == nil:
		e.emit(Abort(ev))
	case e.now >= rec.startDeadline:
		e.conclude(ev.ID, "start_refused", notRun(reason.TicketExpired))
	default:
		e.fireByID(ev.ID, "start")
	}
}

func (e *Executor) notStarted(ev NotStarted) {
	rec := e.records[ev.ID]
	if ev.Retry && rec != nil && e.now < rec.startDeadline {
		e.fireByID(ev.ID, "not_started")
		return
	}
	cause := ev.Reason
	if cause == "" {
		cause = reason.TargetUnreachable
	}
	if rec != nil && rec.state == "ready" {
		e.conclude(ev.ID, "not_run", notRun(cause))
	}
}

func (e *Executor) finish(ev Finish) {
	result := Result{Answer: ev.Result.Answer}
	if result.Answer == nil {
		result = Result{Reason: ev.Result.Reason, Ran: reason.MayHaveRun}
	}
	event := "finish"
	if result.size() > e.config.Limits.AnswerSize {
		event = "finish_too_large"
	}
	e.conclude(ev.ID, event, result)
}

// callWithBody returns a call for which the daemon keeps the request body: a waiting call, or else the first one.
func (r *record) callWithBody() Call {
	if len(r.waitingCalls) > 0 {
		return r.waitingCalls[0]
	}
	return r.firstCall
}

func (e *Executor) callerGone(ev CallerGone) {
	rec := e.records[ev.ID]
	if rec == nil {
		return
	}
	rec.waitingCalls = slices.DeleteFunc(rec.waitingCalls, func(c Call) bool { return c == ev.Call })
}

// handOver seals the tickets that have not started and transfers all records; running ones become unknown at the heir.
func (e *Executor) handOver() {
	if e.state != "draining" {
		return
	}
	for _, rec := range e.selectSorted(isPending) {
		e.conclude(rec.ticket.ID, "not_run", notRun(reason.Draining))
	}
	e.emit(e.fireRole(e.now, "idle", ticket.Gate{})...)
}

func (e *Executor) tick() {
	e.evictExpired(e.now, isActive)
	e.emit(e.fireRole(e.now, "tick", ticket.Gate{})...)
	due := func(r *record) bool { return r.unconfirmed && e.now >= r.outcomeSentAt+e.config.Timing.ResendInterval }
	for i, rec := range e.selectSorted(due) {
		if i == maxResendsPerTick {
			return
		}
		e.sendOutcome(rec)
	}
}

// isActive reports whether the ticket has no final result yet.
func isActive(rec *record) bool {
	return isPending(rec) || rec.state == "running"
}

// isPending reports whether the ticket may still start a run.
func isPending(rec *record) bool {
	return rec.state == "intending" || rec.state == "ready"
}

// conclude fires an event that ends the ticket with a result.
func (e *Executor) conclude(id ticket.ID, event string, result Result) {
	e.result = result
	e.fireByID(id, event)
}

// fireByID fires an event on a stored record, if there is one.
func (e *Executor) fireByID(id ticket.ID, event string) {
	if rec := e.records[id]; rec != nil {
		e.fire(rec, event)
	}
}

func (e *Executor) fire(rec *record, event string) {
	next, actions, ok := e.tickets.Next(rec.state, event)
	if !ok {
		return
	}
	before := isActive(rec)
	rec.state = next
	e.updateActiveCount(before, isActive(rec))
	for _, action := range actions {
		e.perform(rec, action)
	}
}

func (e *Executor) updateActiveCount(before, after bool) {
	if before && !after {
		e.activeCount--
	}
	if after && !before {
		e.activeCount++
	}
}

func (e *Executor) perform(rec *record, action string) {
	id := rec.ticket.ID
	switch action {
	case "record":
		e.insert(rec)
	case "join":
		rec.waitingCalls = append(rec.waitingCalls, e.call)
	case "reply":
		e.emit(Reply{Call: e.call, ID: id, Result: e.result})
	case "replay":
		e.emit(Reply{Call: e.call, ID: id, Result: rec.result})
	case "conclude":
		e.deliverResult(rec)
	case "send_intent":
		e.emit(SendIntent{To: rec.witness, Ticket: rec.ticket, Executor: e.self})
	case "execute":
		rec.attempt++
		e.emit(Execute{ID: id, Call: rec.callWithBody(), Attempt: rec.attempt})
	case "write":
		e.emit(Write{ID: id})
	case "abort":
		e.emit(Abort{ID: id})
	case "send_outcome":
		rec.unconfirmed = true
		e.sendOutcome(rec)
	case "stop_sending":
		rec.unconfirmed = false
	}
}

// deliverResult stores the result and sends it to all waiting callers.
func (e *Executor) deliverResult(rec *record) {
	for _, call := range rec.waitingCalls {
		e.emit(Reply{Call: call, ID: rec.ticket.ID, Result: e.result})
	}
	rec.waitingCalls = nil
	stored := e.result
	if rec.state == "unknown" {
		stored = unknownOutcome()
	}
	e.setResult(rec, stored)
}

func (e *Executor) sendOutcome(rec *record) {
	rec.outcomeSentAt = e.now
	e.emit(SendOutcome{To: rec.witness, Ticket: rec.ticket, Result: rec.result})
}

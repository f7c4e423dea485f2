package atmostonce

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

var witnessVocabulary = chartVocabulary{
	Chart:  "ticket_witness",
	States: []string{"absent", "recorded", "done", "sealed"},
	Events: []string{
		"intent", "intent_other", "intent_expired", "intent_no_room", "settle", "settle_unrecorded",
		"outcome", "outcome_not_run", "outcome_no_room",
	},
	Actions: []string{
		"record", "acknowledge", "refuse_expired", "refuse_not_witness", "refuse_other", "refuse_sealed",
		"seal", "reply", "reply_unknown", "store", "confirm", "drop",
	},
}

// Witness is the state machine of the gate that records intents, for its own and inherited incarnations.
type Witness struct {
	participant
	tickets *chart

	// The fields below are the inputs and effects of the Step in progress.
	now      time.Duration
	call     Call
	executor uint64
	result   Result
	effects  []Effect
}

// NewWitness returns the witness of one gate process.
func NewWitness(self ticket.Gate, config Config) *Witness {
	return &Witness{participant: newParticipant(WitnessRole, self, config), tickets: witnessChart}
}

// Step handles one event and returns the effects, in the order in which to perform them. Events of the executor
// are ignored.
func (w *Witness) Step(now time.Duration, ev Event) []Effect {
	w.now, w.call, w.executor, w.result, w.effects = now, 0, 0, Result{}, nil
	switch ev := ev.(type) {
	case Intent:
		w.intent(ev)
	case Settle:
		w.settle(ev)
	case Outcome:
		w.outcome(ev)
	case Drain:
		w.drain(ev)
	case Inherit:
		w.emit(w.inherit(now, ev)...)
	case Inherited:
		w.emit(w.handleInherited(ev)...)
	case Tick:
		w.evictExpired(now, func(*record) bool { return false })
		w.emit(w.fireRole(now, "tick", ticket.Gate{})...)
	}
	return w.effects
}

func (w *Witness) emit(effects ...Effect) {
	w.effects = append(w.effects, effects...)
}

// drain transfers the records in the same step, since a witness has no tickets in progress.
func (w *Witness) drain(ev Drain) {
	w.emit(w.fireRole(w.now, "drain", ev.Heir)...)
	w.emit(w.fireRole(w.now, "idle", ticket.Gate{})...)
}

func (w *Witness) mayAct(t ticket.Ticket) bool {
	return w.actsFor(t.Witness) && w.permits("new")
}

func (w *Witness) intent(ev Intent) {
	w.call, w.executor = ev.Call, ev.Executor.Incarnation
	if !w.mayAct(ev.Ticket) {
		w.replyIntent(ev.Ticket, IntentNotWitness)
		return
	}
	if rec, known := w.records[ev.Ticket.ID]; known {
		w.fire(rec, w.classifyRepeat(rec))
		return
	}
	rec := w.newRecord(w.now, ev.Ticket, ev.Remaining, w.tickets.Initial())
	rec.executor = w.executor
	w.fire(rec, w.classifyIntent(ev))
}

// classifyRepeat distinguishes a repeated intent of the same executor process from the intent of another one.
func (w *Witness) classifyRepeat(rec *record) string {
	if rec.executor == w.executor {
		return "intent"
	}
	return "intent_other"
}

func (w *Witness) classifyIntent(ev Intent) string {
	switch {
	case ev.Remaining <= 0:
		return "intent_expired"
	case !w.roomForRecord() || w.answerBytes >= w.config.Limits.AnswerBytes:
		return "intent_no_room"
	}
	return "intent"
}

func (w *Witness) settle(ev Settle) {
	w.call = ev.Call
	if !w.mayAct(ev.Ticket) {
		w.emit(SettleReply{
			Call:    ev.Call,
			ID:      ev.Ticket.ID,
			Verdict: SettleNotWitness,
			Result:  Result{Reason: reason.UnknownOutcome, Ran: reason.MayHaveRun},
			Heir:    w.heirOf(ev.Ticket.Witness),
		})
		return
	}
	if rec, known := w.records[ev.Ticket.ID]; known {
		w.fire(rec, "settle")
		return
	}
	event := "settle"
	if ev.Remaining <= -w.config.Timing.GracePeriod || !w.roomForSeal() {
		event = "settle_unrecorded"
	}
	w.fire(w.newRecord(w.now, ev.Ticket, ev.Remaining, w.tickets.Initial()), event)
}

func (w *Witness) outcome(ev Outcome) {
	w.call, w.result = ev.Call, ev.Result
	if !w.mayAct(ev.Ticket) {
		w.emit(OutcomeReply{Call: ev.Call, ID: ev.Ticket.ID})
		return
	}
	rec, known := w.records[ev.Ticket.ID]
	if !known {
		rec = w.newRecord(w.now, ev.Ticket, ev.Remaining, w.tickets.Initial())
	}
	w.fire(rec, w.classifyOutcome(known))
}

func (w *Witness) classifyOutcome(known bool) string {
	switch {
	case !w.roomForAnswer(w.result.size()) || !known && !w.roomForSeal():
		return "outcome_no_room"
	case w.result.Answer == nil && w.result.Ran == reason.NotRun:
		return "outcome_not_run"
	}
	return "outcome"
}

func (w *Witness) fire(rec *record, event string) {
	next, actions, ok := w.tickets.Next(rec.state, event)
	if !ok {
		return
	}
	rec.state = next
	for _, action := range actions {
		w.perform(rec, action)
	}
}

func (w *Witness) perform(rec *record, action string) {
	switch action {
	case "record":
		w.insert(rec)
	case "acknowledge":
		w.replyIntent(rec.ticket, IntentRecorded)
	case "refuse_expired":
		w.replyIntent(rec.ticket, IntentExpired)
	case "refuse_not_witness":
		w.replyIntent(rec.ticket, IntentNotWitness)
	case "refuse_other":
		w.replyIntent(rec.ticket, IntentOtherExecutor)
	case "refuse_sealed":
		w.replyIntent(rec.ticket, IntentSealed)
	case "seal":
		w.setResult(rec, notRun(reason.TicketSealed))
	case "reply":
		w.replySettle(rec)
	case "reply_unknown":
		w.emit(SettleReply{
			Call:    w.call,
			ID:      rec.ticket.ID,
			Verdict: SettleUnknown,
			Result:  Result{Reason: reason.UnknownOutcome, Ran: reason.MayHaveRun},
		})
	case "store":
		w.setResult(rec, w.result)
		w.emit(OutcomeReply{Call: w.call, ID: rec.ticket.ID, Stored: true})
	case "confirm":
		w.emit(OutcomeReply{Call: w.call, ID: rec.ticket.ID, Stored: true})
	case "drop":
		w.emit(OutcomeReply{Call: w.call, ID: rec.ticket.ID})
	}
}

func (w *Witness) replyIntent(t ticket.Ticket, verdict Verdict) {
	reply := IntentReply{Call: w.call, ID: t.ID, Verdict: verdict}
	if verdict == IntentNotWitness {
		reply.Heir = w.heirOf(t.Witness)
	}
	w.emit(reply)
}

func (w *Witness) replySettle(rec *record) {
	verdict := SettleOutcome
	if rec.sealed {
		verdict = SettleSealed
	}
	w.emit(SettleReply{Call: w.call, ID: rec.ticket.ID, Verdict: verdict, Result: rec.result})
}

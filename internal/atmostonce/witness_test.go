package atmostonce

import (
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

func intentOf(executor ticket.Gate) Intent {
	return Intent{Ticket: numberedTicket(1), Remaining: time.Minute, Executor: executor}
}

var settle = Settle{Ticket: numberedTicket(1), Remaining: time.Minute}

func outcomeOf(result Result) Outcome {
	return Outcome{Ticket: numberedTicket(1), Remaining: time.Minute, Result: result}
}

// Guards against an acknowledgement after a seal or to a second executor, and against a wrong result of a settle.
func TestWitnessVerdicts(t *testing.T) {
	expired := intentOf(self)
	expired.Remaining = 0
	pastGrace := settle
	pastGrace.Remaining = -time.Minute
	notWitness := settle
	notWitness.Ticket.Witness = foreign
	sealed := notRun(reason.TicketSealed)
	noTarget := notRun(reason.NoTarget)
	unknown := Result{Reason: reason.UnknownOutcome, Ran: reason.MayHaveRun}
	id := numberedTicket(1).ID
	cases := []struct {
		name   string
		before []Event
		ev     Event
		want   Effect
	}{
		{"first intent", nil, intentOf(self), IntentReply{ID: id, Verdict: IntentRecorded}},
		{"repeated intent", []Event{intentOf(self)}, intentOf(self), IntentReply{ID: id, Verdict: IntentRecorded}},
		{"other executor", []Event{intentOf(self)}, intentOf(heir), IntentReply{ID: id, Verdict: IntentOtherExecutor}},
		{"intent after seal", []Event{settle}, intentOf(self), IntentReply{ID: id, Verdict: IntentSealed}},
		{"intent after outcome", []Event{intentOf(self), outcomeOf(okResult)}, intentOf(self), IntentReply{ID: id, Verdict: IntentOtherExecutor}},
		{"expired intent", nil, expired, IntentReply{ID: id, Verdict: IntentExpired}},
		{"settle first", nil, settle, SettleReply{ID: id, Verdict: SettleSealed, Result: sealed}},
		{"settle after intent", []Event{intentOf(self)}, settle, SettleReply{ID: id, Verdict: SettleUnknown, Result: unknown}},
		{"settle after outcome", []Event{intentOf(self), outcomeOf(okResult)}, settle, SettleReply{ID: id, Verdict: SettleOutcome, Result: okResult}},
		{"settle after the executor sealed", []Event{intentOf(self), outcomeOf(noTarget)}, settle, SettleReply{ID: id, Verdict: SettleSealed, Result: noTarget}},
		{"settle after a seal without intent", []Event{outcomeOf(noTarget)}, settle, SettleReply{ID: id, Verdict: SettleSealed, Result: noTarget}},
		{"settle after grace", nil, pastGrace, SettleReply{ID: id, Verdict: SettleUnknown, Result: unknown}},
		{"settle at a gate that is not the witness", nil, notWitness, SettleReply{ID: id, Verdict: SettleNotWitness, Result: unknown}},
		{"outcome without intent", nil, outcomeOf(okResult), OutcomeReply{ID: id}},
		{"outcome twice", []Event{intentOf(self), outcomeOf(okResult)}, outcomeOf(okResult), OutcomeReply{ID: id, Stored: true}},
		{"intent after drain", []Event{Drain{Heir: heir}}, intentOf(self), IntentReply{ID: id, Verdict: IntentNotWitness, Heir: heir}},
	}
	for _, c := range cases {
		w := NewWitness(peer, DefaultConfig())
		for _, ev := range c.before {
			w.Step(0, ev)
		}
		if got := w.Step(0, c.ev); len(got) != 1 || got[0] != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Guards against a full witness that acknowledges without a record, or replies ran: no without a seal.
func TestFullWitness(t *testing.T) {
	config := DefaultConfig()
	config.Limits.Records, config.Limits.SealedRecords = 1, 0
	w := NewWitness(peer, config)
	w.Step(0, Intent{Ticket: numberedTicket(2), Remaining: time.Minute, Executor: self})
	if got := w.Step(0, intentOf(self))[0].(IntentReply); got.Verdict != IntentNotWitness {
		t.Errorf("intent got %+v", got)
	}
	if got := w.Step(0, settle)[0].(SettleReply); got.Verdict != SettleUnknown {
		t.Errorf("settle got %+v", got)
	}
}

// Guards against an heir of the witness that loses the recorded executor or a seal.
func TestWitnessHeirKeepsRecords(t *testing.T) {
	w := NewWitness(peer, DefaultConfig())
	w.Step(0, intentOf(self))
	handOver := w.Step(0, Drain{Heir: heir})[0].(SendRecords)
	h := NewWitness(heir, DefaultConfig())
	h.Step(0, Inherit{From: handOver.From, To: handOver.To, Records: handOver.Records})
	if got := h.Step(0, intentOf(foreign))[0].(IntentReply); got.Verdict != IntentOtherExecutor {
		t.Errorf("another executor got %+v", got)
	}
	if got := h.Step(0, intentOf(self))[0].(IntentReply); got.Verdict != IntentRecorded {
		t.Errorf("the executor got %+v", got)
	}
}

// Guards against a note that replaces the first heir, never expires or causes an endless lookup.
func TestNotes(t *testing.T) {
	n := NewDrainNotes()
	if !n.Add(0, DrainNote{From: self, Heir: heir, Remaining: time.Minute}) {
		t.Fatal("the first note was refused")
	}
	if n.Add(0, DrainNote{From: self, Heir: foreign, Remaining: time.Hour}) {
		t.Fatal("a second heir was accepted")
	}
	n.Add(0, DrainNote{From: heir, Heir: foreign, Remaining: time.Hour})
	if got := n.Resolve(0, self); got != foreign {
		t.Fatalf("the chain ends at %v", got)
	}
	if got := n.Active(time.Second); len(got) != 2 || got[0].Remaining != 59*time.Second {
		t.Fatalf("notes to gossip: %+v", got)
	}
	if got := n.Resolve(time.Minute, self); got != self {
		t.Fatalf("an expired note leads to %v", got)
	}
	n.Add(0, DrainNote{From: foreign, Heir: heir, Remaining: time.Hour})
	n.Resolve(0, heir)
}

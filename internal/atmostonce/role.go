package atmostonce

import (
	"maps"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

var roleWords = vocabulary{
	Chart:   "ticket_role",
	States:  []string{"serving", "draining", "handed"},
	Events:  []string{"new", "known", "inherit", "drain", "idle", "tick"},
	Actions: []string{"act", "choose_heir", "send_records", "spread_note", "resend_records"},
}

// holder is the part that Executor and Witness share: records, the life of the role and the hand-over.
type holder struct {
	store
	role  Role
	chart *chart
	life  string
	self  ticket.Gate
	heir  ticket.Gate
	// acting holds the incarnations that this process inherited. They are kept until the process ends, so
	// that a late copy of a hand-over is never imported a second time.
	acting map[uint64]ticket.Gate
	// unconfirmed holds the hand-overs that the heir has not accepted yet.
	unconfirmed map[uint64]SendRecords
	resendAt    time.Duration
}

func newHolder(role Role, self ticket.Gate, config Config) holder {
	return holder{
		store:       newStore(config),
		role:        role,
		chart:       roleChart,
		life:        roleChart.Initial(),
		self:        self,
		acting:      make(map[uint64]ticket.Gate),
		unconfirmed: make(map[uint64]SendRecords),
	}
}

// permits reports whether the role acts on an event in its present state.
func (h *holder) permits(event string) bool {
	_, actions, ok := h.chart.Next(h.life, event)
	return ok && slices.Contains(actions, "act")
}

// actsFor reports whether this process plays the role of the gate process that a ticket names.
func (h *holder) actsFor(named ticket.Gate) bool {
	if named.Incarnation == h.self.Incarnation {
		return true
	}
	_, ok := h.acting[named.Incarnation]
	return ok
}

// heirOf returns the heir for a gate process that this process acted for, or the zero Gate.
func (h *holder) heirOf(named ticket.Gate) ticket.Gate {
	if h.actsFor(named) {
		return h.heir
	}
	return ticket.Gate{}
}

// advance feeds an event to the role chart and returns the effects.
func (h *holder) advance(now time.Duration, event string, heir ticket.Gate) []Effect {
	next, actions, ok := h.chart.Next(h.life, event)
	if !ok {
		return nil
	}
	h.life = next
	var out []Effect
	for _, action := range actions {
		out = append(out, h.perform(now, action, heir)...)
	}
	return out
}

func (h *holder) perform(now time.Duration, action string, heir ticket.Gate) []Effect {
	switch action {
	case "choose_heir":
		h.heir = heir
	case "send_records":
		h.export(now)
		return h.sendRecords(now)
	case "spread_note":
		return h.spreadNotes()
	case "resend_records":
		if now >= h.resendAt {
			return h.sendRecords(now)
		}
	}
	return nil
}

// incarnations returns the gate processes that this process acts for, itself first.
func (h *holder) incarnations() []ticket.Gate {
	gates := []ticket.Gate{h.self}
	for _, incarnation := range slices.Sorted(maps.Keys(h.acting)) {
		gates = append(gates, h.acting[incarnation])
	}
	return gates
}

// export fixes what the heir gets. An incarnation without records is handed over too, since the heir may
// act for it only then.
func (h *holder) export(now time.Duration) {
	for _, gate := range h.incarnations() {
		h.unconfirmed[gate.Incarnation] = SendRecords{
			Role:    h.role,
			From:    gate,
			To:      h.heir,
			Records: h.exportOf(now, gate),
		}
	}
}

func (h *holder) exportOf(now time.Duration, gate ticket.Gate) []Record {
	var records []Record
	for _, rec := range h.sorted(func(r *record) bool { return h.named(r.ticket).Incarnation == gate.Incarnation }) {
		exported := Record{
			Ticket:   rec.ticket,
			State:    rec.state,
			Executor: rec.executor,
			Result:   rec.result,
			Left:     rec.expiry - now,
		}
		if rec.state == "running" {
			exported.State = "unknown"
			exported.Result = unknownOutcome()
		}
		records = append(records, exported)
	}
	return records
}

// named returns the gate process that the ticket names for this role.
func (h *holder) named(t ticket.Ticket) ticket.Gate {
	if h.role == ExecutorRole {
		return t.Executor
	}
	return t.Witness
}

func (h *holder) sendRecords(now time.Duration) []Effect {
	h.resendAt = now + h.config.Timing.Resend
	var out []Effect
	for _, incarnation := range slices.Sorted(maps.Keys(h.unconfirmed)) {
		out = append(out, h.unconfirmed[incarnation])
	}
	return out
}

func (h *holder) spreadNotes() []Effect {
	var out []Effect
	for _, gate := range h.incarnations() {
		note := Note{From: gate, Heir: h.heir, Left: h.config.Timing.Expiry + h.config.Timing.Grace}
		out = append(out, SpreadNote{Note: note})
	}
	return out
}

// confirm handles the heir's answer.
func (h *holder) confirm(ev Inherited) []Effect {
	if _, waiting := h.unconfirmed[ev.From.Incarnation]; !waiting || !ev.Accepted {
		return nil
	}
	delete(h.unconfirmed, ev.From.Incarnation)
	if len(h.unconfirmed) > 0 {
		return nil
	}
	return []Effect{Drained{Role: h.role}}
}

// inherit takes over the records of a stopped incarnation, all of them or none.
func (h *holder) inherit(now time.Duration, ev Inherit) []Effect {
	accepted := h.inheritable(ev)
	if _, again := h.acting[ev.From.Incarnation]; accepted && !again {
		h.acting[ev.From.Incarnation] = ev.From
		h.importAll(now, ev.Records)
	}
	return []Effect{InheritReply{Call: ev.Call, From: ev.From, Accepted: accepted}}
}

func (h *holder) inheritable(ev Inherit) bool {
	if ev.To.Incarnation != h.self.Incarnation || !h.permits("inherit") {
		return false
	}
	if _, again := h.acting[ev.From.Incarnation]; again {
		return true
	}
	return len(h.acting) < h.config.Limits.Inherited && h.roomForAll(ev.Records)
}

func (h *holder) importAll(now time.Duration, records []Record) {
	for _, from := range records {
		if _, known := h.records[from.Ticket.ID]; known {
			continue
		}
		rec := h.inheritedRecord(now, from)
		h.setResult(rec, from.Result)
		h.insert(rec)
	}
}

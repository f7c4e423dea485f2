package atmostonce

import (
	"maps"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

var roleVocabulary = chartVocabulary{
	Chart:   "ticket_role",
	States:  []string{"serving", "draining", "handed"},
	Events:  []string{"new", "known", "inherit", "drain", "idle", "tick"},
	Actions: []string{"act", "choose_heir", "send_records", "spread_note", "resend_records"},
}

// participant is the part that Executor and Witness share: records, the lifecycle of the role and the hand-over.
type participant struct {
	store
	role  Role
	chart *chart
	state string
	self  ticket.Gate
	heir  ticket.Gate
	// inherited holds the incarnations that this process inherited. They are kept until the process ends, so
	// that a delayed copy of a hand-over is never imported a second time.
	inherited map[uint64]ticket.Gate
	// pendingHandOvers holds the hand-overs that the heir has not accepted yet.
	pendingHandOvers map[uint64]SendRecords
	resendAt         time.Duration
}

func newParticipant(role Role, self ticket.Gate, config Config) participant {
	return participant{
		store:            newStore(config),
		role:             role,
		chart:            roleChart,
		state:            roleChart.Initial(),
		self:             self,
		inherited:        make(map[uint64]ticket.Gate),
		pendingHandOvers: make(map[uint64]SendRecords),
	}
}

// permits reports whether the role may act on an event in its current state.
func (h *participant) permits(event string) bool {
	_, actions, ok := h.chart.Next(h.state, event)
	return ok && slices.Contains(actions, "act")
}

// actsFor reports whether this process acts in the role for the gate process that a ticket names.
func (h *participant) actsFor(named ticket.Gate) bool {
	if named.Incarnation == h.self.Incarnation {
		return true
	}
	_, ok := h.inherited[named.Incarnation]
	return ok
}

// heirOf returns the heir for a gate process that this process acted for, or the zero Gate.
func (h *participant) heirOf(named ticket.Gate) ticket.Gate {
	if h.actsFor(named) {
		return h.heir
	}
	return ticket.Gate{}
}

// fireRole fires an event on the role chart and returns the effects.
func (h *participant) fireRole(now time.Duration, event string, heir ticket.Gate) []Effect {
	next, actions, ok := h.chart.Next(h.state, event)
	if !ok {
		return nil
	}
	h.state = next
	var effects []Effect
	for _, action := range actions {
		effects = append(effects, h.performRole(now, action, heir)...)
	}
	return effects
}

func (h *participant) performRole(now time.Duration, action string, heir ticket.Gate) []Effect {
	switch action {
	case "choose_heir":
		h.heir = heir
	case "send_records":
		h.prepareHandOver(now)
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
func (h *participant) incarnations() []ticket.Gate {
	gates := []ticket.Gate{h.self}
	for _, incarnation := range slices.Sorted(maps.Keys(h.inherited)) {
		gates = append(gates, h.inherited[incarnation])
	}
	return gates
}

// prepareHandOver takes the snapshot of the records for the heir. An incarnation without records is included, since
// otherwise the heir may not act for it.
func (h *participant) prepareHandOver(now time.Duration) {
	for _, gate := range h.incarnations() {
		h.pendingHandOvers[gate.Incarnation] = SendRecords{
			Role:    h.role,
			From:    gate,
			To:      h.heir,
			Records: h.exportRecords(now, gate),
		}
	}
}

func (h *participant) exportRecords(now time.Duration, gate ticket.Gate) []Record {
	var records []Record
	for _, rec := range h.selectSorted(func(r *record) bool { return h.designatedGate(r.ticket).Incarnation == gate.Incarnation }) {
		exported := Record{
			Ticket:    rec.ticket,
			State:     rec.state,
			Executor:  rec.executor,
			Result:    rec.result,
			Remaining: rec.expiry - now,
		}
		if rec.state == "running" {
			exported.State = "unknown"
			exported.Result = unknownOutcome()
		}
		records = append(records, exported)
	}
	return records
}

// designatedGate returns the gate process that the ticket names for this role.
func (h *participant) designatedGate(t ticket.Ticket) ticket.Gate {
	if h.role == ExecutorRole {
		return t.Executor
	}
	return t.Witness
}

func (h *participant) sendRecords(now time.Duration) []Effect {
	h.resendAt = now + h.config.Timing.ResendInterval
	var effects []Effect
	for _, incarnation := range slices.Sorted(maps.Keys(h.pendingHandOvers)) {
		effects = append(effects, h.pendingHandOvers[incarnation])
	}
	return effects
}

func (h *participant) spreadNotes() []Effect {
	var effects []Effect
	for _, gate := range h.incarnations() {
		note := DrainNote{From: gate, Heir: h.heir, Remaining: h.config.Timing.Expiry + h.config.Timing.GracePeriod}
		effects = append(effects, GossipNote{DrainNote: note})
	}
	return effects
}

// handleInherited handles the heir's answer to a hand-over.
func (h *participant) handleInherited(ev Inherited) []Effect {
	if _, pending := h.pendingHandOvers[ev.From.Incarnation]; !pending || !ev.Accepted {
		return nil
	}
	delete(h.pendingHandOvers, ev.From.Incarnation)
	if len(h.pendingHandOvers) > 0 {
		return nil
	}
	return []Effect{Drained{Role: h.role}}
}

// inherit imports the records of a draining incarnation, either all or none.
func (h *participant) inherit(now time.Duration, ev Inherit) []Effect {
	accepted := h.canInherit(ev)
	if _, imported := h.inherited[ev.From.Incarnation]; accepted && !imported {
		h.inherited[ev.From.Incarnation] = ev.From
		h.importRecords(now, ev.Records)
	}
	return []Effect{InheritReply{Call: ev.Call, From: ev.From, Accepted: accepted}}
}

func (h *participant) canInherit(ev Inherit) bool {
	if ev.To.Incarnation != h.self.Incarnation || !h.permits("inherit") {
		return false
	}
	if _, imported := h.inherited[ev.From.Incarnation]; imported {
		return true
	}
	return len(h.inherited) < h.config.Limits.Inherited && h.roomForAll(ev.Records)
}

func (h *participant) importRecords(now time.Duration, records []Record) {
	for _, from := range records {
		if _, known := h.records[from.Ticket.ID]; known {
			continue
		}
		rec := h.inheritedRecord(now, from)
		h.setResult(rec, from.Result)
		h.insert(rec)
	}
}

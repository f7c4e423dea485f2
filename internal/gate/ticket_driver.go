package gate

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/atmostonce"
	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

// ticketDriver serializes access to the state machines of the at-most-once protocol and performs their effects.
type ticketDriver struct {
	clock control.Clock
	ticketEffects

	mu       sync.Mutex
	executor *atmostonce.Executor
	witness  *atmostonce.Witness
	notes    *atmostonce.DrainNotes
	lastCall atmostonce.Call
	// replies holds the reply channels of open calls. Each channel has capacity for its single reply.
	replies map[atmostonce.Call]chan atmostonce.Effect
	drained map[atmostonce.Role]bool
	// heldNotes are withheld until the heir has accepted the records.
	heldNotes []atmostonce.GossipNote
}

// ticketEffects performs the effects that need the network or other parts of the gate. The functions do not block.
type ticketEffects struct {
	sendIntent  func(atmostonce.SendIntent)
	execute     func(atmostonce.Execute)
	sendOutcome func(atmostonce.SendOutcome)
	sendRecords func(atmostonce.SendRecords)
	spreadNote  func(atmostonce.GossipNote)
}

func newTicketDriver(clock control.Clock, self ticket.Gate, config atmostonce.Config, effects ticketEffects) *ticketDriver {
	return &ticketDriver{
		clock:         clock,
		ticketEffects: effects,
		executor:      atmostonce.NewExecutor(self, config),
		witness:       atmostonce.NewWitness(self, config),
		notes:         atmostonce.NewDrainNotes(),
		replies:       make(map[atmostonce.Call]chan atmostonce.Effect),
		drained:       make(map[atmostonce.Role]bool),
	}
}

// openCall registers a call and returns its ID and reply channel.
func (d *ticketDriver) openCall() (atmostonce.Call, <-chan atmostonce.Effect) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastCall++
	reply := make(chan atmostonce.Effect, 1)
	d.replies[d.lastCall] = reply
	return d.lastCall, reply
}

// closeCall removes a call whose reply is no longer awaited.
func (d *ticketDriver) closeCall(call atmostonce.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.replies, call)
}

// stepExecutor applies an event to the executor and performs the resulting effects.
func (d *ticketDriver) stepExecutor(event atmostonce.Event) {
	d.mu.Lock()
	effects := d.executor.Step(d.clock.Now(), event)
	d.mu.Unlock()
	d.carryOut(effects)
}

// stepWitness applies an event to the witness and performs the resulting effects.
func (d *ticketDriver) stepWitness(event atmostonce.Event) {
	d.mu.Lock()
	effects := d.witness.Step(d.clock.Now(), event)
	d.mu.Unlock()
	d.carryOut(effects)
}

// stepBoth applies an event to both state machines.
func (d *ticketDriver) stepBoth(event atmostonce.Event) {
	d.stepExecutor(event)
	d.stepWitness(event)
}

// beginWrite asks the executor for permission to write the first byte of a request. If it is granted, the lock stays
// held until the caller calls endWrite, because a handover between the permission and the write would let the heir act
// on the same ticket.
func (d *ticketDriver) beginWrite(id ticket.ID) bool {
	d.mu.Lock()
	for _, effect := range d.executor.Step(d.clock.Now(), atmostonce.Start{ID: id}) {
		if _, ok := effect.(atmostonce.Write); ok {
			return true
		}
		defer d.carryOut([]atmostonce.Effect{effect})
	}
	d.mu.Unlock()
	return false
}

// endWrite releases the lock that a successful beginWrite holds.
func (d *ticketDriver) endWrite() { d.mu.Unlock() }

// carryOut performs effects. The caller must not hold the lock.
func (d *ticketDriver) carryOut(effects []atmostonce.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case atmostonce.Reply:
			d.reply(e.Call, e)
		case atmostonce.IntentReply:
			d.reply(e.Call, e)
		case atmostonce.SettleReply:
			d.reply(e.Call, e)
		case atmostonce.OutcomeReply:
			d.reply(e.Call, e)
		case atmostonce.InheritReply:
			d.reply(e.Call, e)
		case atmostonce.SendIntent:
			d.sendIntent(e)
		case atmostonce.Execute:
			d.execute(e)
		case atmostonce.SendOutcome:
			d.sendOutcome(e)
		case atmostonce.SendRecords:
			d.sendRecords(e)
		case atmostonce.GossipNote:
			d.holdNote(e)
		case atmostonce.Drained:
			d.setDrained(e.Role)
		}
	}
}

func (d *ticketDriver) reply(call atmostonce.Call, effect atmostonce.Effect) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reply, ok := d.replies[call]; ok {
		reply <- effect
		delete(d.replies, call)
	}
}

func (d *ticketDriver) addNote(note atmostonce.DrainNote) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notes.Add(d.clock.Now(), note)
}

// resolve returns the gate process that acts in place of the given one.
func (d *ticketDriver) resolve(gate ticket.Gate) ticket.Gate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notes.Resolve(d.clock.Now(), gate)
}

// holdNote withholds a note until the heir has the records of both roles. A note that spreads earlier directs callers
// to an heir that does not know the ticket yet and would answer "unknown".
func (d *ticketDriver) holdNote(note atmostonce.GossipNote) {
	d.mu.Lock()
	d.heldNotes = append(d.heldNotes, note)
	d.mu.Unlock()
	d.releaseNotes()
}

// releaseNotes gossips the withheld notes once the heir has all records.
func (d *ticketDriver) releaseNotes() {
	if !d.finished() {
		return
	}
	d.mu.Lock()
	notes := d.heldNotes
	d.heldNotes = nil
	d.mu.Unlock()
	for _, note := range notes {
		d.addNote(note.DrainNote)
		d.spreadNote(note)
	}
}

func (d *ticketDriver) setDrained(role atmostonce.Role) {
	d.mu.Lock()
	d.drained[role] = true
	d.mu.Unlock()
	d.releaseNotes()
}

// awaitHeir waits until the heir has the records of both roles, before a caller is directed to it.
func (d *ticketDriver) awaitHeir(ctx context.Context, heir ticket.Gate) {
	if heir == (ticket.Gate{}) {
		return
	}
	limit, cancel := context.WithTimeout(ctx, heirTimeout)
	defer cancel()
	for !d.finished() && limit.Err() == nil {
		control.Sleep(limit, drainPoll)
	}
}

// finished reports whether the heir has the records of both roles.
func (d *ticketDriver) finished() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drained[atmostonce.ExecutorRole] && d.drained[atmostonce.WitnessRole]
}

// tick expires notes and advances both state machines.
func (d *ticketDriver) tick() {
	d.mu.Lock()
	d.notes.Expire(d.clock.Now())
	d.mu.Unlock()
	d.stepBoth(atmostonce.Tick{})
}

// openTickets returns the number of tickets that have not ended.
func (d *ticketDriver) openTickets() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.executor.ActiveTickets()
}

// unwrittenTickets returns the number of accepted tickets whose request has not been written to a target.
func (d *ticketDriver) unwrittenTickets() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.executor.PendingTickets()
}

// await returns the reply of a call, or false if done is closed first.
func await[E atmostonce.Effect](done <-chan struct{}, reply <-chan atmostonce.Effect) (E, bool) {
	var none E
	select {
	case effect := <-reply:
		e, ok := effect.(E)
		return e, ok
	case <-done:
		return none, false
	}
}

const (
	ticketTickInterval = time.Second
	// heirTimeout bounds the wait for an heir's acceptance; it allows for a lost message, which is resent at a tick.
	heirTimeout = 3 * time.Second
)

// Package atmostonce decides whether a non-repeatable request may run, so that it runs at most once.
//
// A ticket names two gate processes. The Executor runs the request, but only after the Witness has recorded its
// intent. Both answer repeats and questions about the ticket from their records. On graceful shutdown a gate hands
// its records to one heir, whose own Executor and Witness then also act for the old incarnation. Notes holds
// the drain notes "incarnation X -> heir Y" that route requests to heirs.
//
// # Driving the machines
//
// The machines are pure. A daemon guards each with one mutex, calls Step with the time since process start and
// an event, and performs the returned effects in order after it released the mutex. The one exception is Write: the
// daemon must keep the mutex from Step(Start) until the first byte has been handed to the kernel.
//
// Executor events and when to feed them:
//   - Submit: an entry sent a ticketed request whose signature, customer, pool and body digest are good. Keep the
//     request body until a Reply for this Call or, if it is the Call of an Execute, until the run ends.
//   - IntentAnswered: the witness answered a SendIntent. WitnessUnreachable: it did not within the deadline.
//   - Start: a connection to a target is ready and the first byte is about to be written.
//   - NotStarted: no byte was written; Retry says whether the daemon has another target to try.
//   - Finish: the run ended, with a whole answer or with a refusal that is treated as ran: unknown.
//   - OutcomeStored: the witness confirmed a SendOutcome.
//   - CallerGone: the connection of a Call closed.
//   - Drain, HandOver, Inherit, Inherited: graceful shutdown, see below.
//   - Tick: about once a second. Forgets records and sends unconfirmed outcomes and records again.
//
// Executor effects and what to do:
//   - SendIntent: call Tickets.Intent at To, or at its heir by Notes. Exactly one IntentAnswered or
//     WitnessUnreachable must follow.
//   - Execute: choose a target and connect. Exactly one Start or NotStarted must follow.
//   - Write: write the request now, and feed Finish when the run ends. Abort: close the connection unused.
//   - SendOutcome: call Tickets.Outcome at To, or at its heir by Notes. It comes again until OutcomeStored.
//   - Reply: answer the Call with the Result.
//
// Witness events are Intent, Settle and Outcome, one for each call of the Tickets service; each yields exactly one
// IntentReply, SettleReply or OutcomeReply with the same Call. Drain, Inherit, Inherited and Tick are as above.
//
// # Graceful shutdown
//
// Drain names the heir, which is the same gate for both machines. The Executor takes no new ticket from then on,
// lets the ones it holds finish, then emits SendRecords for its own and each inherited incarnation, and SpreadNote.
// HandOver does so at once: what has not started is sealed, what is running becomes unknown at the heir. The
// Witness hands over in the same Step. SendRecords comes again with each Tick until Inherited arrives. The heir
// answers Inherit with InheritReply. It refuses while draining, without room for all records, and when the
// message is for another incarnation than its own: a late copy of an old hand-over must not revive old
// records in a restarted heir. Records that no heir accepts are lost with the process.
//
// # Behaviour on failure
//
// A Result with ran: no is final: the ticket is sealed and never runs, and repeats get the same result. The one
// reply without a record is ran: unknown. Elsewhere marks results for which another gate may know more: ask Heir
// if set, else settle at the witness.
//   - Witness unreachable, or without the ticket's incarnation: sealed, witness_unreachable.
//   - Witness sealed the ticket, or saw it expired: sealed.
//   - Another executor's intent is recorded: unknown, since that executor may have run it.
//   - Expired before the start, including a process that was paused: sealed, ticket_expired.
//   - Store full: sealed, queue_full, while there is room for seals, then queue_full with ran: unknown.
//   - Answer over Limits.AnswerSize: delivered to the callers who wait, unknown to later repeats.
//   - Executor dead: the entry settles at the witness, which seals the ticket or gives the stored outcome, else unknown.
//
// # Time
//
// Expiry runs on the machine's monotonic time from first sight of a ticket. The ticket's wall-clock expiry,
// passed as Left, can only make refusal earlier and retention longer. Records are kept for the grace period
// and Timing.Skew after the later of both, so a gate that has forgotten a ticket sees it as past its grace
// period by wall clock. This needs no agreement between the clocks of executor and witness. It
// does assume that a process's wall clock never steps back by more than the grace period, and that the wall clocks of
// a gate and its heir differ by at most Timing.Skew.
package atmostonce

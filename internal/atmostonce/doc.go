// Package atmostonce decides whether a non-repeatable request may run, so that it runs at most once.
//
// A ticket names two gate processes. The Executor runs the request, but only after the Witness has recorded its
// intent. Both answer retries and queries for the ticket from their records. On graceful shutdown a gate transfers
// its records to one heir, whose own Executor and Witness then also act for the old incarnation. Notes holds
// the drain notes "incarnation X -> heir Y" that route requests to heirs.
//
// # Driving the state machines
//
// The state machines are pure: they do no I/O and read no clock. A daemon guards each with one mutex, calls Step with
// the time since process start and an event, and performs the returned effects in order after releasing the mutex. The
// one exception is Write: the daemon must hold the mutex from Step(Start) until the first byte has been passed to the
// kernel.
//
// Executor events and when to pass them to Step:
//   - Submit: an entry sent a request with a ticket whose signature, customer, pool and body digest are valid. Keep the
//     request body until a Reply for this Call or, if it is the Call of an Execute, until the run ends.
//   - IntentAnswered: the witness answered a SendIntent. WitnessUnreachable: it did not within the deadline.
//   - Start: a connection to a target is ready and the first byte is about to be written.
//   - NotStarted: no byte was written; Retry says whether the daemon has another target to try.
//   - Finish: the run ended, with a complete answer or with a failure that is treated as ran: unknown.
//   - OutcomeStored: the witness confirmed a SendOutcome.
//   - CallerGone: the connection of a Call closed.
//   - Drain, HandOver, Inherit, Inherited: graceful shutdown, see below.
//   - Tick: about once a second. Evicts expired records and resends unconfirmed outcomes and records.
//
// Executor effects and how to perform them:
//   - SendIntent: call Tickets.Intent at To, or at its heir by DrainNotes. Exactly one IntentAnswered or
//     WitnessUnreachable must follow.
//   - Execute: choose a target and connect. Exactly one Start or NotStarted must follow.
//   - Write: write the request now, and pass Finish to Step when the run ends. Abort: close the connection unused.
//   - SendOutcome: call Tickets.Outcome at To, or at its heir by DrainNotes. It is repeated until OutcomeStored.
//   - Reply: answer the Call with the Result.
//
// Witness events are Intent, Settle and Outcome, one for each call of the Tickets service; each yields exactly one
// IntentReply, SettleReply or OutcomeReply with the same Call. Drain, Inherit, Inherited and Tick are as above.
//
// # Graceful shutdown
//
// Drain names the heir, which is the same gate for both state machines. The Executor accepts no new tickets from then
// on, lets the active ones finish, then emits SendRecords for its own and each inherited incarnation, and GossipNote.
// HandOver does so at once: tickets that have not started are sealed, and running ones become unknown at the heir. The
// Witness transfers its records in the same Step. SendRecords is repeated, on Tick, until Inherited arrives. The heir
// answers Inherit with InheritReply. It refuses while draining, without room for all records, and when the message is
// addressed to another incarnation than its own: a delayed copy of an old hand-over must not restore old records in a
// restarted heir. Records that no heir accepts are lost with the process.
//
// # Behaviour on failure
//
// A Result with ran: no is final: the ticket is sealed and never runs, and retries get the same result. Only
// ran: unknown is replied without a record. Elsewhere marks results for which another gate may know more: ask Heir
// if set, else settle at the witness.
//   - Witness unreachable, or without the ticket's incarnation: sealed, witness_unreachable.
//   - Witness sealed the ticket, or saw it expired: sealed.
//   - Another executor's intent is recorded: unknown, since that executor may have run it.
//   - Expired before the start, including a process that was paused: sealed, ticket_expired.
//   - Store full: sealed, queue_full, while there is room for seals, then queue_full with ran: unknown.
//   - Answer over Limits.AnswerSize: delivered to the waiting callers, unknown to later retries.
//   - Executor down: the entry settles at the witness, which seals the ticket or returns the stored outcome, else
//     unknown.
//
// # Time
//
// Expiry is measured in the state machine's monotonic time, from when it first receives a ticket. The ticket's
// wall-clock expiry, passed as Remaining, can only make refusal earlier and retention longer. Records are kept for the
// grace period and Timing.ClockSkew after the later of the two, so a gate that has evicted a ticket sees it as past its
// grace period by wall clock. The clocks of executor and witness need not agree. The protocol does assume that a
// process's wall clock never steps back by more than the grace period, and that the wall clocks of a gate and its heir
// differ by at most Timing.ClockSkew.
package atmostonce

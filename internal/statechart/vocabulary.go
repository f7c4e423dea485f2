package statechart

// This file defines the states, events and actions of the embedded charts, except those of the ticket charts, which
// internal/atmostonce defines. The comments in the chart files explain the states.

// Types of the request chart, which describes one request at a gate.
type (
	// RequestState is a state of the request chart.
	RequestState string
	// RequestEvent is an event of the request chart.
	RequestEvent string
	// RequestAction is an action of the request chart.
	RequestAction string
)

// States of the request chart.
const (
	RequestReceived RequestState = "received"
	RequestAdmitted RequestState = "admitted"
	RequestWritten  RequestState = "written"
	RequestDone     RequestState = "done"
	RequestRefused  RequestState = "refused"
	RequestFailed   RequestState = "failed"
)

// Events of the request chart.
const (
	RequestOnAdmit  RequestEvent = "admit"
	RequestOnResume RequestEvent = "resume"
	RequestOnWrite  RequestEvent = "write"
	RequestOnEnd    RequestEvent = "end"
	RequestOnRefuse RequestEvent = "refuse"
	RequestOnFail   RequestEvent = "fail"
)

// Actions of the request chart.
const (
	RequestDoSayNotRun  RequestAction = "say_not_run"
	RequestDoSayUnknown RequestAction = "say_unknown"
)

// RequestVocabulary returns the states, events and actions of the request chart.
func RequestVocabulary() Vocabulary[RequestState, RequestEvent, RequestAction] {
	return Vocabulary[RequestState, RequestEvent, RequestAction]{
		Chart: "request",
		States: []RequestState{
			RequestReceived, RequestAdmitted, RequestWritten, RequestDone, RequestRefused, RequestFailed,
		},
		Events: []RequestEvent{
			RequestOnAdmit, RequestOnResume, RequestOnWrite, RequestOnEnd, RequestOnRefuse, RequestOnFail,
		},
		Actions: []RequestAction{RequestDoSayNotRun, RequestDoSayUnknown},
	}
}

// Types of the target chart, which describes one target in a view.
type (
	// TargetState is a state of the target chart.
	TargetState string
	// TargetEvent is an event of the target chart.
	TargetEvent string
	// TargetAction is an action of the target chart.
	TargetAction string
)

// States of the target chart.
const (
	TargetGone    TargetState = "gone"
	TargetLive    TargetState = "live"
	TargetLeaving TargetState = "leaving"
)

// Events of the target chart.
const (
	TargetOnListedLive      TargetEvent = "listed_live"
	TargetOnListedLeaving   TargetEvent = "listed_leaving"
	TargetOnUnlisted        TargetEvent = "unlisted"
	TargetOnReportedLeaving TargetEvent = "reported_leaving"
)

// Actions of the target chart.
const (
	TargetDoStopNewWork TargetAction = "stop_new_work"
)

// TargetVocabulary returns the states, events and actions of the target chart.
func TargetVocabulary() Vocabulary[TargetState, TargetEvent, TargetAction] {
	return Vocabulary[TargetState, TargetEvent, TargetAction]{
		Chart: "target",
		States: []TargetState{
			TargetGone,
			TargetLive,
			TargetLeaving,
		},
		Events: []TargetEvent{
			TargetOnListedLive,
			TargetOnListedLeaving,
			TargetOnUnlisted,
			TargetOnReportedLeaving,
		},
		Actions: []TargetAction{
			TargetDoStopNewWork,
		},
	}
}

// Types of the ownership chart, which describes the ownership of one target at one gate.
type (
	// OwnershipState is a state of the ownership chart.
	OwnershipState string
	// OwnershipEvent is an event of the ownership chart.
	OwnershipEvent string
	// OwnershipAction is an action of the ownership chart.
	OwnershipAction string
)

// States of the ownership chart.
const (
	OwnershipIdle      OwnershipState = "idle"
	OwnershipTaking    OwnershipState = "taking"
	OwnershipProbation OwnershipState = "probation"
	OwnershipFull      OwnershipState = "full"
	OwnershipContested OwnershipState = "contested"
	OwnershipSuspended OwnershipState = "suspended"
	OwnershipHanded    OwnershipState = "handed"
	OwnershipDrained   OwnershipState = "drained"
)

// Events of the ownership chart.
const (
	OwnershipOnChosen      OwnershipEvent = "chosen"
	OwnershipOnDrain       OwnershipEvent = "drain"
	OwnershipOnSettled     OwnershipEvent = "settled"
	OwnershipOnReduced     OwnershipEvent = "reduced"
	OwnershipOnContest     OwnershipEvent = "contest"
	OwnershipOnInterrupted OwnershipEvent = "interrupted"
	OwnershipOnGranted     OwnershipEvent = "granted"
	OwnershipOnLost        OwnershipEvent = "lost"
	OwnershipOnBlocked     OwnershipEvent = "blocked"
	OwnershipOnConfirmed   OwnershipEvent = "confirmed"
)

// Actions of the ownership chart.
const (
	OwnershipDoSpreadClaim   OwnershipAction = "spread_claim"
	OwnershipDoStopAdmitting OwnershipAction = "stop_admitting"
)

// OwnershipVocabulary returns the states, events and actions of the ownership chart.
func OwnershipVocabulary() Vocabulary[OwnershipState, OwnershipEvent, OwnershipAction] {
	return Vocabulary[OwnershipState, OwnershipEvent, OwnershipAction]{
		Chart: "ownership",
		States: []OwnershipState{
			OwnershipIdle,
			OwnershipTaking,
			OwnershipProbation,
			OwnershipFull,
			OwnershipContested,
			OwnershipSuspended,
			OwnershipHanded,
			OwnershipDrained,
		},
		Events: []OwnershipEvent{
			OwnershipOnChosen,
			OwnershipOnDrain,
			OwnershipOnSettled,
			OwnershipOnReduced,
			OwnershipOnContest,
			OwnershipOnInterrupted,
			OwnershipOnGranted,
			OwnershipOnLost,
			OwnershipOnBlocked,
			OwnershipOnConfirmed,
		},
		Actions: []OwnershipAction{
			OwnershipDoSpreadClaim,
			OwnershipDoStopAdmitting,
		},
	}
}

// Types of the daemon chart, which describes the lifecycle of a daemon.
type (
	// DaemonState is a state of the daemon chart.
	DaemonState string
	// DaemonEvent is an event of the daemon chart.
	DaemonEvent string
	// DaemonAction is an action of the daemon chart.
	DaemonAction string
)

// States of the daemon chart.
const (
	DaemonStarting DaemonState = "starting"
	DaemonReady    DaemonState = "ready"
	DaemonDraining DaemonState = "draining"
	DaemonStopped  DaemonState = "stopped"
	DaemonAborted  DaemonState = "aborted"
)

// Events of the daemon chart.
const (
	DaemonOnPrepared     DaemonEvent = "prepared"
	DaemonOnTerminate    DaemonEvent = "terminate"
	DaemonOnLimitReached DaemonEvent = "limit_reached"
	DaemonOnFinished     DaemonEvent = "finished"
)

// Actions of the daemon chart.
const (
	DaemonDoReportReady   DaemonAction = "report_ready"
	DaemonDoReportUnready DaemonAction = "report_unready"
	DaemonDoHandOver      DaemonAction = "hand_over"
	DaemonDoExitFailure   DaemonAction = "exit_failure"
	DaemonDoExitSuccess   DaemonAction = "exit_success"
)

// DaemonVocabulary returns the states, events and actions of the daemon chart.
func DaemonVocabulary() Vocabulary[DaemonState, DaemonEvent, DaemonAction] {
	return Vocabulary[DaemonState, DaemonEvent, DaemonAction]{
		Chart: "daemon",
		States: []DaemonState{
			DaemonStarting,
			DaemonReady,
			DaemonDraining,
			DaemonStopped,
			DaemonAborted,
		},
		Events: []DaemonEvent{
			DaemonOnPrepared,
			DaemonOnTerminate,
			DaemonOnLimitReached,
			DaemonOnFinished,
		},
		Actions: []DaemonAction{
			DaemonDoReportReady,
			DaemonDoReportUnready,
			DaemonDoHandOver,
			DaemonDoExitFailure,
			DaemonDoExitSuccess,
		},
	}
}

// Types of the move chart, which describes the move of the run of a stalled stream to another engine.
type (
	// MoveState is a state of the move chart.
	MoveState string
	// MoveEvent is an event of the move chart.
	MoveEvent string
	// MoveAction is an action of the move chart.
	MoveAction string
)

// States of the move chart.
const (
	MoveCopying  MoveState = "copying"
	MoveStopping MoveState = "stopping"
	MoveUnknown  MoveState = "unknown"
	MoveMoved    MoveState = "moved"
	MoveKept     MoveState = "kept"
)

// Events of the move chart.
const (
	// MoveOnEvent means that data of the stream has arrived, MoveOnEnd that the stream is complete.
	MoveOnEvent MoveEvent = "event"
	MoveOnEnd   MoveEvent = "end"
	MoveOnBreak MoveEvent = "break"
	// MoveOnCopied and MoveOnFailed are the results of the copy.
	MoveOnCopied MoveEvent = "copied"
	MoveOnFailed MoveEvent = "failed"
	// MoveOnStopped, MoveOnNotStopped and MoveOnUnanswered are the results of the call that stops the run.
	MoveOnStopped    MoveEvent = "stopped"
	MoveOnNotStopped MoveEvent = "not_stopped"
	MoveOnUnanswered MoveEvent = "unanswered"
)

// Actions of the move chart.
const (
	MoveDoRelease          MoveAction = "release"
	MoveDoStop             MoveAction = "stop"
	MoveDoAwait            MoveAction = "await"
	MoveDoContinueAtSource MoveAction = "continue_at_source"
)

// MoveVocabulary returns the states, events and actions of the move chart.
func MoveVocabulary() Vocabulary[MoveState, MoveEvent, MoveAction] {
	return Vocabulary[MoveState, MoveEvent, MoveAction]{
		Chart:  "move",
		States: []MoveState{MoveCopying, MoveStopping, MoveUnknown, MoveMoved, MoveKept},
		Events: []MoveEvent{
			MoveOnEvent, MoveOnEnd, MoveOnBreak, MoveOnCopied, MoveOnFailed, MoveOnStopped, MoveOnNotStopped, MoveOnUnanswered,
		},
		Actions: []MoveAction{MoveDoRelease, MoveDoStop, MoveDoAwait, MoveDoContinueAtSource},
	}
}

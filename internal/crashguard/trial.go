package crashguard

import "time"

// FirstTrialDelay is the time from the latest crash until one of the refused requests is tried again. Targets that have
// crashed are back by then.
const FirstTrialDelay = 5 * time.Second

// trialDelays are the times from the latest crash to the next trial, by the number of trials that have crashed a target.
// After the last one nothing is tried until the refusal expires.
var trialDelays = []time.Duration{FirstTrialDelay, time.Minute, 5 * time.Minute}

const (
	// trialRetry is the time after a trial without a result until the next one. It doubles with each of these.
	trialRetry = 5 * time.Second
	// maxTrialRetryDoublings bounds the time between trials without a result.
	maxTrialRetryDoublings = 5
)

// TrialState tells what is known about trials of one refusal. A trial lets a single refused request run, since an answer
// is the only evidence that a refusal is wrong or that its cause is gone.
type TrialState struct {
	// Started counts the trials, Failed those that crashed a target.
	Started, Failed int
	// Age is the time since the start of the latest trial.
	Age time.Duration
}

// trials is the state of the trials of one refusal.
type trials struct {
	started, failed int
	startedAt       time.Duration
}

// due reports whether the next trial may start. The time since is that of the latest crash.
func (t trials) due(now, since time.Duration) bool {
	if t.failed >= len(trialDelays) || now < since+trialDelays[t.failed] {
		return false
	}
	unanswered := t.started - t.failed
	return unanswered <= 0 || now >= t.startedAt+trialRetry<<min(unanswered-1, maxTrialRetryDoublings)
}

// start records a trial.
func (t *trials) start(now time.Duration) {
	t.started++
	t.startedAt = now
}

// cancel takes back the latest start.
func (t *trials) cancel() { t.started = max(t.started-1, t.failed) }

// fail records that a trial has crashed a target.
func (t *trials) fail() {
	t.failed++
	t.started = max(t.started, t.failed)
}

// merge adds what another router knows. It returns true if that knows of a failure which was not known here. Counts make
// messages that are relayed again and again harmless; their ages are only approximate.
func (t *trials) merge(now time.Duration, state TrialState) (failed bool) {
	if state.Started > t.started {
		t.started, t.startedAt = state.Started, now-max(state.Age, 0)
	}
	if state.Failed > t.failed {
		t.failed, failed = state.Failed, true
		t.started = max(t.started, t.failed)
	}
	return failed
}

func (t trials) state(now time.Duration) TrialState {
	return TrialState{Started: t.started, Failed: t.failed, Age: now - t.startedAt}
}

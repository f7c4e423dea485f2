package retry

import (
	"testing"
	"time"
)

// Guards against retries that amplify an overload: no window may contain more retries than its budget.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const ratio, slack, window = 0.2, 5.0, 10 * time.Second
	budget := NewBudget(ratio, slack, window)
	var allowed, requests []time.Duration
	for now := time.Duration(0); now < 60*time.Second; now += 50 * time.Millisecond {
		if now < 20*time.Second || now > 40*time.Second {
			budget.Request(now, "s")
			requests = append(requests, now)
		}
		if budget.Allow(now, "s") {
			allowed = append(allowed, now)
		}
	}
	for _, start := range allowed {
		inWindow := func(at time.Duration) bool { return at >= start && at < start+window }
		// The bound is computed from the requests of this window or the previous one, whichever has more.
		inEither := func(at time.Duration) bool { return at >= start-window && at < start }
		extra, now, before := count(allowed, inWindow), count(requests, inWindow), count(requests, inEither)
		if bound := ratio*float64(max(now, before)) + 2*slack; float64(extra) > bound {
			t.Fatalf("%d retries in the window from %v, want at most %.0f", extra, start, bound)
		}
	}
	if len(allowed) == 0 {
		t.Error("no retry was allowed")
	}
}

func count(times []time.Duration, in func(time.Duration) bool) int {
	n := 0
	for _, at := range times {
		if in(at) {
			n++
		}
	}
	return n
}

// Guards against requests that only save time using up the budget of requests that would otherwise fail.
func TestOptionalRetriesLeaveAReserve(t *testing.T) {
	const requests, ratio, slack = 100, 0.2, 4.0
	budget := NewBudget(ratio, slack, 10*time.Second)
	for range requests {
		budget.Request(0, "s")
	}
	optional := 0
	for budget.AllowOptional(0, "s") {
		optional++
	}
	needed := 0
	for budget.Allow(0, "s") {
		needed++
	}
	if total := int(ratio*requests + slack); optional+needed != total || needed != total/4 {
		t.Errorf("%d optional and %d needed retries of %d", optional, needed, total)
	}
}

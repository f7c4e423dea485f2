package retry

import (
	"math/rand"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

func newRetrier(seed int64) *Retrier {
	return New(rand.New(rand.NewSource(seed)))
}

// Guards against a retry that runs a request twice, mixes two responses, or can't succeed.
func TestAllowByReason(t *testing.T) {
	const deadline = time.Minute
	cases := []struct {
		name   string
		try    Attempt
		scope  Scope
		denied reason.Reason
	}{
		{"over limit goes to the next target", Attempt{Reason: reason.OverLimit, Ran: reason.NotRun, HasNext: true}, OtherTarget, ""},
		{"wrong owner goes to another gate", Attempt{Reason: reason.NotOwner, Ran: reason.NotRun}, OtherGate, ""},
		{"empty pool waits for the view", Attempt{Reason: reason.NoTarget, Ran: reason.NotRun}, Anywhere, ""},
		{"repeatable that may have run", Attempt{Reason: reason.TargetFailed, Ran: reason.MayHaveRun, Repeatable: true}, OtherTarget, ""},
		{"non-repeatable that did not run", Attempt{Reason: reason.TargetUnreachable, Ran: reason.NotRun}, OtherTarget, ""},
		{"non-repeatable that may have run", Attempt{Reason: reason.TargetFailed, Ran: reason.MayHaveRun}, Never, reason.TargetFailed},
		{"part of the answer was sent", Attempt{Reason: reason.GateFailed, Ran: reason.MayHaveRun, Repeatable: true, BytesSent: 1}, Never, reason.GateFailed},
		{"customer limit is not retried", Attempt{Reason: reason.CustomerRate, Ran: reason.NotRun}, Never, reason.CustomerRate},
		{"crash suspect is not sent to a third target", Attempt{Reason: reason.CrashSuspect, Ran: reason.NotRun, Repeatable: true}, Never, reason.CrashSuspect},
		{"sealed ticket", Attempt{Reason: reason.TicketSealed, Ran: reason.NotRun}, Never, reason.TicketSealed},
		{"too many attempts", Attempt{Reason: reason.OverLimit, Ran: reason.NotRun, Number: MaxRetries + 1}, Never, reason.OverLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.try.Deadline = deadline
			c.try.Number = max(c.try.Number, 1)
			permit, ok := newRetrier(1).Allow(0, c.try)
			if ok != (c.denied == "") || permit.Scope != c.scope || permit.Denied != c.denied {
				t.Fatalf("got %+v, %v; want scope %s, denied %q", permit, ok, c.scope, c.denied)
			}
		})
	}
}

// Guards against delays when another target is available, and against synchronized retries where a delay helps.
func TestDelay(t *testing.T) {
	r := newRetrier(1)
	next := Attempt{Number: 1, Reason: reason.OverLimit, Ran: reason.NotRun, HasNext: true, Deadline: time.Minute}
	if permit, ok := r.Allow(0, next); !ok || permit.Delay != 0 {
		t.Fatalf("over_limit with a next target: %+v, %v", permit, ok)
	}
	now := time.Duration(0)
	for attempt := 1; attempt <= MaxRetries; attempt++ {
		seen := make(map[time.Duration]bool)
		ceiling := min(baseDelay<<(attempt-1), maxDelay)
		for range 20 {
			now += time.Second
			try := Attempt{Number: attempt, Reason: reason.QueueFull, Ran: reason.NotRun, Deadline: time.Hour}
			permit, ok := r.Allow(now, try)
			if !ok || permit.Delay > ceiling {
				t.Fatalf("attempt %d: %+v, %v; ceiling %v", attempt, permit, ok, ceiling)
			}
			seen[permit.Delay] = true
		}
		if len(seen) < 15 {
			t.Fatalf("attempt %d: only %d distinct delays of 20", attempt, len(seen))
		}
	}
	late := Attempt{Number: 1, Reason: reason.OverLimit, Ran: reason.NotRun, HasNext: true, Deadline: now}
	if permit, ok := r.Allow(now, late); ok || permit.Denied != reason.DeadlineExceeded {
		t.Fatalf("at the deadline: %+v, %v", permit, ok)
	}
}

// Guards against amplified overload: if every target refuses, attempts must stay within 120% of the requests. The slack
// is the minimum for the current second, which the ratio does not cover until more requests have arrived.
func TestBudgetBoundsTriesUnderTotalRefusal(t *testing.T) {
	for seed := range int64(5) {
		rng := rand.New(rand.NewSource(seed))
		r := newRetrier(seed)
		requests, attempts := 0, 0
		now := time.Duration(0)
		for now < time.Minute {
			now += time.Duration(rng.Intn(10_000)) * time.Microsecond
			requests++
			attempts++
			r.Request(now)
			try := Attempt{Number: 1, Reason: reason.OverLimit, Ran: reason.NotRun, HasNext: true, Deadline: time.Hour}
			for {
				if _, ok := r.Allow(now, try); !ok {
					break
				}
				attempts++
				try.Number++
			}
		}
		if bound := float64(requests)*(1+budgetRatio) + minimumPerSec; float64(attempts) > bound {
			t.Fatalf("seed %d: %d attempts of %d requests", seed, attempts, requests)
		}
	}
}

// Guards against an entry with few requests that may never retry, and against a budget that exceeds its size after a
// pause.
func TestBudgetMinimumAndWindow(t *testing.T) {
	r := newRetrier(1)
	try := Attempt{Number: 1, Reason: reason.OverLimit, Ran: reason.NotRun, HasNext: true, Deadline: time.Hour}
	allowed := func(now time.Duration) int {
		count := 0
		for range 100 {
			if _, ok := r.Allow(now, try); ok {
				count++
			}
		}
		return count
	}
	for _, second := range []time.Duration{0, 1, 2, 100} {
		if got := allowed(second * time.Second); got != minimumPerSec {
			t.Fatalf("second %d without requests: %d retries", second, got)
		}
	}
	for range 100 {
		r.Request(200 * time.Second)
	}
	if got := allowed(200 * time.Second); got != 20 {
		t.Fatalf("100 requests: %d retries, want 20", got)
	}
	if got := allowed(211 * time.Second); got != minimumPerSec {
		t.Fatalf("after the window: %d retries, want %d", got, minimumPerSec)
	}
}

func BenchmarkAllow(b *testing.B) {
	r := newRetrier(1)
	try := Attempt{Number: 1, Reason: reason.QueueFull, Ran: reason.NotRun, Deadline: time.Hour}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * time.Microsecond
		r.Request(now)
		r.Allow(now, try)
	}
}

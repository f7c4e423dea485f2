package crashguard

import (
	"fmt"
	"testing"
	"time"
)

const deadlyRequest, popularRequest, rareRequest Digest = 1, 2, 3

func chargeOf(digest Digest, crash int, age time.Duration) Charge {
	return Charge{Digest: digest, Crash: Crash{Target: fmt.Sprint("t", crash), Incarnation: uint64(crash)}, Remaining: Lifetime - age}
}

// Guards against requests that go on crashing targets, and against requests that are refused although they were answered
// before, between or after the crashes.
func TestRequestRefusals(t *testing.T) {
	const s = time.Second
	type event struct {
		at       time.Duration
		answered bool
	}
	crash := func(at time.Duration) event { return event{at: at} }
	answer := func(at time.Duration) event { return event{at: at, answered: true} }
	for name, c := range map[string]struct {
		events  []event
		refused bool
	}{
		"three crashes":                {[]event{crash(10 * s), crash(11 * s), crash(12 * s)}, true},
		"two crashes":                  {[]event{crash(10 * s), crash(11 * s)}, false},
		"answered long before":         {[]event{answer(5 * s), crash(10 * s), crash(11 * s), crash(12 * s)}, true},
		"answered just before each":    {[]event{answer(9 * s), crash(10 * s), crash(10500 * time.Millisecond), crash(10900 * time.Millisecond)}, false},
		"answered between":             {[]event{crash(10 * s), crash(11 * s), answer(11500 * time.Millisecond), crash(14 * s)}, false},
		"answered after":               {[]event{crash(10 * s), crash(11 * s), crash(12 * s), answer(12500 * time.Millisecond)}, false},
		"answered, then three crashes": {[]event{crash(10 * s), answer(11 * s), crash(14 * s), crash(15 * s), crash(16 * s)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewRequestGuard()
			for i, event := range c.events {
				if event.answered {
					g.Answered(event.at, popularRequest)
				} else {
					g.Charge(event.at, []Charge{chargeOf(popularRequest, i, 0)})
				}
			}
			if got := g.Refuses(17*s, popularRequest); got != c.refused {
				t.Errorf("refused %t", got)
			}
			if g.Refuses(17*s, rareRequest) {
				t.Error("another request is refused")
			}
		})
	}
}

// Guards against a wrong refusal that no answer can end, and against trials that crash more targets than the platform
// allows (three after the third crash).
func TestTrialsOfRefusedRequests(t *testing.T) {
	const allowed = 3
	g := NewRequestGuard()
	for i := range RequestRefusalThreshold {
		g.Charge(0, []Charge{chargeOf(deadlyRequest, i, 0), chargeOf(popularRequest, i, 0)})
	}
	var failed []time.Duration
	answeredAt := time.Duration(0)
	for now := time.Duration(0); now < Lifetime; now += 100 * time.Millisecond {
		if g.Refuses(now, deadlyRequest) && g.StartTrial(now, 0, deadlyRequest) {
			g.TrialFailed(now+50*time.Millisecond, deadlyRequest)
			failed = append(failed, now)
		}
		if g.Refuses(now, popularRequest) && g.StartTrial(now, 0, popularRequest) {
			g.Answered(now+50*time.Millisecond, popularRequest)
			answeredAt = now
		}
	}
	if len(failed) == 0 || len(failed) > allowed {
		t.Errorf("trials at %v, want 1 to %d", failed, allowed)
	}
	if answeredAt == 0 || answeredAt > 2*FirstTrialDelay {
		t.Errorf("the harmless request is served after %v, want at most %v", answeredAt, 2*FirstTrialDelay)
	}
}

// Guards against trials that follow each other quickly because their results are not known.
func TestTrialsWithoutResultBecomeRare(t *testing.T) {
	g := NewRequestGuard()
	for i := range RequestRefusalThreshold {
		g.Charge(0, []Charge{chargeOf(deadlyRequest, i, 0)})
	}
	count := 0
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		if g.StartTrial(now, 0, deadlyRequest) {
			count++
		}
	}
	if count < 2 || count > 4 {
		t.Errorf("%d trials in a minute, want 2 to 4", count)
	}
}

// Guards against a router that starts trials of its own although others have just done so, against one that keeps refusing
// what others have seen answered, and against one that refuses again what it has seen answered.
func TestRefusedRequestsAmongRouters(t *testing.T) {
	const s = time.Second
	a, b := NewRequestGuard(), NewRequestGuard()
	for i := range RequestRefusalThreshold {
		a.Charge(10*s, []Charge{chargeOf(deadlyRequest, i, 0)})
	}
	if !a.StartTrial(10*s+FirstTrialDelay, 0, deadlyRequest) {
		t.Fatal("no trial")
	}
	a.TrialFailed(16*s, deadlyRequest)
	refusal := a.Refusals(17*s, 8)[0]
	if _, contradicted, added := b.Refused(17*s, refusal); contradicted || !added {
		t.Fatalf("contradicted %t, added %t", contradicted, added)
	}
	if b.StartTrial(30*s, 0, deadlyRequest) || !b.StartTrial(17*s+time.Minute, 0, deadlyRequest) {
		t.Error("the trials of the other router do not count")
	}
	if charged, refused := b.Answered(80*s, deadlyRequest); charged || !refused {
		t.Errorf("charged %t, refused %t", charged, refused)
	}
	answer, contradicted, _ := b.Refused(81*s, a.Refusals(81*s, 8)[0])
	if !contradicted || b.Refuses(81*s, deadlyRequest) {
		t.Fatalf("contradicted %t", contradicted)
	}
	if !a.AnsweredElsewhere(81*s, answer) || a.Refuses(81*s, deadlyRequest) {
		t.Error("the request is still refused")
	}
}

// Guards against state that grows without bound while many requests crash targets.
func TestRequestGuardIsBounded(t *testing.T) {
	g := NewRequestGuard()
	for i := range 20_000 {
		now := time.Duration(i) * 10 * time.Millisecond
		for crash := range RequestRefusalThreshold {
			g.Charge(now, []Charge{chargeOf(Digest(i), crash, 0)})
		}
		g.Refused(now, RequestRefusal{Digest: Digest(1_000_000 + i)})
	}
	if len(g.refusals) > maxRequestRefusals || len(g.charges.charges) > MaxDigests {
		t.Errorf("%d refusals, %d charged requests", len(g.refusals), len(g.charges.charges))
	}
}

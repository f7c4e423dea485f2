package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// Guards against an exclusion that is forgotten for a purpose, and against one without a name or a condition.
func TestEachPurposeStatesEachExclusion(t *testing.T) {
	for i := range exclusions {
		rule := &exclusions[i]
		if rule.name == "" || rule.applies == nil {
			t.Errorf("exclusion %d has no name or no condition", i)
		}
		for purpose, check := range rule.checks {
			if check.kind == unstated || (check.kind == ignores) != (check.why != "") {
				t.Errorf("%s, purpose %d: kind %d, why not: %q", rule.name, purpose, check.kind, check.why)
			}
		}
	}
}

// Guards against a fallback to a target for which another exclusion allows none.
func TestExclusionsWithoutFallbackComeFirst(t *testing.T) {
	precedence := map[checkKind]int{excludes: 0, excludesUnlessNoneFailing: 1, excludesUnlessNone: 2}
	for purpose := range purposeCount {
		latest := 0
		for i := range exclusions {
			kind := exclusions[i].checks[purpose].kind
			if kind == ignores {
				continue
			}
			if precedence[kind] < latest {
				t.Errorf("purpose %d: %v follows an exclusion with more fallback", purpose, Exclusion(i))
			}
			latest = precedence[kind]
		}
	}
}

// exclude makes an exclusion apply to a target at the time of one second.
var exclude = [exclusionCount]func(p *LoadTracker, target routes.Target){
	Evacuated: func(p *LoadTracker, target routes.Target) {
		zones := map[string]bool{target.Zone: true}
		for zone := range p.evacuated {
			zones[zone] = true
		}
		p.SetEvacuated(zones)
	},
	Leaving: func(p *LoadTracker, target routes.Target) { p.Stated(second, target, routes.Statements{Leaving: true}) },
	Limited: func(p *LoadTracker, target routes.Target) {
		p.Statements().SetRouters(second, "router", nil)
		p.Stated(second, target, routes.Statements{RateLimit: 1, HasRateLimit: true})
		p.Statements().Took(second, instanceKey(target))
	},
	Cold: func(p *LoadTracker, target routes.Target) {
		p.Statements().SetWarmup(second, instanceKey(target), 5, 4*second)
	},
	Paused: func(p *LoadTracker, target routes.Target) {
		p.Stated(second, target, routes.Statements{RetryAfter: second})
	},
	Withdrawn: func(p *LoadTracker, target routes.Target) { p.byID[target.ID].withdrawn = true },
	Blocked:   func(p *LoadTracker, target routes.Target) { p.End(target.ID, second, Unreachable, 0) },
	Failing: func(p *LoadTracker, target routes.Target) {
		for range 5 {
			p.End(target.ID, second, Failed, 0)
		}
	},
}

// Guards against a choice of an excluded target while another one is open, and against a fallback that is not stated: if
// all are excluded, those with fallback are chosen and requests to the others are refused.
func TestExcludedTargetsAreNotChosen(t *testing.T) {
	choosePlain := func(purpose Purpose) func(*LoadTracker, []string) (Choice, *Refusal) {
		return func(p *LoadTracker, tried []string) (Choice, *Refusal) {
			return p.Choose(second, Query{Service: "s", Purpose: purpose, Exclude: tried, Remaining: 5 * second})
		}
	}
	for purpose, choose := range map[Purpose]func(*LoadTracker, []string) (Choice, *Refusal){
		FirstAttempt: choosePlain(FirstAttempt),
		Retry:        choosePlain(Retry),
		Destination: func(p *LoadTracker, tried []string) (Choice, *Refusal) {
			choice, found := p.ChooseDestination(second, routes.Target{ID: "source", Service: "s"}, "z0", tried)
			if !found {
				return choice, &Refusal{}
			}
			return choice, nil
		},
	} {
		for i := range exclusions {
			t.Run(fmt.Sprint(purpose, " ", exclusions[i].name), func(t *testing.T) {
				p := picture(3, 64)
				var tried []string
				for j, target := range targets(3, 64) {
					if choice, refusal := choose(p, tried); refusal != nil {
						t.Fatalf("refused with %d targets excluded: %+v", j, refusal)
					} else if j > 0 && choice.Target.ID < target.ID {
						t.Errorf("%s was chosen, which is excluded", choice.Target.ID)
					}
					if Exclusion(i) == Failing && j > 0 {
						return // failure rates are compared with each other, so this can't exclude all targets
					}
					if exclude[i] == nil {
						tried = append(tried, target.ID)
					} else {
						exclude[i](p, target)
					}
				}
				_, refusal := choose(p, tried)
				kind := exclusions[i].checks[purpose].kind
				if Exclusion(i) == Withdrawn {
					kind = excludes // beyond the grace period
				}
				if (refusal != nil) != (kind == excludes) {
					t.Fatalf("all targets excluded: refusal %+v", refusal)
				}
				if refusal == nil || purpose == Destination {
					return
				}
				want, least := reason.NoTarget, blockBase
				if Exclusion(i) == Cold {
					want, least = reason.Cold, minLimitRetryAfter
				}
				if Exclusion(i) == Limited || Exclusion(i) == Paused {
					want, least = reason.OverLimit, minLimitRetryAfter
				}
				if Exclusion(i) == Evacuated {
					want, least = reason.Evacuated, evacuatedRetryAfter
				}
				if refusal.Reason != want || refusal.RetryAfter < least || refusal.RetryAfter > 2*second {
					t.Errorf("%+v, want %s after %v or more", refusal, want, least)
				}
			})
		}
	}
}

// Guards against a check that changes what it asks for: a continuation counts when it is sent, not when it is allowed.
func TestAllowedChangesNoState(t *testing.T) {
	p := picture(1, 64)
	target := targets(1, 64)[0]
	p.Stated(second, target, routes.Statements{RetryAfter: second})
	for range 3 {
		if !p.Allowed(second, target, Continuation) {
			t.Fatal("the first continuation during a pause is not allowed")
		}
	}
	p.Continued(second, target)
	if p.Allowed(second, target, Continuation) {
		t.Error("a second continuation is allowed during a pause")
	}
	if p.Allowed(second, target, CacheListing) || p.Allowed(second, target, MoveSource) {
		t.Error("calls are allowed during a pause")
	}
}

// Guards against a panic of an exclusion, whatever the state of the target: cache listings ask outside of requests, where
// nothing recovers it.
func FuzzExclusions(f *testing.F) {
	f.Add(uint64(1), int64(0), true)
	f.Add(uint64(2), int64(-1), false)
	f.Fuzz(func(t *testing.T, seed uint64, now int64, listed bool) {
		rng := rand.New(rand.NewPCG(seed, 1))
		p := New(2, rng)
		any := func() time.Duration { return time.Duration(rng.Uint64()) >> rng.IntN(64) }
		list := targets(rng.IntN(4), rng.IntN(3)-1)
		if listed {
			p.SetTargets(any(), list, any())
		}
		for _, target := range append(list, routes.Target{}, routes.Target{ID: "gone", Service: "s"}) {
			p.Stated(any(), target, routes.Statements{
				Leaving: rng.IntN(2) == 0, HasRateLimit: rng.IntN(2) == 0, RateLimit: rng.NormFloat64(), RetryAfter: any(),
			})
			p.Statements().SetWarmup(any(), instanceKey(target), rng.NormFloat64(), any())
			if state := p.byID[target.ID]; state != nil {
				state.blocked, state.dropAt, state.withdrawn = any(), any(), rng.IntN(2) == 0
				state.failures, state.failuresAt = rng.NormFloat64(), any()
				target.StartedAt = int64(rng.IntN(2))
			}
			for purpose := range purposeCount {
				p.Allowed(time.Duration(now), target, purpose)
				p.candidates(time.Duration(now), &service{}, purpose, nil)
				if svc := p.services[target.Service]; svc != nil {
					p.candidates(time.Duration(now), svc, purpose, []string{""})
				}
			}
		}
	})
}

package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/crashguard"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/routing"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// suspects makes the crash guard safe for concurrent use. The guard tracks which requests crashed targets and where the
// requests of this entry run.
type suspects struct {
	clock control.Clock
	mu    sync.Mutex
	guard *crashguard.Guard
}

func newSuspects(clock control.Clock) *suspects {
	return &suspects{clock: clock, guard: crashguard.New()}
}

func (s *suspects) merge(charges []crashguard.Charge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.Merge(s.clock.Now(), charges)
}

func (s *suspects) verdict(digest crashguard.Digest) (crashguard.Verdict, []crashguard.Charge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	verdict := s.guard.Verdict(now, digest)
	if verdict == crashguard.Clean {
		return verdict, nil
	}
	return verdict, s.guard.Charges(now, digest)
}

func (s *suspects) started(digest crashguard.Digest, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.Started(digest, target)
}

func (s *suspects) ended(digest crashguard.Digest, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.Ended(digest, target)
}

func (s *suspects) mayRun(digest crashguard.Digest, target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.guard.MayRun(s.clock.Now(), digest, target)
}

func (s *suspects) tick(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.Tick(now)
}

// recordCharges records the crash charges in a gate's refusal.
func (e *Entry) recordCharges(request *request, charges []*pb.Charge) {
	if len(charges) == 0 {
		return
	}
	e.meters.Event("crash_charge_learned")
	e.suspects.merge(wire.ChargesFrom(charges))
	request.chargedAt = e.clock.Now()
	request.charged = true
}

// checkSuspect refuses a request that has crashed two targets, and stores the charges of one suspected of a crash.
func (e *Entry) checkSuspect(request *request) error {
	verdict, charges := e.suspects.verdict(request.digest)
	request.charges = charges
	if verdict != crashguard.Refused {
		return nil
	}
	e.meters.Event("crash_suspect_refused")
	return refuse(reason.CrashSuspect, "the request has crashed two targets")
}

// pick selects the target of an attempt and reports whether there is one.
func (e *Entry) pick(routes *routing.Pool, request *request, tried *routing.Tried) (position int, ok bool) {
	if len(request.charges) > 0 {
		return e.pickForSuspect(routes, request, tried)
	}
	return choose(request, routes, tried)
}

// pickForSuspect prefers targets where no other suspect of this entry runs. A suspect that has tried every target
// starts over, since the other suspects finish eventually.
func (e *Entry) pickForSuspect(routes *routing.Pool, request *request, tried *routing.Tried) (position int, ok bool) {
	avoid := *tried
	for i := range routes.Candidates {
		if !e.suspects.mayRun(request.digest, routes.Candidates[i].Target.Name) {
			avoid.Add(i)
		}
	}
	if position, ok = choose(request, routes, &avoid); ok {
		return position, ok
	}
	if position, ok = choose(request, routes, tried); ok {
		return position, ok
	}
	*tried = routing.Tried{}
	return choose(request, routes, tried)
}

// delayFailure delays the final failure of a request that has just been charged with a crash until the charge has
// reached the gates. The caller may resend the request at once through any entry, and a gate without the charge would
// not treat it as a suspect.
func (e *Entry) delayFailure(ctx context.Context, request *request) {
	if !request.charged {
		return
	}
	e.meters.Event("crash_failure_held")
	control.Sleep(ctx, request.chargedAt+crashguard.PropagationTime-e.clock.Now())
}

// recordOutcome records whether the request may have run, and changes the outcome of a refusal to unknown if an earlier
// attempt may have run.
func (r *request) recordOutcome(refusal *Refusal) *Refusal {
	if refusal.Ran == reason.MayHaveRun {
		r.mayHaveRun = true
	}
	if r.mayHaveRun && refusal.Ran == reason.NotRun {
		corrected := *refusal
		corrected.Ran = reason.MayHaveRun
		return &corrected
	}
	return refusal
}

// fail ends a request whose last attempt was refused.
func (e *Entry) fail(ctx context.Context, request *request, response *response, refusal *Refusal) error {
	e.delayFailure(ctx, request)
	return response.fail(request.recordOutcome(refusal))
}

// refusalIn returns the refusal that an error wraps.
func refusalIn(err error) (*Refusal, bool) {
	var refusal *Refusal
	ok := errors.As(err, &refusal)
	return refusal, ok
}

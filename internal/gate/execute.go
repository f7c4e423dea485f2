package gate

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/admission"
	"github.com/amaranthlb/amaranthlb/internal/atmostonce"
	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/crashguard"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/target"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

const (
	// maxTicketResponseBytes bounds the response body of a non-repeatable request.
	maxTicketResponseBytes = 8 << 20
	// maxTicketAttempts bounds the number of targets that are tried before the first byte is written.
	maxTicketAttempts = 2
	// admitRetryTimeout bounds how long an accepted ticketed request waits while this gate may not admit; an entry
	// waits as long for other requests, which it can resend.
	admitRetryTimeout    = 4 * time.Second
	admitRetryInterval   = 100 * time.Millisecond
	outcomeQueryTimeout  = 2 * time.Second
	outcomeQueryInterval = 200 * time.Millisecond
)

// ticketRequests keeps the requests of open ticket calls until their runs end.
type ticketRequests struct {
	mu       sync.Mutex
	requests map[atmostonce.Call]*heldRequest
}

// heldRequest is a request that is referenced by a waiting caller, by a run, or by both.
type heldRequest struct {
	request *pb.ServeRequest
	expires time.Time
	refs    int
}

func newTicketRequests() *ticketRequests {
	return &ticketRequests{requests: make(map[atmostonce.Call]*heldRequest)}
}

func (r *ticketRequests) add(id atmostonce.Call, request *pb.ServeRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	expires := time.Now().Add(time.Duration(request.DeadlineMs) * time.Millisecond)
	r.requests[id] = &heldRequest{request: request, expires: expires, refs: 1}
}

// retain adds a reference for a run, or returns false if the request has been released.
func (r *ticketRequests) retain(id atmostonce.Call) (*heldRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held, ok := r.requests[id]
	if ok {
		held.refs++
	}
	return held, ok
}

func (r *ticketRequests) release(id atmostonce.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held, ok := r.requests[id]
	if !ok {
		return
	}
	held.refs--
	if held.refs == 0 {
		delete(r.requests, id)
	}
}

// execute runs a ticketed request once the witness has recorded the intent. The run does not end when the caller
// disconnects.
func (g *Gate) execute(e atmostonce.Execute) {
	held, ok := g.ticketRequests.retain(e.Call)
	if !ok {
		g.tickets.stepExecutor(atmostonce.NotStarted{ID: e.ID, Reason: reason.CallerGone})
		return
	}
	defer g.ticketRequests.release(e.Call)
	g.inFlight.begin()
	defer g.inFlight.end()
	ctx, cancel := context.WithDeadline(g.lifetime, held.expires)
	defer cancel()
	run := &ticketRun{gate: g, id: e.ID, attempt: e.Attempt, request: held.request}
	run.run(ctx)
}

// ticketRun is one attempt to run a ticketed request.
type ticketRun struct {
	gate    *Gate
	id      ticket.ID
	attempt int
	request *pb.ServeRequest
	// tracked is the run as recorded by the crash detector.
	tracked *trackedRun
	// remote is the admission by another gate; it is nil if this gate owns the target.
	remote *remoteAdmission
}

func (r *ticketRun) run(ctx context.Context) {
	if verdict, _ := r.gate.crashes.verdict(crashguard.Digest(r.request.Digest)); verdict == crashguard.Refused {
		r.notStarted(reason.CrashSuspect, false)
		return
	}
	t, id, why := r.admitLocallyOrRemotely(ctx)
	for end := time.Now().Add(admitRetryTimeout); permissionMissing(why) && time.Now().Before(end) && ctx.Err() == nil; {
		control.Sleep(ctx, admitRetryInterval)
		t, id, why = r.admitLocallyOrRemotely(ctx)
	}
	if why != "" {
		r.notStarted(why, false)
		return
	}
	completed := r.sendGuarded(ctx, t)
	if r.remote != nil {
		r.remote.release()
		return
	}
	r.gate.admission.release(id, completed)
}

// admitLocallyOrRemotely admits the request here, or at the owner of a target if this gate owns no target of the pool.
func (r *ticketRun) admitLocallyOrRemotely(ctx context.Context) (*catalogue.Target, admission.ID, reason.Reason) {
	t, id, why := r.admit(ctx)
	if why != reason.NotOwner {
		return t, id, why
	}
	r.remote, why = r.admitRemotely(ctx)
	if why != "" {
		return nil, 0, why
	}
	return r.remote.target, 0, ""
}

// mayWrite is the final check before the request is written to a target.
func (r *ticketRun) mayWrite(t *catalogue.Target) bool {
	if r.remote != nil {
		return r.remote.valid()
	}
	return r.gate.mayWrite(t)
}

// admit chooses a target and admits the request to it, or returns the reason for the refusal.
func (r *ticketRun) admit(ctx context.Context) (*catalogue.Target, admission.ID, reason.Reason) {
	t, why := r.chooseTarget()
	if t == nil {
		return nil, 0, why
	}
	id, err := r.gate.admission.acquire(ctx, &admission.Request{
		Target:   t.Name,
		Customer: r.request.Customer,
		Class:    catalogue.Class(r.request.Class),
		Deadline: r.gate.clock.Now() + remaining(ctx),
	})
	if err != nil {
		return nil, 0, reasonOf(err)
	}
	return t, id, ""
}

// permissionMissing reports whether a refusal means that no gate currently has permission to admit, so that a retry
// may succeed.
func permissionMissing(why reason.Reason) bool {
	switch why {
	case reason.Probation, reason.LeaseLost, reason.NotOwner, reason.NotReady, reason.Draining, reason.GateUnreachable:
		return true
	}
	return false
}

func remaining(ctx context.Context) time.Duration {
	limit, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(limit)
}

// pool returns the pool of the request and the snapshot that contains it.
func (r *ticketRun) pool() (*Snapshot, *catalogue.Pool, reason.Reason) {
	snapshot := r.gate.snapshot.Load()
	if snapshot == nil {
		return nil, nil, reason.NotReady
	}
	pool, ok := snapshot.Catalogue.Pool(r.request.Pool)
	if !ok {
		return nil, nil, reason.UnknownPool
	}
	return snapshot, pool, ""
}

// chooseTarget returns the target that the entry chose if this gate owns it, or else another target of the pool that
// this gate owns. A later attempt uses the next owned target.
func (r *ticketRun) chooseTarget() (*catalogue.Target, reason.Reason) {
	snapshot, pool, why := r.pool()
	if why != "" {
		return nil, why
	}
	var owned []*catalogue.Target
	for i := range pool.Targets {
		t := &pool.Targets[i]
		if snapshot.Owned[t.Name] && snapshot.View.Target(t.Name) == membership.Live && !snapshot.Unloaded[t.Name] {
			owned = append(owned, t)
		}
	}
	if len(owned) == 0 {
		return nil, reason.NotOwner
	}
	for i, t := range owned {
		if t.Name == r.request.Target {
			return owned[(i+r.attempt-1)%len(owned)], ""
		}
	}
	return owned[(r.attempt-1)%len(owned)], ""
}

// send writes the request to the target if the executor permits it, and reports whether the response was received
// completely.
func (r *ticketRun) send(ctx context.Context, t *catalogue.Target) bool {
	attempt := &target.Attempt{
		Guard:   func() bool { return r.mayWrite(t) && r.gate.tickets.beginWrite(r.id) },
		Written: r.gate.tickets.endWrite,
	}
	call := &call{gate: r.gate, request: r.request}
	request := call.targetRequest()
	request.ID = r.id.String()
	response, err := r.gate.targets.DoOnce(ctx, t.Address, request, attempt)
	if err != nil && !attempt.Started() {
		r.notStarted(reason.TargetUnreachable, r.attempt < maxTicketAttempts)
		return false
	}
	result, whole := r.read(response, err)
	if !whole {
		r.investigateBreak(t)
		result = r.gate.queryOutcome(ctx, t, r.id, result)
	}
	r.gate.tickets.stepExecutor(atmostonce.Finish{ID: r.id, Result: result})
	return whole
}

// read reads the whole response.
func (r *ticketRun) read(response *target.Response, err error) (atmostonce.Result, bool) {
	unknown := atmostonce.Result{Reason: reason.UnknownOutcome, Ran: reason.MayHaveRun}
	if err != nil {
		return unknown, false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxTicketResponseBytes+1))
	if err != nil || len(body) > maxTicketResponseBytes {
		return unknown, false
	}
	answer := &atmostonce.Answer{Status: response.Status, ContentType: response.ContentType, Body: body}
	return atmostonce.Result{Answer: answer}, true
}

func (r *ticketRun) notStarted(why reason.Reason, retry bool) {
	r.gate.tickets.stepExecutor(atmostonce.NotStarted{ID: r.id, Reason: why, Retry: retry})
}

func reasonOf(err error) reason.Reason {
	var refused *refusal
	if errors.As(err, &refused) {
		return refused.reason
	}
	return reason.Internal
}

// queryOutcome queries a target for the outcome of a request by its ID, if the catalogue says that the pool supports
// such queries, and polls while the target reports that the request is running.
func (g *Gate) queryOutcome(ctx context.Context, t *catalogue.Target, id ticket.ID, unknown atmostonce.Result) atmostonce.Result {
	if !t.Pool().OutcomeQuery {
		return unknown
	}
	for {
		fate, err := g.targets.RequestState(ctx, t.Address, id.String())
		switch {
		case err == nil && fate.State == target.StateDone:
			return atmostonce.Result{Answer: &atmostonce.Answer{Status: fate.Status, ContentType: fate.ContentType, Body: fate.Body}}
		case err != nil || fate.State != target.StateRunning || ctx.Err() != nil:
			return unknown
		}
		control.Sleep(ctx, outcomeQueryInterval)
	}
}

// queryPoolOutcome queries every target of a ticket's pool for its outcome, when neither the executor nor the witness
// knows it.
func (g *Gate) queryPoolOutcome(ctx context.Context, t ticket.Ticket, settled *pb.SettleReply) {
	snapshot := g.snapshot.Load()
	if snapshot == nil {
		return
	}
	pool, ok := snapshot.Catalogue.Pool(t.Pool)
	if !ok || !pool.OutcomeQuery {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeQueryTimeout)
	defer cancel()
	found := make(chan atmostonce.Result, len(pool.Targets))
	for i := range pool.Targets {
		go func() { found <- g.queryOutcome(ctx, &pool.Targets[i], t.ID, atmostonce.Result{}) }()
	}
	for range pool.Targets {
		if result := <-found; result.Answer != nil {
			settled.Verdict = pb.SettleVerdict_SETTLE_OUTCOME
			settled.Answer = wire.Result(result)
			return
		}
	}
}

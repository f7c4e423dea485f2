package router

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/crashguard"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/routes"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// crashCheckDelay is the time from a closed connection to the check whether its target still listens: the kernel closes
// the connections of a process that ends one after the other.
const crashCheckDelay = 50 * time.Millisecond

// maxRefusedRequestsPerDigest bounds the refused requests in a digest, so that it fits into a packet.
const maxRefusedRequestsPerDigest = 8

// crashTracker finds requests that crash the targets that run them. A router reports each crash to the router that ranks
// first for the request's digest, which notifies all others once a request has caused too many.
type crashTracker struct {
	// hasCharges is set once any request has been charged with a crash; until then no digests are computed.
	hasCharges atomic.Bool
	mu         sync.Mutex
	guard      *crashguard.RequestGuard
	// unconfirmed holds the requests whose connections closed, by target, until it is known whether that has crashed.
	unconfirmed map[string][]crashSuspect
}

func newCrashTracker() *crashTracker {
	return &crashTracker{guard: crashguard.NewRequestGuard(), unconfirmed: make(map[string][]crashSuspect)}
}

// requestDigest identifies a request and its retries by the client, which have different request IDs. What the target is
// to answer is the body, or the prompt of a request without one.
func (x *exchange) requestDigest() crashguard.Digest {
	name := ""
	if x.customer != nil {
		name = x.customer.Name
	}
	var prompt strings.Builder
	if len(x.body) == 0 {
		for _, part := range x.request.Prompt {
			prompt.WriteString(part.ID)
			prompt.WriteByte(',')
		}
	}
	return crashguard.DigestOf(name+" "+x.r.RequestURI, prompt.String(), x.body)
}

// isCrashSuspect reports whether the request has crashed too many targets to be sent to another one. One of the refused
// requests is let through from time to time, with requestTrial set.
func (x *exchange) isCrashSuspect() bool {
	crashes := x.router.crashes
	if x.requestTrial && !x.mayHaveRun {
		return false
	}
	x.requestTrial = false
	if x.moved != nil || !crashes.hasCharges.Load() {
		return false
	}
	digest := x.requestDigest()
	now := x.router.now()
	crashes.mu.Lock()
	defer crashes.mu.Unlock()
	if !crashes.guard.Refuses(now, digest) {
		return false
	}
	x.requestTrial = crashes.guard.StartTrial(now, x.router.trialStagger(), digest)
	return !x.requestTrial
}

// recordAnswered records that a target has answered the request, which shows that this does not crash targets.
func (x *exchange) recordAnswered() {
	r := x.router
	if !r.crashes.hasCharges.Load() {
		return
	}
	digest := x.requestDigest()
	r.crashes.mu.Lock()
	charged, refused := r.crashes.guard.Answered(r.now(), digest)
	r.crashes.mu.Unlock()
	if !charged && !refused {
		return
	}
	r.meters.Event("crash_suspect_cleared")
	r.log.WithFields(logrus.Fields{"request": x.request.ID, "digest": formatDigest(digest), "refused": refused}).Info("request that was charged with crashes was answered")
	message := &pb.Digest{AnsweredRequests: wire.AnsweredRequests([]crashguard.RequestAnswer{{Digest: digest}})}
	if refused {
		r.sendCrashReport(message, r.crashReportRecipients())
	} else if first := r.firstFor(digest); first != r.config.PeerAddress {
		r.sendCrashReport(message, []string{first})
	}
}

// applyAnsweredRequests records the answers that another router has seen. A router that has notified others of a refusal
// notifies them of its end.
func (r *Router) applyAnsweredRequests(answers []crashguard.RequestAnswer) {
	var lifted []crashguard.RequestAnswer
	r.crashes.mu.Lock()
	for _, answer := range answers {
		if r.crashes.guard.AnsweredElsewhere(r.now(), answer) {
			lifted = append(lifted, answer)
		}
	}
	r.crashes.mu.Unlock()
	lifted = slices.DeleteFunc(lifted, func(a crashguard.RequestAnswer) bool { return r.firstFor(a.Digest) != r.config.PeerAddress })
	if len(lifted) > 0 {
		r.sendCrashReport(&pb.Digest{AnsweredRequests: wire.AnsweredRequests(lifted)}, r.crashReportRecipients())
	}
}

// applyRefusedRequests records the refusals of another router, and notifies it of the requests that have been answered.
func (r *Router) applyRefusedRequests(refusals []crashguard.RequestRefusal, peer string) {
	var answers []crashguard.RequestAnswer
	var added []crashguard.RequestRefusal
	r.crashes.mu.Lock()
	for _, refusal := range refusals {
		answer, contradicted, isNew := r.crashes.guard.Refused(r.now(), refusal)
		if contradicted {
			answers = append(answers, answer)
		}
		if isNew {
			added = append(added, refusal)
		}
	}
	r.crashes.mu.Unlock()
	if len(refusals) > 0 {
		r.crashes.hasCharges.Store(true)
	}
	r.logRefusedRequests(added, peer)
	if len(answers) > 0 {
		r.sendCrashReport(&pb.Digest{AnsweredRequests: wire.AnsweredRequests(answers)}, []string{peer})
	}
}

// sendRefusedRequest notifies all routers of the refusal of a request and of its trials.
func (r *Router) sendRefusedRequest(digest crashguard.Digest) {
	r.crashes.mu.Lock()
	refusal, found := r.crashes.guard.Refusal(r.now(), digest)
	r.crashes.mu.Unlock()
	if found {
		message := &pb.Digest{RefusedRequests: wire.RefusedRequests([]crashguard.RequestRefusal{refusal})}
		r.sendCrashReport(message, r.crashReportRecipients())
	}
}

func (r *Router) refusedRequests(now time.Duration) []crashguard.RequestRefusal {
	r.crashes.mu.Lock()
	defer r.crashes.mu.Unlock()
	return r.crashes.guard.Refusals(now, maxRefusedRequestsPerDigest)
}

func (r *Router) logRefusedRequests(refusals []crashguard.RequestRefusal, peer string) {
	for _, refusal := range refusals {
		r.meters.Event("crash_suspect")
		fields := logrus.Fields{"digest": formatDigest(refusal.Digest), "crash_age_ms": refusal.Age.Milliseconds()}
		if peer != "" {
			fields["peer"] = peer
		}
		r.log.WithFields(fields).Warn("request crashes targets and is refused")
	}
}

func formatDigest(digest crashguard.Digest) string { return fmt.Sprintf("%016x", uint64(digest)) }

// crashSuspect is a request that was running at a target when that closed the connection.
type crashSuspect struct {
	digest crashguard.Digest
	// requestTrial is set if the request was let through although it is refused.
	requestTrial bool
	// parts are the shared parts of its prompt, if the target had not answered it yet.
	parts []crashguard.Part
	// promptTrial is set if the request was let through although its prompt is refused.
	promptTrial bool
}

// recordClosed records that a target closed its connection while it was running the request. Whether it has crashed is
// not known yet.
func (x *exchange) recordClosed(target routes.Target) {
	suspect := crashSuspect{digest: x.requestDigest(), requestTrial: x.requestTrial}
	if !x.promptAnswered {
		suspect.parts = sharedParts(x.request.Prompt)
		suspect.promptTrial = x.promptTrial != nil
	}
	r := x.router
	r.crashes.mu.Lock()
	defer r.crashes.mu.Unlock()
	suspects, checking := r.crashes.unconfirmed[target.ID]
	r.crashes.unconfirmed[target.ID] = append(suspects, suspect)
	if !checking {
		go r.checkCrash(target, r.now())
	}
}

// checkCrash charges the requests that were running at a target if it no longer accepts connections. Targets in trouble
// also close connections while they go on.
func (r *Router) checkCrash(target routes.Target, closedAt time.Duration) {
	time.Sleep(crashCheckDelay)
	err := r.pool.CheckListening(context.Background(), target.Address)
	r.crashes.mu.Lock()
	suspects := r.crashes.unconfirmed[target.ID]
	delete(r.crashes.unconfirmed, target.ID)
	r.crashes.mu.Unlock()
	fields := logrus.Fields{"target": target.ID, "requests": len(suspects)}
	if err == nil {
		r.meters.Event("closed_without_crash")
		r.log.WithFields(fields).Debug("target closed connections but still listens")
		return
	}
	r.meters.Event("crash_confirmed")
	r.log.WithFields(fields).WithError(err).Info("target has crashed")
	var prompts [][]crashguard.Part
	charged := make(map[crashguard.Digest]bool)
	for _, suspect := range suspects {
		if !charged[suspect.digest] {
			charged[suspect.digest] = true
			r.reportCrash(crashguard.Charge{
				Digest:    suspect.digest,
				Crash:     crashguard.Crash{Target: target.ID, Incarnation: uint64(target.StartedAt)},
				Remaining: crashguard.Lifetime,
			})
		}
		if len(suspect.parts) > 0 {
			prompts = append(prompts, suspect.parts)
		}
	}
	r.reportPromptCrashes(target.ID, prompts, closedAt)
	for _, suspect := range suspects {
		if suspect.promptTrial {
			r.recordFailedTrial(suspect.parts)
		}
		if suspect.requestTrial {
			r.recordFailedRequestTrial(suspect.digest)
		}
	}
}

// recordFailedRequestTrial records that a request which was let through has crashed its target.
func (r *Router) recordFailedRequestTrial(digest crashguard.Digest) {
	r.crashes.mu.Lock()
	r.crashes.guard.TrialFailed(r.now(), digest)
	r.crashes.mu.Unlock()
	r.meters.Event("crash_suspect_trial_failed")
	r.log.WithField("digest", formatDigest(digest)).Info("refused request crashed a target again")
	r.sendRefusedRequest(digest)
}

// reportCrash records a crash and sends it to the router that ranks first for the digest.
func (r *Router) reportCrash(charge crashguard.Charge) {
	charges := []crashguard.Charge{charge}
	r.applyCharges(charges)
	if first := r.firstFor(charge.Digest); first != r.config.PeerAddress {
		r.sendCharges(charges, []string{first})
	}
}

// firstFor returns the address of the router that ranks first for a digest and counts its crashes.
func (r *Router) firstFor(digest crashguard.Digest) string {
	r.controlMu.Lock()
	routers := append(r.members.Current(r.now()), r.config.PeerAddress)
	r.controlMu.Unlock()
	first, _ := rendezvous.First(strconv.FormatUint(uint64(digest), 16), routers)
	return first
}

// applyCharges records charges and notifies all routers of a request that is refused from now on.
func (r *Router) applyCharges(charges []crashguard.Charge) {
	r.crashes.hasCharges.Store(true)
	r.crashes.mu.Lock()
	added := r.crashes.guard.Charge(r.now(), charges)
	r.crashes.mu.Unlock()
	r.logRefusedRequests(added, "")
	for _, refusal := range added {
		r.sendRefusedRequest(refusal.Digest)
	}
}

func (r *Router) sendCharges(charges []crashguard.Charge, recipients []string) {
	digest := &pb.Digest{Address: r.config.PeerAddress, Charges: wire.Charges(charges)}
	if err := r.link.Send(digest, recipients); err != nil {
		r.meters.Event("digest_not_sent")
		r.log.WithError(err).Info("failed to send crash report to peers")
	}
}

package router

import (
	"fmt"
	"slices"
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

const (
	// answerSettlingTime is the time from the first event of a response after which its prompt counts as answered. A target
	// that crashes as it begins to answer may still have sent that event.
	answerSettlingTime = 250 * time.Millisecond
	// maxPromptCrashesPerDatagram bounds the crash reports in a datagram, so that it fits into a packet.
	maxPromptCrashesPerDatagram = 4
	// maxRefusedPromptsPerDigest bounds the refused prompts in a digest, so that it fits into a packet.
	maxRefusedPromptsPerDigest = 8
	// maxTrialStagger bounds the time by which routers start trials of refused requests one after the other, so that a
	// trial is known to the others before they start their own.
	maxTrialStagger = time.Second
)

// promptCrashTracker finds the prompt parts that crash targets. Each router reports the crashes that it sees to all
// others; each decides on its own which parts to refuse, and repeats its decisions in the regular digests.
type promptCrashTracker struct {
	// hasRefusals is set while any prompt is refused; until then no prompts are compared.
	hasRefusals atomic.Bool
	mu          sync.Mutex
	guard       *crashguard.PartGuard
}

func newPromptCrashTracker() *promptCrashTracker {
	return &promptCrashTracker{guard: crashguard.NewPartGuard()}
}

// sharedParts returns the parts of a prompt that other requests may share: all but the last one.
func sharedParts(prompt []routes.Part) []crashguard.Part {
	if len(prompt) < 2 {
		return nil
	}
	parts := make([]crashguard.Part, 0, len(prompt)-1)
	for _, part := range prompt[:len(prompt)-1] {
		parts = append(parts, crashguard.Part(promptKey(part)))
	}
	return parts
}

// promptRefused reports whether the request's prompt has a part that crashes targets. One prompt is let through from time
// to time, with promptTrial set. A stream that has begun shows that its prompt does not crash targets.
func (x *exchange) promptRefused() bool {
	crashes := x.router.promptCrashes
	if x.promptTrial != nil && !x.mayHaveRun {
		return false
	}
	x.promptTrial = nil
	if x.headerSent || !crashes.hasRefusals.Load() {
		return false
	}
	parts := sharedParts(x.request.Prompt)
	now := x.router.now()
	crashes.mu.Lock()
	defer crashes.mu.Unlock()
	if !crashes.guard.Refuses(now, parts) {
		return false
	}
	if !crashes.guard.StartTrial(now, x.router.trialStagger(), parts) {
		return true
	}
	x.promptTrial = parts
	return false
}

// trialStagger returns the time by which this router starts trials later than the first one may.
func (r *Router) trialStagger() time.Duration {
	return time.Duration(rendezvous.Hash(r.config.PeerAddress) % uint64(maxTrialStagger))
}

// cancelTrials takes back the trials that the request was let through for, unless it has reached a target.
func (x *exchange) cancelTrials() {
	if x.mayHaveRun {
		return
	}
	if x.promptTrial != nil {
		crashes := x.router.promptCrashes
		crashes.mu.Lock()
		crashes.guard.CancelTrial(x.router.now(), x.promptTrial)
		crashes.mu.Unlock()
	}
	if x.requestTrial {
		crashes := x.router.crashes
		crashes.mu.Lock()
		crashes.guard.CancelTrial(x.requestDigest())
		crashes.mu.Unlock()
	}
}

// announceTrials notifies all routers of the trials that the request is let through for, once.
func (x *exchange) announceTrials() {
	r := x.router
	if x.trialAnnounced || x.promptTrial == nil && !x.requestTrial {
		return
	}
	x.trialAnnounced = true
	if x.promptTrial != nil {
		r.meters.Event("prompt_part_tried")
		r.log.WithFields(logrus.Fields{"request": x.request.ID, "parts": formatParts(x.promptTrial)}).Info("refused prompt is tried again")
		r.sendRefusedPrompts(x.promptTrial)
	}
	if x.requestTrial {
		digest := x.requestDigest()
		r.meters.Event("crash_suspect_tried")
		r.log.WithFields(logrus.Fields{"request": x.request.ID, "digest": formatDigest(digest)}).Info("refused request is tried again")
		r.sendRefusedRequest(digest)
	}
}

// sendRefusedPrompts sends the refusals of a prompt to all routers.
func (r *Router) sendRefusedPrompts(parts []crashguard.Part) {
	r.promptCrashes.mu.Lock()
	refusals := r.promptCrashes.guard.Matching(r.now(), parts)
	r.promptCrashes.mu.Unlock()
	refusals = refusals[:min(len(refusals), maxRefusedPromptsPerDigest)]
	r.sendCrashReport(&pb.Digest{RefusedPrompts: wire.RefusedPrompts(refusals)}, r.crashReportRecipients())
}

// recordFailedTrial records that a prompt which was let through has crashed its target.
func (r *Router) recordFailedTrial(parts []crashguard.Part) {
	r.promptCrashes.mu.Lock()
	r.promptCrashes.guard.TrialFailed(r.now(), parts)
	r.promptCrashes.mu.Unlock()
	r.meters.Event("prompt_part_trial_failed")
	r.log.WithField("parts", formatParts(parts)).Info("refused prompt crashed a target again")
	r.sendRefusedPrompts(parts)
}

// recordPromptAnswered records once per attempt that the target has answered the prompt.
func (x *exchange) recordPromptAnswered() {
	if x.promptAnswered {
		return
	}
	x.promptAnswered = true
	parts := sharedParts(x.request.Prompt)
	if len(parts) == 0 {
		return
	}
	r := x.router
	r.promptCrashes.mu.Lock()
	answers := r.promptCrashes.guard.Answered(r.now(), parts)
	r.promptCrashes.updateHasRefusals(r.now())
	r.promptCrashes.mu.Unlock()
	if len(answers) > 0 {
		r.meters.Event("prompt_part_cleared")
		r.log.WithFields(logrus.Fields{"request": x.request.ID, "parts": formatAnswers(answers)}).Info("prompt parts of crashed targets were answered")
		r.sendCrashReport(&pb.Digest{AnsweredParts: wire.AnsweredParts(answers)}, r.crashReportRecipients())
	}
}

// reportPromptCrashes reports the prompts that a target had not answered when it crashed.
func (r *Router) reportPromptCrashes(target string, prompts [][]crashguard.Part, crashedAt time.Duration) {
	slices.SortFunc(prompts, slices.Compare)
	prompts = slices.CompactFunc(prompts, slices.Equal)
	for chunk := range slices.Chunk(prompts, maxPromptCrashesPerDatagram) {
		var reports []crashguard.PartCrash
		for _, parts := range chunk {
			reports = append(reports, crashguard.PartCrash{Target: target, Parts: parts, Age: r.now() - crashedAt})
		}
		r.applyPromptCrashes(reports)
		r.sendCrashReport(&pb.Digest{PromptCrashes: wire.PromptCrashes(reports)}, r.crashReportRecipients())
	}
}

func (r *Router) applyPromptCrashes(reports []crashguard.PartCrash) {
	now := r.now()
	var added []crashguard.PartRefusal
	r.promptCrashes.mu.Lock()
	for _, report := range reports {
		added = append(added, r.promptCrashes.guard.Crashed(now, report)...)
	}
	r.promptCrashes.updateHasRefusals(now)
	r.promptCrashes.mu.Unlock()
	r.logRefusedPrompts(added, "")
}

// applyRefusedPrompts records the refusals of another router, and tells it which of the parts have been answered since.
func (r *Router) applyRefusedPrompts(refusals []crashguard.PartRefusal, peer string) {
	now := r.now()
	var added []crashguard.PartRefusal
	var answers []crashguard.PartAnswer
	r.promptCrashes.mu.Lock()
	for _, refusal := range refusals {
		answered, isNew := r.promptCrashes.guard.Refused(now, refusal)
		answers = append(answers, answered...)
		if isNew {
			added = append(added, refusal)
		}
	}
	r.promptCrashes.updateHasRefusals(now)
	r.promptCrashes.mu.Unlock()
	r.logRefusedPrompts(added, peer)
	if len(answers) > 0 {
		answers = answers[:min(len(answers), crashguard.MaxPromptParts)]
		r.sendCrashReport(&pb.Digest{AnsweredParts: wire.AnsweredParts(answers)}, []string{peer})
	}
}

func (r *Router) applyAnsweredParts(answers []crashguard.PartAnswer) {
	now := r.now()
	r.promptCrashes.mu.Lock()
	defer r.promptCrashes.mu.Unlock()
	for _, answer := range answers {
		r.promptCrashes.guard.AnsweredElsewhere(now, answer)
	}
	r.promptCrashes.updateHasRefusals(now)
}

// handleCrashReport processes a crash report from a peer.
func (r *Router) handleCrashReport(digest *pb.Digest) {
	r.applyPromptCrashes(wire.PromptCrashesFrom(digest.PromptCrashes))
	r.applyRefusedPrompts(wire.RefusedPromptsFrom(digest.RefusedPrompts), digest.Address)
	r.applyAnsweredParts(wire.AnsweredPartsFrom(digest.AnsweredParts))
	r.applyRefusedRequests(wire.RefusedRequestsFrom(digest.RefusedRequests), digest.Address)
	r.applyAnsweredRequests(wire.AnsweredRequestsFrom(digest.AnsweredRequests))
}

func (r *Router) refusedPrompts(now time.Duration) []crashguard.PartRefusal {
	r.promptCrashes.mu.Lock()
	defer r.promptCrashes.mu.Unlock()
	return r.promptCrashes.guard.Refusals(now, maxRefusedPromptsPerDigest)
}

// updateHasRefusals updates hasRefusals. The caller holds mu.
func (c *promptCrashTracker) updateHasRefusals(now time.Duration) {
	c.hasRefusals.Store(len(c.guard.Refusals(now, 1)) > 0)
}

func (r *Router) logRefusedPrompts(refusals []crashguard.PartRefusal, peer string) {
	for _, refusal := range refusals {
		r.meters.Event("prompt_part_refused")
		fields := logrus.Fields{"parts": formatParts(refusal.Parts), "crash_age_ms": refusal.Age.Milliseconds()}
		if peer != "" {
			fields["peer"] = peer
		}
		r.log.WithFields(fields).Warn("prompt part crashes targets and is refused")
	}
}

func (r *Router) crashReportRecipients() []string {
	r.controlMu.Lock()
	defer r.controlMu.Unlock()
	return r.members.Recipients(r.now(), readerFanout)
}

func (r *Router) sendCrashReport(digest *pb.Digest, recipients []string) {
	digest.Address, digest.CrashReport = r.config.PeerAddress, true
	if err := r.link.Send(digest, recipients); err != nil {
		r.meters.Event("digest_not_sent")
		r.log.WithError(err).Info("failed to send crash report to peers")
	}
}

// formatParts returns the hashes of parts for a log line.
func formatParts(parts []crashguard.Part) string {
	text := ""
	for i, part := range parts {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf("%016x", uint64(part))
	}
	return text
}

func formatAnswers(answers []crashguard.PartAnswer) string {
	parts := make([]crashguard.Part, len(answers))
	for i, answer := range answers {
		parts[i] = answer.Part
	}
	return formatParts(parts)
}

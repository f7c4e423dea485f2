package router

import (
	"context"
	"strconv"
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

// crashRefusalThreshold is the number of target processes that a request must have crashed before it is refused. The
// platform's contract allows three, so a request that happened to be running during two crashes caused by other
// requests is still served.
const crashRefusalThreshold = 3

// crashCheckDelay is the time from a closed connection to the check whether its target still listens: the kernel closes
// the connections of a process that ends one after the other.
const crashCheckDelay = 50 * time.Millisecond

// crashTracker counts the target crashes that occurred while a request was running. A router reports each crash to the
// router that ranks first for the request's digest, which notifies all others once a request has caused too many.
type crashTracker struct {
	// hasCharges is set once any request has been charged with a crash; until then no digests are computed.
	hasCharges atomic.Bool
	mu         sync.Mutex
	guard      *crashguard.Guard
	// unconfirmed holds the requests whose connections closed, by target, until it is known whether that has crashed.
	unconfirmed map[string][]crashSuspect
	// announced holds the digests that all routers have been notified of.
	announced map[crashguard.Digest]bool
}

func newCrashTracker() *crashTracker {
	return &crashTracker{guard: crashguard.New(), unconfirmed: make(map[string][]crashSuspect), announced: make(map[crashguard.Digest]bool)}
}

// shouldRefuse reports whether the request has crashed too many targets.
func (c *crashTracker) shouldRefuse(now time.Duration, digest crashguard.Digest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.Crashes(now, digest) >= crashRefusalThreshold
}

// add records charges and returns those that must now be announced to all routers.
func (c *crashTracker) add(now time.Duration, charges []crashguard.Charge) []crashguard.Charge {
	if len(charges) == 0 {
		return nil
	}
	c.hasCharges.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.Tick(now)
	c.guard.Merge(now, charges)
	var toAnnounce []crashguard.Charge
	for _, charge := range charges {
		if c.guard.Crashes(now, charge.Digest) >= crashRefusalThreshold && !c.announced[charge.Digest] {
			if len(c.announced) >= crashguard.MaxDigests {
				clear(c.announced)
			}
			c.announced[charge.Digest] = true
			toAnnounce = append(toAnnounce, c.guard.Charges(now, charge.Digest)...)
		}
	}
	return toAnnounce
}

// requestDigest identifies a request and its retries by the client, which have different request IDs. Requests without
// a body have no digest, since all of a customer's reads of one path would share it.
func (x *exchange) requestDigest() (crashguard.Digest, bool) {
	if len(x.body) == 0 {
		return 0, false
	}
	name := ""
	if x.customer != nil {
		name = x.customer.Name
	}
	return crashguard.DigestOf(name+" "+x.r.RequestURI, "", x.body), true
}

// isCrashSuspect reports whether the request has crashed too many targets to be sent to another one.
func (x *exchange) isCrashSuspect() bool {
	if !x.router.crashes.hasCharges.Load() {
		return false
	}
	digest, ok := x.requestDigest()
	return ok && x.router.crashes.shouldRefuse(x.router.now(), digest)
}

// crashSuspect is a request that was running at a target when that closed the connection.
type crashSuspect struct {
	digest    crashguard.Digest
	hasDigest bool
	// parts are the shared parts of its prompt, if the target had not answered it yet.
	parts []crashguard.Part
	// promptTrial is set if the request was let through although its prompt is refused.
	promptTrial bool
}

// recordClosed records that a target closed its connection while it was running the request. Whether it has crashed is
// not known yet.
func (x *exchange) recordClosed(target routes.Target) {
	suspect := crashSuspect{}
	suspect.digest, suspect.hasDigest = x.requestDigest()
	if !x.promptAnswered {
		suspect.parts = sharedParts(x.request.Prompt)
		suspect.promptTrial = x.promptTrial != nil
	}
	if !suspect.hasDigest && len(suspect.parts) == 0 {
		return
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
		if suspect.hasDigest && !charged[suspect.digest] {
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
	}
}

// reportCrash records a crash and sends it to the router that ranks first for the digest.
func (r *Router) reportCrash(charge crashguard.Charge) {
	r.controlMu.Lock()
	routers := append(r.members.Current(r.now()), r.config.PeerAddress)
	r.controlMu.Unlock()
	first, _ := rendezvous.First(strconv.FormatUint(uint64(charge.Digest), 16), routers)
	charges := []crashguard.Charge{charge}
	r.applyCharges(charges)
	if first != r.config.PeerAddress {
		r.sendCharges(charges, []string{first})
	}
}

// applyCharges records charges and notifies all routers of a request that is refused from now on.
func (r *Router) applyCharges(charges []crashguard.Charge) {
	now := r.now()
	toAnnounce := r.crashes.add(now, charges)
	if len(toAnnounce) == 0 {
		return
	}
	r.meters.Event("crash_suspect")
	r.log.WithFields(logrus.Fields{"digest": strconv.FormatUint(uint64(toAnnounce[0].Digest), 16), "crashes": len(toAnnounce)}).
		Warn("request crashes targets and is refused")
	r.controlMu.Lock()
	recipients := r.members.Recipients(now, readerFanout)
	r.controlMu.Unlock()
	r.sendCharges(toAnnounce, recipients)
}

func (r *Router) sendCharges(charges []crashguard.Charge, recipients []string) {
	digest := &pb.Digest{Address: r.config.PeerAddress, Charges: wire.Charges(charges)}
	if err := r.link.Send(digest, recipients); err != nil {
		r.meters.Event("digest_not_sent")
		r.log.WithError(err).Info("failed to send crash report to peers")
	}
}

package router

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/crashguard"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// crashRefusalThreshold is the number of target processes that a request must have crashed before it is refused. The
// platform's contract allows three, so a request that happened to be running during two crashes caused by other
// requests is still served.
const crashRefusalThreshold = 3

// crashTracker counts the target crashes that occurred while a request was running. A router reports each crash to the
// router that ranks first for the request's digest, which notifies all others once a request has caused too many.
type crashTracker struct {
	// hasCharges is set once any request has been charged with a crash; until then no digests are computed.
	hasCharges atomic.Bool
	mu         sync.Mutex
	guard      *crashguard.Guard
	// announced holds the digests that all routers have been notified of.
	announced map[crashguard.Digest]bool
}

func newCrashTracker() *crashTracker {
	return &crashTracker{guard: crashguard.New(), announced: make(map[crashguard.Digest]bool)}
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

// recordCrash records that a target closed its connection while it was running the request.
func (x *exchange) recordCrash(target string, incarnation int64) {
	digest, ok := x.requestDigest()
	if !ok {
		return
	}
	x.router.reportCrash(crashguard.Charge{
		Digest:    digest,
		Crash:     crashguard.Crash{Target: target, Incarnation: uint64(incarnation)},
		Remaining: crashguard.Lifetime,
	})
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

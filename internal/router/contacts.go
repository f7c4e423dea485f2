package router

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/place"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// maxContactsPerDigest bounds the attempts to reach targets in a digest, so that it fits into a packet beside the loads:
// it is above the failures of a router in a second, each request of which makes up to maxAttempts.
const maxContactsPerDigest = 32

// applyContacts records which targets a peer has failed to reach, or has reached again.
func (r *Router) applyContacts(digest *pb.Digest) {
	if len(digest.TargetContacts) == 0 || digest.Address == r.config.PeerAddress {
		return
	}
	contacts := wire.TargetContactsFrom(digest.TargetContacts[:min(len(digest.TargetContacts), maxContactsPerDigest)])
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	r.loadTracker.MergeContacts(r.now(), digest.Address, digest.Zone, r.config.Zone, contacts)
}

// contactLogInterval is the shortest time between log lines on targets that reports block.
const contactLogInterval = time.Second

// contactLog collects what has changed since the latest log line on targets that reports block.
type contactLog struct {
	begun, ended int
	loggedAt     time.Duration
}

// add adds a change. It returns what a log line is due to say, and whether one is due.
func (l *contactLog) add(now time.Duration, change place.ContactChange) (logrus.Fields, bool) {
	l.begun += change.Begun
	l.ended += change.Ended
	if l.begun+l.ended == 0 || now-l.loggedAt < contactLogInterval {
		return nil, false
	}
	fields := logrus.Fields{"begun": l.begun, "ended": l.ended}
	*l = contactLog{loggedAt: now}
	return fields, true
}

// updateContacts counts and logs the targets that reports of other routers have begun or ceased to block, and counts this
// router's retries of such targets. It reports whether others depend on this router's next digest. The caller holds
// r.trafficMu.
func (r *Router) updateContacts(now time.Duration) (urgent bool) {
	change := r.loadTracker.UpdateContacts(now)
	for kind, count := range map[string]int{
		"reports_block_target": change.Begun, "reports_unblock_target": change.Ended, "reported_target_retried": change.Retries,
	} {
		for range count {
			r.meters.Event(kind)
		}
	}
	if fields, due := r.contactLog.add(now, change); due {
		r.log.WithFields(fields).WithField("blocked", r.loadTracker.BlockedByReports(now)).Info("targets blocked by reports of other routers")
	}
	return change.Urgent
}

package router

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/directory"
	"github.com/amaranthlb/amaranthlb/internal/pb"
)

// evacuationLogInterval is the shortest time between two lines with the same message. Changes in between are counted.
const evacuationLogInterval = time.Second

// logEvacuatedServices logs changes of the services that are refused since all zones of their targets are evacuated. A
// change within evacuationLogInterval is logged with the next update. The caller holds r.controlMu.
func (r *Router) logEvacuatedServices(now time.Duration, services []string) {
	if slices.Equal(services, r.evacuatedServices) || r.evacuatedLoggedAt > 0 && now-r.evacuatedLoggedAt < evacuationLogInterval {
		return
	}
	r.evacuatedServices, r.evacuatedLoggedAt = services, now
	r.meters.Event("evacuated_services_changed")
	if entry := r.log.WithField("services", services); len(services) > 0 {
		entry.Error("all zones of services are evacuated")
	} else {
		entry.Info("all services have targets outside evacuated zones")
	}
}

// logInvalidEvacuation logs an order that is unreadable or without effect.
func (r *Router) logInvalidEvacuation(entry *logrus.Entry) {
	r.controlMu.Lock()
	now := r.now()
	logged := r.invalidLoggedAt > 0 && now-r.invalidLoggedAt < evacuationLogInterval
	if !logged {
		r.invalidLoggedAt = now
	}
	r.controlMu.Unlock()
	if !logged {
		entry.Warn("evacuation is unreadable or has no effect")
	}
}

// keptEvacuations returns the evacuations that a restored store lacks, for a digest. The caller holds r.controlMu.
func (r *Router) keptEvacuations(now time.Duration) []*pb.KeptEvacuation {
	var list []*pb.KeptEvacuation
	for _, kept := range r.directory.KeptEvacuations(now) {
		list = append(list, &pb.KeptEvacuation{Zone: kept.Zone, RestMs: kept.Rest.Milliseconds()})
	}
	return list
}

// learnEvacuations records evacuations that a peer has kept since before the store was restored. Routers that have run
// for longer than evacuations are kept have seen the orders themselves.
func (r *Router) learnEvacuations(peer string, list []*pb.KeptEvacuation) {
	if !r.config.Evacuations || len(list) == 0 || r.now() >= directory.KeptEvacuationTime {
		return
	}
	r.applyUpdate(func(now time.Duration) []directory.Change {
		var changes []directory.Change
		for _, kept := range list {
			rest := min(max(kept.RestMs, 0), directory.KeptEvacuationTime.Milliseconds())
			changes = append(changes, r.directory.LearnEvacuation(now, directory.KeptEvacuation{
				Zone: kept.Zone, Rest: time.Duration(rest) * time.Millisecond,
			})...)
		}
		return changes
	}, peer)
}

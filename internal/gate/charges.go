package gate

import (
	"fmt"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/crashguard"
	"github.com/amaranthlb/amaranthlb/internal/gossip"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

const (
	// chargeHeartbeatInterval is the minimum time between two rounds of heartbeats that carry charges, so that the
	// charges of the many requests that one crash affects are sent together.
	chargeHeartbeatInterval = 20 * time.Millisecond
	// Gossip versions of the notice of a charge.
	chargeVersion  = 1
	clearedVersion = 2
)

// chargeHeartbeats records when charges were last sent to the peers and whether more are pending. It is owned by the
// control goroutine.
type chargeHeartbeats struct {
	last time.Duration
	due  bool
}

// acceptCharges merges charges received from other gates and relays them at once: a caller may resend a request that
// crashed a target within milliseconds.
func (g *Gate) acceptCharges(now time.Duration, records []gossip.Record[*pb.Notice]) {
	notices := make([]*pb.Notice, len(records))
	for i, record := range records {
		notices[i] = record.Payload
	}
	charges := wire.ChargesInNotices(notices)
	if len(charges) == 0 {
		return
	}
	g.meters.Event("crash_charges_received")
	g.crashes.merge(charges)
	g.sendChargeHeartbeats(now)
}

// observeTarget processes the incarnation in a target's report and charges the requests of a process that has crashed.
func (g *Gate) observeTarget(name string, incarnation uint64, sent time.Duration) {
	restarted, charges := g.crashes.observeIncarnation(name, incarnation, sent)
	if restarted {
		g.meters.Event("target_restarted")
		g.log.WithField("target", name).WithField("incarnation", incarnation).Warn("target has restarted")
	}
	g.recordCharges(charges)
}

// recordCharges counts and logs new charges and gossips them.
func (g *Gate) recordCharges(charges []crashguard.Charge) {
	for _, charge := range charges {
		g.meters.Event("crash_charged")
		g.log.WithField("target", charge.Crash.Target).WithField("digest", fmt.Sprintf("%016x", uint64(charge.Digest))).
			Warn("request was running when the target crashed")
	}
	g.gossipCharges(charges)
}

// runCompleted ends the record of a run that completed, which clears its request of suspicion.
func (g *Gate) runCompleted(r *trackedRun) {
	cleared := g.crashes.complete(r)
	for range cleared {
		g.meters.Event("crash_cleared")
	}
	g.gossipCharges(cleared)
}

// gossipCharges gossips charges to the peers.
func (g *Gate) gossipCharges(charges []crashguard.Charge) {
	if len(charges) == 0 {
		return
	}
	g.loop.Post(func(now time.Duration) {
		for i, charge := range wire.Charges(charges) {
			version := uint64(chargeVersion)
			if charge.Cleared {
				version = clearedVersion
			}
			g.state.notices.Put(now, chargeKey(charges[i]), version, &pb.Notice{Charge: charge})
		}
		g.sendChargeHeartbeats(now)
	})
}

func chargeKey(charge crashguard.Charge) string {
	return fmt.Sprintf("crash/%016x/%s/%016x", uint64(charge.Digest), charge.Crash.Target, charge.Crash.Incarnation)
}

// sendChargeHeartbeats sends heartbeats to all peers now, or after chargeHeartbeatInterval if it has just done so.
func (g *Gate) sendChargeHeartbeats(now time.Duration) {
	if now-g.chargeHeartbeats.last < chargeHeartbeatInterval {
		g.chargeHeartbeats.due = true
		return
	}
	g.chargeHeartbeats = chargeHeartbeats{last: now}
	g.heartbeatNow(now, nil)
}

// tickCrashes advances the crash detector and sends pending charges.
func (g *Gate) tickCrashes(now time.Duration) {
	g.crashes.tick()
	if g.chargeHeartbeats.due {
		g.sendChargeHeartbeats(now)
	}
}

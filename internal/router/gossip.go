package router

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/directory"
	"github.com/amaranthlb/amaranthlb/internal/mirror"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/peers"
	"github.com/amaranthlb/amaranthlb/internal/place"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// Limits of the exchange between routers.
const (
	// digestInterval is how often a router sends its loads. Requests typically last about a second.
	digestInterval = 250 * time.Millisecond
	// digestFanout bounds the recipients of one digest, so that the cost per VM does not grow with the fleet.
	digestFanout = 12
	// maxPlacementsPerDigest bounds the placements of each kind in a digest, so that it fits into a packet.
	maxPlacementsPerDigest = 24
	// maxStatementsPerDigest bounds the statements of targets in a digest, so that it fits into a packet beside the loads.
	maxStatementsPerDigest = 16
	// maxNoticesPerDatagram bounds the placements in a notice datagram, so that it fits into a packet.
	maxNoticesPerDatagram = 40
	// maxChangeBytes bounds the store changes in a digest, so that it fits into a packet.
	maxChangeBytes = 900
	// readerFanout bounds the recipients of a digest from a router that reads the store. Routers that receive digests
	// from no reader read the store themselves. In fleets of more than 81 routers each digest goes to 80 drawn at random.
	readerFanout = 80
	// lossAnnouncementPeriod is how long a router that no longer reads the store continues to send digests to all that
	// received them while it did. It spans two digests, since one may be lost.
	lossAnnouncementPeriod = 2 * digestInterval
	// pullDelay is how long a router waits for the store to deliver changes that a peer already has.
	pullDelay = 300 * time.Millisecond
	// pullRetryInterval is the pause between pulls of the same range.
	pullRetryInterval = 300 * time.Millisecond
)

// aheadPeer is a peer with newer content of a key range than this router.
type aheadPeer struct {
	address  string
	content  mirror.Position
	version  uint64
	since    time.Duration
	pulling  bool
	lastPull time.Duration
}

// gossip sends digests, expires stale state and pulls missing changes from peers until the context ends.
func (r *Router) gossip(ctx context.Context) {
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	previous := r.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.noticesPending:
			r.sendNotices(r.now())
			continue
		case <-ticker.C:
		}
		now := r.now()
		r.expire(now, previous)
		previous = now
		r.sendDigest(now, nil)
		r.pullMissingChanges(ctx, now)
		r.pool.CloseExpired(time.Now())
	}
}

func (r *Router) expire(now, previous time.Duration) {
	r.controlMu.Lock()
	lost := r.members.Expire(now, previous)
	count := r.members.Count(now)
	current := r.members.Current(now)
	r.directory.Expire(now)
	ended := r.directory.ExpireEvacuations(now)
	r.publishDirectory(now)
	table := r.directory.Table()
	r.controlMu.Unlock()
	r.logChanges(ended, table, "expiry")
	for _, address := range lost {
		r.meters.Event("peer_lost")
		r.log.WithField("peer", address).Info("peer lost")
	}
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	r.loadTracker.Statements().SetRouters(now, r.config.PeerAddress, current)
	r.budget.SetSlack(r.config.RetrySlack * budgetShare / float64(count))
}

func (r *Router) sendDigest(now time.Duration, updates []*pb.RangeNews) {
	// Placements are sent only once, so they go with the periodic digests, which reach most routers.
	digest, recipients := r.buildDigest(now, updates, updates == nil)
	if err := r.link.Send(digest, recipients); err != nil {
		r.meters.Event("digest_not_sent")
		r.log.WithError(err).Debug("failed to send digest")
	}
}

// sendNotices notifies other routers of long prompts that this router has just placed.
func (r *Router) sendNotices(now time.Duration) {
	r.trafficMu.Lock()
	notices := r.loadTracker.TakeNotices(maxNoticesPerDatagram)
	more := r.loadTracker.HasNotices()
	r.trafficMu.Unlock()
	if more {
		r.signalNotices()
	}
	if len(notices) == 0 {
		return
	}
	digest := &pb.Digest{Address: r.config.PeerAddress, Notice: true}
	for _, notice := range notices {
		digest.PromptHashes = append(digest.PromptHashes, notice.Key)
		digest.HolderHashes = append(digest.HolderHashes, notice.Target)
		digest.HeadHashes = append(digest.HeadHashes, notice.Head)
		digest.PlacementPrefillTenths = append(digest.PlacementPrefillTenths, uint32(notice.Prefill*10))
	}
	r.controlMu.Lock()
	recipients := r.members.Recipients(now, readerFanout)
	r.controlMu.Unlock()
	if err := r.link.Send(digest, recipients); err != nil {
		r.meters.Event("digest_not_sent")
		r.log.WithError(err).Debug("failed to send placement notice")
	}
}

// signalNotices wakes the gossip loop to send notices.
func (r *Router) signalNotices() {
	select {
	case r.noticesPending <- struct{}{}:
	default:
	}
}

// handleNotice records the placements in a notice from a peer.
func (r *Router) handleNotice(digest *pb.Digest) {
	count := min(len(digest.PromptHashes), len(digest.HolderHashes), len(digest.HeadHashes), len(digest.PlacementPrefillTenths))
	notices := make([]place.Notice, 0, count)
	for i, key := range digest.PromptHashes[:count] {
		notices = append(notices, place.Notice{
			Placement: place.Placement{Key: key, Target: digest.HolderHashes[i]},
			Head:      digest.HeadHashes[i],
			Prefill:   float64(digest.PlacementPrefillTenths[i]) / 10,
		})
	}
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	r.loadTracker.NoticesFromPeer(digest.Address, r.now(), notices)
}

// broadcastChanges sends changes to other routers as soon as the store has delivered them.
func (r *Router) broadcastChanges(keyRange directory.Range, after, at mirror.Position, events []mirror.Event) {
	size := 0
	update := &pb.RangeNews{Prefix: r.config.Prefixes[keyRange], Era: at.Era, After: after.Revision, Revision: at.Revision}
	for _, event := range events {
		size += len(event.Key) + len(event.Value)
		update.Items = append(update.Items, peers.EncodeEvent(event))
	}
	if size > maxChangeBytes {
		// The revisions in the digest cause the recipients to pull the changes.
		r.sendDigest(r.now(), nil)
		return
	}
	r.sendDigest(r.now(), []*pb.RangeNews{update})
}

// applyPeerChanges applies changes sent by a peer, unless earlier changes are missing locally.
func (r *Router) applyPeerChanges(address string, update *pb.RangeNews) {
	for keyRange, prefix := range r.config.Prefixes {
		if prefix != update.Prefix {
			continue
		}
		r.applyUpdate(func(now time.Duration) []directory.Change {
			local := r.directory.Mirror(keyRange)
			if !local.Initialized() || local.Position().Compare(mirror.Position{Era: update.Era, Revision: update.After}) < 0 {
				return nil
			}
			at := mirror.Position{Era: update.Era, Revision: update.Revision}
			return r.directory.Apply(now, keyRange, at, peers.DecodeEvents(update.Items))
		}, address)
	}
}

// buildDigest returns the digest to send and its recipients.
func (r *Router) buildDigest(now time.Duration, updates []*pb.RangeNews, includePlacements bool) (*pb.Digest, []string) {
	digest := &pb.Digest{
		Address:     r.config.PeerAddress,
		Incarnation: r.incarnation,
		Zone:        r.config.Zone,
		Leaving:     r.draining.Load(),
		News:        updates,

		RefusedPrompts:  wire.RefusedPrompts(r.refusedPrompts(now)),
		RefusedRequests: wire.RefusedRequests(r.refusedRequests(now)),
	}
	r.trafficMu.Lock()
	for hash, load := range r.loadTracker.OwnLoads() {
		digest.TargetHashes = append(digest.TargetHashes, hash)
		digest.TargetRequests = append(digest.TargetRequests, uint32(load.Requests))
		digest.TargetPrefillTenths = append(digest.TargetPrefillTenths, uint32(load.Prefill*10))
	}
	if includePlacements {
		placements := r.loadTracker.TakePlacements(maxPlacementsPerDigest)
		digest.PromptHashes, digest.HolderHashes = peers.EncodePlacements(slices.Concat(placements.Own, placements.Relayed))
		digest.RelayedPlacements = uint32(len(placements.Relayed))
		digest.TargetStatements = wire.TargetStatements(r.loadTracker.Statements().TakeUpdates(now, maxStatementsPerDigest))
	}
	r.trafficMu.Unlock()
	r.controlMu.Lock()
	defer r.controlMu.Unlock()
	digest.Store = r.storeAccess()
	digest.KeptEvacuations = r.keptEvacuations(now)
	digest.CachesKnown = r.cachesComplete.Load()
	for _, keyRange := range directory.AllRanges() {
		content := r.directory.Mirror(keyRange).ContentPosition()
		digest.Ranges = append(digest.Ranges, &pb.RangeRevision{
			Prefix: r.config.Prefixes[keyRange], Era: content.Era, Content: content.Revision, Version: r.versionInForce(keyRange),
		})
	}
	for _, sighting := range r.members.Sample(now) {
		digest.Members = append(digest.Members, &pb.Member{Address: sighting.Address, AgeMs: uint32(sighting.Age.Milliseconds())})
	}
	fanout := digestFanout
	if digest.Store == pb.StoreAccess_STORE_ACCESS_READING {
		r.claimedReadAt, r.claimedRead = now, true
	}
	// Those that rely on a reader must also learn that it has lost the store.
	if r.claimedRead && now-r.claimedReadAt < lossAnnouncementPeriod {
		fanout = readerFanout
	}
	return digest, r.members.Recipients(now, fanout)
}

// handleDigest processes a digest from a peer.
func (r *Router) handleDigest(digest *pb.Digest) {
	switch {
	case digest.Notice:
		r.handleNotice(digest)
		return
	case digest.Inheritance:
		r.handleInitialPlacements(digest)
		return
	case len(digest.Charges) > 0:
		r.applyCharges(wire.ChargesFrom(digest.Charges))
		return
	case digest.CrashReport:
		r.handleCrashReport(digest)
		return
	}
	now := r.now()
	loads := decodeLoads(digest)
	placements := decodePlacements(digest)
	r.trafficMu.Lock()
	r.loadTracker.PlacementsFromPeer(now, placements)
	r.loadTracker.PeerLoads(digest.Address, now, loads)
	r.trafficMu.Unlock()
	r.mergeStatements(digest.Address, wire.TargetStatementsFrom(digest.TargetStatements))
	sightings := make([]peers.Sighting, 0, len(digest.Members))
	for _, member := range digest.Members {
		sightings = append(sightings, peers.Sighting{Address: member.Address, Age: time.Duration(member.AgeMs) * time.Millisecond})
	}
	r.controlMu.Lock()
	joined := r.members.RecordDatagram(now, digest.Address, digest.Incarnation, digest.Leaving, accessFromProto[digest.Store])
	r.members.SetZone(digest.Address, digest.Zone)
	r.members.MergeSightings(now, sightings)
	if digest.CachesKnown {
		r.cachePeer = digest.Address
	}
	for _, revision := range digest.Ranges {
		r.comparePeerRevision(now, digest.Address, accessFromProto[digest.Store], revision)
	}
	r.controlMu.Unlock()
	for _, update := range digest.News {
		r.applyPeerChanges(digest.Address, update)
	}
	r.learnEvacuations(digest.Address, digest.KeptEvacuations)
	if len(digest.RefusedRequests) > 0 {
		r.applyRefusedRequests(wire.RefusedRequestsFrom(digest.RefusedRequests), digest.Address)
	}
	if len(digest.RefusedPrompts) > 0 {
		r.applyRefusedPrompts(wire.RefusedPromptsFrom(digest.RefusedPrompts), digest.Address)
	}
	if joined {
		r.introduceMembers(digest)
		r.meters.Event("peer_joined")
		r.log.WithFields(logrus.Fields{"peer": digest.Address, "zone": digest.Zone}).Info("peer joined")
	}
}

// introduceMembers replies to a new router that knows few others. After a restart of all routers each knows only the
// seeds, and some would otherwise hear of nobody for seconds.
func (r *Router) introduceMembers(digest *pb.Digest) {
	now := r.now()
	r.controlMu.Lock()
	needed := r.members.NeedsIntroduction(now, len(digest.Members))
	r.controlMu.Unlock()
	if !needed {
		return
	}
	reply, _ := r.buildDigest(now, nil, false)
	if err := r.link.Send(reply, []string{digest.Address}); err != nil {
		r.meters.Event("digest_not_sent")
		r.log.WithError(err).Debug("failed to send digest")
	}
}

// decodeLoads returns the loads in a digest. Entries without a counterpart in the parallel lists are dropped.
func decodeLoads(digest *pb.Digest) map[uint64]place.Load {
	count := min(len(digest.TargetHashes), len(digest.TargetRequests), len(digest.TargetPrefillTenths))
	loads := make(map[uint64]place.Load, count)
	for i, hash := range digest.TargetHashes[:count] {
		loads[hash] = place.Load{
			Requests: float64(digest.TargetRequests[i]),
			Prefill:  float64(digest.TargetPrefillTenths[i]) / 10,
		}
	}
	return loads
}

// decodePlacements returns the placements in a digest.
func decodePlacements(digest *pb.Digest) place.Placements {
	list := peers.DecodePlacements(digest.PromptHashes, digest.HolderHashes)
	own := max(len(list)-int(digest.RelayedPlacements), 0)
	return place.Placements{Own: list[:own], Relayed: list[own:]}
}

// comparePeerRevision records a peer that has newer content of a range. The caller holds r.controlMu.
func (r *Router) comparePeerRevision(now time.Duration, address string, access peers.Access, revision *pb.RangeRevision) {
	content := mirror.Position{Era: revision.Era, Revision: revision.Content}
	for keyRange, prefix := range r.config.Prefixes {
		if prefix != revision.Prefix {
			continue
		}
		difference := content.Compare(r.directory.Mirror(keyRange).ContentPosition())
		if difference <= 0 && revision.Version <= max(r.versionInForce(keyRange), r.rejectedVersion) {
			if access == peers.Reading && difference == 0 {
				r.confirmedAt[keyRange] = now
			}
			continue
		}
		ahead := r.aheadPeers[keyRange]
		if ahead == nil {
			ahead = &aheadPeer{since: now}
			r.aheadPeers[keyRange] = ahead
		}
		if !ahead.pulling && (content.Compare(ahead.content) >= 0 || revision.Version > ahead.version) {
			ahead.address, ahead.content, ahead.version = address, content, revision.Version
		}
	}
}

// versionInForce returns the version of the configuration in force, for the range that contains it. The caller holds
// r.controlMu.
func (r *Router) versionInForce(keyRange directory.Range) uint64 {
	if keyRange != directory.Config {
		return 0
	}
	return r.directory.ConfigVersion()
}

// pullMissingChanges requests from peers the changes that the store has not delivered within pullDelay.
func (r *Router) pullMissingChanges(ctx context.Context, now time.Duration) {
	r.controlMu.Lock()
	defer r.controlMu.Unlock()
	for keyRange, ahead := range r.aheadPeers {
		local := r.directory.Mirror(keyRange)
		if local.ContentPosition().Compare(ahead.content) >= 0 && r.versionInForce(keyRange) >= ahead.version {
			if !ahead.pulling {
				delete(r.aheadPeers, keyRange)
			}
			continue
		}
		delay := pullDelay
		if r.access[keyRange] != peers.Reading {
			delay = 0
		}
		if ahead.pulling || now-ahead.since < delay || now-ahead.lastPull < pullRetryInterval && ahead.lastPull > 0 {
			continue
		}
		ahead.pulling = true
		after := local.Position()
		if !local.Initialized() {
			after = mirror.Position{}
		}
		go r.pull(ctx, keyRange, ahead, *ahead, after)
	}
}

// pull requests changes from the peer that was ahead when the pull was decided.
func (r *Router) pull(ctx context.Context, keyRange directory.Range, ahead *aheadPeer, peer aheadPeer, after mirror.Position) {
	address := peer.address
	started := r.now()
	changes, err := r.link.Pull(ctx, address, r.config.Prefixes[keyRange], after)
	r.controlMu.Lock()
	ahead.pulling = false
	ahead.lastPull = r.now()
	if err != nil {
		// Another peer may have the changes; the next digest identifies one.
		ahead.content, ahead.version = mirror.Position{}, 0
		// Until then, read from the store itself.
		r.forceRead[keyRange] = true
	}
	r.controlMu.Unlock()
	if err != nil {
		r.meters.ControlCall("pull", "failed")
		r.log.WithError(err).WithFields(logrus.Fields{
			"peer": address, "prefix": r.config.Prefixes[keyRange], "ms": (r.now() - started).Milliseconds(),
		}).Info("pull from a peer failed")
		return
	}
	r.meters.ControlCall("pull", "done")
	if changes.InForce != nil && keyRange == directory.Config {
		r.applyUpdate(func(time.Duration) []directory.Change { return r.directory.ApplySupersedingConfig(*changes.InForce) }, address)
	}
	if changes.Snapshot {
		items := make([]mirror.Item, 0, len(changes.Events))
		for _, event := range changes.Events {
			items = append(items, event.Item)
		}
		r.applySnapshot(keyRange, changes.At, items, address)
	} else {
		r.applyUpdate(func(now time.Duration) []directory.Change {
			return r.directory.Apply(now, keyRange, changes.At, changes.Events)
		}, address)
	}
	r.controlMu.Lock()
	defer r.controlMu.Unlock()
	if r.versionInForce(keyRange) < peer.version {
		r.rejectedVersion = max(r.rejectedVersion, peer.version)
		if ahead.version == peer.version {
			ahead.version = 0
		}
	}
}

// Changes implements peers.Source.
func (r *Router) Changes(prefix string, after mirror.Position) peers.Changes {
	r.controlMu.Lock()
	defer r.controlMu.Unlock()
	for keyRange, known := range r.config.Prefixes {
		if known != prefix {
			continue
		}
		local := r.directory.Mirror(keyRange)
		if !local.Initialized() {
			return peers.Changes{}
		}
		var inForce *mirror.Item
		if item, ok := r.directory.SupersedingConfig(); ok && keyRange == directory.Config {
			inForce = &item
		}
		if events, ok := local.Since(after); ok && after.Revision > 0 {
			return peers.Changes{At: local.Position(), Events: events, InForce: inForce}
		}
		changes := peers.Changes{At: local.Position(), Snapshot: true, InForce: inForce}
		for _, item := range local.Items() {
			changes.Events = append(changes.Events, mirror.Event{Item: item})
		}
		return changes
	}
	return peers.Changes{}
}

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

// Limits of the exchange with other routers.
const (
	// digestInterval is how often a router sends its loads. Requests last for a second or so.
	digestInterval = 250 * time.Millisecond
	// digestFanout bounds the routers that get one digest, so that the cost for each VM does not grow with the fleet.
	digestFanout = 12
	// maxPlacementsPerDigest bounds the placements of each kind in a digest, so that it fits into a packet.
	maxPlacementsPerDigest = 24
	// maxNoticesPerDatagram bounds the placements of a notice, so that it fits into a packet.
	maxNoticesPerDatagram = 40
	// maxChangeBytes bounds the changes that a digest carries, so that it fits into a packet.
	maxChangeBytes = 900
	// readerFanout bounds the routers that get a digest of a router that reads the store. Routers that hear of no reader
	// read the store themselves, so it covers the largest fleet of today.
	readerFanout = 80
	// pullDelay is the time that the store has to deliver what a peer already has.
	pullDelay = 300 * time.Millisecond
	// pullRetryInterval is the pause between pulls of the same range.
	pullRetryInterval = 300 * time.Millisecond
)

// aheadPeer is a peer that has seen more of a range than this router.
type aheadPeer struct {
	address string
	contentRevision uint64
	since   time.Duration
	pulling bool
	lastPull  time.Duration
}

// gossip sends digests, expires what is old and pulls what peers have, until the context ends.
func (r *Router) gossip(ctx context.Context) {
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	before := r.now()
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
		r.expire(now, before)
		before = now
		r.sendDigest(now, nil)
		r.pullMissingChanges(ctx, now)
		r.pool.CloseExpired(time.Now())
	}
}

func (r *Router) expire(now, before time.Duration) {
	r.control.Lock()
	lost := r.members.Expire(now, before)
	count := r.members.Count(now)
	r.directory.Expire(now)
	targets := r.directory.Targets()
	r.control.Unlock()
	for _, address := range lost {
		r.meters.Event("peer_lost")
		r.log.WithField("peer", address).Info("peer lost")
	}
	r.traffic.Lock()
	defer r.traffic.Unlock()
	r.loadTracker.SetTargets(now, targets, r.config.WithdrawnGrace)
	r.budget.SetSlack(r.config.RetrySlack * budgetShare / float64(count))
}

func (r *Router) sendDigest(now time.Duration, news []*pb.RangeNews) {
	// Placements are told once, so they go with the regular digests, which reach most routers.
	digest, recipients := r.buildDigest(now, news, news == nil)
	if err := r.link.Send(digest, recipients); err != nil {
		r.meters.Event("digest_not_sent")
		r.log.WithError(err).Debug("digest not sent")
	}
}

// sendNotices tells the others of long prompts that this router has just placed.
func (r *Router) sendNotices(now time.Duration) {
	r.traffic.Lock()
	notices := r.loadTracker.TakeNotices(maxNoticesPerDatagram)
	more := r.loadTracker.HasNotices()
	r.traffic.Unlock()
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
	r.control.Lock()
	recipients := r.members.Recipients(now, readerFanout)
	r.control.Unlock()
	if err := r.link.Send(digest, recipients); err != nil {
		r.meters.Event("digest_not_sent")
		r.log.WithError(err).Debug("notice not sent")
	}
}

// signalNotices makes the exchange send notices.
func (r *Router) signalNotices() {
	select {
	case r.noticesPending <- struct{}{}:
	default:
	}
}

// handleNotice takes a notice.
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
	r.traffic.Lock()
	defer r.traffic.Unlock()
	r.loadTracker.NoticesFromPeer(digest.Address, r.now(), notices)
}

// broadcastChanges tells others at once what the store has just delivered.
func (r *Router) broadcastChanges(of directory.Range, after, revision uint64, events []mirror.Event) {
	size := 0
	news := &pb.RangeNews{Prefix: r.config.Prefixes[of], After: after, Revision: revision}
	for _, event := range events {
		size += len(event.Key) + len(event.Value)
		news.Items = append(news.Items, peers.EncodeEvent(event))
	}
	if size > maxChangeBytes {
		// The digest's revisions tell the others to pull.
		r.sendDigest(r.now(), nil)
		return
	}
	r.sendDigest(r.now(), []*pb.RangeNews{news})
}

// applyPeerChanges takes changes that a peer has sent, unless some before them are missing here.
func (r *Router) applyPeerChanges(address string, news *pb.RangeNews) {
	for of, prefix := range r.config.Prefixes {
		if prefix != news.Prefix {
			continue
		}
		r.applyUpdate(func(now time.Duration) []directory.Change {
			copied := r.directory.Mirror(of)
			if !copied.Filled() || copied.Revision() < news.After {
				return nil
			}
			return r.directory.Apply(now, of, news.Revision, peers.DecodeEvents(news.Items))
		}, address)
	}
}

// buildDigest returns what other routers are told, and who gets it.
func (r *Router) buildDigest(now time.Duration, news []*pb.RangeNews, withPlacements bool) (*pb.Digest, []string) {
	digest := &pb.Digest{
		Address:     r.config.PeerAddress,
		Incarnation: r.incarnation,
		Zone:        r.config.Zone,
		Leaving:     r.draining.Load(),
		News:        news,
	}
	r.traffic.Lock()
	for hash, load := range r.loadTracker.OwnLoads() {
		digest.TargetHashes = append(digest.TargetHashes, hash)
		digest.TargetRequests = append(digest.TargetRequests, uint32(load.Requests))
		digest.TargetPrefillTenths = append(digest.TargetPrefillTenths, uint32(load.Prefill*10))
	}
	if withPlacements {
		placements := r.loadTracker.TakePlacements(maxPlacementsPerDigest)
		digest.PromptHashes, digest.HolderHashes = peers.EncodePlacements(slices.Concat(placements.Own, placements.Relayed))
		digest.RelayedPlacements = uint32(len(placements.Relayed))
	}
	r.traffic.Unlock()
	r.control.Lock()
	defer r.control.Unlock()
	digest.Store = r.storeAccess()
	digest.CachesKnown = r.cachesComplete.Load()
	for _, of := range directory.All() {
		digest.Ranges = append(digest.Ranges, &pb.RangeRevision{
			Prefix:  r.config.Prefixes[of],
			Content: r.directory.Mirror(of).Content(),
		})
	}
	for _, sighting := range r.members.Sample(now) {
		digest.Members = append(digest.Members, &pb.Member{Address: sighting.Address, AgeMs: uint32(sighting.Age.Milliseconds())})
	}
	fanout := digestFanout
	if digest.Store == pb.StoreAccess_STORE_ACCESS_READING {
		fanout = readerFanout
	}
	return digest, r.members.Recipients(now, fanout)
}

// handleDigest takes a digest.
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
	}
	now := r.now()
	loads := decodeLoads(digest)
	placements := decodePlacements(digest)
	r.traffic.Lock()
	r.loadTracker.HoldersFromPeer(now, placements)
	r.loadTracker.PeerLoads(digest.Address, now, loads)
	r.traffic.Unlock()
	sightings := make([]peers.Sighting, 0, len(digest.Members))
	for _, member := range digest.Members {
		sightings = append(sightings, peers.Sighting{Address: member.Address, Age: time.Duration(member.AgeMs) * time.Millisecond})
	}
	r.control.Lock()
	fresh := r.members.Heard(now, digest.Address, digest.Incarnation, digest.Leaving, accessFromProto[digest.Store])
	r.members.Locate(digest.Address, digest.Zone)
	r.members.Told(now, sightings)
	if digest.CachesKnown {
		r.cachePeer = digest.Address
	}
	for _, revision := range digest.Ranges {
		r.comparePeerRevision(now, digest.Address, accessFromProto[digest.Store], revision)
	}
	r.control.Unlock()
	for _, news := range digest.News {
		r.applyPeerChanges(digest.Address, news)
	}
	if fresh {
		r.meters.Event("peer_joined")
		r.log.WithFields(logrus.Fields{"peer": digest.Address, "zone": digest.Zone}).Info("peer joined")
	}
}

// decodeLoads returns the loads of a digest. Entries without a counterpart in the other lists are left out.
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

// decodePlacements returns the placements of a digest.
func decodePlacements(digest *pb.Digest) place.Placements {
	list := peers.DecodePlacements(digest.PromptHashes, digest.HolderHashes)
	own := max(len(list)-int(digest.RelayedPlacements), 0)
	return place.Placements{Own: list[:own], Relayed: list[own:]}
}

// comparePeerRevision remembers a peer that has seen more of a range.
func (r *Router) comparePeerRevision(now time.Duration, address string, access peers.Access, revision *pb.RangeRevision) {
	for of, prefix := range r.config.Prefixes {
		if prefix != revision.Prefix {
			continue
		}
		if revision.Content <= r.directory.Mirror(of).Content() {
			if access == peers.Reading && revision.Content == r.directory.Mirror(of).Content() {
				r.confirmed[of] = now
			}
			continue
		}
		held := r.aheadPeers[of]
		if held == nil {
			held = &aheadPeer{since: now}
			r.aheadPeers[of] = held
		}
		if revision.Content >= held.contentRevision && !held.pulling {
			held.address, held.contentRevision = address, revision.Content
		}
	}
}

// pullMissingChanges asks peers for what the store has not delivered in time.
func (r *Router) pullMissingChanges(ctx context.Context, now time.Duration) {
	r.control.Lock()
	defer r.control.Unlock()
	for of, held := range r.aheadPeers {
		copied := r.directory.Mirror(of)
		if copied.Content() >= held.contentRevision {
			if !held.pulling {
				delete(r.aheadPeers, of)
			}
			continue
		}
		patience := pullDelay
		if r.access[of] != peers.Reading {
			patience = 0
		}
		if held.pulling || now-held.since < patience || now-held.lastPull < pullRetryInterval && held.lastPull > 0 {
			continue
		}
		held.pulling = true
		after := copied.Revision()
		if !copied.Filled() {
			after = 0
		}
		go r.pull(ctx, of, held, held.address, after)
	}
}

func (r *Router) pull(ctx context.Context, of directory.Range, held *aheadPeer, address string, after uint64) {
	changes, err := r.link.Pull(ctx, address, r.config.Prefixes[of], after)
	r.control.Lock()
	held.pulling = false
	held.lastPull = r.now()
	if err != nil {
		// Another peer may have it: the next digest names one.
		held.contentRevision = 0
		// Until then the store itself is asked.
		r.forceRead[of] = true
	}
	r.control.Unlock()
	if err != nil {
		r.meters.ControlCall("pull", "failed")
		r.log.WithError(err).Info("pull from a peer failed")
		return
	}
	r.meters.ControlCall("pull", "done")
	r.applyUpdate(func(now time.Duration) []directory.Change {
		if !changes.Whole {
			return r.directory.Apply(now, of, changes.Revision, changes.Events)
		}
		items := make([]mirror.Item, 0, len(changes.Events))
		for _, event := range changes.Events {
			items = append(items, event.Item)
		}
		return r.directory.Reset(now, of, changes.Revision, items)
	}, address)
}

// Changes implements peers.Source.
func (r *Router) Changes(prefix string, after uint64) peers.Changes {
	r.control.Lock()
	defer r.control.Unlock()
	for of, known := range r.config.Prefixes {
		if known != prefix {
			continue
		}
		copied := r.directory.Mirror(of)
		if !copied.Filled() {
			return peers.Changes{Revision: 0}
		}
		if events, ok := copied.Since(after); ok && after > 0 {
			return peers.Changes{Revision: copied.Revision(), Events: events}
		}
		changes := peers.Changes{Revision: copied.Revision(), Whole: true}
		for _, item := range copied.Items() {
			changes.Events = append(changes.Events, mirror.Event{Item: item})
		}
		return changes
	}
	return peers.Changes{}
}

package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/peers"
	"github.com/amaranthlb/amaranthlb/internal/place"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// Limits of learning what is in targets' caches.
const (
	// cacheQueryDelay is the time after the start at which engines are asked if no router knows their caches. After the loss
	// of 74 VMs each had heard of most others by then, and asked 9 engines at most; 0.8 s after the start some asked 37.
	cacheQueryDelay = 1800 * time.Millisecond
	// cachePollInterval is how often a starting router looks for peers and content.
	cachePollInterval = 50 * time.Millisecond
	// cacheListTimeout bounds the list of one engine: some 100 KB from a target a few milliseconds away.
	cacheListTimeout = time.Second
	// maxConcurrentLists bounds the lists that a router reads at the same time, for its memory and its link.
	maxConcurrentLists = 4
	// maxPromptsPerDatagram bounds the prompts in a datagram, so that it fits into a packet.
	maxPromptsPerDatagram = 150
)

// discoverCaches finds out which prompts targets have got before this process started. Another router knows it, unless all
// have started anew; then each asks its share of the engines and tells the others.
func (r *Router) discoverCaches(ctx context.Context) {
	listed := r.fetchCaches(ctx)
	r.traffic.Lock()
	r.loadTracker.CachesKnown()
	r.traffic.Unlock()
	if listed {
		// The other routers' shares are still on their way.
		sleep(ctx, cacheQueryDelay)
	}
	r.cachesComplete.Store(true)
}

// fetchCaches returns when the caches are known, and reports whether this router has asked its share of the engines.
func (r *Router) fetchCaches(ctx context.Context) (listed bool) {
	if r.config.FirstStart {
		return false
	}
	for r.now() < cacheQueryDelay || !r.Ready() {
		if ctx.Err() != nil {
			return false
		}
		if peer := r.takeCachePeer(); peer != "" && r.fetchCachesFromPeer(ctx, peer) {
			return false
		}
		sleep(ctx, cachePollInterval)
	}
	r.listEngineCaches(ctx)
	return true
}

// takeCachePeer returns a peer that knows the caches, once for each digest that says so.
func (r *Router) takeCachePeer() string {
	r.control.Lock()
	defer r.control.Unlock()
	peer := r.cachePeer
	r.cachePeer = ""
	return peer
}

// fetchCachesFromPeer asks a peer, and reports whether it knows the caches.
func (r *Router) fetchCachesFromPeer(ctx context.Context, address string) bool {
	caches, err := r.link.Caches(ctx, address)
	if err != nil {
		r.meters.ControlCall("caches", "failed")
		r.log.WithError(err).Info("caches not told by a peer")
		return false
	}
	r.meters.ControlCall("caches", "done")
	r.addInitialPlacements(caches.Placements)
	if caches.Complete {
		r.log.WithFields(logrus.Fields{"source": address, "prompts": len(caches.Placements)}).Info("caches known")
	}
	return caches.Complete
}

// Caches implements peers.Source.
func (r *Router) Caches() peers.Caches {
	r.traffic.Lock()
	defer r.traffic.Unlock()
	return peers.Caches{Complete: r.cachesComplete.Load(), Placements: r.loadTracker.Known(r.now())}
}

// handleInitialPlacements takes the prompts that a target had before.
func (r *Router) handleInitialPlacements(digest *pb.Digest) {
	if len(digest.HolderHashes) == 1 {
		r.addInitialPlacements(place.PlacementsAt(digest.HolderHashes[0], digest.PromptHashes))
	}
}

func (r *Router) addInitialPlacements(placements []place.Placement) {
	r.traffic.Lock()
	defer r.traffic.Unlock()
	r.loadTracker.Inherit(r.now(), placements)
}

// listEngineCaches asks this router's share of the engines, and tells the others.
func (r *Router) listEngineCaches(ctx context.Context) {
	share := r.assignedEngines()
	slots := make(chan struct{}, maxConcurrentLists)
	var listing sync.WaitGroup
	for _, engine := range share {
		slots <- struct{}{}
		listing.Go(func() {
			defer func() { <-slots }()
			r.listEngineCache(ctx, engine)
		})
	}
	listing.Wait()
	r.log.WithFields(logrus.Fields{"source": "engines", "engines": len(share)}).Info("caches known")
}

// assignedEngines returns the engines that this router asks: those for which it is first in rank of all live routers.
func (r *Router) assignedEngines() []routes.Target {
	table := r.table.Load()
	if table == nil {
		return nil
	}
	services := table.StreamServices()
	r.control.Lock()
	defer r.control.Unlock()
	routers := append(r.members.Direct(r.now()), r.config.PeerAddress)
	var share []routes.Target
	for _, target := range r.directory.Targets() {
		first, _ := rendezvous.First(target.ID, routers)
		if first == r.config.PeerAddress && services[target.Service] && !target.Draining {
			share = append(share, target)
		}
	}
	return share
}

// listEngineCache asks one engine for the prompts in its cache, and tells the others.
func (r *Router) listEngineCache(ctx context.Context, engine routes.Target) {
	ctx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	parts, err := r.engines.Cached(ctx, engine.Address)
	if err != nil {
		r.meters.ControlCall("cache_list", "failed")
		r.log.WithError(err).WithField("target", engine.ID).Info("cache not listed")
		return
	}
	r.meters.ControlCall("cache_list", "done")
	var prompts []uint64
	for _, part := range parts {
		if part.Tokens >= place.MinInheritedTokens {
			prompts = append(prompts, promptKey(part))
		}
	}
	target := rendezvous.Hash(engine.ID)
	r.addInitialPlacements(place.PlacementsAt(target, prompts))
	r.broadcastInitialPlacements(target, prompts)
}

// broadcastInitialPlacements tells all routers of the prompts that a target has.
func (r *Router) broadcastInitialPlacements(target uint64, prompts []uint64) {
	r.control.Lock()
	recipients := r.members.Recipients(r.now(), readerFanout)
	r.control.Unlock()
	for told := range slices.Chunk(prompts, maxPromptsPerDatagram) {
		digest := &pb.Digest{Address: r.config.PeerAddress, Inheritance: true, PromptHashes: told, HolderHashes: []uint64{target}}
		if err := r.link.Send(digest, recipients); err != nil {
			r.meters.Event("digest_not_sent")
			r.log.WithError(err).Debug("inheritance not sent")
		}
	}
}

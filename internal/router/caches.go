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

// Limits for discovering the contents of target caches.
const (
	// cacheQueryDelay is the time after process start from which engines are queried if no router knows their caches.
	// After the loss of 74 VMs, each router had discovered most others by then and queried at most 9 engines; 0.8 s
	// after the start some queried 37.
	cacheQueryDelay = 1800 * time.Millisecond
	// cachePollInterval is how often a starting router checks for a peer to ask and for store content.
	cachePollInterval = 50 * time.Millisecond
	// cacheListTimeout bounds the request for one engine's cache contents: about 100 KB from a target a few
	// milliseconds away.
	cacheListTimeout = time.Second
	// maxConcurrentLists bounds the concurrent cache list requests, to limit memory and network use.
	maxConcurrentLists = 4
	// maxPromptsPerDatagram bounds the prompts in a datagram, so that it fits into a packet.
	maxPromptsPerDatagram = 150
)

// discoverCaches learns which prompts were cached on targets before this process started. Another router knows them,
// unless all routers have restarted; in that case each router queries its share of the engines and broadcasts the
// result.
func (r *Router) discoverCaches(ctx context.Context) {
	listed := r.fetchCaches(ctx)
	r.trafficMu.Lock()
	r.loadTracker.SetCachesKnown()
	r.trafficMu.Unlock()
	if listed {
		// The other routers' shares have not all arrived yet.
		sleep(ctx, cacheQueryDelay)
	}
	r.cachesComplete.Store(true)
}

// fetchCaches returns once the cache contents are known. It reports whether this router queried its share of the
// engines.
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

// takeCachePeer returns a peer that knows the cache contents, once for each digest that announces it; otherwise it
// returns an empty string.
func (r *Router) takeCachePeer() string {
	r.controlMu.Lock()
	defer r.controlMu.Unlock()
	peer := r.cachePeer
	r.cachePeer = ""
	return peer
}

// fetchCachesFromPeer requests the cache contents from a peer. It reports whether the peer's view is complete.
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
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	return peers.Caches{Complete: r.cachesComplete.Load(), Placements: r.loadTracker.KnownPlacements(r.now())}
}

// handleInitialPlacements records the prompts that a peer found in a target's cache at startup.
func (r *Router) handleInitialPlacements(digest *pb.Digest) {
	if len(digest.HolderHashes) == 1 {
		r.addInitialPlacements(place.PlacementsAt(digest.HolderHashes[0], digest.PromptHashes))
	}
}

func (r *Router) addInitialPlacements(placements []place.Placement) {
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	r.loadTracker.AddInitialPlacements(r.now(), placements)
}

// listEngineCaches queries this router's share of the engines and broadcasts the results.
func (r *Router) listEngineCaches(ctx context.Context) {
	assigned := r.assignedEngines()
	slots := make(chan struct{}, maxConcurrentLists)
	var group sync.WaitGroup
	for _, engine := range assigned {
		if !r.mayListCache(engine) {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			r.listEngineCache(ctx, engine)
		})
	}
	group.Wait()
	r.log.WithFields(logrus.Fields{"source": "engines", "engines": len(assigned)}).Info("caches known")
}

// assignedEngines returns the engines that this router queries: those for which it ranks first among all live routers.
func (r *Router) assignedEngines() []routes.Target {
	table := r.table.Load()
	if table == nil {
		return nil
	}
	services := table.StreamServices()
	r.controlMu.Lock()
	defer r.controlMu.Unlock()
	routers := append(r.members.Current(r.now()), r.config.PeerAddress)
	var assigned []routes.Target
	for _, target := range r.directory.Targets() {
		first, _ := rendezvous.First(target.ID, routers)
		if first == r.config.PeerAddress && services[target.Service] && !target.Draining {
			assigned = append(assigned, target)
		}
	}
	return assigned
}

// mayListCache reports whether the target may be asked for its cached prompts.
func (r *Router) mayListCache(target routes.Target) bool {
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	return r.loadTracker.Allowed(r.now(), target, place.CacheListing)
}

// listEngineCache queries one engine for its cached prompts and broadcasts them.
func (r *Router) listEngineCache(ctx context.Context, engine routes.Target) {
	ctx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	parts, stated, err := r.engines.Cached(ctx, engine.Address)
	r.recordCallStatements(engine, stated)
	if err != nil {
		r.meters.ControlCall("cache_list", "failed")
		r.log.WithError(err).WithField("target", engine.ID).Info("cache not listed")
		return
	}
	r.meters.ControlCall("cache_list", "done")
	var prompts []uint64
	for _, part := range parts {
		if part.Tokens >= place.MinInitialTokens {
			prompts = append(prompts, promptKey(part))
		}
	}
	target := rendezvous.Hash(engine.ID)
	r.addInitialPlacements(place.PlacementsAt(target, prompts))
	r.broadcastInitialPlacements(target, prompts)
}

// broadcastInitialPlacements sends all routers the prompts that a target has cached.
func (r *Router) broadcastInitialPlacements(target uint64, prompts []uint64) {
	r.controlMu.Lock()
	recipients := r.members.Recipients(r.now(), readerFanout)
	r.controlMu.Unlock()
	for batch := range slices.Chunk(prompts, maxPromptsPerDatagram) {
		digest := &pb.Digest{Address: r.config.PeerAddress, Inheritance: true, PromptHashes: batch, HolderHashes: []uint64{target}}
		if err := r.link.Send(digest, recipients); err != nil {
			r.meters.Event("digest_not_sent")
			r.log.WithError(err).Debug("failed to send initial placements")
		}
	}
}

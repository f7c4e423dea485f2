// Package router is the daemon that ends callers' connections, chooses a target for each request and sends it there.
//
// One process on each VM does all of it. Configuration and targets come from the platform's store, or from other
// routers where the store can't be reached; loads are exchanged between routers. A request is refused as not run
// only while no target can have begun it. Nothing outlives the process.
package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/directory"
	"github.com/amaranthlb/amaranthlb/internal/eventlog"
	"github.com/amaranthlb/amaranthlb/internal/mirror"
	"github.com/amaranthlb/amaranthlb/internal/peers"
	"github.com/amaranthlb/amaranthlb/internal/place"
	"github.com/amaranthlb/amaranthlb/internal/retry"
	"github.com/amaranthlb/amaranthlb/internal/routes"
	"github.com/amaranthlb/amaranthlb/internal/telemetry"
	"github.com/amaranthlb/amaranthlb/internal/upstream"
)

// Wire translates the headers of requests and answers.
type Wire interface {
	upstream.Decoder
	DecodeRequest(header http.Header) (routes.Request, error)
	StripRequest(header http.Header)
	EncodeOrder(header http.Header, order routes.Order)
}

// Store reads the platform's store.
type Store interface {
	Range(ctx context.Context, prefix string) (uint64, []mirror.Item, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (uint64, []mirror.Event, error)
	// HistoryGone reports whether an error of Watch means that the whole range has to be read again.
	HistoryGone(err error) bool
	Reconnect()
}

// Engines tells what engines have in their caches.
type Engines interface {
	Cached(ctx context.Context, address string) ([]routes.Part, error)
}

// Config is what a router needs to run.
type Config struct {
	Name         string
	Zone         string
	FrontAddress string
	ReadyAddress string
	ReadyPath    string
	PeerAddress  string
	// MetricsAddress serves the metrics besides the ready address; empty for none.
	MetricsAddress string
	Seeds          []string
	// Prefixes are the store's key ranges.
	Prefixes map[directory.Range]string
	// StopGrace is the time from the request to stop until the process would be killed.
	StopGrace time.Duration
	// WithdrawnGrace is how long a target whose entry is gone may be used as a last resort.
	WithdrawnGrace time.Duration
	// RetryRatio and RetrySlack bound additional arrivals at a service in each RetryWindow, for all routers together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// LoadMultiple bounds the load of a target, as a multiple of the mean of its service.
	LoadMultiple float64
	// FirstStart says that all VMs start for the first time, so that no target has a prompt in its cache.
	FirstStart bool
}

// Router is the daemon.
type Router struct {
	config  Config
	wire    Wire
	store   Store
	engines Engines
	log     *eventlog.Log
	meters  *telemetry.Meters
	link    *peers.Link
	pool    *upstream.Pool
	start   time.Time
	// incarnation tells this process from others at the same address.
	incarnation uint64

	table    atomic.Pointer[routes.Table]
	draining atomic.Bool
	// stopAt is when a stopping process ends; nil before.
	stopAt   atomic.Pointer[time.Time]
	inFlight atomic.Int64
	crashes  *crashTracker

	// control guards the state that the store and the peers change.
	control   sync.Mutex
	directory *directory.Directory
	members   *peers.Members
	aheadPeers     map[directory.Range]*aheadPeer
	access    map[directory.Range]peers.Access
	// confirmed is when a range was last known to be up to date.
	confirmed map[directory.Range]time.Duration
	// cachesComplete is set when this router knows what is in targets' caches, and can tell others.
	cachesComplete atomic.Bool
	// cachePeer is the peer that has said last that it knows targets' caches; empty for none.
	cachePeer string
	// forceRead marks ranges that a peer did not deliver.
	forceRead map[directory.Range]bool

	// traffic guards the state that each request changes.
	traffic sync.Mutex
	loadTracker *place.Picture
	budget  *retry.Budget

	// noticesPending wakes the exchange when the picture has notices.
	noticesPending chan struct{}
}

// New returns a router that does not run yet.
func New(config Config, wire Wire, store Store, engines Engines, decoder directory.Decoder, log *eventlog.Log, meters *telemetry.Meters) *Router {
	random := func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	members := peers.NewMembers(config.PeerAddress, config.Seeds, random())
	members.Locate(config.PeerAddress, config.Zone)
	return &Router{
		config:       config,
		wire:         wire,
		store:        store,
		engines:      engines,
		log:          log,
		meters:       meters,
		pool:         upstream.NewPool(wire),
		start:        time.Now(),
		incarnation:  rand.Uint64(),
		directory:    directory.New(decoder),
		members:      members,
		aheadPeers:        make(map[directory.Range]*aheadPeer),
		access:       make(map[directory.Range]peers.Access),
		forceRead: make(map[directory.Range]bool),
		confirmed:    make(map[directory.Range]time.Duration),
		crashes:      newCrashTracker(),
		noticesPending:  make(chan struct{}, 1),
		loadTracker:      place.New(config.LoadMultiple, random()),
		budget:       retry.NewBudget(config.RetryRatio*budgetShare, config.RetrySlack*budgetShare/initialRouters, config.RetryWindow),
	}
}

// Limits of the retry budget.
const (
	// budgetShare is the part of the fleet's budget that routers use, since their windows don't begin together.
	budgetShare = 0.8
	// initialRouters divides the budget until other routers are known.
	initialRouters = 8
)

// now is the time since the start, by the monotonic clock.
func (r *Router) now() time.Duration { return time.Since(r.start) }

// Ready reports whether the router can serve requests.
func (r *Router) Ready() bool {
	if r.draining.Load() || r.table.Load() == nil {
		return false
	}
	r.traffic.Lock()
	defer r.traffic.Unlock()
	_, listed := r.loadTracker.Count(r.now())
	return listed > 0
}

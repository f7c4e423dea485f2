// Package router implements the daemon that accepts client connections, chooses a target for each request and forwards
// it.
//
// Each VM runs one router process. Configuration and targets come from the platform's store, or from other routers if
// the store is unreachable; routers exchange their loads. A request is refused as not run only if no target can have
// started it. The process keeps no persistent state.
package router

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/amaranthlb/amaranthlb/internal/directory"
	"github.com/amaranthlb/amaranthlb/internal/eventlog"
	"github.com/amaranthlb/amaranthlb/internal/ingress"
	"github.com/amaranthlb/amaranthlb/internal/liveness"
	"github.com/amaranthlb/amaranthlb/internal/mirror"
	"github.com/amaranthlb/amaranthlb/internal/peers"
	"github.com/amaranthlb/amaranthlb/internal/place"
	"github.com/amaranthlb/amaranthlb/internal/retry"
	"github.com/amaranthlb/amaranthlb/internal/routes"
	"github.com/amaranthlb/amaranthlb/internal/stall"
	"github.com/amaranthlb/amaranthlb/internal/telemetry"
	"github.com/amaranthlb/amaranthlb/internal/upstream"
)

// Wire translates the headers of requests and responses.
type Wire interface {
	upstream.Decoder
	DecodeRequest(header http.Header) (routes.Request, error)
	StripRequest(header http.Header)
	EncodeOrder(header http.Header, order routes.Dispatch)
}

// Store reads the platform's store.
type Store interface {
	Range(ctx context.Context, prefix string) (mirror.Position, []mirror.Item, error)
	Watch(ctx context.Context, prefix string, after mirror.Position, wait time.Duration) (mirror.Position, []mirror.Event, error)
	// Ping makes a short call. It succeeds if the store responds to this caller, and returns the store's era.
	Ping(ctx context.Context) (uint64, error)
	// HistoryGone reports whether an error from Watch means that the complete range must be read again.
	HistoryGone(err error) bool
	Reconnect()
}

// Engines makes control calls to engines.
type Engines interface {
	// Cached returns the prompt parts that an engine has cached. Its statements are valid also with an error.
	Cached(ctx context.Context, address string) ([]routes.Part, routes.Statements, error)
	// Copy copies the memory of a request's run on an engine to another one; the run goes on. Move stops the run and copies
	// the rest. Release frees the copy at both engines. Their statements are valid also with an error.
	Copy(ctx context.Context, address, requestID, to string) (routes.MovedRun, routes.Statements, error)
	Move(ctx context.Context, address, requestID, to string) (routes.MovedRun, routes.Statements, error)
	Release(ctx context.Context, address string, run routes.MovedRun) (routes.Statements, error)
}

// Config holds the settings of a router.
type Config struct {
	Name         string
	Zone         string
	FrontAddress string
	ReadyAddress string
	ReadyPath    string
	PeerAddress  string
	// MetricsAddress is an additional address for metrics besides the ready address; empty for none.
	MetricsAddress string
	Seeds          []string
	// Prefixes are the key ranges in the store.
	Prefixes map[directory.Range]string
	// StopGrace is the time between the request to stop and the forced termination of the process.
	StopGrace time.Duration
	// WithdrawnGrace is how long a target may be used as a last resort after its entry was removed.
	WithdrawnGrace time.Duration
	// RetryRatio and RetrySlack bound the additional requests to a service in each RetryWindow, for all routers
	// together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// HeldBytes bounds the response data that is held in memory for all requests together; 0 means a default.
	HeldBytes int64
	// RequestBytes bounds the memory of request bodies for all requests together, two bodies of the configuration's limit
	// at least; 0 means a default.
	RequestBytes int64
	// Connections bounds the clients' connections, HeadMemory the memory of incomplete request heads in bytes; 0 for no
	// bound.
	Connections int
	HeadMemory  int64
	// LoadMultiple bounds the load of a target, as a multiple of the mean load of its service.
	LoadMultiple float64
	// Evacuations is set if the key range of the configuration also holds the operator's orders to evacuate zones. The
	// router serves nothing until it has the whole range.
	Evacuations bool
	// WarmupRatio and WarmupSlack bound the requests to a target that warms up: in any second, for all routers together, to
	// WarmupRatio times the number that it tolerates plus WarmupSlack.
	WarmupRatio float64
	WarmupSlack float64
	// FirstStart indicates that all VMs are starting for the first time, so no target has cached prompts.
	FirstStart bool
}

// Router is the routing daemon of one VM.
type Router struct {
	config  Config
	wire    Wire
	store   Store
	engines Engines
	log     *eventlog.Log
	meters  *telemetry.Meters
	link    *peers.Link
	pool    *upstream.Pool
	bodies  *ingress.Reader
	// clients accepts the clients' connections once the router runs.
	clients atomic.Pointer[ingress.Listener]
	start   time.Time
	// incarnation distinguishes this process from earlier ones at the same address.
	incarnation uint64

	table atomic.Pointer[routes.Table]
	// ordersKnown is set once the key range of the configuration, with the operator's orders, is complete and in effect.
	ordersKnown atomic.Bool
	draining    atomic.Bool
	// stop is nil while the process is not stopping.
	stop atomic.Pointer[stopState]
	// cutoff ends the requests in progress when the stop grace is over.
	cutoff      context.Context
	endRequests context.CancelFunc
	inFlight    atomic.Int64
	// streams tracks the streams of engines.
	streams *stall.Engines
	crashes *crashTracker
	// promptCrashes finds prompt parts that crash targets.
	promptCrashes *promptCrashTracker

	// warmupInvalid limits the log lines about malformed warm-up times, which targets write again and again.
	warmupInvalid rate.Sometimes

	// controlMu guards the state that is updated by the store and by peers.
	controlMu  sync.Mutex
	directory  *directory.Directory
	members    *peers.Members
	aheadPeers map[directory.Range]*aheadPeer
	// rejectedVersion is the version of a peer's configuration that this router could not take.
	rejectedVersion uint64
	access          map[directory.Range]peers.Access
	// confirmedAt is when a range was last known to be up to date.
	confirmedAt map[directory.Range]time.Duration
	// answeredAt is when the store last answered a call for a range.
	answeredAt map[directory.Range]time.Duration
	// claimedReadAt is when a digest last said that this router reads the store, if claimedRead is set.
	claimedReadAt time.Duration
	claimedRead   bool
	// storeFailures counts the consecutive failures of calls to the store for a range.
	storeFailures map[directory.Range]int
	// storeMonitor detects that the store has fallen silent.
	storeMonitor *liveness.Monitor
	// storeEra is the latest era that the store has stated in response to a ping.
	storeEra uint64
	// cachesComplete is set once this router knows the contents of all target caches and can share them with peers.
	cachesComplete atomic.Bool
	// cachePeer is the peer that most recently announced that it knows the target caches; empty for none.
	cachePeer string
	// forceRead marks ranges that must be read from the store because a peer failed to deliver them.
	forceRead map[directory.Range]bool
	// evacuatedServices were logged at evacuatedLoggedAt as having no targets outside evacuated zones.
	evacuatedServices []string
	evacuatedLoggedAt time.Duration
	// invalidLoggedAt is when an invalid evacuation was last logged.
	invalidLoggedAt time.Duration

	// trafficMu guards the state that is updated by each request.
	trafficMu   sync.Mutex
	loadTracker *place.LoadTracker
	budget      *retry.Budget
	contactLog  contactLog

	// noticesPending wakes the gossip loop when loadTracker has notices to send.
	noticesPending chan struct{}
}

// New returns a router that is not running yet.
func New(config Config, wire Wire, store Store, engines Engines, decoder directory.Decoder, log *eventlog.Log, meters *telemetry.Meters) *Router {
	random := func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	members := peers.NewMembers(config.PeerAddress, config.Seeds, random())
	members.SetZone(config.PeerAddress, config.Zone)
	cutoff, endRequests := context.WithCancel(context.Background())
	start := time.Now()
	return &Router{
		config:         config,
		wire:           wire,
		store:          store,
		engines:        engines,
		log:            log,
		meters:         meters,
		pool:           upstream.NewPool(wire, cmp.Or(config.HeldBytes, upstream.DefaultHeldBytes)),
		bodies:         ingress.NewReader(cmp.Or(config.RequestBytes, ingress.DefaultRequestBytes), func() time.Duration { return time.Since(start) }),
		start:          start,
		cutoff:         cutoff,
		endRequests:    endRequests,
		incarnation:    rand.Uint64(),
		directory:      directory.New(decoder),
		members:        members,
		aheadPeers:     make(map[directory.Range]*aheadPeer),
		access:         make(map[directory.Range]peers.Access),
		forceRead:      make(map[directory.Range]bool),
		confirmedAt:    make(map[directory.Range]time.Duration),
		answeredAt:     make(map[directory.Range]time.Duration),
		storeFailures:  make(map[directory.Range]int),
		storeMonitor:   liveness.New(storePingInterval, storePingTimeout),
		streams:        stall.NewEngines(),
		crashes:        newCrashTracker(),
		promptCrashes:  newPromptCrashTracker(),
		noticesPending: make(chan struct{}, 1),
		warmupInvalid:  rate.Sometimes{Interval: time.Second},
		loadTracker:    place.New(config.LoadMultiple, random()),
		budget:         retry.NewBudget(config.RetryRatio*budgetShare, config.RetrySlack*budgetShare/initialRouters, config.RetryWindow),
	}
}

// Limits of the retry budget.
const (
	// budgetShare is the part of the fleet-wide budget that routers use. It is below 1 because their windows are not
	// aligned.
	budgetShare = 0.8
	// initialRouters is the divisor for the budget until other routers are known.
	initialRouters = 8
)

// now returns the monotonic time since the start.
func (r *Router) now() time.Duration { return time.Since(r.start) }

// configured reports whether the configuration and, where there are evacuations, the operator's orders are known. A peer
// may deliver the configuration alone.
func (r *Router) configured() bool {
	return r.table.Load() != nil && (!r.config.Evacuations || r.ordersKnown.Load())
}

// Ready reports whether the router can serve requests.
func (r *Router) Ready() bool {
	if r.draining.Load() || !r.configured() {
		return false
	}
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	_, listed := r.loadTracker.Count(r.now())
	return listed > 0
}

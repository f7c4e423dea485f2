package engine

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/backend"
	"github.com/amaranthlb/amaranthlb/standin/batch"
)

// statusCancelled is recorded for a cancelled request. 499 is the code that web servers log when the client closes the
// connection.
const statusCancelled = 499

// Config holds the settings of a simulated engine.
type Config struct {
	batch.Config
	// Model and Version are loaded at the start; with an empty Model the engine serves any model name.
	Model, Version string
	Role           string
	Adapters       []string
	// StatusAge is the age of the load figures in status reports.
	StatusAge time.Duration
	// EventDelay delays the publication of cache events, and EventLossRate is the fraction (0 to 1) of them that is
	// dropped.
	EventDelay    time.Duration
	EventLossRate float64
	// ChecksFencing makes the engine reject orders with a fencing token lower than the highest one seen.
	ChecksFencing bool
	// LoadTime is the time that loading a model, a version or an adapter takes.
	LoadTime time.Duration
	// LogFile receives a line when a run starts and another when it ends; it may be nil.
	LogFile io.Writer
	// Exit terminates the process on a simulated crash. If nil, a crash closes all connections and restarts the server
	// within the process.
	Exit func()
}

// Default returns the settings of a small, fast engine.
func Default() Config {
	return Config{
		Config: batch.Config{
			Slots:          16,
			TokenTime:      2 * time.Millisecond,
			BatchTokenTime: 100 * time.Microsecond,
			PrefillTime:    50 * time.Microsecond,
			CacheBlocks:    4096,
		},
		Role:          "serve",
		StatusAge:     200 * time.Millisecond,
		EventDelay:    200 * time.Millisecond,
		EventLossRate: 0.02,
		ChecksFencing: true,
		LoadTime:      200 * time.Millisecond,
	}
}

// Server is a simulated engine. It is an http.Handler and can also open its own listener.
type Server struct {
	*backend.Server
	config  Config
	started time.Time
	stop    context.CancelFunc
	stopped chan struct{}
	wake    chan struct{}

	mu          sync.Mutex
	incarnation uint64
	model       *batch.Model
	streams     map[string]*stream
	generating  map[*batch.Request]*stream
	history     backend.History
	eventLog    *eventLog
	state       state
	// pendingOrders counts the orders that are executing or waiting for orderMu.
	pendingOrders int

	// orderMu serializes the execution of orders.
	orderMu sync.Mutex
}

// New returns an engine and starts its generation loop, which runs until Close.
func New(config Config) *Server {
	e := &Server{
		Server:  backend.NewServer(config.LogFile),
		config:  config,
		started: time.Now(),
		stopped: make(chan struct{}),
		wake:    make(chan struct{}, 1),
	}
	e.reset()
	e.routes()
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	go e.generate(ctx)
	return e
}

// Incarnation returns the random identifier of the current start. It changes with each restart.
func (e *Server) Incarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// Close stops the generation loop and closes all connections.
func (e *Server) Close() error {
	e.stop()
	err := e.Listener.Close()
	<-e.stopped
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropStreams()
	return err
}

// reset returns the engine to its initial state, with a new incarnation.
func (e *Server) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropStreams()
	e.incarnation = rand.Uint64()
	e.model = batch.NewModel(e.config.Config)
	e.streams = make(map[string]*stream)
	e.generating = make(map[*batch.Request]*stream)
	e.history = backend.History{Age: e.config.StatusAge}
	e.eventLog = newEventLog(e.config.EventDelay, e.config.EventLossRate)
	e.model.Cache().OnChange = e.eventLog.add
	e.state = initialState(e.config)
	e.Records.Clear()
}

func (e *Server) dropStreams() {
	for _, s := range e.streams {
		if s.expiry != nil {
			s.expiry.Stop()
		}
		if !s.cancelled && !s.done() {
			s.cancelled = true
			s.notify()
		}
	}
}

// crash simulates a crash: it calls Exit if set, and otherwise resets the state and restarts the listener.
func (e *Server) crash() {
	e.Runs().EndAll(backend.Crashed)
	if e.config.Exit != nil {
		e.config.Exit()
	}
	e.reset()
	go func() { _ = e.Restart() }()
}

// injectCrash crashes the engine at the start of a request, or CrashAfterMS milliseconds later if the faults set that.
func (e *Server) injectCrash(faults backend.Faults) {
	if faults.CrashAfterMS > 0 {
		time.AfterFunc(time.Duration(faults.CrashAfterMS)*time.Millisecond, e.crash)
		return
	}
	e.crash()
	panic(http.ErrAbortHandler)
}

func (e *Server) now() time.Duration { return time.Since(e.started) }

// sampleLoad adds the current load to the history for status reports. The caller must hold e.mu.
func (e *Server) sampleLoad() {
	e.history.Add(time.Now(), e.model.Running(), e.model.Waiting())
}

// generate advances the batch model in real time until ctx is done.
func (e *Server) generate(ctx context.Context) {
	defer close(e.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for e.Faults().WaitThawed(ctx) {
		timer.Reset(e.advance())
		select {
		case <-timer.C:
		case <-e.wake:
		case <-ctx.Done():
			return
		}
	}
}

// advance publishes the tokens produced up to now and returns the time until the next decode step ends.
func (e *Server) advance() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, request := range e.model.Advance(e.now()) {
		e.publishToken(e.generating[request])
	}
	next, ok := e.model.Next()
	if !ok {
		return time.Hour
	}
	return max(0, next-e.now())
}

// publishToken makes the next token of a stream available to its readers. The caller must hold e.mu.
func (e *Server) publishToken(s *stream) {
	s.produced++
	if s.done() {
		e.finish(s)
	}
	s.notify()
}

func (e *Server) finish(s *stream) {
	delete(e.generating, s.request)
	e.sampleLoad()
	e.Records.End(s.id, http.StatusOK, string(s.encodeCompletion()))
	e.Runs().End(s.run, backend.Done, func() {
		s.run.CachedTokens = s.request.Cached
		s.run.PromptTokens = s.request.PromptTokens
	})
}

// submit adds a stream to the batch model and wakes the generation loop.
func (e *Server) submit(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[s.id] = s
	e.generating[s.request] = s
	e.model.Submit(e.now(), s.request)
	e.sampleLoad()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

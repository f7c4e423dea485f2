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

// statusCancelled is the status of a request that was cancelled, as servers log a closed client connection.
const statusCancelled = 499

// Config holds the properties of an engine.
type Config struct {
	batch.Config
	// Model and Version are what the engine has loaded at its start; an empty model serves any name.
	Model, Version string
	Role           string
	Adapters       []string
	// StatusAge is the lag of the load figures.
	StatusAge time.Duration
	// EventDelay and EventGap make cache events late and leave out a part (0 to 1) of them.
	EventDelay time.Duration
	EventGap   float64
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// LoadTime is the time to load a model, a version or an adapter.
	LoadTime time.Duration
	// LogFile gets a line for each start and end of a run; it may be nil.
	LogFile io.Writer
	// Exit ends the process on a crash. Without it a crash closes all connections and restarts in place.
	Exit func()
}

// Default holds the figures of a small and fast engine.
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
		EventGap:      0.02,
		ChecksFencing: true,
		LoadTime:      200 * time.Millisecond,
	}
}

// Server is one engine. It is an http.Handler and can also listen by itself.
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
	eventLog      *eventLog
	state       state
	// pendingOrders counts the orders that are carried out or wait for their turn.
	pendingOrders int

	// orderMu lets one order run at a time.
	orderMu sync.Mutex
}

// New returns an engine that generates until Close.
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

// Incarnation returns the random number of the present start.
func (e *Server) Incarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// Close stops generation and closes all connections.
func (e *Server) Close() error {
	e.stop()
	err := e.Listener.Close()
	<-e.stopped
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropStreams()
	return err
}

// reset puts the engine in the state that it has after a start.
func (e *Server) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropStreams()
	e.incarnation = rand.Uint64()
	e.model = batch.NewModel(e.config.Config)
	e.streams = make(map[string]*stream)
	e.generating = make(map[*batch.Request]*stream)
	e.history = backend.History{Age: e.config.StatusAge}
	e.eventLog = newEventLog(e.config.EventDelay, e.config.EventGap)
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

// crash ends the process, or all connections when the engine runs in a test's process.
func (e *Server) crash() {
	e.Runs().EndAll(backend.Crashed)
	if e.config.Exit != nil {
		e.config.Exit()
	}
	e.reset()
	go func() { _ = e.Restart() }()
}

// injectCrash crashes the engine at the start of a request or, as the faults say, while it works on it.
func (e *Server) injectCrash(faults backend.Faults) {
	if faults.CrashAfterMS > 0 {
		time.AfterFunc(time.Duration(faults.CrashAfterMS)*time.Millisecond, e.crash)
		return
	}
	e.crash()
	panic(http.ErrAbortHandler)
}

func (e *Server) now() time.Duration { return time.Since(e.started) }

// sampleLoad records the load for later status answers. The caller holds the mutex.
func (e *Server) sampleLoad() {
	e.history.Add(time.Now(), e.model.Running(), e.model.Waiting())
}

// generate drives the batch model by the clock.
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

// advance publishes all tokens produced until now and returns the time until the next one.
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

// publishToken makes one more token of a stream visible.
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

// submit starts a generation.
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

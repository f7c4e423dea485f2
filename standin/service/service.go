// Package service simulates a plain HTTP service whose calls may not be repeatable.
package service

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/amaranthlb/amaranthlb/standin/backend"
)

// Config holds the settings of a simulated service.
type Config struct {
	// RunTime is the duration of each call.
	RunTime time.Duration
	// StatusAge is the age of the load figures in status reports.
	StatusAge time.Duration
	// LogFile receives a line when a run starts and another when it ends; it may be nil.
	LogFile io.Writer
	// Exit terminates the process on a simulated crash. If nil, a crash closes all connections and restarts the server
	// within the process.
	Exit func()
}

// Default returns the settings of a fast service.
func Default() Config {
	return Config{RunTime: 20 * time.Millisecond, StatusAge: 200 * time.Millisecond}
}

// Answer is the response body of a call.
type Answer struct {
	RequestID string `json:"request_id"`
	// Number is the sequence number of the run, starting at 1.
	Number   int    `json:"number"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	BodyHash string `json:"body_hash"`
}

// Status is the service's status report. Its load figures are AgeMS milliseconds old.
type Status struct {
	Load        int    `json:"load"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	AgeMS       int64  `json:"age_ms"`
	Incarnation uint64 `json:"incarnation"`
}

// Server is a simulated service. It is an http.Handler and can also open its own listener.
type Server struct {
	*backend.Server
	config Config

	mu          sync.Mutex
	incarnation uint64
	number      int
	running     int
	history     backend.History
}

// New returns a service that does not listen yet.
func New(config Config) *Server {
	s := &Server{
		Server: backend.NewServer(config.LogFile),
		config: config,
	}
	s.reset()
	s.Echo.GET("/status", s.status)
	s.Echo.Any("/*", s.handleCall)
	return s
}

func (s *Server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation = rand.Uint64()
	s.running = 0
	s.history = backend.History{Age: s.config.StatusAge}
	s.Records.Clear()
}

// handleCall executes a call. A call that has started runs to completion even if the caller disconnects.
func (s *Server) handleCall(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	run := backend.NewRun(c.Request(), body)
	run.Body = string(body)
	answer := s.startRun(run)
	if s.Faults().Current().Crashes(body) {
		s.crash()
	}
	time.Sleep(s.config.RunTime)
	return s.respond(c, run, answer)
}

// startRun records a run and assigns its number.
func (s *Server) startRun(run *backend.Run) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	run.Incarnation = s.incarnation
	s.Records.Begin(run.RequestID)
	s.Runs().Begin(run)
	s.changeLoad(1)
	return Answer{
		RequestID: run.RequestID, Number: s.number, Method: run.Method, Path: run.Path, BodyHash: run.BodyHash,
	}
}

// respond ends a run and sends its answer, unless the service has crashed since the run started.
func (s *Server) respond(c echo.Context, run *backend.Run, answer Answer) error {
	if !s.endRun(run, answer) || s.Faults().Current().CutAfterEvents > 0 {
		panic(http.ErrAbortHandler)
	}
	if !s.Faults().WaitThawed(c.Request().Context()) {
		return nil
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, answer.encode())
}

func (s *Server) endRun(run *backend.Run, answer Answer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if run.Incarnation != s.incarnation {
		return false
	}
	s.changeLoad(-1)
	s.Records.End(run.RequestID, http.StatusOK, string(answer.encode()))
	s.Runs().End(run, backend.Done, nil)
	return true
}

func (s *Server) changeLoad(delta int) {
	s.running += delta
	s.history.Add(time.Now(), s.running, 0)
}

// crash simulates a crash: it calls Exit if set, and otherwise resets the state and restarts the listener.
func (s *Server) crash() {
	s.Runs().EndAll(backend.Crashed)
	if s.config.Exit != nil {
		s.config.Exit()
	}
	s.reset()
	go func() { _ = s.Restart() }()
	panic(http.ErrAbortHandler)
}

func (s *Server) status(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := s.history.Reported(time.Now())
	return c.JSON(http.StatusOK, Status{
		Load: sample.Running, Running: sample.Running,
		AgeMS: s.config.StatusAge.Milliseconds(), Incarnation: s.incarnation,
	})
}

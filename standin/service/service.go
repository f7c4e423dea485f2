// Package service is a stand-in for a plain service whose calls may not be repeatable.
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

// Config holds the properties of a service.
type Config struct {
	// RunTime is the time that each call takes.
	RunTime time.Duration
	// StatusAge is the lag of the load figures.
	StatusAge time.Duration
	// LogFile gets a line for each start and end of a run; it may be nil.
	LogFile io.Writer
	// Exit ends the process on a crash. Without it a crash closes all connections and restarts in place.
	Exit func()
}

// Default holds the figures of a quick service.
func Default() Config {
	return Config{RunTime: 20 * time.Millisecond, StatusAge: 200 * time.Millisecond}
}

// Answer is the answer to each call.
type Answer struct {
	RequestID string `json:"request_id"`
	// Number counts the runs of this service, from 1.
	Number   int    `json:"number"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	BodyHash string `json:"body_hash"`
}

// Status is the service's report of itself. The load figures are those of AgeMS ago.
type Status struct {
	Load        int    `json:"load"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	AgeMS       int64  `json:"age_ms"`
	Incarnation uint64 `json:"incarnation"`
}

// Server is one service. It is an http.Handler and can also listen by itself.
type Server struct {
	*backend.Server
	config Config

	mu          sync.Mutex
	incarnation uint64
	number      int
	running     int
	history     backend.History
}

// New returns a service.
func New(config Config) *Server {
	s := &Server{
		Server: backend.NewServer(config.LogFile),
		config: config,
	}
	s.reset()
	s.Echo.GET("/status", s.status)
	s.Echo.Any("/*", s.call)
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

// call runs one call. A call that has started runs to its end even when the caller goes away.
func (s *Server) call(c echo.Context) error {
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

// startRun logs a run and gives it a number.
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

// respond ends a run unless the service crashed meanwhile.
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

// crash ends the process, or all connections when the service runs in a test's process.
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

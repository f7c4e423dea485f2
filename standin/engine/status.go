package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/standin/batch"
)

// Status is the engine's status report. Its load figures are AgeMS milliseconds old.
type Status struct {
	Load        int      `json:"load"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	AgeMS       int64    `json:"age_ms"`
	Fence       uint64   `json:"fence"`
	Model       string   `json:"model"`
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters"`
	Role        string   `json:"role"`
	Incarnation uint64   `json:"incarnation"`
	// Busy reports whether an order is executing or waiting to execute.
	Busy bool `json:"busy"`
}

func (e *Server) status(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	sample := e.history.Reported(time.Now())
	return c.JSON(http.StatusOK, Status{
		Load:        sample.Running + sample.Waiting,
		Running:     sample.Running,
		Waiting:     sample.Waiting,
		AgeMS:       e.config.StatusAge.Milliseconds(),
		Fence:       e.state.fence,
		Model:       e.state.model,
		Version:     e.state.version,
		Adapters:    append([]string{}, e.state.adapters...),
		Role:        e.state.role,
		Incarnation: e.incarnation,
		Busy:        e.pendingOrders > 0,
	})
}

func (e *Server) cacheEvents(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		after = 0
	}
	wait, err := strconv.ParseFloat(c.QueryParam("wait"), 64)
	if err != nil {
		wait = 0
	}
	deadline := time.Now().Add(time.Duration(wait * float64(time.Second)))
	for {
		found := e.currentEventLog().after(after)
		if len(found) > 0 {
			after = found[len(found)-1].Sequence
		}
		if len(found) > 0 || time.Now().After(deadline) {
			return c.JSON(http.StatusOK, map[string]any{"events": found, "next": after})
		}
		if !control.Sleep(c.Request().Context(), eventPollInterval) {
			return nil
		}
	}
}

func (e *Server) currentEventLog() *eventLog {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.eventLog
}

// exportPrefix returns the longest cached block prefix of the messages.
func (e *Server) exportPrefix(messages []Message) kvExport {
	blocks := batch.Blocks(Tokens(messages))
	e.mu.Lock()
	defer e.mu.Unlock()
	exported := kvExport{Model: e.state.model + "@" + e.state.version}
	for _, block := range blocks[:e.model.Cache().Prefix(blocks)] {
		exported.Blocks = append(exported.Blocks, uint64(block))
	}
	return exported
}

// importPrefix stores the imported blocks in the cache. It returns false if they belong to another model or version.
func (e *Server) importPrefix(imported kvExport) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if imported.Model != e.state.model+"@"+e.state.version {
		return false
	}
	blocks := make([]batch.Block, len(imported.Blocks))
	for i, block := range imported.Blocks {
		blocks[i] = batch.Block(block)
	}
	e.model.Cache().Store(blocks)
	return true
}

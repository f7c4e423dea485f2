package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/amaranthlb/amaranthlb/standin/backend"
)

func (e *Server) routes() {
	e.Echo.POST("/v1/chat/completions", e.handleCompletion)
	e.Echo.GET("/v1/streams/:id", e.resume)
	e.Echo.DELETE("/v1/streams/:id", e.cancelStream)
	e.Echo.GET("/status", e.status)
	e.Echo.GET("/cache/events", e.cacheEvents)
	e.Echo.POST("/kv/export", e.exportKV)
	e.Echo.POST("/kv/import", e.importKV)
	e.Echo.POST("/orders", e.handleOrder)
}

func (e *Server) handleCompletion(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	completion, err := ParseCompletion(body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if !e.serves(completion.Model) {
		return echo.NewHTTPError(http.StatusNotFound, fmt.Sprintf("model %q is not loaded", completion.Model))
	}
	s := e.startGeneration(c.Request(), body, completion)
	e.attach(s)
	defer e.detach(s)
	if completion.Stream {
		return e.sendEvents(c, s, 0)
	}
	return e.sendCompletion(c, s)
}

// startGeneration records the run and submits its generation. If the injected faults match the body, it crashes
// the engine before the submission, or after the delay that they set.
func (e *Server) startGeneration(request *http.Request, body []byte, completion Completion) *stream {
	run := backend.NewRun(request, body)
	run.Incarnation = e.Incarnation()
	if run.RequestID == "" {
		run.RequestID = "local-" + strconv.FormatInt(int64(e.now()), 36)
	}
	s := newStream(run.RequestID, completion, backend.Priority(request), run)
	e.Records.Begin(s.id)
	e.Runs().Begin(run)
	if faults := e.Faults().Current(); faults.Crashes(body) {
		e.injectCrash(faults)
	}
	e.submit(s)
	return s
}

// sendCompletion waits for the generation to finish and responds with one chat completion object.
func (e *Server) sendCompletion(c echo.Context, s *stream) error {
	if !e.waitEvent(c, s, len(s.words)) {
		panic(http.ErrAbortHandler)
	}
	if e.Faults().Current().CutAfterEvents > 0 {
		panic(http.ErrAbortHandler)
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, s.encodeCompletion())
}

func (e *Server) resume(c echo.Context) error {
	from, err := strconv.Atoi(c.QueryParam("from"))
	if err != nil || from < 0 {
		return echo.NewHTTPError(http.StatusBadRequest, "from must be an event number")
	}
	e.mu.Lock()
	s, ok := e.streams[c.Param("id")]
	e.mu.Unlock()
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "no such stream")
	}
	e.attach(s)
	defer e.detach(s)
	return e.sendEvents(c, s, from)
}

func (e *Server) cancelStream(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[c.Param("id")]
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "no such stream")
	}
	e.cancel(s)
	return c.NoContent(http.StatusNoContent)
}

// kvExport is the payload of a KV cache export. A real engine exports opaque bytes; this one lists the block hashes.
type kvExport struct {
	Model  string   `json:"model"`
	Blocks []uint64 `json:"blocks"`
}

// exportRequest is the body of an export request: the messages whose cached prefix is exported.
type exportRequest struct {
	Chat     string    `json:"chat"`
	Messages []Message `json:"messages"`
}

func (e *Server) exportKV(c echo.Context) error {
	var request exportRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, mustEncode(e.exportPrefix(request.Messages)))
}

func (e *Server) importKV(c echo.Context) error {
	var imported kvExport
	if err := json.NewDecoder(c.Request().Body).Decode(&imported); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if !e.importPrefix(imported) {
		return echo.NewHTTPError(http.StatusConflict, "the cache is of another model")
	}
	return c.NoContent(http.StatusOK)
}

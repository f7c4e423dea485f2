package engine

import (
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/amaranthlb/amaranthlb/standin/backend"
)

// sendEvents writes the server-sent events of a stream, starting with event n.
func (e *Server) sendEvents(c echo.Context, s *stream, n int) error {
	writer := &eventWriter{response: c.Response(), stream: s, faults: e.Faults()}
	c.Response().Header().Set(echo.HeaderContentType, "text/event-stream")
	c.Response().Header().Set("Cache-Control", "no-cache")
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()
	for ; n <= len(s.words); n++ {
		if !e.waitEvent(c, s, n) {
			panic(http.ErrAbortHandler)
		}
		if err := writer.send(n); err != nil {
			return nil
		}
	}
	writer.end()
	return nil
}

// waitEvent waits until event n is available. It returns false if the stream is cancelled or the reader
// disconnects first.
func (e *Server) waitEvent(c echo.Context, s *stream, n int) bool {
	for {
		e.mu.Lock()
		ready, cancelled, changed := s.availableEvents() > n, s.cancelled, s.changed
		e.mu.Unlock()
		if ready {
			return e.Faults().WaitThawed(c.Request().Context())
		}
		if cancelled {
			return false
		}
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return false
		}
	}
}

// eventWriter writes server-sent events and applies the injected faults: cut, duplicate and swapped events.
type eventWriter struct {
	response *echo.Response
	stream   *stream
	faults   *backend.Switch
	sent     int
	delayed  []byte
}

func (w *eventWriter) send(n int) error {
	event := fmt.Appendf(nil, "id: %d\ndata: %s\n\n", n, w.stream.encodeEvent(n))
	faults := w.faults.Current()
	if faults.CutAfterEvents > 0 && w.sent >= faults.CutAfterEvents {
		panic(http.ErrAbortHandler)
	}
	if faults.DuplicateEvents {
		event = append(event, event...)
	}
	w.sent++
	if faults.SwapEvents && w.delayed == nil && n < len(w.stream.words) {
		w.delayed = event
		return nil
	}
	event = append(event, w.delayed...)
	w.delayed = nil
	return w.write(event)
}

func (w *eventWriter) write(event []byte) error {
	if _, err := w.response.Write(event); err != nil {
		return err
	}
	w.response.Flush()
	return nil
}

func (w *eventWriter) end() { _ = w.write([]byte("data: [DONE]\n\n")) }

package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
)

// headerRevision carries the revision of a configuration value.
const headerRevision = "X-Revision"

func (p *Server) routes() {
	p.echo.HideBanner = true
	p.echo.GET("/v1/config/:key", p.readConfig, p.budget)
	p.echo.GET("/v1/vms", p.readVMs, p.budget)
	p.echo.PUT("/standin/config/:key", p.putConfig)
	p.echo.PUT("/standin/vms", p.putVMs)
	p.echo.POST("/standin/mode", p.postMode)
	p.echo.GET("/standin/reads", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Reads()) })
}

// budget counts a call and refuses it above the read budget or while the platform is down.
func (p *Server) budget(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		select {
		case <-p.down():
			panic(http.ErrAbortHandler)
		default:
		}
		allowed := p.limiter.Allow()
		p.count(c.Path(), allowed)
		if !allowed {
			c.Response().Header().Set("Retry-After", "1")
			return echo.NewHTTPError(http.StatusTooManyRequests, "over the read budget")
		}
		return next(c)
	}
}

func (p *Server) count(path string, allowed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !allowed:
		p.reads.Refused++
	case path == "/v1/vms":
		p.reads.VMs++
	default:
		p.reads.Config++
	}
}

// down returns a channel that is closed while the platform is down.
func (p *Server) down() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.downCh
}

func (p *Server) readConfig(c echo.Context) error {
	document, found, err := p.watch(c, p.store, c.Param("key"))
	if err != nil {
		return err
	}
	if !found {
		return c.NoContent(http.StatusNotModified)
	}
	c.Response().Header().Set(headerRevision, strconv.FormatUint(document.Revision, 10))
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, document.Body)
}

func (p *Server) readVMs(c echo.Context) error {
	document, found, err := p.watch(c, p.vms, vmKey)
	if err != nil {
		return err
	}
	if !found {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSON(http.StatusOK, struct {
		Revision uint64          `json:"revision"`
		VMs      json.RawMessage `json:"vms"`
	}{document.Revision, document.Body})
}

// watch waits until readers see a revision above "after", at most "wait" seconds.
func (p *Server) watch(c echo.Context, s *store, key string) (Document, bool, error) {
	after, wait, err := watchParameters(c)
	if err != nil {
		return Document{}, false, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		changes := s.changes()
		document, found, next := s.get(key)
		if !found && next.IsZero() {
			return Document{}, false, echo.NewHTTPError(http.StatusNotFound, "no such key")
		}
		if found && document.Revision > after {
			return document, true, nil
		}
		if !p.waitChange(c, changes, next, deadline.C) {
			return Document{}, false, nil
		}
	}
}

func watchParameters(c echo.Context) (after uint64, wait time.Duration, err error) {
	if text := c.QueryParam("after"); text != "" {
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, echo.NewHTTPError(http.StatusBadRequest, "after must be a revision")
		}
	}
	if text := c.QueryParam("wait"); text != "" {
		seconds, parseErr := strconv.ParseFloat(text, 64)
		if parseErr != nil || seconds < 0 {
			return 0, 0, echo.NewHTTPError(http.StatusBadRequest, "wait must be a number of seconds")
		}
		wait = time.Duration(seconds * float64(time.Second))
	}
	return after, wait, nil
}

// waitChange returns true when the value may have changed and false when the reader's time is over.
func (p *Server) waitChange(c echo.Context, changes <-chan struct{}, next time.Time, deadline <-chan time.Time) bool {
	var visible <-chan time.Time
	if !next.IsZero() {
		timer := time.NewTimer(time.Until(next))
		defer timer.Stop()
		visible = timer.C
	}
	select {
	case <-changes:
		return true
	case <-visible:
		return true
	case <-p.down():
		panic(http.ErrAbortHandler)
	case <-deadline:
	case <-c.Request().Context().Done():
	}
	return false
}

func (p *Server) putConfig(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	revision, err := wantedRevision(c)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "revision must be a number")
	}
	revision = p.SetConfig(c.Param("key"), revision, body)
	return c.JSON(http.StatusOK, map[string]uint64{"revision": revision})
}

// wantedRevision returns the revision that the query or the header names, or 0.
func wantedRevision(c echo.Context) (uint64, error) {
	text := c.QueryParam("revision")
	if text == "" {
		text = c.Request().Header.Get(headerRevision)
	}
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func (p *Server) putVMs(c echo.Context) error {
	var list VMList
	if err := json.NewDecoder(c.Request().Body).Decode(&list); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return c.JSON(http.StatusOK, map[string]uint64{"revision": p.SetVMs(list.VMs)})
}

func (p *Server) postMode(c echo.Context) error {
	var mode Mode
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&mode); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	p.SetMode(mode)
	return c.JSON(http.StatusOK, mode)
}

package backend

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"github.com/labstack/echo/v4"
)

// controlPrefix starts the paths of the test control, which no fault affects.
const controlPrefix = "/standin/"

// Register adds the test control to a server and applies the faults to all other paths.
func Register(e *echo.Echo, runs *Runs, faults *Switch) {
	e.HideBanner = true
	e.Use(faultMiddleware(faults))
	e.GET("/standin/log", func(c echo.Context) error { return writeLog(c, runs) })
	e.GET("/standin/peak", func(c echo.Context) error { return c.JSON(http.StatusOK, runs.Peak()) })
	e.POST("/standin/faults", func(c echo.Context) error { return setFaults(c, faults) })
}

func faultMiddleware(faults *Switch) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if strings.HasPrefix(c.Request().URL.Path, controlPrefix) {
				return next(c)
			}
			if !faults.Apply(c.Response(), c.Request()) {
				return nil
			}
			return next(c)
		}
	}
}

func writeLog(c echo.Context, runs *Runs) error {
	c.Response().Header().Set(echo.HeaderContentType, "application/x-ndjson")
	c.Response().WriteHeader(http.StatusOK)
	encoder := json.NewEncoder(c.Response())
	for _, run := range runs.All() {
		if err := encoder.Encode(run); err != nil {
			return err
		}
	}
	return nil
}

func setFaults(c echo.Context, faults *Switch) error {
	var wanted Faults
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wanted); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	faults.Set(wanted)
	return c.JSON(http.StatusOK, wanted)
}

// Record is what a target knows of a request.
type Record struct {
	// State is absent, running or done.
	State  string `json:"state"`
	Status int    `json:"status"`
	Body   string `json:"body"`
}

// Records keeps the outcome of each request by its id.
type Records struct {
	mu      sync.Mutex
	records map[string]Record
}

// NewRecords returns an empty store.
func NewRecords() *Records { return &Records{records: make(map[string]Record)} }

// Begin notes that a request runs.
func (r *Records) Begin(id string) { r.set(id, Record{State: Running}) }

// End notes the outcome of a request.
func (r *Records) End(id string, status int, body string) {
	r.set(id, Record{State: Done, Status: status, Body: body})
}

func (r *Records) set(id string, record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[id] = record
}

// Get returns the record of a request.
func (r *Records) Get(id string) Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record, ok := r.records[id]; ok {
		return record
	}
	return Record{State: "absent"}
}

// Clear forgets all requests, as a restart does.
func (r *Records) Clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.records)
}

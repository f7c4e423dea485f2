package backend

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
)

// controlPrefix starts the paths of the test control, which no fault affects.
const controlPrefix = "/standin/"

// Server is what engines and services have in common: an http.Handler that listens, the log of runs, the faults and the
// test control.
type Server struct {
	*Listener
	Echo    *echo.Echo
	Records *Records
	runs    *Runs
	faults  *Switch
}

// NewServer returns a server that is not started. The log may be nil.
func NewServer(log io.Writer) *Server {
	s := &Server{Echo: echo.New(), Records: NewRecords(), runs: NewRuns(log), faults: NewSwitch()}
	s.Listener = NewListener(s)
	s.Echo.HideBanner = true
	s.Echo.Use(faultMiddleware(s.faults))
	s.Echo.GET("/v1/requests/:id", s.record)
	s.Echo.GET(controlPrefix+"log", s.log)
	s.Echo.GET(controlPrefix+"peak", s.peak)
	s.Echo.POST(controlPrefix+"faults", s.setFaults)
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	s.Echo.ServeHTTP(w, request)
}

// Runs returns the log of all runs.
func (s *Server) Runs() *Runs { return s.runs }

// Faults returns the switchable faults.
func (s *Server) Faults() *Switch { return s.faults }

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

func (s *Server) log(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "application/x-ndjson")
	c.Response().WriteHeader(http.StatusOK)
	encoder := json.NewEncoder(c.Response())
	for _, run := range s.runs.All() {
		if err := encoder.Encode(run); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) setFaults(c echo.Context) error {
	var wanted Faults
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wanted); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.faults.Set(wanted)
	return c.JSON(http.StatusOK, wanted)
}

func (s *Server) peak(c echo.Context) error { return c.JSON(http.StatusOK, s.runs.Peak()) }

func (s *Server) record(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Records.Get(c.Param("id")))
}

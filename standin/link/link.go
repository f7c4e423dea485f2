// Package link is a stand-in for links between zones: TCP relays with delay, loss, freezes and cuts.
package link

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"

	"github.com/amaranthlb/amaranthlb/standin/backend"
)

// Route relays connections from a listen address to a target address.
type Route struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	To     string `json:"to"`
}

// Condition is the present state of a link.
type Condition struct {
	// DelayMS is the one-way delay; JitterMS is the longest random addition to it.
	DelayMS  float64 `json:"delay_ms"`
	JitterMS float64 `json:"jitter_ms"`
	// Drop is the probability, for each chunk, that its whole connection is dropped.
	Drop float64 `json:"drop"`
	// Loss is the probability, for each chunk, that it is lost and sent again after RetransmitMS.
	Loss         float64 `json:"loss"`
	RetransmitMS float64 `json:"retransmit_ms"`
	// Freeze keeps connections open but passes no bytes.
	Freeze bool `json:"freeze"`
	// Cut closes all connections and refuses new ones.
	Cut bool `json:"cut"`
}

// Config holds the routes and their initial condition.
type Config struct {
	Routes    []Route
	Condition Condition
}

// Server relays all routes. It is an http.Handler for the control and can also listen by itself.
type Server struct {
	*backend.Listener
	echo   *echo.Echo
	relays []*relay
}

// New returns a server whose relays are not started.
func New(config Config) *Server {
	s := &Server{echo: echo.New()}
	s.Listener = backend.NewListener(s)
	for _, route := range config.Routes {
		s.relays = append(s.relays, newRelay(route, config.Condition))
	}
	s.echo.HideBanner = true
	s.echo.GET("/standin/link", s.list)
	s.echo.POST("/standin/link", s.change)
	return s
}

// ServeHTTP answers one control request.
func (s *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	s.echo.ServeHTTP(w, request)
}

// Start starts the relays, and the control on the address unless that is empty.
func (s *Server) Start(address string) error {
	for _, r := range s.relays {
		if err := r.start(); err != nil {
			return err
		}
	}
	if address == "" {
		return nil
	}
	return s.Listener.Start(address)
}

// Close ends the control and all relays.
func (s *Server) Close() error {
	err := s.Listener.Close()
	for _, r := range s.relays {
		r.close()
	}
	return err
}

// RouteAddress returns the address on which a route listens.
func (s *Server) RouteAddress(name string) string {
	for _, r := range s.relays {
		if r.route.Name == name && r.listener != nil {
			return r.listener.Addr().String()
		}
	}
	return ""
}

// Set changes the condition of the named route, or of all routes if the name is empty.
func (s *Server) Set(name string, update func(*Condition)) bool {
	found := false
	for _, r := range s.relays {
		if name == "" || r.route.Name == name {
			r.update(update)
			found = true
		}
	}
	return found
}

// routeState is the control's view of one route.
type routeState struct {
	Route
	Condition
}

func (s *Server) list(c echo.Context) error {
	states := make([]routeState, len(s.relays))
	for i, r := range s.relays {
		states[i] = routeState{Route: r.route, Condition: r.current()}
		states[i].Listen = s.RouteAddress(r.route.Name)
	}
	return c.JSON(http.StatusOK, states)
}

// change sets the fields that the body has and leaves the others. The field "route" names one route.
func (s *Server) change(c echo.Context) error {
	var fields struct {
		Route string `json:"route"`
		Condition
	}
	raw := json.RawMessage{}
	if err := json.NewDecoder(c.Request().Body).Decode(&raw); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if err := json.Unmarshal(raw, &fields); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if !s.Set(fields.Route, func(condition *Condition) { _ = json.Unmarshal(raw, condition) }) {
		return echo.NewHTTPError(http.StatusNotFound, "no such route")
	}
	return s.list(c)
}

// connections is a set of open connections.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

func (c *connections) add(conns ...net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range conns {
		c.open[conn] = struct{}{}
	}
}

func (c *connections) remove(conns ...net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range conns {
		delete(c.open, conn)
		_ = conn.Close()
	}
}

func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		_ = conn.Close()
	}
}

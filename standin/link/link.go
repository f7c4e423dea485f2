// Package link is a stand-in for links between zones: TCP relays with delay, loss, freezes and cuts. A relay knows its
// callers by their IP addresses, so that the traffic of one of them can be changed, also in one direction only.
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
	// Freeze keeps connections open but passes no bytes; they follow when it ends. In one direction only it stands for
	// a link that loses all packets of that direction.
	Freeze bool `json:"freeze"`
	// Cut closes all connections and refuses new ones, also when only one direction has it.
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

// Selection says whose condition is changed.
type Selection struct {
	// Route is the name of one route; empty selects all.
	Route string `json:"route"`
	// From is the IP address of one caller, which then keeps a condition of its own; empty selects all others.
	From string `json:"from"`
	// Direction is Forward, Back or empty for both.
	Direction Direction `json:"direction"`
}

// Direction is a direction of a connection.
type Direction string

// Directions of a connection: from the caller, and to it.
const (
	Forward Direction = "forward"
	Back    Direction = "back"
)

// Set changes the condition of the selected traffic.
func (s *Server) Set(selection Selection, update func(*Condition)) bool {
	found := false
	for _, r := range s.relays {
		if selection.Route == "" || r.route.Name == selection.Route {
			r.update(selection, update)
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
		states[i] = routeState{Route: r.route, Condition: r.current(flow{direction: Forward})}
		states[i].Listen = s.RouteAddress(r.route.Name)
	}
	return c.JSON(http.StatusOK, states)
}

// change sets the fields that the body has and leaves the others. The fields of Selection say where.
func (s *Server) change(c echo.Context) error {
	var fields struct {
		Selection
		Condition
	}
	raw := json.RawMessage{}
	if err := json.NewDecoder(c.Request().Body).Decode(&raw); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if err := json.Unmarshal(raw, &fields); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if !s.Set(fields.Selection, func(condition *Condition) { _ = json.Unmarshal(raw, condition) }) {
		return echo.NewHTTPError(http.StatusNotFound, "no such route")
	}
	return s.list(c)
}

// connections holds the open connections with the callers to which they belong.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]string
}

func (c *connections) add(conn net.Conn, caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = caller
}

func (c *connections) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
	_ = conn.Close()
}

// closeOf closes the connections of the callers that match.
func (c *connections) closeOf(match func(caller string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, caller := range c.open {
		if match(caller) {
			_ = conn.Close()
		}
	}
}

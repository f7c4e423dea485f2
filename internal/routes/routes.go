// Package routes holds the routing table of the router: which service answers a host and path, what may be
// repeated there, and which customer holds an API key.
//
// A Table is immutable once built. Versions order tables; which one is in force is decided by the caller.
package routes

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream answers with a series of events. A stream may run again only where the route is resumable.
	Stream
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// Backend is a share of a route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Route says how requests of a host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may take; zero means no limit.
	Timeout time.Duration
	// MaxTargets is the number of targets that may run one request.
	MaxTargets int
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Public routes take requests without an API key.
	Public bool
	// Resumable streams may go on at another target.
	Resumable bool
	Backends  []Backend
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service picks the service of a request. The hash spreads the requests over the backends by weight.
func (r *Route) Service(hash uint64) string {
	if len(r.Backends) == 0 {
		return ""
	}
	total := 0
	for _, backend := range r.Backends {
		total += backend.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	point := int(hash % uint64(total))
	for _, backend := range r.Backends {
		point -= backend.Weight
		if point < 0 {
			return backend.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Service is a set of interchangeable targets.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all callers to one target.
	MaxConnections int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Customer is a holder of API keys.
type Customer struct {
	Name string
	// Priority takes precedence over that of the route when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Table is one version of the configuration.
type Table struct {
	Version   uint64
	Limits    Limits
	hosts     map[string][]*Route
	services  map[string]*Service
	customers map[string]*Customer
	keyed     bool
}

// Content is what a table is built from.
type Content struct {
	Version  uint64
	Limits   Limits
	Routes   []Route
	Services []Service
	// Keys maps an API key to its customer. A nil map means that no route asks for a key.
	Keys map[string]*Customer
}

// NewTable builds the lookup structures of a configuration.
func NewTable(content Content) *Table {
	table := &Table{
		Version:   content.Version,
		Limits:    content.Limits,
		hosts:     make(map[string][]*Route),
		services:  make(map[string]*Service, len(content.Services)),
		customers: content.Keys,
		keyed:     content.Keys != nil,
	}
	for i := range content.Services {
		table.services[content.Services[i].Name] = &content.Services[i]
	}
	for i := range content.Routes {
		route := &content.Routes[i]
		table.hosts[route.Host] = append(table.hosts[route.Host], route)
	}
	for _, list := range table.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return table
}

// Match returns the route with the longest prefix of the path among those of the host, or nil.
func (t *Table) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Customer returns the holder of a key, or nil when the key is unknown.
func (t *Table) Customer(key string) *Customer { return t.customers[key] }

// NeedsKey reports whether requests of the route have to carry an API key.
func (t *Table) NeedsKey(route *Route) bool { return t.keyed && !route.Public }

// StreamServices returns the names of the services that answer with streams, which are those of engines.
func (t *Table) StreamServices() map[string]bool {
	names := make(map[string]bool)
	for _, list := range t.hosts {
		for _, route := range list {
			for _, backend := range route.Backends {
				if route.Kind == Stream {
					names[backend.Service] = true
				}
			}
		}
	}
	return names
}

// Routes returns the number of routes.
func (t *Table) Routes() int {
	count := 0
	for _, list := range t.hosts {
		count += len(list)
	}
	return count
}

// Target is one instance of a service.
type Target struct {
	// ID names the instance. An instance that starts again may keep it.
	ID      string
	Service string
	// Address is host:port.
	Address string
	Zone    string
	// Slots is the number of requests that the target works on at once.
	Slots int
	// ColdLeft is the remaining warm-up time, during which the target is slow.
	ColdLeft time.Duration
	// Draining targets finish their requests and accept no new ones.
	Draining bool
	// Born is the time at which the instance started, in Unix milliseconds; 0 when unknown.
	Born int64
	// Revision is the store's revision of the entry.
	Revision uint64
}

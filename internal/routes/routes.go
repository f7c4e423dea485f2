// Package routes holds the routing table of the router: which service handles a host and path, which requests may be
// repeated, and which customer owns an API key.
//
// A Table is immutable once built. Tables are ordered by version; the caller decides which one is in effect.
package routes

import (
	"errors"
	"sort"
	"strings"
	"time"
)

// Kind determines which requests of a route may be repeated.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered with a stream of events. They may run again only if the route is resumable.
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

// Backend is a service that receives a share of a route's requests, by weight.
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
	// Timeout is the maximum duration of a request; zero means no limit.
	Timeout time.Duration
	// MaxTargets is the maximum number of targets that may run one request.
	MaxTargets int
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Public routes accept requests without an API key.
	Public bool
	// Resumable is set if streams may be resumed at another target.
	Resumable bool
	Backends  []Backend
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service selects the service for a request. The hash distributes requests over the backends by weight.
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
	// MaxConnections limits the connections of all callers to one target.
	MaxConnections int
	// MovableRuns is set if the targets are engines that can move a running request to another engine.
	MovableRuns bool
	// Warmup is what the targets tolerate while they warm up.
	Warmup Warmup
}

// Warmup is what a target tolerates while it warms up.
type Warmup struct {
	// Duration is how long a target warms up after its start; 0 if it is not stated. What remains of it at a target is
	// stated by the target itself.
	Duration time.Duration
	// Rate is the number of requests a second that the target tolerates, from all routers together; 0 if there is no limit.
	Rate float64
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Customer is an owner of API keys.
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

// Content is the configuration from which a table is built.
type Content struct {
	Version  uint64
	Limits   Limits
	Routes   []Route
	Services []Service
	// Keys maps an API key to its customer. If it is nil, no route requires a key.
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

// Customer returns the owner of a key, or nil if the key is unknown.
func (t *Table) Customer(key string) *Customer { return t.customers[key] }

// NeedsKey reports whether requests of the route require an API key.
func (t *Table) NeedsKey(route *Route) bool { return t.keyed && !route.Public }

// StreamServices returns the names of the services that respond with streams, which are the engine services.
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
	// ID identifies the instance. A restarted instance may keep its ID.
	ID      string
	Service string
	// Address is host:port.
	Address string
	Zone    string
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// WarmupRemaining is the remaining warm-up time, during which the target is slow.
	WarmupRemaining time.Duration
	// InvalidWarmup is the beginning of a remaining warm-up time that is malformed; it counts as not stated.
	InvalidWarmup string
	// WarmupUntil is when the warm-up ends, on the monotonic clock of this process; 0 if the target is warm.
	WarmupUntil time.Duration
	// Draining targets finish their requests and accept no new ones.
	Draining bool
	// StartedAt is when the instance started, in Unix milliseconds; 0 when unknown.
	StartedAt int64
	// Sequence counts what the instance has written about itself.
	Sequence uint64
	// Revision is the store's revision of the entry.
	Revision uint64
}

// Supersedes reports whether the target describes a later state than another description with the same ID. Targets that
// don't state their start can't be compared.
func (t *Target) Supersedes(other *Target) bool {
	switch {
	case t.StartedAt == 0 || other.StartedAt == 0:
		return false
	case t.StartedAt != other.StartedAt:
		return t.StartedAt > other.StartedAt
	}
	return t.Sequence > other.Sequence
}

// ErrRunNotStopped reports a call to an engine that has not stopped the run. After any other error the run may have been
// stopped.
var ErrRunNotStopped = errors.New("run not stopped")

// MovedRun is a run whose memory was copied so that it can continue elsewhere.
type MovedRun struct {
	// Reference names the run's memory in the request that continues it.
	Reference string
	// Copied is set if the other engine has the memory. Otherwise only the engine that stopped the run can continue it.
	Copied bool
	// Events is the number of events that the run had produced.
	Events int
}

package catalogue

import (
	"strings"

	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
)

// Catalogue is one accepted or proposed revision. It is immutable once parsed.
type Catalogue struct {
	// Revision is the number that operators give this document; a higher one replaces a lower one.
	Revision uint64 `yaml:"revision" json:"revision,omitzero"`
	// Customers lists the tenants of the fleet.
	Customers []Customer `yaml:"customers" json:"customers,omitzero"`
	// Pools lists models and services with their targets.
	Pools []Pool `yaml:"pools" json:"pools,omitzero"`

	customersByKey map[string]*Customer
	customers      map[string]*Customer
	pools          map[string]*Pool
	targets        map[string]*Target
	entries        []Entry
	digest         uint64
}

// Class ranks requests by urgency; engines receive it as a priority.
type Class string

// Classes, most urgent first.
const (
	Interactive Class = "interactive"
	Standard    Class = "standard"
	Batch       Class = "batch"
)

// Priority returns the engine priority of the class; lower is more urgent.
func (c Class) Priority() int {
	switch c {
	case Interactive:
		return 0
	case Batch:
		return 2
	}
	return 1
}

// Customer is one tenant.
type Customer struct {
	Name  string `yaml:"name" json:"name,omitzero"`
	Owner string `yaml:"owner" json:"owner,omitzero"`
	Class Class  `yaml:"class" json:"class,omitzero"`
	// KeyDigests are the hexadecimal SHA-256 digests of the customer's API keys.
	KeyDigests []string `yaml:"key_sha256" json:"key_sha256,omitzero"`
	// Weight is the customer's share of a contended target.
	Weight float64 `yaml:"weight" json:"weight,omitzero"`
	// RequestsPerSecond is the fleet-wide rate limit; 0 is unlimited.
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second,omitzero"`
	// Concurrent is the fleet-wide limit of requests in flight; 0 is unlimited.
	Concurrent int `yaml:"concurrent" json:"concurrent,omitzero"`
}

// Kind distinguishes model pools from service pools.
type Kind string

// Kinds of pools.
const (
	Model   Kind = "model"
	Service Kind = "service"
)

// Pool is one model or service and the targets that serve it.
type Pool struct {
	Name  string `yaml:"name" json:"name,omitzero"`
	Owner string `yaml:"owner" json:"owner,omitzero"`
	Kind  Kind   `yaml:"kind" json:"kind,omitzero"`
	Class Class  `yaml:"class" json:"class,omitzero"`
	// Version is the model version that engines should serve.
	Version string `yaml:"version" json:"version,omitzero"`
	// Adapters are loaded on every engine of the pool.
	Adapters []string `yaml:"adapters" json:"adapters,omitzero"`
	// LoadMultiple bounds each target's load to this multiple of the pool's mean.
	LoadMultiple float64 `yaml:"load_multiple" json:"load_multiple,omitzero"`
	// MaxInFlight is the absolute bound of each target's load.
	MaxInFlight int `yaml:"max_in_flight" json:"max_in_flight,omitzero"`
	// QueueLength bounds the requests that wait for one target.
	QueueLength int `yaml:"queue_length" json:"queue_length,omitzero"`
	// QueueWait bounds the time that a request waits for one target.
	QueueWait Duration `yaml:"queue_wait" json:"queue_wait,omitzero"`
	// Deadline bounds a whole request.
	Deadline Duration `yaml:"deadline" json:"deadline,omitzero"`
	// ReuseWeight is the weight of a cached prefix when a target is selected.
	ReuseWeight float64 `yaml:"reuse_weight" json:"reuse_weight,omitzero"`
	// SkewWeight is the weight of a target's load as a penalty.
	SkewWeight float64 `yaml:"skew_weight" json:"skew_weight,omitzero"`
	// ZoneWeight multiplies the rank weight of targets in the entry's own zone.
	ZoneWeight float64 `yaml:"zone_weight" json:"zone_weight,omitzero"`
	// ChecksFencing reports that the pool's engines reject orders with an outdated fencing token.
	ChecksFencing bool `yaml:"checks_fencing" json:"checks_fencing,omitzero"`
	// Resumable reports that the pool's targets can resume a stream.
	Resumable bool `yaml:"resumable" json:"resumable,omitzero"`
	// OutcomeQuery reports that the pool's targets can be queried for the outcome of a request by its id.
	OutcomeQuery bool `yaml:"fate_query" json:"fate_query,omitzero"`
	// KVTransfer reports that the pool's engines can export and import KV cache.
	KVTransfer bool `yaml:"kv_transfer" json:"kv_transfer,omitzero"`
	// NonRepeatable lists the calls that run at most once.
	NonRepeatable []Call `yaml:"non_repeatable" json:"non_repeatable,omitzero"`
	// Targets lists the pool's back ends.
	Targets []Target `yaml:"targets" json:"targets,omitzero"`
}

// Call selects calls of a service by method and path prefix.
type Call struct {
	Method string `yaml:"method" json:"method,omitzero"`
	Path   string `yaml:"path" json:"path,omitzero"`
}

// Target is one back end.
type Target struct {
	Name    string `yaml:"name" json:"name,omitzero"`
	Address string `yaml:"address" json:"address,omitzero"`
	Zone    string `yaml:"zone" json:"zone,omitzero"`
	Region  string `yaml:"region" json:"region,omitzero"`
	// Role is the role that an engine should have, such as "serve" or "prefill".
	Role string `yaml:"role" json:"role,omitzero"`

	pool *Pool
	hash uint64
}

// Pool returns the pool that the target belongs to.
func (t *Target) Pool() *Pool { return t.pool }

// Hash returns the rendezvous hash of the target's name.
func (t *Target) Hash() uint64 { return t.hash }

// Customer returns the customer with the name.
func (c *Catalogue) Customer(name string) (*Customer, bool) {
	customer, ok := c.customers[name]
	return customer, ok
}

// CustomerByKeyDigest returns the customer that owns the API key with the hexadecimal SHA-256 digest.
func (c *Catalogue) CustomerByKeyDigest(digest string) (*Customer, bool) {
	customer, ok := c.customersByKey[digest]
	return customer, ok
}

// Pool returns the pool with the name.
func (c *Catalogue) Pool(name string) (*Pool, bool) {
	pool, ok := c.pools[name]
	return pool, ok
}

// Target returns the target with the name.
func (c *Catalogue) Target(name string) (*Target, bool) {
	target, ok := c.targets[name]
	return target, ok
}

// Digest identifies the content of the catalogue, independent of the layout of its document.
func (c *Catalogue) Digest() uint64 { return c.digest }

// index builds the lookup tables.
func (c *Catalogue) index() {
	c.customers = make(map[string]*Customer, len(c.Customers))
	c.customersByKey = make(map[string]*Customer, len(c.Customers))
	c.pools = make(map[string]*Pool, len(c.Pools))
	c.targets = make(map[string]*Target)
	for i := range c.Customers {
		c.indexCustomer(&c.Customers[i])
	}
	for i := range c.Pools {
		c.indexPool(&c.Pools[i])
	}
}

func (c *Catalogue) indexCustomer(customer *Customer) {
	c.customers[customer.Name] = customer
	for _, digest := range customer.KeyDigests {
		c.customersByKey[digest] = customer
	}
}

func (c *Catalogue) indexPool(pool *Pool) {
	c.pools[pool.Name] = pool
	for i := range pool.Targets {
		target := &pool.Targets[i]
		target.pool = pool
		target.hash = rendezvous.Hash(target.Name)
		c.targets[target.Name] = target
	}
}

// NonRepeatableCall reports whether the call may run at most once.
func (p *Pool) NonRepeatableCall(method, path string) bool {
	for _, call := range p.NonRepeatable {
		if call.matches(method, path) {
			return true
		}
	}
	return false
}

// matches reports whether the call covers a method and path; the path prefix matches only at segment boundaries.
func (c Call) matches(method, path string) bool {
	if c.Method != "*" && !strings.EqualFold(c.Method, method) {
		return false
	}
	prefix := strings.TrimSuffix(c.Path, "/")
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

package catalogue

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
)

// Catalogue is one accepted or proposed revision. It is immutable once parsed.
type Catalogue struct {
	// Revision is the operators' number of this document; higher replaces lower.
	Revision uint64 `yaml:"revision"`
	// Customers lists the tenants of the fleet.
	Customers []Customer `yaml:"customers"`
	// Pools lists models and services with their targets.
	Pools []Pool `yaml:"pools"`

	customersByKey map[string]*Customer
	customers      map[string]*Customer
	pools          map[string]*Pool
	targets        map[string]*Target
	digest         uint64
}

// Class orders requests by urgency; engines get it as a priority.
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
	Name  string `yaml:"name"`
	Owner string `yaml:"owner"`
	Class Class  `yaml:"class"`
	// KeyDigests are the hexadecimal SHA-256 digests of the customer's API keys.
	KeyDigests []string `yaml:"key_sha256"`
	// Weight is the customer's share of a contended target.
	Weight float64 `yaml:"weight"`
	// RequestsPerSecond is the fleet-wide rate limit; 0 is unlimited.
	RequestsPerSecond float64 `yaml:"requests_per_second"`
	// Concurrent is the fleet-wide limit of requests in flight; 0 is unlimited.
	Concurrent int `yaml:"concurrent"`
}

// Kind tells model pools from service pools.
type Kind string

// Kinds of pools.
const (
	Model   Kind = "model"
	Service Kind = "service"
)

// Pool is one model or service and the targets that serve it.
type Pool struct {
	Name  string `yaml:"name"`
	Owner string `yaml:"owner"`
	Kind  Kind   `yaml:"kind"`
	Class Class  `yaml:"class"`
	// Version is the model version that engines should serve.
	Version string `yaml:"version"`
	// Adapters are loaded on every engine of the pool.
	Adapters []string `yaml:"adapters"`
	// LoadMultiple bounds each target's load to this multiple of the pool's mean.
	LoadMultiple float64 `yaml:"load_multiple"`
	// MaxInFlight bounds each target's load absolutely.
	MaxInFlight int `yaml:"max_in_flight"`
	// QueueLength bounds the requests that wait for one target.
	QueueLength int `yaml:"queue_length"`
	// QueueWait bounds the time that a request waits for one target.
	QueueWait Duration `yaml:"queue_wait"`
	// Deadline bounds a whole request.
	Deadline Duration `yaml:"deadline"`
	// ReuseWeight is how much a cached prefix counts when a target is chosen.
	ReuseWeight float64 `yaml:"reuse_weight"`
	// SkewWeight is how much a target's load counts against it.
	SkewWeight float64 `yaml:"skew_weight"`
	// ZoneWeight multiplies the rank weight of targets in the entry's own zone.
	ZoneWeight float64 `yaml:"zone_weight"`
	// ChecksFencing says that the pool's engines refuse orders with an old fencing number.
	ChecksFencing bool `yaml:"checks_fencing"`
	// Resumable says that the pool's targets can resume a stream.
	Resumable bool `yaml:"resumable"`
	// FateQuery says that the pool's targets can be asked for the fate of a request by its id.
	FateQuery bool `yaml:"fate_query"`
	// KVTransfer says that the pool's engines can export and import KV cache.
	KVTransfer bool `yaml:"kv_transfer"`
	// NonRepeatable lists the calls that run at most once.
	NonRepeatable []Call `yaml:"non_repeatable"`
	// Targets lists the pool's back ends.
	Targets []Target `yaml:"targets"`
}

// Call selects calls of a service by method and path prefix.
type Call struct {
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
}

// Target is one back end.
type Target struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
	Zone    string `yaml:"zone"`
	Region  string `yaml:"region"`
	// Role is the role that an engine should have, such as "serve" or "prefill".
	Role string `yaml:"role"`

	pool *Pool
	hash uint64
}

// Pool returns the pool that the target belongs to.
func (t *Target) Pool() *Pool { return t.pool }

// Hash returns the rendezvous hash of the target's name.
func (t *Target) Hash() uint64 { return t.hash }

// Defaults of pool and customer fields.
const (
	DefaultLoadMultiple = 1.25
	DefaultMaxInFlight  = 64
	DefaultQueueLength  = 64
	DefaultQueueWait    = 2 * time.Second
	DefaultDeadline     = 2 * time.Minute
	DefaultReuseWeight  = 1
	DefaultSkewWeight   = 1
	DefaultZoneWeight   = 2
	DefaultWeight       = 1
)

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

// Digest identifies the content of the catalogue, whatever the layout of its document.
func (c *Catalogue) Digest() uint64 { return c.digest }

// index builds the lookup tables and sets the defaults of fields that the document omits.
func (c *Catalogue) index() {
	c.customers = make(map[string]*Customer, len(c.Customers))
	c.customersByKey = make(map[string]*Customer, len(c.Customers))
	c.pools = make(map[string]*Pool, len(c.Pools))
	c.targets = make(map[string]*Target)
	for i := range c.Customers {
		customer := &c.Customers[i]
		customer.setDefaults()
		c.customers[customer.Name] = customer
		for _, digest := range customer.KeyDigests {
			c.customersByKey[digest] = customer
		}
	}
	for i := range c.Pools {
		pool := &c.Pools[i]
		pool.setDefaults()
		c.pools[pool.Name] = pool
		for j := range pool.Targets {
			target := &pool.Targets[j]
			target.pool = pool
			target.hash = rendezvous.Hash(target.Name)
			c.targets[target.Name] = target
		}
	}
}

func (c *Customer) setDefaults() {
	if c.Class == "" {
		c.Class = Standard
	}
	if c.Weight == 0 {
		c.Weight = DefaultWeight
	}
}

func (p *Pool) setDefaults() {
	if p.Class == "" {
		p.Class = Standard
	}
	setDefault(&p.LoadMultiple, DefaultLoadMultiple)
	setDefault(&p.MaxInFlight, DefaultMaxInFlight)
	setDefault(&p.QueueLength, DefaultQueueLength)
	setDefault(&p.QueueWait, Duration(DefaultQueueWait))
	setDefault(&p.Deadline, Duration(DefaultDeadline))
	setDefault(&p.ReuseWeight, DefaultReuseWeight)
	setDefault(&p.SkewWeight, DefaultSkewWeight)
	setDefault(&p.ZoneWeight, DefaultZoneWeight)
}

// setDefault replaces a zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
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

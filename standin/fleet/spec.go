// Package fleet starts a whole system on loopback as separate processes: platform, targets, gates and entries.
//
// It serves the demo, the replay tool and the process tests. It only starts and signals processes and writes their
// settings; every decision is the daemons' own.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
)

// TargetSpec is one target of a fleet.
type TargetSpec struct {
	Name string
	// Service says that the target is a plain service and not an engine.
	Service bool
	Zone    string
	Flags   []string
	// Address is set for a target that the caller serves itself; the fleet starts no process for it.
	Address string
}

// Names of the pools in the fleet's catalogue.
const (
	ModelPool = "assistant"
	// ModelVersion is the version that the model pool's engines serve.
	ModelVersion = "v1"
	ServicePool  = "orders"
)

// Spec says what to start.
type Spec struct {
	// Zones of the fleet; each belongs to the region of the same position, or to "r1".
	Zones   []string
	Regions []string
	// GatesPerZone and EntriesPerZone are the daemons in each zone.
	GatesPerZone   int
	EntriesPerZone int
	// Engines and Services are spread over the zones in turn.
	Engines  int
	Services int
	// EngineFlags and ServiceFlags are passed to the stand-ins.
	EngineFlags  []string
	ServiceFlags []string
	// EmptyEngines start without a model; others have loaded that of the first catalogue.
	EmptyEngines bool
	// PlatformFlags are passed to the platform's stand-in.
	PlatformFlags []string
	Customers     []catalogue.Customer
	// Model and Service are the templates of the pools.
	Model   catalogue.Pool
	Service catalogue.Pool
	// Targets replaces Engines and Services by targets with names and flags of their own. Document then returns the
	// catalogue of the targets' addresses.
	Targets  []TargetSpec
	Document func(addresses map[string]string) ([]byte, error)
	// Timing lines are added to the settings, such as "suspicion: 2s".
	Timing []string
	// EntrySettings lines are added to the settings of entries, such as "stall_timeout: 2s".
	EntrySettings []string
	// ThroughLinks puts a stand-in link before each gate, and between each daemon and the platform, so that tests can cut
	// and delay them, for all callers or between two daemons.
	ThroughLinks bool
	// LinkFlags are passed to the link's stand-in.
	LinkFlags []string
}

// Default returns a fleet of two zones with streaming engines and an order service.
func Default() Spec {
	return Spec{
		Zones:          []string{"a", "b"},
		GatesPerZone:   2,
		EntriesPerZone: 1,
		Engines:        4,
		Services:       2,
		Customers:      []catalogue.Customer{Customer("rose", 1), Customer("press", 1)},
		Model:          modelPool(),
		Service:        servicePool(),
	}
}

func modelPool() catalogue.Pool {
	pool := basicPool(ModelPool, catalogue.Model)
	pool.Version = ModelVersion
	pool.Resumable = true
	pool.OutcomeQuery = true
	pool.KVTransfer = true
	pool.ChecksFencing = true
	return pool
}

func servicePool() catalogue.Pool {
	pool := basicPool(ServicePool, catalogue.Service)
	pool.LoadMultiple = 2
	pool.NonRepeatable = []catalogue.Call{{Method: "POST", Path: "/submit"}}
	return pool
}

// basicPool returns a pool with every field that a document would get by default.
func basicPool(name string, kind catalogue.Kind) catalogue.Pool {
	return catalogue.Pool{
		Name:         name,
		Owner:        "demo",
		Kind:         kind,
		Class:        catalogue.Standard,
		LoadMultiple: 1.5,
		MaxInFlight:  32,
		QueueLength:  catalogue.DefaultQueueLength,
		QueueWait:    catalogue.Duration(catalogue.DefaultQueueWait),
		Deadline:     catalogue.Duration(30 * time.Second),
		ReuseWeight:  catalogue.DefaultReuseWeight,
		SkewWeight:   catalogue.DefaultSkewWeight,
		ZoneWeight:   catalogue.DefaultZoneWeight,
	}
}

// Customer returns a customer whose API key is Key(name).
func Customer(name string, weight float64) catalogue.Customer {
	sum := sha256.Sum256([]byte(Key(name)))
	return catalogue.Customer{
		Name:       name,
		Owner:      "demo",
		Class:      catalogue.Standard,
		KeyDigests: []string{hex.EncodeToString(sum[:])},
		Weight:     weight,
	}
}

// Key returns the API key of a customer of the fleet.
func Key(customer string) string { return "key-of-" + customer }

func (s Spec) region(zone int) string {
	if zone < len(s.Regions) {
		return s.Regions[zone]
	}
	return "r1"
}

// node is one process that the fleet starts.
type node struct {
	name    string
	role    string
	zone    int
	address string
	// admin is the address of metrics and health checks of a daemon.
	admin string
	// flags are passed to a target's stand-in after those of the fleet.
	flags []string
	// external says that the caller serves the node's address itself.
	external bool
	// linked is the address that others use when the node is behind a link.
	linked string
	// source is the address from which a daemon calls others through links, and platform that of its link to the platform.
	source   string
	platform string
}

// public returns the address that other processes use.
func (n *node) public() string {
	if n.linked != "" {
		return n.linked
	}
	return n.address
}

// Roles of processes.
const (
	roleEntry   = "entry"
	roleGate    = "gate"
	roleTarget  = "target"
	roleEngine  = "engine"
	roleService = "service"
)

func (s Spec) nodes() []*node {
	var nodes []*node
	for zone, name := range s.Zones {
		for i := range s.GatesPerZone {
			nodes = append(nodes, &node{name: fmt.Sprintf("gate-%s%d", name, i+1), role: roleGate, zone: zone})
		}
		for i := range s.EntriesPerZone {
			nodes = append(nodes, &node{name: fmt.Sprintf("entry-%s%d", name, i+1), role: roleEntry, zone: zone})
		}
	}
	if s.Targets != nil {
		return append(nodes, s.targetNodes()...)
	}
	for i := range s.Engines {
		nodes = append(nodes, &node{name: fmt.Sprintf("engine-%02d", i+1), role: roleEngine, zone: i % len(s.Zones)})
	}
	for i := range s.Services {
		nodes = append(nodes, &node{name: fmt.Sprintf("service-%02d", i+1), role: roleService, zone: i % len(s.Zones)})
	}
	return nodes
}

func (s Spec) targetNodes() []*node {
	var nodes []*node
	for _, t := range s.Targets {
		role := roleEngine
		if t.Service {
			role = roleService
		}
		nodes = append(nodes, &node{
			name:     t.Name,
			role:     role,
			zone:     slices.Index(s.Zones, t.Zone),
			flags:    t.Flags,
			address:  t.Address,
			external: t.Address != "",
		})
	}
	return nodes
}

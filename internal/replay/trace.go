package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/standin/batch"
)

// Kinds of events.
const (
	KindChat  = "chat"
	KindCall  = "call"
	KindFault = "fault"
)

// Fault is a kind of fault.
type Fault string

// Faults that a trace can contain.
const (
	// TargetLeave takes a target away by the VM list; its requests in flight finish. It returns empty.
	TargetLeave Fault = "target_leave"
	// TargetJoin adds a target that was not there from the start.
	TargetJoin Fault = "target_join"
	// TargetCrash ends a target's requests; it returns with an empty cache.
	TargetCrash Fault = "target_crash"
	// TargetFlap makes a target refuse new work for a time; its cache stays.
	TargetFlap Fault = "target_flap"
	// VMReplace ends an entry VM and starts a new one in its zone.
	VMReplace Fault = "vm_replace"
	// ZoneCut cuts the links between a zone and the others.
	ZoneCut Fault = "zone_cut"
	// PlatformDown makes configuration service and VM list unreachable.
	PlatformDown Fault = "platform_down"
)

// targetFaults and knownFaults list the faults that have a target, and all faults.
var (
	targetFaults = []Fault{TargetLeave, TargetJoin, TargetCrash, TargetFlap}
	knownFaults  = append([]Fault{VMReplace, ZoneCut, PlatformDown}, targetFaults...)
)

// Deployment is the first line of a trace.
type Deployment struct {
	Name string `json:"name"`
	// Seed is the number that the trace was generated from.
	Seed uint64 `json:"seed"`
	// TimeScale is the number of seconds of the deployment that one second of the trace stands for. It holds
	// for arrivals, pauses and faults, not for the engines' times.
	TimeScale float64  `json:"time_scale"`
	Zones     []string `json:"zones"`
	// ZoneDelayMS is the one-way delay between zones.
	ZoneDelayMS float64    `json:"zone_delay_ms"`
	Customers   []Customer `json:"customers"`
	Pools       []Pool     `json:"pools"`
}

// Customer is a tenant of a deployment.
type Customer struct {
	Name string `json:"name"`
	// Key is the customer's API key.
	Key string `json:"key"`
	// Weight is the customer's part of the traffic.
	Weight float64 `json:"weight"`
	// System is the first message of each of the customer's chats.
	System string `json:"system"`
}

// Pool is a model or service of a deployment with the properties of its targets.
type Pool struct {
	Name          string           `json:"name"`
	Kind          catalogue.Kind   `json:"kind"`
	LoadMultiple  float64          `json:"load_multiple,omitempty"`
	ReuseWeight   float64          `json:"reuse_weight,omitempty"`
	SkewWeight    float64          `json:"skew_weight,omitempty"`
	Engine        *Engine          `json:"engine,omitempty"`
	RunTimeMS     float64          `json:"run_time_ms,omitempty"`
	NonRepeatable []catalogue.Call `json:"non_repeatable,omitempty"`
	Targets       []Target         `json:"targets"`
}

// Engine holds the speed and size of a pool's engines.
type Engine struct {
	Slots            int     `json:"slots"`
	TokenMS          float64 `json:"token_ms"`
	BatchTokenMS     float64 `json:"batch_token_ms"`
	PrefillMS        float64 `json:"prefill_ms"`
	CacheBlocks      int     `json:"cache_blocks"`
	ReportIntervalMS float64 `json:"report_interval_ms"`
}

// Target is one back end of a pool.
type Target struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Absent targets join later.
	Absent bool `json:"absent,omitempty"`
}

// Event is one line of a trace after the first.
type Event struct {
	AtMS int64  `json:"at_ms"`
	Kind string `json:"kind"`

	Customer string `json:"customer,omitempty"`
	Chat     string `json:"chat,omitempty"`
	Turn     int    `json:"turn,omitempty"`
	Zone     string `json:"zone,omitempty"`
	Pool     string `json:"pool,omitempty"`
	Prompt   string `json:"prompt,omitempty"`
	Output   int    `json:"output,omitempty"`
	Path     string `json:"path,omitempty"`
	// Repeatable calls may run more than once.
	Repeatable bool `json:"repeatable,omitempty"`

	Fault  Fault  `json:"fault,omitempty"`
	Target string `json:"target,omitempty"`
	VM     string `json:"vm,omitempty"`
	ForMS  int64  `json:"for_ms,omitempty"`
}

// At returns the event's offset from the start.
func (e *Event) At() time.Duration { return time.Duration(e.AtMS) * time.Millisecond }

// For returns the time until a fault ends; 0 means that it does not end.
func (e *Event) For() time.Duration { return time.Duration(e.ForMS) * time.Millisecond }

// Trace is a deployment and its events in order of time.
type Trace struct {
	Deployment Deployment
	Events     []Event

	// prepare builds the turns and the oracle's tokens once, for all runs of the trace.
	prepare sync.Once
	all     []*turn
	oracle  map[*turn]int
}

// Duration returns the offset of the last event.
func (t *Trace) Duration() time.Duration {
	if len(t.Events) == 0 {
		return 0
	}
	return t.Events[len(t.Events)-1].At()
}

// Batch returns the batch model's configuration of an engine.
func (e *Engine) Batch() batch.Config {
	return batch.Config{
		Slots:          e.Slots,
		TokenTime:      milliseconds(e.TokenMS),
		BatchTokenTime: milliseconds(e.BatchTokenMS),
		PrefillTime:    milliseconds(e.PrefillMS),
		CacheBlocks:    e.CacheBlocks,
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// maximumLine bounds one line of a trace.
const maximumLine = 1 << 20

// Read reads and checks a trace. An error names the line and the field.
func Read(source io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maximumLine)
	var t Trace
	line := 0
	for scanner.Scan() {
		line++
		if err := t.readLine(line, scanner.Bytes()); err != nil {
			return nil, trace.BadParameter("trace: line %d: %v", line, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, trace.BadParameter("trace: line %d: %v", line+1, err)
	}
	if line == 0 {
		return nil, trace.BadParameter("trace: line 1: the deployment is missing")
	}
	return &t, nil
}

func (t *Trace) readLine(line int, text []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if line == 1 {
		if err := decoder.Decode(&t.Deployment); err != nil {
			return err
		}
		return t.Deployment.check()
	}
	var event Event
	if err := decoder.Decode(&event); err != nil {
		return err
	}
	if len(t.Events) > 0 && event.AtMS < t.Events[len(t.Events)-1].AtMS {
		return fmt.Errorf("at_ms: %d is before the line above", event.AtMS)
	}
	t.Events = append(t.Events, event)
	return t.Deployment.checkEvent(&event)
}

// Write writes a trace.
func (t *Trace) Write(sink io.Writer) error {
	encoder := json.NewEncoder(sink)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(t.Deployment); err != nil {
		return err
	}
	for i := range t.Events {
		if err := encoder.Encode(t.Events[i]); err != nil {
			return err
		}
	}
	return nil
}

// Pool returns the pool with the name.
func (d *Deployment) Pool(name string) (*Pool, bool) {
	for i := range d.Pools {
		if d.Pools[i].Name == name {
			return &d.Pools[i], true
		}
	}
	return nil, false
}

// Customer returns the customer with the name.
func (d *Deployment) Customer(name string) (*Customer, bool) {
	for i := range d.Customers {
		if d.Customers[i].Name == name {
			return &d.Customers[i], true
		}
	}
	return nil, false
}

// target returns the target with the name.
func (d *Deployment) target(name string) (*Target, bool) {
	for i := range d.Pools {
		for j := range d.Pools[i].Targets {
			if d.Pools[i].Targets[j].Name == name {
				return &d.Pools[i].Targets[j], true
			}
		}
	}
	return nil, false
}

func (d *Deployment) check() error {
	if d.Name == "" || len(d.Zones) == 0 || len(d.Pools) == 0 || len(d.Customers) == 0 {
		return fmt.Errorf("name, zones, pools and customers are required")
	}
	for _, pool := range d.Pools {
		if err := d.checkPool(&pool); err != nil {
			return fmt.Errorf("pools: %s: %w", pool.Name, err)
		}
	}
	return nil
}

func (d *Deployment) checkPool(pool *Pool) error {
	switch {
	case len(pool.Targets) == 0:
		return fmt.Errorf("targets: needs at least one")
	case pool.Kind == catalogue.Model && (pool.Engine == nil || pool.Engine.Slots < 1 || pool.Engine.TokenMS <= 0):
		return fmt.Errorf("engine: slots and token_ms must be above 0")
	case pool.Kind == catalogue.Model && pool.LoadMultiple < 1:
		return fmt.Errorf("load_multiple: must be 1 or more, is %v", pool.LoadMultiple)
	}
	for _, target := range pool.Targets {
		if !slices.Contains(d.Zones, target.Zone) {
			return fmt.Errorf("targets: %s: zone %q is not in zones", target.Name, target.Zone)
		}
	}
	return nil
}

func (d *Deployment) checkEvent(event *Event) error {
	switch event.Kind {
	case KindChat, KindCall:
		return d.checkRequest(event)
	case KindFault:
		return d.checkFault(event)
	}
	return fmt.Errorf("kind: %q is not chat, call or fault", event.Kind)
}

func (d *Deployment) checkRequest(event *Event) error {
	pool, ok := d.Pool(event.Pool)
	if !ok {
		return fmt.Errorf("pool: %q is not in the deployment", event.Pool)
	}
	if (pool.Kind == catalogue.Model) != (event.Kind == KindChat) {
		return fmt.Errorf("pool: %q does not take a %s", event.Pool, event.Kind)
	}
	if _, ok := d.Customer(event.Customer); !ok {
		return fmt.Errorf("customer: %q is not in the deployment", event.Customer)
	}
	if !slices.Contains(d.Zones, event.Zone) {
		return fmt.Errorf("zone: %q is not in the deployment", event.Zone)
	}
	if event.Kind == KindChat && (event.Chat == "" || event.Output < 1) {
		return fmt.Errorf("chat and output are required")
	}
	return nil
}

func (d *Deployment) checkFault(event *Event) error {
	if !slices.Contains(knownFaults, event.Fault) {
		return fmt.Errorf("fault: %q is not a fault", event.Fault)
	}
	if _, ok := d.target(event.Target); slices.Contains(targetFaults, event.Fault) && !ok {
		return fmt.Errorf("target: %q is not in the deployment", event.Target)
	}
	if event.Fault == ZoneCut && !slices.Contains(d.Zones, event.Zone) {
		return fmt.Errorf("zone: %q is not in the deployment", event.Zone)
	}
	return nil
}

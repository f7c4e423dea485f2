package catalogue

import "time"

// Defaults of fields that a document omits. A field that is written as 0 keeps 0.
const (
	DefaultClass        = Standard
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

func (c *Customer) setDefaults() {
	c.Class = DefaultClass
	c.Weight = DefaultWeight
}

func (p *Pool) setDefaults() {
	p.Class = DefaultClass
	p.LoadMultiple = DefaultLoadMultiple
	p.MaxInFlight = DefaultMaxInFlight
	p.QueueLength = DefaultQueueLength
	p.QueueWait = Duration(DefaultQueueWait)
	p.Deadline = Duration(DefaultDeadline)
	p.ReuseWeight = DefaultReuseWeight
	p.SkewWeight = DefaultSkewWeight
	p.ZoneWeight = DefaultZoneWeight
}

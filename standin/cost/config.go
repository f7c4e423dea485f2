// Package cost measures what a fleet of real processes costs: control traffic, processor time and memory of each
// daemon by the size of the fleet, and the time and processor time that the relay of a token stream adds.
package cost

import (
	"fmt"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// Config is one run.
type Config struct {
	Daemons   int `json:"daemons"`
	Zones     int `json:"zones"`
	Targets   int `json:"targets"`
	Customers int `json:"customers"`
	// Limit is the number of requests in a second that each customer with limits may make.
	Limit int `json:"limit"`
	// Plain is the number of further customers without limits, which only enlarge the catalogue.
	Plain            int           `json:"plain_customers"`
	ChangesPerMinute int           `json:"changes_per_minute"`
	RequestsPerSec   int           `json:"requests_per_second"`
	Settle           time.Duration `json:"-"`
	Window           time.Duration `json:"-"`
}

// spec describes the fleet. Half of the daemons are gates; the zones have equal numbers of both roles.
func (c *Config) spec(addresses []string) fleet.Spec {
	spec := fleet.Default()
	spec.Zones, spec.Regions = nil, nil
	zones := max(1, min(c.Zones, c.Daemons/2))
	for i := range zones {
		spec.Zones = append(spec.Zones, string(rune('a'+i)))
		spec.Regions = append(spec.Regions, fmt.Sprintf("r%d", 1+i*2/zones))
	}
	spec.GatesPerZone = max(1, c.Daemons/2/zones)
	spec.EntriesPerZone = spec.GatesPerZone
	spec.Engines, spec.Services = 0, 0
	spec.Model.Resumable, spec.Model.OutcomeQuery, spec.Model.KVTransfer = false, false, false
	spec.Model.MaxInFlight = 1024
	spec.Service.Targets = nil
	spec.Customers = c.customers()
	spec.Targets = []fleet.TargetSpec{}
	for i, address := range addresses {
		spec.Targets = append(spec.Targets, fleet.TargetSpec{
			Name:    fmt.Sprintf("engine-%03d", i+1),
			Zone:    spec.Zones[i%zones],
			Address: address,
		})
	}
	return spec
}

func (c *Config) customers() []catalogue.Customer {
	var customers []catalogue.Customer
	for i := range c.Customers + c.Plain {
		customer := fleet.Customer(fmt.Sprintf("customer-%04d", i+1), 1)
		if i < c.Customers {
			customer.RequestsPerSecond, customer.Concurrent = float64(c.Limit), 1000
		}
		customers = append(customers, customer)
	}
	return customers
}

package replay

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"
)

// Fleet says where the parts of a running fleet and its stand-ins are. Addresses are IP numbers with ports.
type Fleet struct {
	// Balancer gets all requests when it is set; otherwise they go to an entry of the event's zone.
	Balancer string   `yaml:"balancer,omitempty"`
	Entries  []Daemon `yaml:"entries"`
	Gates    []Daemon `yaml:"gates,omitempty"`
	// Targets are the stand-ins of the trace's targets, by name.
	Targets []Backend `yaml:"targets"`
	// Platform is the address of the platform stand-in.
	Platform string `yaml:"platform,omitempty"`
	// Link is the control address of the link stand-in, and ZoneRoutes names the routes that cross a zone's border.
	Link       string              `yaml:"link,omitempty"`
	ZoneRoutes map[string][]string `yaml:"zone_routes,omitempty"`
	// Harness is a URL that gets each event that needs processes to be ended or started, as JSON by POST.
	Harness string `yaml:"harness,omitempty"`
}

// Daemon is an entry or a gate.
type Daemon struct {
	Name    string `yaml:"name"`
	Zone    string `yaml:"zone"`
	Address string `yaml:"address"`
	// Admin is the address of the metrics endpoint.
	Admin string `yaml:"admin,omitempty"`
}

// Backend is the stand-in of a target.
type Backend struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// ReadFleet reads and checks a fleet file.
func ReadFleet(file string) (*Fleet, error) {
	document, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.BadParameter("fleet: %v", err)
	}
	var fleet Fleet
	if err := yaml.UnmarshalWithOptions(document, &fleet, yaml.Strict()); err != nil {
		return nil, trace.BadParameter("fleet: %s", yaml.FormatError(err, false, false))
	}
	return &fleet, fleet.check()
}

func (f *Fleet) check() error {
	if f.Balancer == "" && len(f.Entries) == 0 {
		return trace.BadParameter("fleet: entries: needs at least one, or a balancer")
	}
	for field, address := range f.addresses() {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return trace.BadParameter("fleet: %s: %q is not an IP number with a port", field, address)
		}
	}
	return nil
}

// addresses returns all addresses that are set, by field path.
func (f *Fleet) addresses() map[string]string {
	all := map[string]string{}
	add := func(path, address string) {
		if address != "" {
			all[path] = address
		}
	}
	add("balancer", f.Balancer)
	add("platform", f.Platform)
	add("link", f.Link)
	for i, entry := range f.Entries {
		all[fmt.Sprintf("entries[%d].address", i)] = entry.Address
		add(fmt.Sprintf("entries[%d].admin", i), entry.Admin)
	}
	for i, gate := range f.Gates {
		add(fmt.Sprintf("gates[%d].admin", i), gate.Admin)
	}
	for i, target := range f.Targets {
		all[fmt.Sprintf("targets[%d].address", i)] = target.Address
	}
	return all
}

// target returns the address of a target.
func (f *Fleet) target(name string) (string, bool) {
	for _, target := range f.Targets {
		if target.Name == name {
			return target.Address, true
		}
	}
	return "", false
}

// bases returns the addresses to try for an event's zone, nearest first; turn rotates equal choices.
func (f *Fleet) bases(zone string, turn int) []string {
	if f.Balancer != "" {
		return []string{f.Balancer}
	}
	var near, far []string
	for i := range f.Entries {
		entry := f.Entries[(i+turn)%len(f.Entries)]
		if entry.Zone == zone {
			near = append(near, entry.Address)
		} else {
			far = append(far, entry.Address)
		}
	}
	return append(near, far...)
}

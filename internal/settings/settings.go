// Package settings loads and validates the YAML settings of the daemons.
//
// A file is validated completely before anything starts: an unknown field, a wrong unit or an unreadable key file
// results in an error that names the field, and the daemon exits with code 2.
package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
)

// Duration is a duration written with its unit.
type Duration = catalogue.Duration

// Common holds the settings that both daemons share.
type Common struct {
	// Name is unique in the fleet and matches the name of the daemon in the VM list.
	Name   string `yaml:"name"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Admin is the listen address for health checks, metrics and status.
	Admin string `yaml:"admin"`
	// Source is the source IP address of connections to other daemons; if empty, the system chooses it.
	Source string `yaml:"source"`
	// FleetKeyFiles are the files with the keys of tickets and tokens. The first key signs; all keys verify.
	FleetKeyFiles []string `yaml:"fleet_key_files"`
	// Seeds are control addresses of gates to contact while no VM list is available.
	Seeds  []string `yaml:"seeds"`
	TLS    TLS      `yaml:"tls"`
	Timing Timing   `yaml:"timing"`
	Log    Log      `yaml:"log"`

	// FleetKeys holds the keys read from FleetKeyFiles.
	FleetKeys [][]byte `yaml:"-"`
}

// TLS holds the paths of the files for mutual TLS between daemons. If all are empty, daemons use plain TCP.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Log holds the log settings.
type Log struct {
	Level string `yaml:"level"`
	JSON  bool   `yaml:"json"`
}

// Timing holds the intervals and timeouts of the control protocols.
type Timing struct {
	// Heartbeat is the interval between heartbeats to one peer.
	Heartbeat Duration `yaml:"heartbeat"`
	// Suspicion is the time without a sign of life after which a peer is considered failed.
	Suspicion Duration `yaml:"suspicion"`
	// Lease is the maximum age of the last confirmed heartbeat round at which an owner admits requests.
	Lease Duration `yaml:"lease"`
	// ListDisagreement is the longest time for which daemons may hold different versions of the VM list.
	ListDisagreement Duration `yaml:"list_disagreement"`
	// ReportLag is the maximum age of an engine's load report.
	ReportLag Duration `yaml:"report_lag"`
	// TicketExpiry is the time after issue within which the request of a ticket may start to run.
	TicketExpiry Duration `yaml:"ticket_expiry"`
	// TicketGrace is how long the records of a ticket are kept after it expires.
	TicketGrace Duration `yaml:"ticket_grace"`
	// DrainLimit bounds the duration of a graceful shutdown.
	DrainLimit Duration `yaml:"drain_limit"`
}

// Platform holds the location of the platform's services.
type Platform struct {
	// Address is the base URL of the configuration service and the VM list.
	Address string `yaml:"address"`
	// CatalogueKey is the key of the catalogue document.
	CatalogueKey string `yaml:"catalogue_key"`
}

// Gate holds the settings of amaranth-gate.
type Gate struct {
	Common `yaml:",inline"`
	// Listen is the address for entries and other gates.
	Listen string `yaml:"listen"`
	// Advertise is the address at which they reach this gate, if it differs from Listen.
	Advertise string   `yaml:"advertise"`
	Platform  Platform `yaml:"platform"`
	// ConcurrentWriters bounds the requests that are between the last lease check and the write to the target.
	ConcurrentWriters int `yaml:"concurrent_writers"`
}

// Entry holds the settings of amaranth-entry.
type Entry struct {
	Common `yaml:",inline"`
	// Listen is the address for callers.
	Listen string `yaml:"listen"`
	// Platform is used only to read the VM list, from which the entry learns of gates.
	Platform Platform `yaml:"platform"`
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64 `yaml:"body_bytes"`
	// StallTimeout is the time without any event after which a stream is resumed through another gate.
	StallTimeout Duration `yaml:"stall_timeout"`
}

// Default values of the settings.
const (
	DefaultHeartbeat         = 600 * time.Millisecond
	DefaultSuspicion         = 2 * time.Second
	DefaultLease             = 1500 * time.Millisecond
	DefaultListDisagreement  = 5 * time.Second
	DefaultReportLag         = 2 * time.Second
	DefaultTicketExpiry      = 60 * time.Second
	DefaultTicketGrace       = 60 * time.Second
	DefaultDrainLimit        = 5 * time.Minute
	DefaultBodyBytes         = 4 << 20
	DefaultStallTimeout      = 10 * time.Second
	DefaultConcurrentWriters = 32
	DefaultCatalogueKey      = "catalogue"

	minKeyBytes = 32
)

// LoadGate reads and validates the settings of a gate.
func LoadGate(path string) (*Gate, error) {
	s := &Gate{ConcurrentWriters: DefaultConcurrentWriters}
	s.setDefaults()
	s.Platform.CatalogueKey = DefaultCatalogueKey
	if err := decode(path, s); err != nil {
		return nil, err
	}
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	var k checker
	k.common(&s.Common)
	k.address("listen", s.Listen)
	k.address("advertise", s.Advertise)
	k.platform(s.Platform)
	if s.ConcurrentWriters < 1 {
		k.fail("concurrent_writers", "must be 1 or more, is %d", s.ConcurrentWriters)
	}
	return s, k.result()
}

// LoadEntry reads and validates the settings of an entry.
func LoadEntry(path string) (*Entry, error) {
	s := &Entry{BodyBytes: DefaultBodyBytes, StallTimeout: Duration(DefaultStallTimeout)}
	s.setDefaults()
	s.Platform.CatalogueKey = DefaultCatalogueKey
	if err := decode(path, s); err != nil {
		return nil, err
	}
	var k checker
	k.common(&s.Common)
	k.address("listen", s.Listen)
	k.platform(s.Platform)
	if s.BodyBytes < 1 {
		k.fail("body_bytes", "must be 1 or more, is %d", s.BodyBytes)
	}
	k.positive("stall_timeout", s.StallTimeout)
	return s, k.result()
}

func (c *Common) setDefaults() {
	c.Log.Level = "info"
	c.Timing = Timing{
		Heartbeat:        Duration(DefaultHeartbeat),
		Suspicion:        Duration(DefaultSuspicion),
		Lease:            Duration(DefaultLease),
		ListDisagreement: Duration(DefaultListDisagreement),
		ReportLag:        Duration(DefaultReportLag),
		TicketExpiry:     Duration(DefaultTicketExpiry),
		TicketGrace:      Duration(DefaultTicketGrace),
		DrainLimit:       Duration(DefaultDrainLimit),
	}
}

// decode reads a YAML file into a value that already holds the defaults. Unknown fields are errors.
func decode(path string, target any) error {
	document, err := os.ReadFile(path)
	if err != nil {
		return trace.BadParameter("settings: %s", err)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(document), yaml.Strict())
	if err := decoder.Decode(target); err != nil {
		return trace.BadParameter("settings: %s: %s", path, yaml.FormatError(err, false, false))
	}
	return nil
}

// checker collects the errors of the fields in a settings file.
type checker struct {
	errs catalogue.FieldErrors
}

func (k *checker) fail(path, format string, args ...any) {
	k.errs = append(k.errs, catalogue.FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (k *checker) result() error {
	if len(k.errs) == 0 {
		return nil
	}
	return k.errs
}

func (k *checker) required(path, value string) {
	if value == "" {
		k.fail(path, "is required")
	}
}

func (k *checker) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		k.fail(path, "%q is not an IP address with a port", value)
	}
}

func (k *checker) positive(path string, value Duration) {
	if value <= 0 {
		k.fail(path, "must be more than 0s, is %s", time.Duration(value))
	}
}

func (k *checker) platform(p Platform) {
	location, err := url.Parse(p.Address)
	if err != nil || location.Host == "" || (location.Scheme != "http" && location.Scheme != "https") {
		k.fail("platform.address", "%q is not an http or https URL", p.Address)
	}
	k.required("platform.catalogue_key", p.CatalogueKey)
}

func (k *checker) common(c *Common) {
	k.required("name", c.Name)
	k.required("zone", c.Zone)
	k.address("admin", c.Admin)
	if _, err := netip.ParseAddr(c.Source); c.Source != "" && err != nil {
		k.fail("source", "%q is not an IP address", c.Source)
	}
	for i, seed := range c.Seeds {
		k.address(fmt.Sprintf("seeds[%d]", i), seed)
	}
	k.keys(c)
	k.tls(c.TLS)
	k.timing(c.Timing)
	switch c.Log.Level {
	case "debug", "info", "warning", "error":
	default:
		k.fail("log.level", "%q is not a log level: use debug, info, warning or error", c.Log.Level)
	}
}

func (k *checker) keys(c *Common) {
	if len(c.FleetKeyFiles) == 0 {
		k.fail("fleet_key_files", "needs at least one file")
	}
	for i, path := range c.FleetKeyFiles {
		field := fmt.Sprintf("fleet_key_files[%d]", i)
		key, err := os.ReadFile(path)
		if err != nil {
			k.fail(field, "%s", err)
			continue
		}
		key = bytes.TrimSpace(key)
		if len(key) < minKeyBytes {
			k.fail(field, "has %d bytes, needs at least %d", len(key), minKeyBytes)
			continue
		}
		c.FleetKeys = append(c.FleetKeys, key)
	}
}

func (k *checker) tls(t TLS) {
	if t == (TLS{}) {
		return
	}
	files := []struct{ path, value string }{
		{"tls.certificate", t.Certificate},
		{"tls.key", t.Key},
		{"tls.authority", t.Authority},
	}
	for _, file := range files {
		if file.value == "" {
			k.fail(file.path, "is required when tls is set")
			continue
		}
		if _, err := os.ReadFile(file.value); err != nil {
			k.fail(file.path, "%s", err)
		}
	}
}

func (k *checker) timing(t Timing) {
	k.positive("timing.heartbeat", t.Heartbeat)
	k.positive("timing.suspicion", t.Suspicion)
	k.positive("timing.lease", t.Lease)
	k.positive("timing.list_disagreement", t.ListDisagreement)
	k.positive("timing.report_lag", t.ReportLag)
	k.positive("timing.ticket_expiry", t.TicketExpiry)
	k.positive("timing.ticket_grace", t.TicketGrace)
	k.positive("timing.drain_limit", t.DrainLimit)
	if t.Lease >= t.Suspicion {
		k.fail("timing.lease", "must be shorter than timing.suspicion, or two owners could admit at once")
	}
	if t.Heartbeat >= t.Lease {
		k.fail("timing.heartbeat", "must be shorter than timing.lease, or an owner could never renew its lease")
	}
}

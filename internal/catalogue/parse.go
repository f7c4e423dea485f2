package catalogue

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"
)

// MaxDocumentBytes is the largest value that the configuration service holds.
const MaxDocumentBytes = 1 << 20

// Duration is a time.Duration that is written with its unit, such as "2s".
type Duration time.Duration

// UnmarshalYAML accepts only durations with a unit.
func (d *Duration) UnmarshalYAML(document []byte) error {
	text := strings.Trim(strings.TrimSpace(string(document)), `"'`)
	value, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration with a unit, such as 2s", text)
	}
	*d = Duration(value)
	return nil
}

// MarshalYAML writes the duration with its unit.
func (d Duration) MarshalYAML() (any, error) {
	return time.Duration(d).String(), nil
}

// MarshalJSON writes the duration with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// FieldError names one wrong field of a document.
type FieldError struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

func (e FieldError) Error() string { return e.Path + ": " + e.Message }

// FieldErrors lists all wrong fields of a document.
type FieldErrors []FieldError

func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, field := range e {
		lines[i] = field.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse reads and checks a document. The error is FieldErrors when fields are wrong.
func Parse(document []byte) (*Catalogue, error) {
	if len(document) > MaxDocumentBytes {
		return nil, trace.LimitExceeded("catalogue has %d bytes, at most %d are allowed", len(document), MaxDocumentBytes)
	}
	var c Catalogue
	decoder := yaml.NewDecoder(bytes.NewReader(document), yaml.Strict())
	if err := decoder.Decode(&c); err != nil {
		return nil, trace.BadParameter("catalogue: %s", yaml.FormatError(err, false, false))
	}
	if errs := c.validate(); len(errs) > 0 {
		return nil, errs
	}
	c.index()
	c.digest = c.computeDigest()
	return &c, nil
}

// computeDigest hashes the content in a canonical encoding.
func (c *Catalogue) computeDigest() uint64 {
	encoded, err := json.Marshal(struct {
		Revision  uint64
		Customers []Customer
		Pools     []Pool
	}{c.Revision, c.Customers, c.Pools})
	if err != nil {
		panic("catalogue: types can't be encoded: " + err.Error())
	}
	return xxhash.Sum64(encoded)
}

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// checker collects field errors.
type checker struct {
	errs FieldErrors
}

func (k *checker) fail(path, format string, args ...any) {
	k.errs = append(k.errs, FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (k *checker) name(path, value string, seen map[string]string) {
	if !namePattern.MatchString(value) {
		k.fail(path, "%q is not a name: use 1 to 64 of a-z, 0-9, '.', '_' and '-'", value)
		return
	}
	if first, ok := seen[value]; ok {
		k.fail(path, "%q is used already by %s", value, first)
		return
	}
	seen[value] = path
}

func (k *checker) class(path string, value Class) {
	switch value {
	case "", Interactive, Standard, Batch:
	default:
		k.fail(path, "%q is not a class: use interactive, standard or batch", string(value))
	}
}

func (k *checker) required(path, value string) {
	if value == "" {
		k.fail(path, "is required")
	}
}

func (k *checker) notNegative(path string, value float64) {
	if value < 0 || value != value {
		k.fail(path, "must not be negative, is %v", value)
	}
}

// validate returns every wrong field.
func (c *Catalogue) validate() FieldErrors {
	var k checker
	if c.Revision == 0 {
		k.fail("revision", "must be 1 or more")
	}
	names := map[string]string{}
	keys := map[string]string{}
	for i := range c.Customers {
		k.customer(fmt.Sprintf("customers[%d]", i), &c.Customers[i], names, keys)
	}
	pools := map[string]string{}
	targets := map[string]string{}
	addresses := map[string]string{}
	for i := range c.Pools {
		k.pool(fmt.Sprintf("pools[%d]", i), &c.Pools[i], pools, targets, addresses)
	}
	return k.errs
}

func (k *checker) customer(path string, c *Customer, names, keys map[string]string) {
	k.name(path+".name", c.Name, names)
	k.required(path+".owner", c.Owner)
	k.class(path+".class", c.Class)
	k.notNegative(path+".weight", c.Weight)
	k.notNegative(path+".requests_per_second", c.RequestsPerSecond)
	k.notNegative(path+".concurrent", float64(c.Concurrent))
	if len(c.KeyDigests) == 0 {
		k.fail(path+".key_sha256", "needs at least one digest")
	}
	for i, digest := range c.KeyDigests {
		field := fmt.Sprintf("%s.key_sha256[%d]", path, i)
		if !digestPattern.MatchString(digest) {
			k.fail(field, "must be 64 lower-case hexadecimal digits")
			continue
		}
		if first, ok := keys[digest]; ok {
			k.fail(field, "is used already by %s", first)
		}
		keys[digest] = field
	}
}

func (k *checker) pool(path string, p *Pool, pools, targets, addresses map[string]string) {
	k.name(path+".name", p.Name, pools)
	k.required(path+".owner", p.Owner)
	k.class(path+".class", p.Class)
	if p.Kind != Model && p.Kind != Service {
		k.fail(path+".kind", "%q is not a kind: use model or service", string(p.Kind))
	}
	if p.LoadMultiple != 0 && p.LoadMultiple < 1 {
		k.fail(path+".load_multiple", "must be 1 or more, is %v", p.LoadMultiple)
	}
	k.notNegative(path+".max_in_flight", float64(p.MaxInFlight))
	k.notNegative(path+".queue_length", float64(p.QueueLength))
	k.notNegative(path+".queue_wait", float64(p.QueueWait))
	k.notNegative(path+".deadline", float64(p.Deadline))
	k.notNegative(path+".reuse_weight", p.ReuseWeight)
	k.notNegative(path+".skew_weight", p.SkewWeight)
	k.notNegative(path+".zone_weight", p.ZoneWeight)
	for i, call := range p.NonRepeatable {
		field := fmt.Sprintf("%s.non_repeatable[%d]", path, i)
		k.required(field+".method", call.Method)
		if !strings.HasPrefix(call.Path, "/") {
			k.fail(field+".path", "must start with /, is %q", call.Path)
		}
	}
	for i := range p.Targets {
		k.target(fmt.Sprintf("%s.targets[%d]", path, i), &p.Targets[i], targets, addresses)
	}
}

func (k *checker) target(path string, t *Target, targets, addresses map[string]string) {
	k.name(path+".name", t.Name, targets)
	k.required(path+".zone", t.Zone)
	if _, err := netip.ParseAddrPort(t.Address); err != nil {
		k.fail(path+".address", "%q is not an IP number with a port", t.Address)
		return
	}
	if first, ok := addresses[t.Address]; ok {
		k.fail(path+".address", "%q is used already by %s", t.Address, first)
		return
	}
	addresses[t.Address] = path + ".address"
}

// matches reports whether the call covers a method and path; the path matches at segment bounds.
func (c Call) matches(method, path string) bool {
	if c.Method != "*" && !strings.EqualFold(c.Method, method) {
		return false
	}
	prefix := strings.TrimSuffix(c.Path, "/")
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

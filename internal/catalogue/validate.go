package catalogue

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"
	"unicode"
)

// Bounds of fields. They are far above any realistic value and catch typos such as a misplaced decimal point.
const (
	MaxWeight            = 1e6
	MaxRequestsPerSecond = 1e6
	MaxConcurrent        = 1_000_000
	MaxLoadMultiple      = 100
	MaxInFlightBound     = 100_000
	MaxQueueLength       = 100_000
	MaxQueueWait         = time.Minute
	MaxDeadline          = time.Hour
	MaxScoreWeight       = 1000
	MaxTextLength        = 128
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)
	labelPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern = regexp.MustCompile(`^([A-Z]{1,16}|\*)$`)
)

// validator collects field errors. Its maps hold the path of the first field that used a value.
type validator struct {
	errs      FieldErrors
	customers map[string]string
	keys      map[string]string
	pools     map[string]string
	targets   map[string]string
	addresses map[string]string
	zones     map[string]zoneDeclaration
}

// zoneDeclaration is the region of a zone and the field that declared it first.
type zoneDeclaration struct {
	region, path string
}

func newValidator() *validator {
	return &validator{
		customers: map[string]string{},
		keys:      map[string]string{},
		pools:     map[string]string{},
		targets:   map[string]string{},
		addresses: map[string]string{},
		zones:     map[string]zoneDeclaration{},
	}
}

// validate returns an error for every invalid field.
func (c *Catalogue) validate() FieldErrors {
	v := newValidator()
	if c.Revision == 0 {
		v.fail("revision", "must be 1 or more")
	}
	for i := range c.Customers {
		v.customer(fmt.Sprintf("customers[%d]", i), &c.Customers[i])
	}
	for i := range c.Pools {
		v.pool(fmt.Sprintf("pools[%d]", i), &c.Pools[i])
	}
	return v.errs
}

func (v *validator) fail(path, format string, args ...any) {
	v.errs = append(v.errs, FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) name(path, value string, seen map[string]string) {
	if !namePattern.MatchString(value) {
		v.fail(path, "%q is not a name: use 1 to 64 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends", value)
		return
	}
	v.unique(path, value, value, seen)
}

// unique rejects a key that another field already uses.
func (v *validator) unique(path, key, shown string, seen map[string]string) {
	if first, ok := seen[key]; ok {
		v.fail(path, "%q is used already by %s", shown, first)
		return
	}
	seen[key] = path
}

func (v *validator) class(path string, value Class) {
	switch value {
	case Interactive, Standard, Batch:
	default:
		v.fail(path, "%q is not a class: use interactive, standard or batch", string(value))
	}
}

// text validates free text that is displayed to users and passed on unchanged.
func (v *validator) text(path, value string) {
	printable := strings.IndexFunc(value, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
	if !printable || len(value) > MaxTextLength {
		v.fail(path, "must be at most %d bytes of printable text", MaxTextLength)
	}
}

func (v *validator) requiredText(path, value string) {
	if value == "" {
		v.fail(path, "is required")
		return
	}
	v.text(path, value)
}

func (v *validator) label(path, value string) {
	if !labelPattern.MatchString(value) {
		v.fail(path, "%q is not a label: use 1 to 64 letters, digits, '.', '_' and '-', starting with a letter or digit", value)
	}
}

func (v *validator) optionalLabel(path, value string) {
	if value != "" {
		v.label(path, value)
	}
}

// between also rejects NaN.
func (v *validator) between(path string, value, lowest, highest float64) {
	if !(value >= lowest && value <= highest) {
		v.fail(path, "must be from %v to %v, is %v", lowest, highest, value)
	}
}

// positive rejects zero in addition to what between rejects.
func (v *validator) positive(path string, value, highest float64) {
	if !(value > 0 && value <= highest) {
		v.fail(path, "must be above 0 and at most %v, is %v", highest, value)
	}
}

func (v *validator) duration(path string, value Duration, lowest, highest time.Duration) bool {
	if time.Duration(value) >= lowest && time.Duration(value) <= highest {
		return true
	}
	v.fail(path, "must be from %v to %v, is %v", lowest, highest, value)
	return false
}

func (v *validator) customer(path string, c *Customer) {
	v.name(path+".name", c.Name, v.customers)
	v.requiredText(path+".owner", c.Owner)
	v.class(path+".class", c.Class)
	v.positive(path+".weight", c.Weight, MaxWeight)
	v.between(path+".requests_per_second", c.RequestsPerSecond, 0, MaxRequestsPerSecond)
	v.between(path+".concurrent", float64(c.Concurrent), 0, MaxConcurrent)
	if len(c.KeyDigests) == 0 {
		v.fail(path+".key_sha256", "needs at least one digest")
	}
	for i, digest := range c.KeyDigests {
		v.keyDigest(fmt.Sprintf("%s.key_sha256[%d]", path, i), digest)
	}
}

func (v *validator) keyDigest(path, digest string) {
	if !digestPattern.MatchString(digest) {
		v.fail(path, "must be 64 lower-case hexadecimal digits")
		return
	}
	v.unique(path, digest, digest, v.keys)
}

func (v *validator) pool(path string, p *Pool) {
	v.name(path+".name", p.Name, v.pools)
	v.requiredText(path+".owner", p.Owner)
	v.class(path+".class", p.Class)
	v.limits(path, p)
	v.kind(path, p)
	v.text(path+".version", p.Version)
	adapters := map[string]string{}
	for i, adapter := range p.Adapters {
		field := fmt.Sprintf("%s.adapters[%d]", path, i)
		v.requiredText(field, adapter)
		v.unique(field, adapter, adapter, adapters)
	}
	calls := map[string]string{}
	for i, call := range p.NonRepeatable {
		v.call(fmt.Sprintf("%s.non_repeatable[%d]", path, i), call, calls)
	}
	for i := range p.Targets {
		v.target(fmt.Sprintf("%s.targets[%d]", path, i), p, &p.Targets[i])
	}
}

func (v *validator) limits(path string, p *Pool) {
	v.between(path+".load_multiple", p.LoadMultiple, 1, MaxLoadMultiple)
	v.between(path+".max_in_flight", float64(p.MaxInFlight), 1, MaxInFlightBound)
	v.between(path+".queue_length", float64(p.QueueLength), 0, MaxQueueLength)
	waitInBounds := v.duration(path+".queue_wait", p.QueueWait, 0, MaxQueueWait)
	deadlineInBounds := v.duration(path+".deadline", p.Deadline, time.Millisecond, MaxDeadline)
	v.between(path+".reuse_weight", p.ReuseWeight, 0, MaxScoreWeight)
	v.between(path+".skew_weight", p.SkewWeight, 0, MaxScoreWeight)
	v.positive(path+".zone_weight", p.ZoneWeight, MaxScoreWeight)
	if waitInBounds && deadlineInBounds && p.QueueWait > p.Deadline {
		v.fail(path+".queue_wait", "must not exceed the deadline of %v, is %v", p.Deadline, p.QueueWait)
	}
}

// kind rejects fields that have no effect in a pool of the other kind.
func (v *validator) kind(path string, p *Pool) {
	switch p.Kind {
	case Model:
		v.onlyFor(Service, path+".non_repeatable", len(p.NonRepeatable) > 0)
	case Service:
		v.onlyFor(Model, path+".version", p.Version != "")
		v.onlyFor(Model, path+".adapters", len(p.Adapters) > 0)
		v.onlyFor(Model, path+".checks_fencing", p.ChecksFencing)
		v.onlyFor(Model, path+".kv_transfer", p.KVTransfer)
	default:
		v.fail(path+".kind", "%q is not a kind: use model or service", string(p.Kind))
	}
}

func (v *validator) onlyFor(kind Kind, path string, set bool) {
	if set {
		v.fail(path, "is only for pools of kind %s", kind)
	}
}

func (v *validator) call(path string, call Call, seen map[string]string) {
	if !methodPattern.MatchString(call.Method) {
		v.fail(path+".method", "%q is not a method: use upper-case letters such as POST, or * for all", call.Method)
	}
	if !strings.HasPrefix(call.Path, "/") {
		v.fail(path+".path", "must start with /, is %q", call.Path)
	}
	v.text(path+".path", call.Path)
	v.unique(path, call.Method+" "+call.Path, call.Method+" "+call.Path, seen)
}

func (v *validator) target(path string, p *Pool, t *Target) {
	v.name(path+".name", t.Name, v.targets)
	v.label(path+".zone", t.Zone)
	v.optionalLabel(path+".region", t.Region)
	v.optionalLabel(path+".role", t.Role)
	v.onlyFor(Model, path+".role", p.Kind == Service && t.Role != "")
	v.region(path, t)
	v.address(path+".address", t.Address)
}

// region rejects a zone that belongs to two regions.
func (v *validator) region(path string, t *Target) {
	first, ok := v.zones[t.Zone]
	if !ok {
		v.zones[t.Zone] = zoneDeclaration{t.Region, path + ".region"}
		return
	}
	if first.region != t.Region {
		v.fail(path+".region", "zone %q is in region %q by %s, is %q here", t.Zone, first.region, first.path, t.Region)
	}
}

func (v *validator) address(path, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		v.fail(path, "%q is not an IP number with a port, such as 10.0.0.7:8000 or [fd00::7]:8000", address)
		return
	}
	ip := parsed.Addr().Unmap()
	if parsed.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() {
		v.fail(path, "%q can't be connected to", address)
		return
	}
	v.unique(path, netip.AddrPortFrom(ip, parsed.Port()).String(), address, v.addresses)
}

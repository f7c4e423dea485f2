package catalogue

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"
	"unicode"
)

// Bounds of fields. They are far above any sensible value and catch slips such as a misplaced decimal point.
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

// checker collects field errors. Its maps hold the path that used a value first.
type checker struct {
	errs      FieldErrors
	customers map[string]string
	keys      map[string]string
	pools     map[string]string
	targets   map[string]string
	addresses map[string]string
	zones     map[string]zoneUse
}

// zoneUse is the region of a zone and the field that named it first.
type zoneUse struct {
	region, path string
}

func newChecker() *checker {
	return &checker{
		customers: map[string]string{},
		keys:      map[string]string{},
		pools:     map[string]string{},
		targets:   map[string]string{},
		addresses: map[string]string{},
		zones:     map[string]zoneUse{},
	}
}

// validate returns every wrong field.
func (c *Catalogue) validate() FieldErrors {
	k := newChecker()
	if c.Revision == 0 {
		k.fail("revision", "must be 1 or more")
	}
	for i := range c.Customers {
		k.customer(fmt.Sprintf("customers[%d]", i), &c.Customers[i])
	}
	for i := range c.Pools {
		k.pool(fmt.Sprintf("pools[%d]", i), &c.Pools[i])
	}
	return k.errs
}

func (k *checker) fail(path, format string, args ...any) {
	k.errs = append(k.errs, FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (k *checker) name(path, value string, seen map[string]string) {
	if !namePattern.MatchString(value) {
		k.fail(path, "%q is not a name: use 1 to 64 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends", value)
		return
	}
	k.unique(path, value, value, seen)
}

// unique refuses a key that another field holds already.
func (k *checker) unique(path, key, shown string, seen map[string]string) {
	if first, ok := seen[key]; ok {
		k.fail(path, "%q is used already by %s", shown, first)
		return
	}
	seen[key] = path
}

func (k *checker) class(path string, value Class) {
	switch value {
	case Interactive, Standard, Batch:
	default:
		k.fail(path, "%q is not a class: use interactive, standard or batch", string(value))
	}
}

// text checks free text that is shown to people and passed on unchanged.
func (k *checker) text(path, value string) {
	printable := strings.IndexFunc(value, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
	if !printable || len(value) > MaxTextLength {
		k.fail(path, "must be at most %d bytes of printable text", MaxTextLength)
	}
}

func (k *checker) requiredText(path, value string) {
	if value == "" {
		k.fail(path, "is required")
		return
	}
	k.text(path, value)
}

func (k *checker) label(path, value string) {
	if !labelPattern.MatchString(value) {
		k.fail(path, "%q is not a label: use 1 to 64 letters, digits, '.', '_' and '-', starting with a letter or digit", value)
	}
}

func (k *checker) optionalLabel(path, value string) {
	if value != "" {
		k.label(path, value)
	}
}

// between also refuses values that are not numbers.
func (k *checker) between(path string, value, lowest, highest float64) {
	if !(value >= lowest && value <= highest) {
		k.fail(path, "must be from %v to %v, is %v", lowest, highest, value)
	}
}

// positive refuses zero besides what between refuses.
func (k *checker) positive(path string, value, highest float64) {
	if !(value > 0 && value <= highest) {
		k.fail(path, "must be above 0 and at most %v, is %v", highest, value)
	}
}

func (k *checker) duration(path string, value Duration, lowest, highest time.Duration) bool {
	if time.Duration(value) >= lowest && time.Duration(value) <= highest {
		return true
	}
	k.fail(path, "must be from %v to %v, is %v", lowest, highest, value)
	return false
}

func (k *checker) customer(path string, c *Customer) {
	k.name(path+".name", c.Name, k.customers)
	k.requiredText(path+".owner", c.Owner)
	k.class(path+".class", c.Class)
	k.positive(path+".weight", c.Weight, MaxWeight)
	k.between(path+".requests_per_second", c.RequestsPerSecond, 0, MaxRequestsPerSecond)
	k.between(path+".concurrent", float64(c.Concurrent), 0, MaxConcurrent)
	if len(c.KeyDigests) == 0 {
		k.fail(path+".key_sha256", "needs at least one digest")
	}
	for i, digest := range c.KeyDigests {
		k.keyDigest(fmt.Sprintf("%s.key_sha256[%d]", path, i), digest)
	}
}

func (k *checker) keyDigest(path, digest string) {
	if !digestPattern.MatchString(digest) {
		k.fail(path, "must be 64 lower-case hexadecimal digits")
		return
	}
	k.unique(path, digest, digest, k.keys)
}

func (k *checker) pool(path string, p *Pool) {
	k.name(path+".name", p.Name, k.pools)
	k.requiredText(path+".owner", p.Owner)
	k.class(path+".class", p.Class)
	k.limits(path, p)
	k.kind(path, p)
	k.text(path+".version", p.Version)
	adapters := map[string]string{}
	for i, adapter := range p.Adapters {
		field := fmt.Sprintf("%s.adapters[%d]", path, i)
		k.requiredText(field, adapter)
		k.unique(field, adapter, adapter, adapters)
	}
	calls := map[string]string{}
	for i, call := range p.NonRepeatable {
		k.call(fmt.Sprintf("%s.non_repeatable[%d]", path, i), call, calls)
	}
	for i := range p.Targets {
		k.target(fmt.Sprintf("%s.targets[%d]", path, i), p, &p.Targets[i])
	}
}

func (k *checker) limits(path string, p *Pool) {
	k.between(path+".load_multiple", p.LoadMultiple, 1, MaxLoadMultiple)
	k.between(path+".max_in_flight", float64(p.MaxInFlight), 1, MaxInFlightBound)
	k.between(path+".queue_length", float64(p.QueueLength), 0, MaxQueueLength)
	waitInBounds := k.duration(path+".queue_wait", p.QueueWait, 0, MaxQueueWait)
	deadlineInBounds := k.duration(path+".deadline", p.Deadline, time.Millisecond, MaxDeadline)
	k.between(path+".reuse_weight", p.ReuseWeight, 0, MaxScoreWeight)
	k.between(path+".skew_weight", p.SkewWeight, 0, MaxScoreWeight)
	k.positive(path+".zone_weight", p.ZoneWeight, MaxScoreWeight)
	if waitInBounds && deadlineInBounds && p.QueueWait > p.Deadline {
		k.fail(path+".queue_wait", "must not exceed the deadline of %v, is %v", p.Deadline, p.QueueWait)
	}
}

// kind refuses fields that have no effect in a pool of the other kind.
func (k *checker) kind(path string, p *Pool) {
	switch p.Kind {
	case Model:
		k.onlyFor(Service, path+".non_repeatable", len(p.NonRepeatable) > 0)
	case Service:
		k.onlyFor(Model, path+".version", p.Version != "")
		k.onlyFor(Model, path+".adapters", len(p.Adapters) > 0)
		k.onlyFor(Model, path+".checks_fencing", p.ChecksFencing)
		k.onlyFor(Model, path+".kv_transfer", p.KVTransfer)
	default:
		k.fail(path+".kind", "%q is not a kind: use model or service", string(p.Kind))
	}
}

func (k *checker) onlyFor(kind Kind, path string, set bool) {
	if set {
		k.fail(path, "is only for pools of kind %s", kind)
	}
}

func (k *checker) call(path string, call Call, seen map[string]string) {
	if !methodPattern.MatchString(call.Method) {
		k.fail(path+".method", "%q is not a method: use upper-case letters such as POST, or * for all", call.Method)
	}
	if !strings.HasPrefix(call.Path, "/") {
		k.fail(path+".path", "must start with /, is %q", call.Path)
	}
	k.text(path+".path", call.Path)
	k.unique(path, call.Method+" "+call.Path, call.Method+" "+call.Path, seen)
}

func (k *checker) target(path string, p *Pool, t *Target) {
	k.name(path+".name", t.Name, k.targets)
	k.label(path+".zone", t.Zone)
	k.optionalLabel(path+".region", t.Region)
	k.optionalLabel(path+".role", t.Role)
	k.onlyFor(Model, path+".role", p.Kind == Service && t.Role != "")
	k.region(path, t)
	k.address(path+".address", t.Address)
}

// region refuses a zone that belongs to two regions.
func (k *checker) region(path string, t *Target) {
	first, ok := k.zones[t.Zone]
	if !ok {
		k.zones[t.Zone] = zoneUse{t.Region, path + ".region"}
		return
	}
	if first.region != t.Region {
		k.fail(path+".region", "zone %q is in region %q by %s, is %q here", t.Zone, first.region, first.path, t.Region)
	}
}

func (k *checker) address(path, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		k.fail(path, "%q is not an IP number with a port, such as 10.0.0.7:8000 or [fd00::7]:8000", address)
		return
	}
	ip := parsed.Addr().Unmap()
	if parsed.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() {
		k.fail(path, "%q can't be connected to", address)
		return
	}
	k.unique(path, netip.AddrPortFrom(ip, parsed.Port()).String(), address, k.addresses)
}

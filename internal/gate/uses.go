package gate

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthlb/amaranthlb/internal/admission"
	"github.com/amaranthlb/amaranthlb/internal/gossip"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// Changes in usage below these thresholds are not sent to the other gates. Demand only sets the direction in which
// shares move, and a tenth of what the gate holds makes no difference. If the other gates overestimate a share, there
// is less left for them to take, so a small decrease can wait. An increase and a grant are sent at once, because the
// sum of shares depends on them.
const (
	demandChange      = 0.1
	demandMinFraction = 0.1
	fractionShrink    = 0.02
)

// missingUseTimeout is how long a gate waits for the changes to a usage record that the origin's load record announces
// before it requests the whole record: messages on the two streams between two gates, or by way of a third gate, can
// arrive out of order.
const missingUseTimeout = time.Second

// useParts sends only the customers whose usage has changed. A load record is always sent whole.
var useParts = gossip.DeltaCodec[*pb.LoadRecord]{Since: useDelta, Join: applyUseDelta}

func useDelta(record *pb.LoadRecord, version uint64) *pb.LoadRecord {
	if !record.Use || version == 0 {
		return record
	}
	part := &pb.LoadRecord{Gate: record.Gate, Incarnation: record.Incarnation, Use: true, ShareResets: record.ShareResets, Since: version}
	for _, use := range record.Uses {
		if use.Version > version {
			part.Uses = append(part.Uses, use)
		}
	}
	return part
}

func applyUseDelta(held *pb.LoadRecord, version uint64, part *pb.LoadRecord) (*pb.LoadRecord, bool) {
	if part.Since == 0 {
		return part, true
	}
	if version < part.Since {
		return nil, false
	}
	whole := &pb.LoadRecord{Gate: part.Gate, Incarnation: part.Incarnation, Use: true, ShareResets: part.ShareResets}
	for _, use := range held.Uses {
		if _, changed := findUse(part.Uses, use.Customer); !changed {
			whole.Uses = append(whole.Uses, use)
		}
	}
	whole.Uses = append(whole.Uses, part.Uses...)
	slices.SortFunc(whole.Uses, compareUses)
	return whole, true
}

func compareUses(a, b *pb.CustomerUse) int { return strings.Compare(a.Customer, b.Customer) }

// findUse searches a list sorted by customer.
func findUse(uses []*pb.CustomerUse, customer string) (int, bool) {
	return slices.BinarySearchFunc(uses, customer, func(u *pb.CustomerUse, name string) int {
		return strings.Compare(u.Customer, name)
	})
}

// refreshUse creates a new record of the customers' usage if it has changed, and sets its version in the load record.
func (g *Gate) refreshUse(now time.Duration, load *pb.LoadRecord) {
	record := g.useRecord()
	if len(record.Uses) == 0 && g.state.lastUse == nil {
		return
	}
	if g.state.lastUse != nil {
		record.Uses = addRemovedCustomers(record.Uses, g.state.lastUse.Uses)
		suppressSmallChanges(record.Uses, g.state.lastUse.Uses)
	}
	for _, use := range record.Uses {
		if use.Version == 0 {
			use.Version = g.state.useVersion + 1
		}
	}
	if g.state.lastUse == nil || !proto.Equal(record, g.state.lastUse) {
		g.state.useVersion++
		g.state.lastUse = record
	}
	g.state.loads.Put(now, wire.UsageKey(g.self.Name, g.self.Incarnation), g.state.useVersion, g.state.lastUse)
	load.UsesVersion = g.state.useVersion
}

// addRemovedCustomers adds an empty usage for each customer that no longer has limits, so that the change is sent.
func addRemovedCustomers(uses, sent []*pb.CustomerUse) []*pb.CustomerUse {
	var ended []*pb.CustomerUse
	for _, before := range sent {
		if _, ok := findUse(uses, before.Customer); !ok {
			ended = append(ended, &pb.CustomerUse{Customer: before.Customer})
		}
	}
	uses = append(uses, ended...)
	slices.SortFunc(uses, compareUses)
	return uses
}

func (g *Gate) useRecord() *pb.LoadRecord {
	record := &pb.LoadRecord{Gate: g.self.Name, Incarnation: g.self.Incarnation, Use: true}
	g.admission.update(func(c *admission.Controller, _ time.Duration, out []admission.Outcome) []admission.Outcome {
		record.ShareResets = uint32(c.Epoch() - g.self.Incarnation)
		for _, use := range c.Usages() {
			record.Uses = append(record.Uses, &pb.CustomerUse{
				Customer: use.Customer,
				Rate:     share(use.Rate),
				InFlight: share(use.InFlight),
			})
		}
		return out
	})
	slices.SortFunc(record.Uses, compareUses)
	return record
}

// suppressSmallChanges replaces each usage that differs negligibly from the one last sent by the latter. Both lists are
// sorted.
func suppressSmallChanges(uses, sent []*pb.CustomerUse) {
	for i, use := range uses {
		j, ok := findUse(sent, use.Customer)
		if ok && negligibleChange(use.Rate, sent[j].Rate) && negligibleChange(use.InFlight, sent[j].InFlight) {
			uses[i] = sent[j]
		}
	}
}

func negligibleChange(current, sent *pb.Share) bool {
	if (current == nil) != (sent == nil) {
		return false
	}
	demand := math.Abs(float64(current.GetDemand() - sent.GetDemand()))
	shrunk := sent.GetFraction() - current.GetFraction()
	return current.GetKnown() == sent.GetKnown() && current.GetYoung() == sent.GetYoung() &&
		slices.EqualFunc(current.GetGrants(), sent.GetGrants(), func(a, b *pb.Grant) bool { return proto.Equal(a, b) }) &&
		slices.EqualFunc(current.GetReceipts(), sent.GetReceipts(), func(a, b *pb.Receipt) bool { return proto.Equal(a, b) }) &&
		demand <= max(demandMinFraction*current.GetFraction(), demandChange*float64(sent.GetDemand())) &&
		shrunk >= 0 && shrunk <= fractionShrink*sent.GetFraction()
}

// renewUses extends the lifetime of the usage records that a peer's load records declare current. If this gate lacks
// such a record, or has had an outdated version of it for missingUseTimeout, it requests the whole record from the
// peer.
func (g *Gate) renewUses(now time.Duration, peer string, records []gossip.Record[*pb.LoadRecord]) []gossip.Record[*pb.LoadRecord] {
	var renewed []gossip.Record[*pb.LoadRecord]
	for _, record := range records {
		load := record.Payload
		if load.UsesVersion == 0 || load.Gate == g.self.Name {
			continue
		}
		key := wire.UsageKey(load.Gate, load.Incarnation)
		uses, held := g.state.loads.Renew(now, key, load.UsesVersion, record.Age)
		renewed = append(renewed, uses...)
		g.requestMissingUse(now, peer, key, held, load.UsesVersion)
	}
	return renewed
}

// requestMissingUse requests a usage record from the peer if this gate lacks it or still has an outdated version of
// it.
func (g *Gate) requestMissingUse(now time.Duration, peer, key string, held bool, version uint64) {
	if held && g.state.loads.Version(key) >= version {
		delete(g.state.missingUses, key)
		return
	}
	since, known := g.state.missingUses[key]
	if known && now-since < missingUseTimeout {
		return
	}
	g.state.missingUses[key] = now
	if held && !known {
		return
	}
	g.state.useRequests[peer] = append(g.state.useRequests[peer], []byte(key))
}

// expireMissingUses removes the entries of gates that have ended.
func (g *Gate) expireMissingUses(now time.Duration) {
	maps.DeleteFunc(g.state.missingUses, func(_ string, since time.Duration) bool { return now-since > loadLifetime })
}

func share(s admission.Share) *pb.Share {
	converted := &pb.Share{Demand: float32(s.Demand), Fraction: s.Fraction, Known: s.Enforced, Young: s.RecentlyStarted}
	for _, grant := range s.Grants {
		converted.Grants = append(converted.Grants, &pb.Grant{To: grant.To, Sequence: grant.Sequence, Fraction: grant.Fraction})
	}
	for _, receipt := range s.Receipts {
		converted.Receipts = append(converted.Receipts, &pb.Receipt{From: receipt.From, Sequence: receipt.Sequence})
	}
	return converted
}

func shareFrom(s *pb.Share) admission.Share {
	converted := admission.Share{Demand: float64(s.GetDemand()), Fraction: s.GetFraction(), Enforced: s.GetKnown(), RecentlyStarted: s.GetYoung()}
	for _, grant := range s.GetGrants() {
		converted.Grants = append(converted.Grants, admission.Grant{To: grant.To, Sequence: grant.Sequence, Fraction: grant.Fraction})
	}
	for _, receipt := range s.GetReceipts() {
		converted.Receipts = append(converted.Receipts, admission.Receipt{From: receipt.From, Sequence: receipt.Sequence})
	}
	return converted
}

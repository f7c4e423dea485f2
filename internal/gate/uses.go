package gate

import (
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

// Changes of use below these bounds are not told to the other gates. Demand only sets the direction in which shares
// move, and a tenth of what the gate holds makes no difference. A share that the others think too high leaves less for them
// to take, so a small decrease can wait; an increase and a grant are told at once, because the sum of shares depends on
// them.
const (
	demandChange   = 0.1
	demandLeast    = 0.1
	fractionShrink = 0.02
)

// refreshUse makes a new record of the customers' use when it has changed, and names its version in the load record.
func (g *Gate) refreshUse(now time.Duration, load *pb.LoadRecord) {
	record := g.useRecord()
	if len(record.Uses) == 0 && g.state.lastUse == nil {
		return
	}
	if g.state.lastUse != nil {
		keepSmallChanges(record.Uses, g.state.lastUse.Uses)
	}
	if g.state.lastUse == nil || !proto.Equal(record, g.state.lastUse) {
		g.state.useVersion++
		g.state.lastUse = record
	}
	g.state.loads.Put(now, wire.UseKey(g.self.Name, g.self.Incarnation), g.state.useVersion, g.state.lastUse)
	load.UsesVersion = g.state.useVersion
}

func (g *Gate) useRecord() *pb.LoadRecord {
	record := &pb.LoadRecord{Gate: g.self.Name, Incarnation: g.self.Incarnation, Use: true}
	g.admission.update(func(c *admission.Controller, _ time.Duration, out []admission.Outcome) []admission.Outcome {
		record.ShareResets = uint32(c.Epoch() - g.self.Incarnation)
		for _, use := range c.Uses() {
			record.Uses = append(record.Uses, &pb.CustomerUse{
				Customer: use.Customer,
				Rate:     share(use.Rate),
				InFlight: share(use.InFlight),
			})
		}
		return out
	})
	slices.SortFunc(record.Uses, func(a, b *pb.CustomerUse) int { return strings.Compare(a.Customer, b.Customer) })
	return record
}

// keepSmallChanges replaces figures that have hardly changed by those that were told last. Both lists are sorted.
func keepSmallChanges(uses, told []*pb.CustomerUse) {
	for _, use := range uses {
		i, ok := slices.BinarySearchFunc(told, use.Customer, func(u *pb.CustomerUse, name string) int {
			return strings.Compare(u.Customer, name)
		})
		if ok && hardlyChanged(use.Rate, told[i].Rate) && hardlyChanged(use.InFlight, told[i].InFlight) {
			use.Rate, use.InFlight = told[i].Rate, told[i].InFlight
		}
	}
}

func hardlyChanged(current, told *pb.Share) bool {
	demand := math.Abs(float64(current.Demand - told.Demand))
	shrunk := told.Fraction - current.Fraction
	return current.Known == told.Known && current.Young == told.Young &&
		slices.EqualFunc(current.Grants, told.Grants, func(a, b *pb.Grant) bool { return proto.Equal(a, b) }) &&
		slices.EqualFunc(current.Receipts, told.Receipts, func(a, b *pb.Receipt) bool { return proto.Equal(a, b) }) &&
		demand <= max(demandLeast*current.Fraction, demandChange*float64(told.Demand)) &&
		shrunk >= 0 && shrunk <= fractionShrink*told.Fraction
}

// renewUses renews the records of use that the load records of a peer say are still in force. A gate that holds none
// asks the peer for everything again: the peer counts records as sent that have expired here.
func (g *Gate) renewUses(now time.Duration, peer string, records []gossip.Record[*pb.LoadRecord]) []gossip.Record[*pb.LoadRecord] {
	var renewed []gossip.Record[*pb.LoadRecord]
	for _, record := range records {
		load := record.Payload
		if load.UsesVersion == 0 || load.Gate == g.self.Name {
			continue
		}
		uses, held := g.state.loads.Renew(now, wire.UseKey(load.Gate, load.Incarnation), load.UsesVersion, record.Age)
		renewed = append(renewed, uses...)
		if !held {
			g.state.introductions.wanted[peer] = true
		}
	}
	return renewed
}

func share(s admission.Share) *pb.Share {
	told := &pb.Share{Demand: float32(s.Demand), Fraction: s.Fraction, Known: s.Known, Young: s.Young}
	for _, grant := range s.Grants {
		told.Grants = append(told.Grants, &pb.Grant{To: grant.To, Sequence: grant.Sequence, Fraction: grant.Fraction})
	}
	for _, receipt := range s.Receipts {
		told.Receipts = append(told.Receipts, &pb.Receipt{From: receipt.From, Sequence: receipt.Sequence})
	}
	return told
}

func shareFrom(s *pb.Share) admission.Share {
	told := admission.Share{Demand: float64(s.GetDemand()), Fraction: s.GetFraction(), Known: s.GetKnown(), Young: s.GetYoung()}
	for _, grant := range s.GetGrants() {
		told.Grants = append(told.Grants, admission.Grant{To: grant.To, Sequence: grant.Sequence, Fraction: grant.Fraction})
	}
	for _, receipt := range s.GetReceipts() {
		told.Receipts = append(told.Receipts, admission.Receipt{From: receipt.From, Sequence: receipt.Sequence})
	}
	return told
}

package wire

import (
	"github.com/amaranthlb/amaranthlb/internal/crashguard"
	"github.com/amaranthlb/amaranthlb/internal/pb"
)

// Charges converts crash charges to messages.
func Charges(charges []crashguard.Charge) []*pb.Charge {
	converted := make([]*pb.Charge, len(charges))
	for i, c := range charges {
		converted[i] = &pb.Charge{
			Digest:      uint64(c.Digest),
			Target:      c.Crash.Target,
			Incarnation: c.Crash.Incarnation,
			RemainingMs: c.Remaining.Milliseconds(),
			Cleared:     c.Cleared,
		}
	}
	return converted
}

// ChargesFrom converts messages to crash charges.
func ChargesFrom(charges []*pb.Charge) []crashguard.Charge {
	converted := make([]crashguard.Charge, 0, len(charges))
	for _, c := range charges {
		converted = append(converted, crashguard.Charge{
			Digest:    crashguard.Digest(c.GetDigest()),
			Crash:     crashguard.Crash{Target: c.GetTarget(), Incarnation: c.GetIncarnation()},
			Remaining: duration(c.GetRemainingMs()),
			Cleared:   c.GetCleared(),
		})
	}
	return converted
}

// ChargesInNotices returns the crash charges contained in notices. A charge carries the remaining time as of when the
// origin created the notice, so the notice's age is subtracted.
func ChargesInNotices(notices []*pb.Notice) []crashguard.Charge {
	var charges []crashguard.Charge
	for _, notice := range notices {
		if notice.Charge == nil {
			continue
		}
		charge := ChargesFrom([]*pb.Charge{notice.Charge})[0]
		charge.Remaining -= duration(notice.AgeMs)
		charges = append(charges, charge)
	}
	return charges
}

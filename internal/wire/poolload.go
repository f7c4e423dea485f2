package wire

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/admission"
	"github.com/amaranthlb/amaranthlb/internal/pb"
)

// PoolLoads converts the loads carried by requests to messages. Ages are rounded up, so that a load never appears newer
// than it is.
func PoolLoads(digests []admission.PoolDigest) []*pb.PoolLoad {
	loads := make([]*pb.PoolLoad, 0, len(digests))
	for _, d := range digests {
		age := (d.Age + time.Millisecond - 1) / time.Millisecond
		loads = append(loads, &pb.PoolLoad{
			Gate: d.Gate, Zone: d.Zone, Load: uint32(d.Load), Targets: uint32(d.Targets), AgeMs: uint32(age),
		})
	}
	return loads
}

// PoolLoadsFrom converts messages to the loads of a pool.
func PoolLoadsFrom(pool string, loads []*pb.PoolLoad) []admission.PoolDigest {
	digests := make([]admission.PoolDigest, 0, len(loads))
	for _, l := range loads {
		digests = append(digests, admission.PoolDigest{
			Pool: pool, Gate: l.Gate, Zone: l.Zone, Load: int(l.Load), Targets: int(l.Targets),
			Age: time.Duration(l.AgeMs) * time.Millisecond,
		})
	}
	return digests
}

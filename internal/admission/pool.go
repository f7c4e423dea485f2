package admission

import (
	"math"
	"time"
)

// maxDigests bounds the load digests stored for one pool.
const maxDigests = 4096

// limitEpsilon keeps a rounding error in the computed limit from raising it by one.
const limitEpsilon = 1e-9

// headroomFraction is the fraction of the permitted excess over the mean load that is reserved for loads that fall
// before their update arrives. In simulated traces a lower value lets more targets exceed the multiple, and a higher
// one makes requests wait longer.
const headroomFraction = 0.6

// digestKey identifies the origin of a load digest.
type digestKey struct{ gate, zone string }

// digest is the last known load of one gate's targets in one zone.
type digest struct {
	load       int
	targets    int
	measuredAt time.Duration
}

// pool holds the load of a pool. The sums of the digests are cached until a digest changes or becomes stale, because
// Submit needs the limit for each request.
type pool struct {
	settings Pool
	digests  map[digestKey]digest

	running      int // requests in flight that this gate admitted
	ownedTargets int // targets that this gate owns and that count in the mean

	remoteLoad     int
	remoteTargets  int
	sumsValid      bool
	sumsValidUntil time.Duration
}

func newPool(settings Pool) *pool {
	return &pool{settings: settings, digests: make(map[digestKey]digest)}
}

// setDigest stores a digest if it was measured later than the stored one, whichever path it arrived by.
func (p *pool) setDigest(now time.Duration, d PoolDigest) {
	key := digestKey{d.Gate, d.Zone}
	measuredAt := now - d.Age
	stored, ok := p.digests[key]
	if ok && stored.measuredAt >= measuredAt {
		return
	}
	if !ok && len(p.digests) >= maxDigests {
		return
	}
	p.digests[key] = digest{max(d.Load, 0), max(d.Targets, 0), measuredAt}
	p.sumsValid = false
}

func (p *pool) removeGate(gate string) {
	for key := range p.digests {
		if key.gate == gate {
			delete(p.digests, key)
		}
	}
	p.sumsValid = false
}

// refresh recomputes the sums of the digests if needed. A stale digest counts as zero load, but its targets still
// count.
func (p *pool) refresh(now time.Duration) {
	if p.sumsValid && now < p.sumsValidUntil {
		return
	}
	p.remoteLoad, p.remoteTargets = 0, 0
	p.sumsValidUntil = math.MaxInt64
	for _, d := range p.digests {
		p.remoteTargets += d.targets
		staleAt := d.measuredAt + StaleAfter
		if now < staleAt {
			p.remoteLoad += d.load
			p.sumsValidUntil = min(p.sumsValidUntil, staleAt)
		}
	}
	p.sumsValid = true
}

// limit returns the load limit of each target of the pool. The number of targets is the greater of the settings' and
// the digests', so that a disagreement makes the limit too low rather than too high.
func (p *pool) limit(now time.Duration) int {
	p.refresh(now)
	targets := max(p.settings.Targets, p.ownedTargets+p.remoteTargets, 1)
	load := float64(p.running) + float64(p.remoteLoad)*(1-p.headroom())
	permitted := p.settings.LoadMultiple * (load + 1) / float64(targets)
	return min(p.settings.MaxInFlight, int(math.Ceil(permitted-limitEpsilon)))
}

// headroom returns the fraction of the other gates' load that is assumed to have ended since it was measured. It is
// taken from what the multiple permits above the mean, so that the limit stays above the mean and loads can always
// grow.
func (p *pool) headroom() float64 {
	return headroomFraction * (p.settings.LoadMultiple - 1) / p.settings.LoadMultiple
}

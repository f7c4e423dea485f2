package admission

import (
	"math"
	"time"
)

// maxDigests bounds the digests of one pool.
const maxDigests = 4096

// limitEpsilon keeps rounding errors of the product from raising the limit by one.
const limitEpsilon = 1e-9

// headroomFraction is the fraction of the excess over the mean that is reserved for loads that fall before the update
// arrives. In simulated traces a lower value lets more targets exceed the multiple and a higher one makes requests wait
// longer.
const headroomFraction = 0.6

// digestKey names the origin of a digest.
type digestKey struct{ gate, zone string }

// digest is the last known load of one origin.
type digest struct {
	load       int
	targets    int
	measuredAt time.Duration
}

// pool holds the load of a pool. The sums of the digests are kept until one of them expires, because Submit needs
// the limit for each request.
type pool struct {
	settings Pool
	digests  map[digestKey]digest

	running int // requests in flight that this gate admitted
	owned   int // targets that this gate owns

	remoteLoad     int
	remoteTargets  int
	sumsValid      bool
	sumsValidUntil time.Duration
}

func newPool(settings Pool) *pool {
	return &pool{settings: settings, digests: make(map[digestKey]digest)}
}

// setDigest keeps the most recently measured digest, whatever path it arrived by.
func (p *pool) setDigest(now time.Duration, d PoolDigest) {
	key := digestKey{d.Gate, d.Zone}
	measured := now - d.Age
	known, ok := p.digests[key]
	if ok && known.measuredAt >= measured {
		return
	}
	if !ok && len(p.digests) >= maxDigests {
		return
	}
	p.digests[key] = digest{max(d.Load, 0), max(d.Targets, 0), measured}
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

// refresh sums the digests. A stale one counts as zero load while its targets still count.
func (p *pool) refresh(now time.Duration) {
	if p.sumsValid && now < p.sumsValidUntil {
		return
	}
	p.remoteLoad, p.remoteTargets = 0, 0
	p.sumsValidUntil = math.MaxInt64
	for _, d := range p.digests {
		p.remoteTargets += d.targets
		stale := d.measuredAt + StaleAfter
		if now < stale {
			p.remoteLoad += d.load
			p.sumsValidUntil = min(p.sumsValidUntil, stale)
		}
	}
	p.sumsValid = true
}

// limit returns the load limit of each target of the pool. The count of targets is the greater of the view's and the
// digests', so that disagreement makes the limit too low rather than too high.
func (p *pool) limit(now time.Duration) int {
	p.refresh(now)
	targets := max(p.settings.Targets, p.owned+p.remoteTargets, 1)
	sum := float64(p.running) + float64(p.remoteLoad)*(1-p.headroom())
	mean := p.settings.LoadMultiple * (sum + 1) / float64(targets)
	return min(p.settings.MaxInFlight, int(math.Ceil(mean-limitEpsilon)))
}

// headroom is the part of the other gates' load that counts as ended since it was measured. It is taken from what the
// multiple permits above the mean, so that the limit stays above the mean and loads can always grow.
func (p *pool) headroom() float64 {
	return headroomFraction * (p.settings.LoadMultiple - 1) / p.settings.LoadMultiple
}

package admission

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// minWeight keeps a customer with weight 0 from never being scheduled.
const minWeight = 0.01

// burstDuration determines the size of the token bucket: the tokens that accrue in this time, and at least one token.
// With one second, a limit of one request/s at each gate refused a third of the requests of a customer that sent half
// of its limit.
const burstDuration = 2 * time.Second

// shareEpsilon keeps rounding errors from lowering a whole number of requests by one.
const shareEpsilon = 1e-9

// customer holds the limits and the usage of one customer at this gate.
type customer struct {
	settings    Customer
	outstanding int // waiting and running requests
	shares      [limitKinds]share
	peers       []peerUsage
	// grantCheckDue is set when a peer's usage or the demand has changed since the last call of grantSurplus.
	grantCheckDue bool
	// viewVersion is the version of the view for which the peers' expected flags were computed.
	viewVersion int

	tokens     float64
	refilledAt time.Duration

	offered float64 // requests since the last update of the shares
	refused float64 // of these, refused by the concurrency limit
}

func (c *customer) weight() float64 { return max(c.settings.Weight, minWeight) }

// limit returns the fleet-wide limit; 0 is unlimited.
func (c *customer) limit(kind int) float64 {
	if kind == rateLimit {
		return c.settings.RequestsPerSecond
	}
	return float64(c.settings.Concurrent)
}

// rate returns this gate's share of the rate limit in requests/s.
func (c *customer) rate() float64 {
	return c.shares[rateLimit].fraction * c.settings.RequestsPerSecond
}

// concurrent returns this gate's share of the concurrency limit in requests.
func (c *customer) concurrent() int {
	return int(c.shares[concurrencyLimit].fraction*float64(c.settings.Concurrent) + shareEpsilon)
}

// checkLimits checks whether the limits permit one more request. It returns an empty reason if they do, and otherwise
// the reason of the refusal and, for the rate limit, the time until the next token.
func (c *customer) checkLimits(now time.Duration) (reason.Reason, time.Duration) {
	c.offered++
	if c.settings.Concurrent > 0 && c.outstanding >= c.concurrent() {
		c.refused++
		return reason.CustomerConcurrency, 0
	}
	if c.settings.RequestsPerSecond <= 0 {
		return "", 0
	}
	c.refill(now)
	if c.tokens < 1 {
		return reason.CustomerRate, c.timeToToken()
	}
	return "", 0
}

func (c *customer) refill(now time.Duration) {
	rate := c.rate()
	c.tokens += rate * (now - c.refilledAt).Seconds()
	c.tokens = min(c.tokens, max(1, rate*burstDuration.Seconds()))
	c.refilledAt = now
}

func (c *customer) timeToToken() time.Duration {
	rate := c.rate()
	if rate <= 0 {
		return MaxUsageAge
	}
	return time.Duration((1 - c.tokens) / rate * float64(time.Second))
}

// acquire counts an accepted request and takes a token; release uncounts the request when it ends.
func (c *customer) acquire() {
	c.outstanding++
	if c.settings.RequestsPerSecond > 0 {
		c.tokens--
	}
}

func (c *customer) release() { c.outstanding-- }

// totals sums the peers' usage. It first recomputes their expected flags if the view has changed.
func (c *customer) totals(now time.Duration, view *gateView) [limitKinds]fleetTotals {
	if c.viewVersion != view.version {
		for i := range c.peers {
			c.peers[i].expected = !c.peers[i].superseded && view.expects(c.peers[i].gate)
		}
		c.viewVersion = view.version
	}
	return sumPeers(now, view, c.peers, &c.shares, view.epoch)
}

// setUsage stores a peer's usage and accepts its grants to this gate.
func (c *customer) setUsage(now time.Duration, view *gateView, usage Usage) {
	peers, changed := upsertPeer(c.peers, peerUsage{
		gate:       usage.Gate,
		epoch:      usage.Epoch,
		measuredAt: now - usage.Age,
		shares:     [limitKinds]Share{rateLimit: usage.Rate, concurrencyLimit: usage.InFlight},
		expected:   view.expects(usage.Gate),
	})
	c.peers = peers
	if !changed {
		return
	}
	c.grantCheckDue = true
	if c.settings.RequestsPerSecond > 0 {
		c.refill(now)
	}
	c.shares[rateLimit].acceptGrants(view.epoch, usage.Epoch, &usage.Rate, usage.Age)
	c.shares[concurrencyLimit].acceptGrants(view.epoch, usage.Epoch, &usage.InFlight, usage.Age)
}

// minFraction returns the fraction that this gate must keep: that of the concurrency limit covers the requests that
// wait or run here.
func (c *customer) minFraction(kind int, f fleetTotals) float64 {
	limit := c.limit(kind)
	fraction := minGateFraction(limit, f.gates)
	if kind == concurrencyLimit {
		fraction = max(fraction, float64(c.outstanding)/limit)
	}
	return fraction
}

// grantSurplus grants the surplus of this gate's shares to gates that are short of share, and appends the names of the
// receivers.
func (c *customer) grantSurplus(now time.Duration, view *gateView, receivers []string) []string {
	c.grantCheckDue = false
	totals := c.totals(now, view)
	for kind := range c.shares {
		if c.limit(kind) <= 0 {
			continue
		}
		s := &c.shares[kind]
		s.updateReceipts(now, view.epoch, kind, c.peers)
		receivers = s.grantSurplus(now, view.epoch, kind, totals[kind], c.peers, c.minFraction(kind, totals[kind]), receivers)
	}
	return receivers
}

// handlePause delays enlargements after a pause of the process, and starts anew with minimal shares after a long one.
// The usage of other gates may have been queued unread during a pause, so that it seems newer than it is. After a long
// pause the other gates may have divided this gate's shares.
func (c *customer) handlePause(now, pause time.Duration, view *gateView) {
	for kind := range c.shares {
		s := &c.shares[kind]
		s.enlargedAt = now
		if pause >= maxPause && s.started {
			s.transfers = transfers{}
			s.join(now, c.limit(kind), c.totals(now, view)[kind])
		}
	}
}

// startShares sets the initial shares where they are not set yet, so that the first requests need not wait for a Tick.
func (c *customer) startShares(now time.Duration, view *gateView) {
	for kind := range c.shares {
		s := &c.shares[kind]
		limit := c.limit(kind)
		if s.started || limit <= 0 {
			continue
		}
		s.start(now, limit, c.totals(now, view)[kind])
	}
}

// updateShares averages the demand since the last update and adjusts the shares.
func (c *customer) updateShares(now, elapsed time.Duration, view *gateView) {
	c.peers = pruneDepartedPeers(now, c.peers)
	totals := c.totals(now, view)
	refusedRate := c.refused / elapsed.Seconds()
	demands := [limitKinds]float64{
		rateLimit:        c.offered / elapsed.Seconds(),
		concurrencyLimit: float64(c.outstanding) + refusedRate,
	}
	c.offered, c.refused = 0, 0
	if c.settings.RequestsPerSecond > 0 {
		c.refill(now)
	}
	for kind := range c.shares {
		s := &c.shares[kind]
		limit := c.limit(kind)
		if limit <= 0 {
			*s = share{transfers: s.transfers}
			continue
		}
		s.observe(demands[kind], limit, elapsed)
		s.update(now, limit, totals[kind], c.minFraction(kind, totals[kind]))
	}
	c.grantCheckDue = true
}

// usage returns this gate's usage, to be sent to the other gates.
func (c *customer) usage(now time.Duration, gate string, epoch uint64) Usage {
	return Usage{
		Customer: c.settings.Name,
		Gate:     gate,
		Epoch:    epoch,
		Rate:     c.shares[rateLimit].advertised(now, c.limit(rateLimit)),
		InFlight: c.shares[concurrencyLimit].advertised(now, c.limit(concurrencyLimit)),
	}
}

package admission

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// minWeight prevents a weight of 0 from stopping a customer's flow.
const minWeight = 0.01

// burstDuration sets the bucket size as the tokens of this time, with a minimum of one token. With one second, a limit
// of one request/s at each gate refused a third of the requests of a customer that sent half of its limit.
const burstDuration = 2 * time.Second

// shareEpsilon keeps rounding errors from lowering a whole number of requests by one.
const shareEpsilon = 1e-9

// customer holds the limits and the use of one customer at this gate.
type customer struct {
	settings    Customer
	outstanding int // requests that wait or run
	shares      [resources]share
	peers       []peerUsage
	// grantCheckDue is set when a peer's usage or the demand has changed since the last check for grants to make.
	grantCheckDue bool
	// viewVersion is that of the view for which the peers' expected flags were set.
	viewVersion int

	tokens     float64
	refilledAt time.Duration

	offered float64 // requests since the last update of the shares
	refused float64 // those refused for concurrency
}

func (c *customer) weight() float64 { return max(c.settings.Weight, minWeight) }

// limit returns the fleet-wide limit; 0 is unlimited.
func (c *customer) limit(resource int) float64 {
	if resource == rateLimit {
		return c.settings.RequestsPerSecond
	}
	return float64(c.settings.Concurrent)
}

// rate returns this gate's part of the rate limit.
func (c *customer) rate() float64 {
	return c.shares[rateLimit].fraction * c.settings.RequestsPerSecond
}

// concurrent returns this gate's part of the limit of concurrent requests.
func (c *customer) concurrent() int {
	return int(c.shares[concurrencyLimit].fraction*float64(c.settings.Concurrent) + shareEpsilon)
}

// checkLimits reports whether the limits permit one more request, and otherwise why not and when to try again.
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

// acquire counts an accepted request; release undoes it when the request ends.
func (c *customer) acquire() {
	c.outstanding++
	if c.settings.RequestsPerSecond > 0 {
		c.tokens--
	}
}

func (c *customer) release() { c.outstanding-- }

// totals sums the peers' usage; it recomputes their expected flags when the view has changed.
func (c *customer) totals(now time.Duration, view *gateView) [resources]fleetTotals {
	if c.viewVersion != view.version {
		for i := range c.peers {
			c.peers[i].expected = !c.peers[i].superseded && view.expects(c.peers[i].gate)
		}
		c.viewVersion = view.version
	}
	return sumPeers(now, view, c.peers, &c.shares, view.epoch)
}

// setUsage stores a peer's usage and accepts its grants to this gate.
func (c *customer) setUsage(now time.Duration, view *gateView, use Use) {
	peers, isNews := upsertPeer(c.peers, peerUsage{
		gate:       use.Gate,
		epoch:      use.Epoch,
		measuredAt: now - use.Age,
		shares:     [resources]Share{rateLimit: use.Rate, concurrencyLimit: use.InFlight},
		expected:   view.expects(use.Gate),
	})
	c.peers = peers
	if !isNews {
		return
	}
	c.grantCheckDue = true
	if c.settings.RequestsPerSecond > 0 {
		c.refill(now)
	}
	c.shares[rateLimit].acceptGrants(view.epoch, use.Epoch, &use.Rate, use.Age)
	c.shares[concurrencyLimit].acceptGrants(view.epoch, use.Epoch, &use.InFlight, use.Age)
}

// minFraction returns the smallest fraction that this gate can hold: it must cover the requests that wait or run here.
func (c *customer) minFraction(resource int, f fleetTotals) float64 {
	limit := c.limit(resource)
	least := minGateFraction(limit, f.gates)
	if resource == concurrencyLimit {
		least = max(least, float64(c.outstanding)/limit)
	}
	return least
}

// grantSurplus grants unused parts of the limits to gates that need them, and appends the names of the receivers.
func (c *customer) grantSurplus(now time.Duration, view *gateView, to []string) []string {
	c.grantCheckDue = false
	fleets := c.totals(now, view)
	for resource := range c.shares {
		if c.limit(resource) <= 0 {
			continue
		}
		s := &c.shares[resource]
		s.updateReceipts(now, view.epoch, resource, c.peers)
		to = s.grantSurplus(now, view.epoch, resource, fleets[resource], c.peers, c.minFraction(resource, fleets[resource]), to)
	}
	return to
}

// handlePause handles a pause of the process. Usage of other gates may have been queued unread during it, so that it
// seems newer than it is. After a long pause the other gates may have divided this gate's shares.
func (c *customer) handlePause(now, pause time.Duration, view *gateView) {
	for resource := range c.shares {
		s := &c.shares[resource]
		s.enlargedAt = now
		if pause >= maxPause && s.started {
			s.transfers = transfers{}
			s.join(now, c.limit(resource), c.totals(now, view)[resource])
		}
	}
}

// startShares sets shares that have not been set yet, so that the first requests need not wait for a Tick.
func (c *customer) startShares(now time.Duration, view *gateView) {
	for resource := range c.shares {
		s := &c.shares[resource]
		limit := c.limit(resource)
		if s.started || limit <= 0 {
			continue
		}
		s.start(now, limit, c.totals(now, view)[resource])
	}
}

// updateShares averages the demand since the last update and moves the shares.
func (c *customer) updateShares(now, elapsed time.Duration, view *gateView) {
	c.peers = pruneDepartedPeers(now, c.peers)
	fleets := c.totals(now, view)
	refusedRate := c.refused / elapsed.Seconds()
	demands := [resources]float64{
		rateLimit:        c.offered / elapsed.Seconds(),
		concurrencyLimit: float64(c.outstanding) + refusedRate,
	}
	c.offered, c.refused = 0, 0
	if c.settings.RequestsPerSecond > 0 {
		c.refill(now)
	}
	for resource := range c.shares {
		s := &c.shares[resource]
		limit := c.limit(resource)
		if limit <= 0 {
			*s = share{transfers: s.transfers}
			continue
		}
		s.observe(demands[resource], limit, elapsed)
		s.update(now, limit, fleets[resource], c.minFraction(resource, fleets[resource]))
	}
	c.grantCheckDue = true
}

// usage returns the usage to send to the other gates.
func (c *customer) usage(now time.Duration, gate string, epoch uint64) Use {
	return Use{
		Customer: c.settings.Name,
		Gate:     gate,
		Epoch:    epoch,
		Rate:     c.shares[rateLimit].advertised(now, c.limit(rateLimit)),
		InFlight: c.shares[concurrencyLimit].advertised(now, c.limit(concurrencyLimit)),
	}
}

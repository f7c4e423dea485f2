package admission

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// minWeight keeps a weight of 0 from stopping a customer's flow.
const minWeight = 0.01

// burstTime is the time whose tokens a bucket holds; it holds at least one.
const burstTime = time.Second

// shareEpsilon keeps rounding errors from lowering a whole number of requests by one.
const shareEpsilon = 1e-9

// customer holds the limits and the use of one customer at this gate.
type customer struct {
	settings Customer
	held     int // requests that wait or run
	shares   [resources]share
	peers    []peerUse
	// viewVersion is that of the view for which the peers' expected flags were set.
	viewVersion int

	tokens float64
	filled time.Duration

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

// check reports whether the limits permit one more request, and otherwise why not and when to try again.
func (c *customer) check(now time.Duration) (reason.Reason, time.Duration) {
	c.offered++
	if c.settings.Concurrent > 0 && c.held >= c.concurrent() {
		c.refused++
		return reason.CustomerConcurrency, 0
	}
	if c.settings.RequestsPerSecond <= 0 {
		return "", 0
	}
	c.fill(now)
	if c.tokens < 1 {
		return reason.CustomerRate, c.untilToken()
	}
	return "", 0
}

func (c *customer) fill(now time.Duration) {
	rate := c.rate()
	c.tokens += rate * (now - c.filled).Seconds()
	c.tokens = min(c.tokens, max(1, rate*burstTime.Seconds()))
	c.filled = now
}

func (c *customer) untilToken() time.Duration {
	rate := c.rate()
	if rate <= 0 {
		return MaxUseAge
	}
	return time.Duration((1 - c.tokens) / rate * float64(time.Second))
}

// hold counts an accepted request, drop one that has ended.
func (c *customer) hold() {
	c.held++
	if c.settings.RequestsPerSecond > 0 {
		c.tokens--
	}
}

func (c *customer) drop() { c.held-- }

// survey sums the peers' uses; it sets their expected flags anew when the view has changed.
func (c *customer) survey(now time.Duration, view *gateView) [resources]fleet {
	if c.viewVersion != view.version {
		for i := range c.peers {
			c.peers[i].expected = view.expects(c.peers[i].gate)
		}
		c.viewVersion = view.version
	}
	return survey(now, view, c.peers)
}

// startShares sets shares that have not been set yet, so that the first requests need not wait for a Tick.
func (c *customer) startShares(now time.Duration, view *gateView) {
	for resource := range c.shares {
		s := &c.shares[resource]
		limit := c.limit(resource)
		if s.started || limit <= 0 {
			continue
		}
		s.start(now, limit, c.survey(now, view)[resource])
	}
}

// updateShares averages the demand since the last update and moves the shares.
func (c *customer) updateShares(now, elapsed time.Duration, view *gateView) {
	fleets := c.survey(now, view)
	c.peers = forgetGone(now, c.peers)
	refusedRate := c.refused / elapsed.Seconds()
	demands := [resources]float64{
		rateLimit:        c.offered / elapsed.Seconds(),
		concurrencyLimit: float64(c.held) + refusedRate,
	}
	c.offered, c.refused = 0, 0
	for resource := range c.shares {
		s := &c.shares[resource]
		limit := c.limit(resource)
		if limit <= 0 {
			*s = share{}
			continue
		}
		s.observe(demands[resource], elapsed)
		s.update(now, limit, fleets[resource])
	}
}

// use returns what to tell the other gates.
func (c *customer) use(gate string) Use {
	told := func(s share) Share { return Share{s.demand, s.fraction, s.started} }
	return Use{
		Customer: c.settings.Name,
		Gate:     gate,
		Rate:     told(c.shares[rateLimit]),
		InFlight: told(c.shares[concurrencyLimit]),
	}
}

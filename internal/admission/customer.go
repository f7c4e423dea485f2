package admission

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// minWeight keeps a weight of 0 from stopping a customer's flow.
const minWeight = 0.01

// burstTime is the time whose tokens a bucket holds; it holds at least one. With one second, a limit of one request/s at
// each gate refused a third of the requests of a customer that sent half of its limit.
const burstTime = 2 * time.Second

// shareEpsilon keeps rounding errors from lowering a whole number of requests by one.
const shareEpsilon = 1e-9

// customer holds the limits and the use of one customer at this gate.
type customer struct {
	settings Customer
	held     int // requests that wait or run
	shares   [resources]share
	peers    []peerUse
	// news says that a use of a peer or the demand has changed since the last look for grants to make.
	news bool
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
			c.peers[i].expected = !c.peers[i].replaced && view.expects(c.peers[i].gate)
		}
		c.viewVersion = view.version
	}
	return survey(now, view, c.peers, &c.shares, view.epoch)
}

// setUse takes over the use of a peer and the grants in it.
func (c *customer) setUse(now time.Duration, view *gateView, use Use) {
	peers, isNews := setPeer(c.peers, peerUse{
		gate:     use.Gate,
		epoch:    use.Epoch,
		measured: now - use.Age,
		shares:   [resources]Share{rateLimit: use.Rate, concurrencyLimit: use.InFlight},
		expected: view.expects(use.Gate),
	})
	c.peers = peers
	if !isNews {
		return
	}
	c.news = true
	if c.settings.RequestsPerSecond > 0 {
		c.fill(now)
	}
	c.shares[rateLimit].accept(view.epoch, use.Epoch, &use.Rate, use.Age)
	c.shares[concurrencyLimit].accept(view.epoch, use.Epoch, &use.InFlight, use.Age)
}

// least returns the smallest fraction that the gate can have: the requests that run here keep their part.
func (c *customer) least(resource int, f fleet) float64 {
	limit := c.limit(resource)
	least := floor(limit, f.gates)
	if resource == concurrencyLimit {
		least = max(least, float64(c.held)/limit)
	}
	return least
}

// give grants unused parts of the limits to gates that need them, and appends their names.
func (c *customer) give(now time.Duration, view *gateView, to []string) []string {
	c.news = false
	fleets := c.survey(now, view)
	for resource := range c.shares {
		if c.limit(resource) <= 0 {
			continue
		}
		s := &c.shares[resource]
		s.settle(now, view.epoch, resource, c.peers)
		to = s.give(now, view.epoch, resource, fleets[resource], c.peers, c.least(resource, fleets[resource]), to)
	}
	return to
}

// resume handles a pause of the process, during which uses of other gates may have waited to be read, so that they
// seem newer than they are. After a long one the other gates may have divided this gate's shares.
func (c *customer) resume(now, pause time.Duration, view *gateView) {
	for resource := range c.shares {
		s := &c.shares[resource]
		s.grewAt = now
		if pause >= pauseLimit && s.started {
			s.transfers = transfers{}
			s.join(now, c.limit(resource), c.survey(now, view)[resource])
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
		s.start(now, limit, c.survey(now, view)[resource])
	}
}

// updateShares averages the demand since the last update and moves the shares.
func (c *customer) updateShares(now, elapsed time.Duration, view *gateView) {
	c.peers = forgetGone(now, c.peers)
	fleets := c.survey(now, view)
	refusedRate := c.refused / elapsed.Seconds()
	demands := [resources]float64{
		rateLimit:        c.offered / elapsed.Seconds(),
		concurrencyLimit: float64(c.held) + refusedRate,
	}
	c.offered, c.refused = 0, 0
	if c.settings.RequestsPerSecond > 0 {
		c.fill(now)
	}
	for resource := range c.shares {
		s := &c.shares[resource]
		limit := c.limit(resource)
		if limit <= 0 {
			*s = share{transfers: s.transfers}
			continue
		}
		s.observe(demands[resource], limit, elapsed)
		s.update(now, limit, fleets[resource], c.least(resource, fleets[resource]))
	}
	c.news = true
}

// use returns what to tell the other gates.
func (c *customer) use(now time.Duration, gate string, epoch uint64) Use {
	return Use{
		Customer: c.settings.Name,
		Gate:     gate,
		Epoch:    epoch,
		Rate:     c.shares[rateLimit].told(now, c.limit(rateLimit)),
		InFlight: c.shares[concurrencyLimit].told(now, c.limit(concurrencyLimit)),
	}
}

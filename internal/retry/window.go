package retry

import "time"

// windowSlots is the number of slots of a budget's window; the oldest slot expires as a whole.
const windowSlots = 10

// Budget limits the additional requests that retries cause at a service to a fraction of its requests in a sliding
// window plus a fixed number. The fixed number is shared evenly by all processes of a fleet.
// It is not safe for concurrent use.
type Budget struct {
	ratio  float64
	slack  float64
	window time.Duration
	counts map[string]*[windowSlots]windowCount
}

type windowCount struct {
	slot     int64
	requests int
	extra    int
}

// NewBudget returns a budget of ratio x requests + slack in each window.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, slack: slack, window: window, counts: make(map[string]*[windowSlots]windowCount)}
}

// SetSlack changes the fixed part, which depends on the number of processes that share it.
func (b *Budget) SetSlack(slack float64) { b.slack = slack }

func (b *Budget) at(now time.Duration, service string) *windowCount {
	counts := b.counts[service]
	if counts == nil {
		counts = new([windowSlots]windowCount)
		b.counts[service] = counts
	}
	slot := int64(now / (b.window / windowSlots))
	entry := &counts[slot%windowSlots]
	if entry.slot != slot {
		*entry = windowCount{slot: slot}
	}
	return entry
}

// Request counts a caller's request for the service.
func (b *Budget) Request(now time.Duration, service string) { b.at(now, service).requests++ }

// optionalShare is the part of the budget that is available to additional requests that only save time. The rest is
// reserved for requests that would otherwise fail.
const optionalShare = 0.75

// Allow reports whether one more retry is within the budget, and counts it if so.
func (b *Budget) Allow(now time.Duration, service string) bool { return b.allow(now, service, 1) }

// AllowOptional is like Allow for an additional request without which the caller would still be served, but late.
func (b *Budget) AllowOptional(now time.Duration, service string) bool {
	return b.allow(now, service, optionalShare)
}

func (b *Budget) allow(now time.Duration, service string, share float64) bool {
	entry := b.at(now, service)
	requests, extra := 0, 0
	for _, count := range b.counts[service] {
		if entry.slot-count.slot < windowSlots {
			requests += count.requests
			extra += count.extra
		}
	}
	if float64(extra+1) > share*(b.ratio*float64(requests)+b.slack) {
		return false
	}
	entry.extra++
	return true
}

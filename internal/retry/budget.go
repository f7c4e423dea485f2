package retry

import "time"

// Parameters of the budget.
const (
	budgetWindow  = 10
	budgetRatio   = 0.2
	minimumPerSec = 3
)

// budget counts requests and retries in buckets of one second over the last ten seconds.
type budget struct {
	requests [budgetWindow]int
	retries  [budgetWindow]int
	second   int64

	totalRequests int
	totalRetries  int
}

// advance clears the buckets that have expired from the window.
func (b *budget) advance(now time.Duration) {
	second := int64(now / time.Second)
	for steps := 0; b.second < second && steps < budgetWindow; steps++ {
		b.second++
		b.clear(int(b.second % budgetWindow))
	}
	b.second = max(b.second, second)
}

func (b *budget) clear(i int) {
	b.totalRequests -= b.requests[i]
	b.totalRetries -= b.retries[i]
	b.requests[i] = 0
	b.retries[i] = 0
}

func (b *budget) addRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.second%budgetWindow]++
	b.totalRequests++
}

// available reports whether one more retry is within the ratio, or within the minimum for the current second.
func (b *budget) available(now time.Duration) bool {
	b.advance(now)
	if float64(b.totalRetries+1) <= budgetRatio*float64(b.totalRequests) {
		return true
	}
	return b.retries[b.second%budgetWindow] < minimumPerSec
}

func (b *budget) addRetry() {
	b.retries[b.second%budgetWindow]++
	b.totalRetries++
}

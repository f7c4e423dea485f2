package gate

import (
	"maps"
	"sync"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/routing"
)

// admission counts the requests at each target and keeps them below the limit.
type admission struct {
	mu    sync.Mutex
	count map[string]int
}

// begin admits a request when the target is below its limit.
func (a *admission) begin(t *catalogue.Target, known map[string]int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.count == nil {
		a.count = make(map[string]int)
	}
	pool := t.Pool()
	sum := 0
	for i := range pool.Targets {
		name := pool.Targets[i].Name
		sum += max(a.count[name], known[name])
	}
	limit := routing.Limit(pool.LoadMultiple, sum, len(pool.Targets), pool.MaxInFlight)
	if a.count[t.Name] >= int(limit) {
		return false
	}
	a.count[t.Name]++
	return true
}

func (a *admission) end(target string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count[target]--
}

func (a *admission) loads() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.count)
}

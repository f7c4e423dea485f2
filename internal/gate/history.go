package gate

import "time"

// historyLength is how far back a report can be matched with the gate's own requests: the report lag of 2 s, one poll
// and a margin.
const historyLength = 5 * time.Second

// history records when this gate's own requests at one target began and ended.
type history struct {
	running int
	changes []change
	// oldest is the number of running requests before the first recorded change.
	oldest int
}

type change struct {
	at    time.Duration
	delta int
}

func (h *history) add(now time.Duration, delta int) {
	h.trim(now)
	h.running += delta
	h.changes = append(h.changes, change{now, delta})
}

// throughout returns how many requests ran during the whole period: those running at its start minus those that ended
// in it. The result is exact or too low, so that the load of other gates, which is the reported load minus this gate's
// own, is never underestimated.
func (h *history) throughout(from, to time.Duration) int {
	count := h.oldest
	for _, c := range h.changes {
		if c.at <= from || (c.at <= to && c.delta < 0) {
			count += c.delta
		}
	}
	return max(count, 0)
}

// covers reports whether the history reaches back to the given time.
func (h *history) covers(now, at time.Duration) bool { return now-at <= historyLength }

func (h *history) trim(now time.Duration) {
	dropped := 0
	for _, c := range h.changes {
		if now-c.at <= historyLength {
			break
		}
		h.oldest += c.delta
		dropped++
	}
	h.changes = h.changes[dropped:]
}

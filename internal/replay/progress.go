package replay

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// progressInterval is the shortest time between two progress lines.
const progressInterval = 200 * time.Millisecond

// Progress shows one line that is written over again and again. A nil Progress shows nothing.
type Progress struct {
	// Terminal gets the line.
	Terminal io.Writer

	mu   sync.Mutex
	last time.Time
}

// show writes the line when the last one is old enough.
func (p *Progress) show(now, total time.Duration, r *recorder) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.last) < progressInterval {
		return
	}
	p.last = time.Now()
	r.update(func(m *Measures) {
		_, _ = fmt.Fprintf(p.Terminal, "\r%5.1fs of %.1fs  sent %d  answered %d  failed %d  wrong %d\x1b[K",
			now.Seconds(), total.Seconds(), m.Requests, m.Answered, sumCounts(m.Failures), m.Wrong+m.Short+m.Duplicate)
	})
}

// End ends the line.
func (p *Progress) End() {
	if p != nil {
		_, _ = fmt.Fprintln(p.Terminal)
	}
}

func sumCounts(counts map[string]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

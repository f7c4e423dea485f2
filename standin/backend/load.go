package backend

import (
	"sort"
	"time"
)

// Second holds the load of one second of wall-clock time.
type Second struct {
	Unix int64   `json:"unix"`
	Mean float64 `json:"mean"`
	Max  int     `json:"max"`
}

// Peak holds the highest concurrent load and the load of each second.
type Peak struct {
	Max     int      `json:"max"`
	Seconds []Second `json:"seconds"`
}

// Load integrates the number of concurrent requests over time.
type Load struct {
	current int
	since   time.Time
	max     int
	seconds map[int64]*Second
}

// Change adds delta to the load at time now.
func (l *Load) Change(now time.Time, delta int) {
	l.integrate(now)
	l.current += delta
	l.max = max(l.max, l.current)
	second := l.second(now.Unix())
	second.Max = max(second.Max, l.current)
}

// Peak returns the figures up to now.
func (l *Load) Peak(now time.Time) Peak {
	l.integrate(now)
	peak := Peak{Max: l.max, Seconds: make([]Second, 0, len(l.seconds))}
	for _, second := range l.seconds {
		peak.Seconds = append(peak.Seconds, *second)
	}
	sort.Slice(peak.Seconds, func(i, j int) bool { return peak.Seconds[i].Unix < peak.Seconds[j].Unix })
	return peak
}

// integrate adds the load since the last change to the seconds it covers.
func (l *Load) integrate(now time.Time) {
	for l.current > 0 && l.since.Before(now) {
		end := time.Unix(l.since.Unix()+1, 0)
		if now.Before(end) {
			end = now
		}
		second := l.second(l.since.Unix())
		second.Mean += float64(l.current) * end.Sub(l.since).Seconds()
		second.Max = max(second.Max, l.current)
		l.since = end
	}
	l.since = now
}

func (l *Load) second(unix int64) *Second {
	if l.seconds == nil {
		l.seconds = make(map[int64]*Second)
	}
	if _, ok := l.seconds[unix]; !ok {
		l.seconds[unix] = &Second{Unix: unix}
	}
	return l.seconds[unix]
}

// Sample is a load figure at a time.
type Sample struct {
	Running, Waiting int
	at               time.Time
}

// History keeps load figures so that a status can report old ones.
type History struct {
	Age     time.Duration
	samples []Sample
}

// Add stores the figures of now.
func (h *History) Add(now time.Time, running, waiting int) {
	h.samples = append(h.samples, Sample{Running: running, Waiting: waiting, at: now})
	h.trim(now)
}

// Reported returns the figures of Age ago.
func (h *History) Reported(now time.Time) Sample {
	h.trim(now)
	if len(h.samples) == 0 || h.samples[0].at.After(now.Add(-h.Age)) {
		return Sample{}
	}
	return h.samples[0]
}

// trim drops the figures that are older than the one to report.
func (h *History) trim(now time.Time) {
	limit := now.Add(-h.Age)
	for len(h.samples) > 1 && !h.samples[1].at.After(limit) {
		h.samples = h.samples[1:]
	}
}

package replay

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/standin/backend"
)

// Measures is what one run of a trace gave.
type Measures struct {
	// Requests counts chat turns and service calls; Answered those with a whole answer.
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// Refusals counts every refusal by reason, also where a later try was answered.
	Refusals map[string]int `json:"refusals"`
	// Failures counts requests that got no whole answer, by the last reason.
	Failures map[string]int `json:"failures"`
	// Examples has the first message of each reason in Refusals and Failures.
	Examples map[string]string `json:"examples"`
	// Retries counts repeated requests, and Resumes streams that were continued.
	Retries int `json:"retries"`
	Resumes int `json:"resumes"`
	// Wrong, Short and Duplicate count answers that looked whole but were not the expected ones.
	Wrong          int           `json:"wrong"`
	Short          int           `json:"short"`
	Duplicate      int           `json:"duplicate"`
	Reuse          Reuse         `json:"reuse"`
	Skew           Skew          `json:"skew"`
	FirstTokenMS   Percentiles   `json:"first_token_ms"`
	BetweenTokenMS Percentiles   `json:"between_token_ms"`
	Control        Control       `json:"control"`
	NonRepeatable  NonRepeatable `json:"non_repeatable"`

	loads      map[string][]backend.Second
	firstToken *hdrhistogram.Histogram
}

// Reuse counts prompt tokens of answered turns.
type Reuse struct {
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	// OracleTokens is what one cache with the memory of all live engines would have held.
	OracleTokens int `json:"oracle_tokens"`
	// OfOracle is cached/oracle and OfPrompt cached/prompt.
	OfOracle float64 `json:"of_oracle"`
	OfPrompt float64 `json:"of_prompt"`
}

// Skew is the highest mean load of a live target by the mean over all live targets, per second.
type Skew struct {
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
	Worst  float64 `json:"worst"`
	// Seconds counts the seconds with a mean load of at least minimumMeanLoad.
	Seconds int `json:"seconds"`
	// OverLimit counts the seconds in which a target's mean load was above the load limit for that second.
	OverLimit int `json:"over_limit"`
	// Overadmitted counts requests that started at a target which was at the limit by the exact loads of that
	// moment. Only a simulation knows these.
	Overadmitted int `json:"overadmitted"`
}

// Percentiles of times in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Control is the control traffic in bytes per second.
type Control struct {
	Daemons int     `json:"daemons"`
	Mean    float64 `json:"mean"`
	Worst   float64 `json:"worst"`
	// ByDaemon has the daemons whose counter could be read at the start and at the end.
	ByDaemon map[string]float64 `json:"by_daemon"`
}

// NonRepeatable counts calls that may run at most once.
type NonRepeatable struct {
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	// Unknown counts calls that ended with "ran: unknown".
	Unknown int `json:"unknown"`
	// RepeatedRuns counts calls that ran more than once, and FalseNotRun those that ran although the last
	// refusal said that they did not.
	RepeatedRuns int `json:"repeated_runs"`
	FalseNotRun  int `json:"false_not_run"`
}

// Range and precision of the histograms, in microseconds.
const (
	histogramLowest    = 1
	histogramHighest   = 10 * 60 * 1_000_000
	histogramPrecision = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLowest, histogramHighest, histogramPrecision)
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(p float64) float64 { return round(float64(h.ValueAtPercentile(p))/1000, 3) }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), Max: at(100)}
}

// recorder collects measures from concurrent requests.
type recorder struct {
	mu       sync.Mutex
	measures Measures
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	lastSent time.Duration
}

func newRecorder() *recorder {
	return &recorder{
		measures: Measures{Refusals: map[string]int{}, Failures: map[string]int{}, Examples: map[string]string{}},
		first:    newHistogram(),
		between:  newHistogram(),
	}
}

// update changes the measures under the mutex.
func (r *recorder) update(change func(*Measures)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.measures)
}

func (r *recorder) refused(why reason.Reason, message string) {
	r.update(func(m *Measures) {
		m.Refusals[string(why)]++
		m.example(why, message)
	})
}

func (r *recorder) failed(why reason.Reason, message string) {
	r.update(func(m *Measures) {
		m.Failures[string(why)]++
		m.example(why, message)
	})
}

func (m *Measures) example(why reason.Reason, message string) {
	if m.Examples[string(why)] == "" {
		m.Examples[string(why)] = message
	}
}

// sent counts a request that is sent at an offset from the start.
func (r *recorder) sent(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.measures.Requests++
	r.lastSent = max(r.lastSent, at)
}

// answered records a turn's whole answer.
func (r *recorder) answered(prompt, cached, oracle int) {
	r.update(func(m *Measures) {
		m.Answered++
		m.Reuse.PromptTokens += prompt
		m.Reuse.CachedTokens += cached
		m.Reuse.OracleTokens += oracle
	})
}

// token records the time to the first token or between two tokens.
func (r *recorder) token(first bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	histogram := r.between
	if first {
		histogram = r.first
	}
	_ = histogram.RecordValue(max(histogramLowest, took.Microseconds()))
}

// finish computes ratios, percentiles and skew. Second 0 of the loads begins at a time offset before the
// start of the trace.
func (r *recorder) finish(t *Trace, loads map[string][]backend.Second, offset time.Duration) *Measures {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := &r.measures
	m.Reuse.OfOracle = ratio(m.Reuse.CachedTokens, m.Reuse.OracleTokens)
	m.Reuse.OfPrompt = ratio(m.Reuse.CachedTokens, m.Reuse.PromptTokens)
	m.FirstTokenMS = percentiles(r.first)
	m.BetweenTokenMS = percentiles(r.between)
	overadmitted := m.Skew.Overadmitted
	m.Skew = skewOf(t, loads, offset, r.lastSent)
	m.Skew.Overadmitted = overadmitted
	m.loads = loads
	m.firstToken = r.first
	return m
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return round(float64(part)/float64(whole), 4)
}

func round(value float64, digits int) float64 {
	scale := math.Pow10(digits)
	return math.Round(value*scale) / scale
}

// minimumMeanLoad is the mean load below which a second has no skew: with less than one request per target,
// a single request already gives a high ratio.
const minimumMeanLoad = 1

// skewOf computes the skew over the model pools until the last request was sent; after it nothing can be placed.
func skewOf(t *Trace, loads map[string][]backend.Second, offset, until time.Duration) Skew {
	line := newTimeline(t, closingFaults)
	var ratios []float64
	var skew Skew
	for i := range t.Deployment.Pools {
		pool := &t.Deployment.Pools[i]
		if pool.Engine == nil {
			continue
		}
		for second := range int64((until+offset)/time.Second) + 1 {
			means := meansAt(pool, line, loads, second, offset)
			total := sum(means)
			if len(means) == 0 || total < minimumMeanLoad*float64(len(means)) {
				continue
			}
			highest := slices.Max(means)
			ratios = append(ratios, highest*float64(len(means))/total)
			if highest > loadLimit(pool.LoadMultiple, total, len(means)) {
				skew.OverLimit++
			}
		}
	}
	skew.summarize(ratios)
	return skew
}

func (s *Skew) summarize(ratios []float64) {
	s.Seconds = len(ratios)
	if len(ratios) == 0 {
		return
	}
	slices.Sort(ratios)
	s.Median = round(quantile(ratios, 0.5), 3)
	s.P99 = round(quantile(ratios, 0.99), 3)
	s.Worst = round(ratios[len(ratios)-1], 3)
}

// meansAt returns the mean loads of the pool's targets that are live for all of a second.
func meansAt(
	pool *Pool, line *timeline, loads map[string][]backend.Second, second int64, offset time.Duration,
) []float64 {
	from := time.Duration(second)*time.Second - offset
	var means []float64
	for _, target := range pool.Targets {
		if !line.live(target.Name, from, from+time.Second) {
			continue
		}
		mean := 0.0
		at, found := slices.BinarySearchFunc(loads[target.Name], second, func(s backend.Second, unix int64) int {
			return int(s.Unix - unix)
		})
		if found {
			mean = loads[target.Name][at].Mean
		}
		means = append(means, mean)
	}
	return means
}

// loadLimit is the load that the fleet permits for each of n targets with a sum of loads.
func loadLimit(multiple, sum float64, n int) float64 {
	return math.Ceil(multiple * (sum + 1) / float64(n))
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// quantile returns the smallest value with at least the part q of sorted values at or below it.
func quantile(sorted []float64, q float64) float64 {
	at := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(0, at)]
}

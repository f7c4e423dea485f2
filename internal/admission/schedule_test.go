package admission

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// schedule drives one Controller with random events and checks it against a simple reference model.
type schedule struct {
	t     *testing.T
	seed  int64
	rng   *rand.Rand
	c     *Controller
	now   time.Duration
	names []string

	waiting   map[ID]string // target
	expiry    map[ID]time.Duration
	running   map[ID]string
	ended     []ID
	remote    map[string]PoolDigest // by gate
	caps      map[string]Cap
	started   map[string]bool // targets with a start in this step
	submitted int
	refused   int
	starts    int
}

func newSchedule(t *testing.T, seed int64) *schedule {
	s := &schedule{
		t: t, seed: seed, rng: rand.New(rand.NewSource(seed)), names: []string{"a", "b", "c", "d"},
		waiting: make(map[ID]string), expiry: make(map[ID]time.Duration), running: make(map[ID]string),
		remote: make(map[string]PoolDigest), caps: make(map[string]Cap),
	}
	s.c = newController(func(p *Pool) { p.Targets = 6 }, s.names...)
	s.c.SetCustomers([]Customer{{Name: "x", Weight: 1}, {Name: "y", Weight: 3}, {Name: "z", Weight: 1, Concurrent: 10}})
	for _, name := range s.names {
		s.caps[name] = Full()
	}
	return s
}

func (s *schedule) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d at %v: %s", s.seed, s.now, fmt.Sprintf(format, args...))
}

func (s *schedule) pick() string { return s.names[s.rng.Intn(len(s.names))] }

// start moves a request to running; it must not run already, nor have ended.
func (s *schedule) start(id ID, target string) {
	if _, ok := s.running[id]; ok {
		s.fail("request %d started twice", id)
	}
	s.running[id] = target
	s.started[target] = true
	s.starts++
}

// outcomes applies the outcomes of a step; each has to end one wait.
func (s *schedule) outcomes(out []Outcome) {
	for _, o := range out {
		target, ok := s.waiting[o.ID]
		if !ok {
			s.fail("outcome %+v of a request that does not wait", o)
		}
		delete(s.waiting, o.ID)
		if o.Started {
			s.start(o.ID, target)
			continue
		}
		if o.Reason == "" || o.RetryAfter <= 0 {
			s.fail("refusal without reason or Retry-After: %+v", o)
		}
		s.refused++
	}
}

func (s *schedule) submit() {
	req := Request{Target: s.pick(), Customer: []string{"x", "y", "z", "unknown"}[s.rng.Intn(4)]}
	req.Class = []catalogue.Class{catalogue.Interactive, catalogue.Standard, catalogue.Batch}[s.rng.Intn(3)]
	if s.rng.Intn(2) == 0 {
		req.Deadline = s.now + time.Duration(s.rng.Intn(5000))*time.Millisecond
	}
	if s.rng.Intn(3) == 0 {
		req.Candidates = []string{s.pick(), s.pick()}
		req.Patience = time.Duration(s.rng.Intn(2)*s.rng.Intn(1000)) * time.Millisecond
	}
	d, out := s.c.Submit(s.now, &req, nil)
	s.submitted++
	s.outcomes(out)
	switch d.Verdict {
	case Start:
		s.start(d.ID, req.Target)
	case Wait:
		s.waiting[d.ID] = req.Target
		s.expiry[d.ID] = s.now + testPool.QueueWait
		if req.Patience > 0 {
			s.expiry[d.ID] = s.now + req.Patience
		}
	case Refuse:
		if d.Reason == "" || d.RetryAfter <= 0 {
			s.fail("refusal without reason or Retry-After: %+v", d)
		}
		s.refused++
	}
}

// release ends a random request: mostly a running one, at times a waiting one or one that has ended already.
func (s *schedule) release() {
	if len(s.ended) > 0 && s.rng.Intn(10) == 0 {
		s.outcomes(s.c.Release(s.now, s.ended[s.rng.Intn(len(s.ended))], true, nil))
		return
	}
	from := s.running
	if s.rng.Intn(10) == 0 {
		from = s.waiting
	}
	id, ok := s.any(from)
	if !ok {
		return
	}
	delete(from, id)
	s.ended = append(s.ended, id)
	s.outcomes(s.c.Release(s.now, id, s.rng.Intn(5) > 0, nil))
}

// any returns a random key; the least of a random offset, since the order of maps differs between runs.
func (s *schedule) any(from map[ID]string) (ID, bool) {
	offset := ID(s.rng.Intn(64))
	best, found := ID(0), false
	for id := range from {
		if !found || (id-offset)%64 < (best-offset)%64 || ((id-offset)%64 == (best-offset)%64 && id < best) {
			best, found = id, true
		}
	}
	return best, found
}

func (s *schedule) digest() {
	d := PoolDigest{Pool: "p", Gate: []string{"g1", "g2"}[s.rng.Intn(2)], Load: s.rng.Intn(20), Targets: 1}
	s.c.SetPoolDigest(s.now, d)
	d.Age = s.now // here the time at which it was measured
	if known, ok := s.remote[d.Gate]; !ok || known.Age < s.now {
		s.remote[d.Gate] = d
	}
}

func (s *schedule) setCap() {
	name := s.pick()
	limit := []Cap{Full(), Full(), None(reason.LeaseLost), {Max: s.rng.Intn(4)}, {Max: Unlimited, Reduce: halfOfRest(0)}}[s.rng.Intn(5)]
	s.caps[name] = limit
	s.outcomes(s.c.SetCap(s.now, name, limit, nil))
}

// limit computes the load limit anew, with the last start counted.
func (s *schedule) limit() int {
	sum := len(s.running)
	for _, d := range s.remote {
		if s.now-d.Age < StaleAfter {
			sum += d.Load
		}
	}
	return min(testPool.MaxInFlight, int(math.Ceil(testPool.LoadMultiple*float64(sum)/6-1e-9)))
}

// checkLimits checks each target at which a request has just started.
func (s *schedule) checkLimits() {
	for target := range s.started {
		load := 0
		for _, t := range s.running {
			if t == target {
				load++
			}
		}
		bound := s.limit()
		if s.caps[target].Max >= 0 {
			bound = min(bound, s.caps[target].Max)
		}
		if s.caps[target].Reduce != nil {
			bound = min(bound, s.limit()/2)
		}
		if load > bound {
			s.fail("%d in flight at %s, bound %d", load, target, bound)
		}
	}
}

func (s *schedule) checkCounts() {
	snapshot := s.c.Snapshot(s.now)
	if snapshot.Waiting != len(s.waiting) || snapshot.Running != len(s.running) {
		s.fail("%d waiting and %d running, want %d and %d", snapshot.Waiting, snapshot.Running, len(s.waiting), len(s.running))
	}
	for _, target := range snapshot.Targets {
		if target.Waiting > testPool.QueueLength {
			s.fail("%d requests wait for %s", target.Waiting, target.Target)
		}
	}
}

func (s *schedule) tick() {
	s.outcomes(s.c.Tick(s.now, nil))
	for id := range s.waiting {
		if s.now >= s.expiry[id] {
			s.fail("request %d waits beyond its bound", id)
		}
	}
}

func (s *schedule) step() {
	s.now += time.Duration(s.rng.Intn(20)) * time.Millisecond
	s.started = make(map[string]bool)
	switch n := s.rng.Intn(100); {
	case n < 50:
		s.submit()
	case n < 80:
		s.release()
	case n < 90:
		s.tick()
	case n < 95:
		s.digest()
	default:
		s.setCap()
	}
	s.checkLimits()
	s.checkCounts()
}

// drain ends everything; nothing may be left over.
func (s *schedule) drain() {
	for len(s.running) > 0 || len(s.waiting) > 0 {
		s.now += 50 * time.Millisecond
		s.started = make(map[string]bool)
		if id, ok := s.any(s.running); ok {
			delete(s.running, id)
			s.outcomes(s.c.Release(s.now, id, true, nil))
		}
		s.tick()
	}
	if s.c.table.inUse != 0 {
		s.fail("%d records in use after the end", s.c.table.inUse)
	}
	for _, customer := range s.c.Snapshot(s.now).Customers {
		if customer.Outstanding != 0 {
			s.fail("%s holds %d requests after the end", customer.Customer, customer.Outstanding)
		}
	}
}

// Guards against a target over its limit or cap, and against a request that is lost, started twice, waits beyond its
// bound or is counted after its end, under any order of events.
func TestRandomSchedules(t *testing.T) {
	starts, refused, submitted := 0, 0, 0
	for seed := range int64(150) {
		s := newSchedule(t, seed)
		for range 1500 {
			s.step()
		}
		s.drain()
		starts += s.starts
		refused += s.refused
		submitted += s.submitted
	}
	if starts < submitted/10 || refused < submitted/10 {
		t.Fatalf("schedules are one-sided: %d submitted, %d started, %d refused", submitted, starts, refused)
	}
}

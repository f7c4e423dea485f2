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

// modelTest drives one Controller with random events and checks it against a simple reference model.
type modelTest struct {
	t       *testing.T
	seed    int64
	rng     *rand.Rand
	c       *Controller
	now     time.Duration
	targets []string

	waiting        map[ID]string // target of each waiting request
	expiry         map[ID]time.Duration
	running        map[ID]string
	ended          []ID
	digests        map[string]PoolDigest // by gate
	caps           map[string]Cap
	startedTargets map[string]bool // targets at which a request started in this step
	submitted      int
	refused        int
	starts         int
}

func newModelTest(t *testing.T, seed int64) *modelTest {
	m := &modelTest{
		t: t, seed: seed, rng: rand.New(rand.NewSource(seed)), targets: []string{"a", "b", "c", "d"},
		waiting: make(map[ID]string), expiry: make(map[ID]time.Duration), running: make(map[ID]string),
		digests: make(map[string]PoolDigest), caps: make(map[string]Cap),
	}
	m.c = newController(func(p *Pool) { p.Targets = 6 }, m.targets...)
	m.c.SetCustomers([]Customer{{Name: "x", Weight: 1}, {Name: "y", Weight: 3}, {Name: "z", Weight: 1, Concurrent: 10}})
	for _, name := range m.targets {
		m.caps[name] = Uncapped()
	}
	return m
}

func (m *modelTest) fail(format string, args ...any) {
	m.t.Helper()
	m.t.Fatalf("seed %d at %v: %s", m.seed, m.now, fmt.Sprintf(format, args...))
}

func (m *modelTest) randomTarget() string { return m.targets[m.rng.Intn(len(m.targets))] }

// start records that a request runs. It must not be running already.
func (m *modelTest) start(id ID, target string) {
	if _, ok := m.running[id]; ok {
		m.fail("request %d started twice", id)
	}
	m.running[id] = target
	m.startedTargets[target] = true
	m.starts++
}

// applyOutcomes applies the outcomes of a step; each has to end exactly one wait.
func (m *modelTest) applyOutcomes(out []Outcome) {
	for _, o := range out {
		target, ok := m.waiting[o.ID]
		if !ok {
			m.fail("outcome %+v of a request that does not wait", o)
		}
		delete(m.waiting, o.ID)
		if o.Started {
			m.start(o.ID, target)
			continue
		}
		if o.Reason == "" || o.RetryAfter <= 0 {
			m.fail("refusal without reason or Retry-After: %+v", o)
		}
		m.refused++
	}
}

func (m *modelTest) submit() {
	req := Request{Target: m.randomTarget(), Customer: []string{"x", "y", "z", "unknown"}[m.rng.Intn(4)]}
	req.Class = []catalogue.Class{catalogue.Interactive, catalogue.Standard, catalogue.Batch}[m.rng.Intn(3)]
	if m.rng.Intn(2) == 0 {
		req.Deadline = m.now + time.Duration(m.rng.Intn(5000))*time.Millisecond
	}
	if m.rng.Intn(3) == 0 {
		req.Candidates = []string{m.randomTarget(), m.randomTarget()}
		req.MaxTargetWait = time.Duration(m.rng.Intn(2)*m.rng.Intn(1000)) * time.Millisecond
	}
	d, out := m.c.Submit(m.now, &req, nil)
	m.submitted++
	m.applyOutcomes(out)
	switch d.Verdict {
	case Start:
		m.start(d.ID, req.Target)
	case Wait:
		m.waiting[d.ID] = req.Target
		m.expiry[d.ID] = m.now + testPool.QueueWait
		if req.MaxTargetWait > 0 {
			m.expiry[d.ID] = m.now + req.MaxTargetWait
		}
	case Refuse:
		if d.Reason == "" || d.RetryAfter <= 0 {
			m.fail("refusal without reason or Retry-After: %+v", d)
		}
		m.refused++
	}
}

// release releases a random request: usually a running one, sometimes a waiting one or one that has already ended.
func (m *modelTest) release() {
	if len(m.ended) > 0 && m.rng.Intn(10) == 0 {
		m.applyOutcomes(m.c.Release(m.now, m.ended[m.rng.Intn(len(m.ended))], true, nil))
		return
	}
	from := m.running
	if m.rng.Intn(10) == 0 {
		from = m.waiting
	}
	id, ok := m.randomID(from)
	if !ok {
		return
	}
	delete(from, id)
	m.ended = append(m.ended, id)
	m.applyOutcomes(m.c.Release(m.now, id, m.rng.Intn(5) > 0, nil))
}

// randomID returns a random key of the map. The order of maps differs between runs, so it chooses the first key modulo
// 64 from a random offset, which depends on the seed alone.
func (m *modelTest) randomID(from map[ID]string) (ID, bool) {
	offset := ID(m.rng.Intn(64))
	chosen, found := ID(0), false
	for id := range from {
		if !found || (id-offset)%64 < (chosen-offset)%64 || ((id-offset)%64 == (chosen-offset)%64 && id < chosen) {
			chosen, found = id, true
		}
	}
	return chosen, found
}

func (m *modelTest) setDigest() {
	d := PoolDigest{Pool: "p", Gate: []string{"g1", "g2"}[m.rng.Intn(2)], Load: m.rng.Intn(20), Targets: 1}
	m.c.SetPoolDigest(m.now, d)
	d.Age = m.now // in the model: the time of measurement
	if stored, ok := m.digests[d.Gate]; !ok || stored.Age < m.now {
		m.digests[d.Gate] = d
	}
}

func (m *modelTest) setCap() {
	name := m.randomTarget()
	targetCap := []Cap{Uncapped(), Uncapped(), NoAdmission(reason.LeaseLost), {Max: m.rng.Intn(4)}, {Max: Unlimited, Reduce: halfOfRemaining(0)}}[m.rng.Intn(5)]
	m.caps[name] = targetCap
	m.applyOutcomes(m.c.SetCap(m.now, name, targetCap, nil))
}

// referenceLimit computes the load limit independently of the Controller. The running requests already include the one
// that has just started.
func (m *modelTest) referenceLimit() int {
	sum := len(m.running)
	for _, d := range m.digests {
		if m.now-d.Age < StaleAfter {
			sum += d.Load
		}
	}
	return min(testPool.MaxInFlight, int(math.Ceil(testPool.LoadMultiple*float64(sum)/6-1e-9)))
}

// checkLimits checks the load of each target at which a request has just started.
func (m *modelTest) checkLimits() {
	for target := range m.startedTargets {
		load := 0
		for _, t := range m.running {
			if t == target {
				load++
			}
		}
		bound := m.referenceLimit()
		if m.caps[target].Max >= 0 {
			bound = min(bound, m.caps[target].Max)
		}
		if m.caps[target].Reduce != nil {
			bound = min(bound, m.referenceLimit()/2)
		}
		if load > bound {
			m.fail("%d in flight at %s, bound %d", load, target, bound)
		}
	}
}

func (m *modelTest) checkCounts() {
	snapshot := m.c.Snapshot(m.now)
	if snapshot.Waiting != len(m.waiting) || snapshot.Running != len(m.running) {
		m.fail("%d waiting and %d running, want %d and %d", snapshot.Waiting, snapshot.Running, len(m.waiting), len(m.running))
	}
	for _, target := range snapshot.Targets {
		if target.Waiting > testPool.QueueLength {
			m.fail("%d requests wait for %s", target.Waiting, target.Target)
		}
	}
}

func (m *modelTest) tick() {
	m.applyOutcomes(m.c.Tick(m.now, nil))
	for id := range m.waiting {
		if m.now >= m.expiry[id] {
			m.fail("request %d waits beyond its bound", id)
		}
	}
}

func (m *modelTest) step() {
	m.now += time.Duration(m.rng.Intn(20)) * time.Millisecond
	m.startedTargets = make(map[string]bool)
	switch n := m.rng.Intn(100); {
	case n < 50:
		m.submit()
	case n < 80:
		m.release()
	case n < 90:
		m.tick()
	case n < 95:
		m.setDigest()
	default:
		m.setCap()
	}
	m.checkLimits()
	m.checkCounts()
}

// drain ends all requests and checks that no record is left in use.
func (m *modelTest) drain() {
	for len(m.running) > 0 || len(m.waiting) > 0 {
		m.now += 50 * time.Millisecond
		m.startedTargets = make(map[string]bool)
		if id, ok := m.randomID(m.running); ok {
			delete(m.running, id)
			m.applyOutcomes(m.c.Release(m.now, id, true, nil))
		}
		m.tick()
	}
	if m.c.table.inUse != 0 {
		m.fail("%d records in use after the end", m.c.table.inUse)
	}
	for _, customer := range m.c.Snapshot(m.now).Customers {
		if customer.Outstanding != 0 {
			m.fail("%s holds %d requests after the end", customer.Customer, customer.Outstanding)
		}
	}
}

// Guards against a target that exceeds its limit or cap, and against a request that is lost, is started twice, waits
// beyond its bound or is still counted after its end, under random orders of events.
func TestRandomSchedules(t *testing.T) {
	starts, refused, submitted := 0, 0, 0
	for seed := range int64(150) {
		m := newModelTest(t, seed)
		for range 1500 {
			m.step()
		}
		m.drain()
		starts += m.starts
		refused += m.refused
		submitted += m.submitted
	}
	if starts < submitted/10 || refused < submitted/10 {
		t.Fatalf("schedules are one-sided: %d submitted, %d started, %d refused", submitted, starts, refused)
	}
}

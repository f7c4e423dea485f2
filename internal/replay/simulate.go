package replay

import (
	"container/heap"
	"time"

	"github.com/gravitational/trace"

	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/standin/backend"
	"github.com/amaranthlb/amaranthlb/standin/batch"
)

// simulatedReport is the interval of load digests, which is the fleet's heartbeat interval.
const simulatedReport = 500 * time.Millisecond

// simulatedTick is the interval at which gates let time pass in admission.
const simulatedTick = 100 * time.Millisecond

// notPlaced is the message of a simulated refusal.
const notPlaced = "the policy found no target"

// Simulate runs the chats of a trace by a policy in simulated time.
func Simulate(t *Trace, policy string, seed uint64) (*Measures, error) {
	create, ok := policies[policy]
	if !ok {
		return nil, trace.BadParameter("policy %q is not known", policy)
	}
	turns, oracle := t.turns()
	recorder := newRecorder()
	loads := make(map[string][]backend.Second)
	for i := range t.Deployment.Pools {
		pool := &t.Deployment.Pools[i]
		if pool.Engine == nil {
			continue
		}
		s := newSimulation(t, pool, create(seed), recorder, oracle)
		s.run(turns)
		s.peaks(loads)
	}
	return recorder.finish(t, loads, 0), nil
}

// job is one turn under way.
type job struct {
	turn    *turn
	ask     Ask
	sent    time.Duration
	target  int
	begun   bool
	last    time.Duration
	backoff backoff
}

// simulation runs one pool.
type simulation struct {
	trace    *Trace
	cluster  *Cluster
	policy   Policy
	recorder *recorder
	oracle   map[*turn]int
	engines  []*batch.Model
	loads    []backend.Load
	running  map[*batch.Request]*job
	agenda   agenda
	// entries counts the entries that the agenda ever had.
	entries int
	now     time.Duration
	// open counts the turns without an end.
	open int
}

func newSimulation(t *Trace, pool *Pool, policy Policy, r *recorder, oracle map[*turn]int) *simulation {
	s := &simulation{
		trace: t, cluster: newCluster(pool), policy: policy, recorder: r, oracle: oracle,
		running: make(map[*batch.Request]*job), loads: make([]backend.Load, len(pool.Targets)),
	}
	for range pool.Targets {
		s.engines = append(s.engines, batch.NewModel(pool.Engine.Batch()))
	}
	return s
}

// run runs all turns of the pool to their end.
func (s *simulation) run(turns []*turn) {
	for _, turn := range turns {
		if turn.event.Pool != s.cluster.Pool.Name {
			continue
		}
		s.open++
		if turn.first {
			s.arrive(turn, turn.event.At())
		}
	}
	s.addFaults()
	if policy, ok := s.policy.(queuer); ok {
		policy.Start(s.cluster, s.trace.Deployment.Customers)
		s.tick(policy)
	}
	s.report()
	for s.open > 0 {
		s.step()
	}
}

// step goes to the next time at which something happens.
func (s *simulation) step() {
	at := s.agenda[0].at
	engine := -1
	for i, model := range s.engines {
		if next, ok := model.Next(); ok && next <= at {
			at, engine = next, i
		}
	}
	s.now = at
	if engine >= 0 {
		s.produced(engine, s.engines[engine].Advance(at))
		return
	}
	heap.Pop(&s.agenda).(entry).do()
}

// at puts an action on the agenda.
func (s *simulation) at(when time.Duration, do func()) {
	s.entries++
	heap.Push(&s.agenda, entry{when, s.entries, do})
}

// report gives the policy the loads of now, again and again.
func (s *simulation) report() {
	copy(s.cluster.Reported, s.cluster.Load)
	if policy, ok := s.policy.(reporter); ok {
		policy.Reports(s.now, s.cluster)
	}
	s.at(s.now+simulatedReport, s.report)
}

func (s *simulation) tick(policy queuer) {
	policy.Tick(s.now)
	s.at(s.now+simulatedTick, func() { s.tick(policy) })
}

// arrive sends a turn at a time.
func (s *simulation) arrive(turn *turn, when time.Duration) {
	ask := Ask{Chat: turn.event.Chat, Zone: turn.event.Zone, Customer: turn.event.Customer}
	ask.cached = func(target int) int { return s.engines[target].Cache().Prefix(turn.request.Prompt) }
	j := &job{turn: turn, ask: ask, sent: when}
	s.recorder.sent(when)
	s.at(when, func() { s.place(j) })
}

// place asks the policy for a target; a refused turn tries again.
func (s *simulation) place(j *job) {
	j.ask.Now = s.now
	begin := func(target int, ok bool) {
		if ok {
			s.begin(j, target)
			return
		}
		s.refuse(j)
	}
	if policy, ok := s.policy.(queuer); ok {
		policy.Submit(j.ask, s.cluster, begin)
		return
	}
	begin(s.policy.Pick(j.ask, s.cluster))
}

// begin starts a turn at its target.
func (s *simulation) begin(j *job, target int) {
	j.target = target
	if s.cluster.Load[target] >= s.cluster.exactLimit() {
		s.recorder.update(func(m *Measures) { m.Skew.Overadmitted++ })
	}
	request := *j.turn.request
	s.running[&request] = j
	s.change(target, 1)
	s.engines[target].Submit(s.now, &request)
}

func (s *simulation) refuse(j *job) {
	s.recorder.refused(reason.OverLimit, notPlaced)
	if s.now-j.sent > patience {
		s.recorder.failed(reason.OverLimit, notPlaced)
		s.end(j)
		return
	}
	s.recorder.update(func(m *Measures) { m.Retries++ })
	s.at(s.now+j.backoff.grow(), func() { s.place(j) })
}

func (s *simulation) change(target, delta int) {
	s.cluster.Load[target] += delta
	s.loads[target].Change(wall(s.now), delta)
}

// wall turns simulated time into a time whose seconds count from the start of the trace.
func wall(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// produced handles the tokens of one engine.
func (s *simulation) produced(engine int, requests []*batch.Request) {
	for _, request := range requests {
		j := s.running[request]
		s.token(j)
		if !request.Done() {
			continue
		}
		s.leave(request, j)
		s.recorder.answered(request.PromptTokens, request.Cached, s.oracle[j.turn])
		s.end(j)
	}
}

// token records a token's delay. The way of the request and of the answer count for the first one.
func (s *simulation) token(j *job) {
	if j.begun {
		s.recorder.token(false, s.now-j.last)
	} else {
		s.recorder.token(true, s.now-j.sent+s.roundTrip(j))
		if policy, ok := s.policy.(queuer); ok {
			j.ask.Now = s.now
			policy.Began(j.ask, j.target)
		}
	}
	j.begun, j.last = true, s.now
}

func (s *simulation) roundTrip(j *job) time.Duration {
	if s.cluster.zone[j.target] == j.ask.Zone {
		return 0
	}
	return 2 * milliseconds(s.trace.Deployment.ZoneDelayMS)
}

// leave takes a request out of its target's load.
func (s *simulation) leave(request *batch.Request, j *job) {
	delete(s.running, request)
	s.change(j.target, -1)
	if policy, ok := s.policy.(tracker); ok {
		j.ask.Now = s.now
		policy.Ended(j.ask, j.target)
	}
}

// end sends the chat's next turn.
func (s *simulation) end(j *job) {
	s.open--
	if next := j.turn.next; next != nil {
		s.arrive(next, max(next.event.At(), s.now))
	}
}

// peaks adds the load of each second by target.
func (s *simulation) peaks(loads map[string][]backend.Second) {
	for i, target := range s.cluster.Pool.Targets {
		loads[target.Name] = s.loads[i].Peak(wall(s.now)).Seconds
	}
}

// entry is one action at a time; order keeps equal times in the order of their entry.
type entry struct {
	at    time.Duration
	order int
	do    func()
}

// agenda is a heap of actions by time.
type agenda []entry

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].order < a[j].order
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push adds an entry.
func (a *agenda) Push(x any) { *a = append(*a, x.(entry)) }

// Pop removes the last entry.
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

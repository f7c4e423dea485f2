package router_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/crashguard"
	"github.com/amaranthlb/amaranthlb/internal/routes"
	"github.com/amaranthlb/amaranthlb/platform"
	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

const deadlyPart = "dead"

// promptOf returns a prompt of the parts, the last of which is the request's own.
func promptOf(ids ...string) []routes.Part {
	var parts []routes.Part
	for _, id := range ids {
		parts = append(parts, routes.Part{ID: id, Tokens: 100})
	}
	return parts
}

// trialsSince returns how many trials may have begun on a slow machine since a prompt was refused.
func trialsSince(refusedFrom time.Time) int {
	if time.Since(refusedFrom) < crashguard.FirstTrialDelay-time.Second {
		return 0
	}
	return 1
}

// partRefusedMessage is the log message of a router that refuses a prompt part from then on.
const partRefusedMessage = "prompt part crashes targets and is refused"

// crashingFleet starts routers and engines that call crash when they are about to answer a prompt with the deadly part,
// and then close its connection. It returns the number of such prompts that engines have received.
func crashingFleet(t *testing.T, routerCount, targetCount int, crash func(*platformtest.Target)) (*fleet, func() int) {
	t.Helper()
	f := newFleet(t, routerCount)
	var all []*platformtest.Target
	for i := range targetCount {
		target := f.target(fmt.Sprint("e-", i), "llm", platformtest.Behavior{})
		target.SetBehavior(func(r *http.Request) platformtest.Behavior {
			if platformtest.HasPromptPart(r.Header, deadlyPart) {
				crash(target)
				return platformtest.Behavior{Break: true}
			}
			return platformtest.Behavior{Events: 3, Work: time.Millisecond}
		})
		all = append(all, target)
	}
	f.awaitReady()
	for _, inst := range f.routers {
		await(t, "all targets are known", func() bool { return strings.Count(inst.output.String(), "target_listed") >= targetCount })
		await(t, "all peers have joined", func() bool { return strings.Count(inst.output.String(), "peer joined") >= routerCount-1 })
	}
	return f, func() int {
		count := 0
		for _, target := range all {
			for _, run := range target.Runs() {
				if platformtest.HasPromptPart(run.Header, deadlyPart) {
					count++
				}
			}
		}
		return count
	}
}

// sendPrompt sends a chat of the parts and one of its own through one of the routers.
func (f *fleet) sendPrompt(i int, parts ...string) result { return f.sendTo(i, "/chat/", parts...) }

// sendTo sends a prompt of the parts and one of its own to a path through one of the routers.
func (f *fleet) sendTo(i int, path string, parts ...string) result {
	own := fmt.Sprint("own", i)
	return f.routers[i%len(f.routers)].send(context.Background(), call{
		method: http.MethodPost, path: path, id: fmt.Sprint("p", i, parts), body: own, prompt: promptOf(append(parts, own)...),
	})
}

// Guards against different requests that share a prompt part crashing one engine after another.
func TestPromptPartThatCrashesEnginesIsRefused(t *testing.T) {
	const engines, calls, allowed = 14, 24, 5
	f, deadlyRuns := crashingFleet(t, 3, engines, func(target *platformtest.Target) { go target.Stop() })
	send := f.sendPrompt
	refused := func() bool {
		for _, inst := range f.routers {
			if !strings.Contains(inst.output.String(), partRefusedMessage) {
				return false
			}
		}
		return true
	}
	var fifthCrash time.Time
	for i := 0; i < calls && !refused(); i++ {
		send(i, "head", "subject", deadlyPart)
		if deadlyRuns() == allowed {
			fifthCrash = time.Now()
		}
		// Crashes at the same moment count once.
		time.Sleep(300 * time.Millisecond)
	}
	if count := deadlyRuns(); count > allowed {
		t.Errorf("prompts with the part crashed %d engines, want at most %d", count, allowed)
	}
	if !fifthCrash.IsZero() && time.Since(fifthCrash) > propagationBound {
		t.Errorf("the part was refused %v after the fifth crash, want at most %v", time.Since(fifthCrash), propagationBound)
	}
	before, refusedFrom := deadlyRuns(), time.Now()
	tried := 0
	for i := range calls {
		if got := send(calls+i, "head", "subject", deadlyPart); got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "crash_suspect") {
			if tried++; tried > trialsSince(refusedFrom) {
				t.Errorf("call %d: status %d, %s", i, got.status, got.body)
			}
		}
	}
	if count := deadlyRuns() - before; count > trialsSince(refusedFrom) {
		t.Errorf("%d more prompts with the part reached engines", count)
	}
	for i := range len(f.routers) {
		if got := send(2*calls+i, "head", "subject"); got.status != http.StatusOK {
			t.Errorf("a prompt with the same head and subject: status %d, %s", got.status, got.body)
		}
	}
}

// Guards against a restarted router that forgets which prompt parts crash engines.
func TestRestartedRouterRefusesPromptPart(t *testing.T) {
	f, deadlyRuns := crashingFleet(t, 2, 6, func(target *platformtest.Target) { go target.Stop() })
	for i := range 3 {
		f.sendPrompt(i, "head", deadlyPart)
		time.Sleep(300 * time.Millisecond)
	}
	last := f.routers[1]
	await(t, "the part is refused", func() bool { return strings.Contains(last.output.String(), partRefusedMessage) })
	before, refusedFrom := deadlyRuns(), time.Now()
	last.stop()
	<-last.ended
	f.start(last)
	f.awaitReady()
	await(t, "the restarted router refuses the part", func() bool { return strings.Contains(last.output.String(), partRefusedMessage) })
	if got := f.sendPrompt(1, "head", deadlyPart); got.status != http.StatusServiceUnavailable && trialsSince(refusedFrom) == 0 {
		t.Errorf("status %d, %s", got.status, got.body)
	}
	if count := deadlyRuns() - before; count > trialsSince(refusedFrom) {
		t.Errorf("%d prompts reached engines after the restart", count)
	}
}

// Guards against refusing a prompt part because engines close connections while they go on.
func TestClosedConnectionsAreNotTakenForCrashes(t *testing.T) {
	const calls = 12
	f, deadlyRuns := crashingFleet(t, 2, 4, func(*platformtest.Target) {})
	for i := range calls {
		f.sendPrompt(i, "head", deadlyPart)
		time.Sleep(150 * time.Millisecond)
	}
	if count := deadlyRuns(); count != calls {
		t.Errorf("%d of %d prompts reached an engine", count, calls)
	}
	for _, inst := range f.routers {
		if strings.Contains(inst.output.String(), partRefusedMessage) {
			t.Errorf("%s refuses the part", inst.config.Name)
		}
	}
}

// crashingTargets starts targets that work on each request and then crash if it is deadly. A crashed target comes back
// with another ID. It returns the number of deadly requests that targets have received.
func (f *fleet) crashingTargets(service string, count int, deadly func(*http.Request) bool, sound platformtest.Behavior, work time.Duration) func() int {
	f.t.Helper()
	var deadlyRuns atomic.Int64
	var start func(name string)
	start = func(name string) {
		self := make(chan *platformtest.Target, 1)
		self <- f.targetWith(name, service, func(r *http.Request) platformtest.Behavior {
			if !deadly(r) {
				return sound
			}
			deadlyRuns.Add(1)
			time.AfterFunc(work, func() {
				target := <-self
				self <- target
				target.Stop()
				f.store.Remove(platform.TargetPrefix + name)
				time.AfterFunc(time.Second, func() { start(name + "'") })
			})
			return platformtest.Behavior{Silent: true}
		})
	}
	for i := range count {
		start(fmt.Sprint("t-", i))
	}
	f.awaitReady()
	for _, inst := range f.routers {
		await(f.t, "all targets are known", func() bool { return strings.Count(inst.output.String(), "target_listed") >= count })
		await(f.t, "all peers have joined", func() bool { return strings.Count(inst.output.String(), "peer joined") >= len(f.routers)-1 })
	}
	return func() int { return int(deadlyRuns.Load()) }
}

// waitingEngines starts engines that read each prompt for a while and then crash if it has the deadly part.
func (f *fleet) waitingEngines(count int, reading time.Duration) (cure func(), deadlyRuns func() int) {
	f.t.Helper()
	var cured atomic.Bool
	deadly := func(r *http.Request) bool { return platformtest.HasPromptPart(r.Header, deadlyPart) && !cured.Load() }
	deadlyRuns = f.crashingTargets("llm", count, deadly, platformtest.Behavior{Events: 3, Work: reading / 3}, reading)
	return func() { cured.Store(true) }, deadlyRuns
}

// crashEngines sends deadly prompts beside sound ones with the same first part until all routers refuse a prompt.
func (f *fleet) crashEngines() {
	f.t.Helper()
	var group sync.WaitGroup
	defer group.Wait()
	for i := range 20 {
		refusing := 0
		for _, inst := range f.routers {
			if strings.Contains(inst.output.String(), partRefusedMessage) {
				refusing++
			}
		}
		if refusing == len(f.routers) {
			return
		}
		group.Go(func() { f.sendPrompt(100+2*i, "head", fmt.Sprint("subject", i)) })
		group.Go(func() { f.sendPrompt(101+2*i, "head", fmt.Sprint("other", i)) })
		group.Go(func() { f.sendPrompt(200+i, "head", deadlyPart) })
		time.Sleep(170 * time.Millisecond)
	}
	f.t.Fatal("no router refuses the part")
}

// Guards against sound prompts that are refused because they waited at engines that a prompt with the same first part
// crashed, by routers that saw it and by one that has just started.
func TestSoundPromptsAreServedAfterCrashes(t *testing.T) {
	// The test takes less than a minute, in which one trial is due.
	const calls, allowed = 16, 1
	f := newFleet(t, 2)
	_, deadlyRuns := f.waitingEngines(4, 300*time.Millisecond)
	f.crashEngines()
	last := f.routers[1]
	last.stop()
	<-last.ended
	f.start(last)
	f.awaitReady()
	await(t, "the restarted router refuses the part", func() bool { return strings.Contains(last.output.String(), partRefusedMessage) })
	time.Sleep(propagationBound)
	before := deadlyRuns()
	for i := range calls {
		if got := f.sendPrompt(1000+i, "head", fmt.Sprint("subject", i)); got.status != http.StatusOK {
			t.Errorf("a sound prompt: status %d, %s", got.status, got.body)
		}
		f.sendPrompt(2000+i, "head", deadlyPart)
	}
	if runs := deadlyRuns() - before; runs > allowed {
		t.Errorf("%d more deadly prompts reached engines, want at most %d", runs, allowed)
	}
}

// Guards against prompts that stay refused after engines have been replaced by ones that can answer them.
func TestCuredPromptPartIsServedAgain(t *testing.T) {
	f := newFleet(t, 2)
	cure, _ := f.waitingEngines(4, 100*time.Millisecond)
	f.crashEngines()
	cure()
	cured := time.Now()
	await(t, "the part is served again", func() bool { return f.sendPrompt(1, "head", deadlyPart).status == http.StatusOK })
	if took, limit := time.Since(cured), crashguard.FirstTrialDelay+maxTrialStagger+time.Second; took > limit {
		t.Errorf("served after %v, want at most %v", took, limit)
	}
	await(t, "both routers serve it", func() bool {
		return f.sendPrompt(0, "head", deadlyPart).status == http.StatusOK && f.sendPrompt(1, "head", deadlyPart).status == http.StatusOK
	})
}

// maxTrialStagger bounds the time by which routers start trials one after the other.
const maxTrialStagger = time.Second

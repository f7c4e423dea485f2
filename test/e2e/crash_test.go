package e2e

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/engine"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

const poison = "crash-the-engine"

// crashFleet starts six engines that a poisoned prompt crashes after a time, behind four entries.
func crashFleet(t *testing.T, afterMS int) *fleet.Fleet {
	t.Helper()
	spec := fleet.Default()
	spec.Engines = 6
	spec.EntriesPerZone = 2
	spec.EngineFlags = []string{"--token-time", "4ms"}
	// The load limit is not what this test is about.
	spec.Model.LoadMultiple = 4
	f := start(t, spec)
	for _, name := range f.Names("engine") {
		if err := f.Faults(name, fmt.Sprintf(`{"crash_on": %q, "crash_after_ms": %d}`, poison, afterMS)); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// lostEngines returns the engines that no longer answer.
func lostEngines(f *fleet.Fleet) []string {
	var lost []string
	for _, name := range f.Names("engine") {
		if r := send(http.MethodGet, f.URL(name)+"/standin/peak", "rose", nil, nil); r.err != nil {
			lost = append(lost, name)
		}
	}
	return lost
}

// innocents sends requests through all entries until stop is closed, every other one as a stream.
func innocents(f *fleet.Fleet, stop chan struct{}, running *sync.WaitGroup) *[]checked {
	var mu sync.Mutex
	results := new([]checked)
	entries := f.Names("entry")
	for worker := range 8 {
		running.Go(func() {
			for round := 0; !closed(stop); round++ {
				body := chatBody(fmt.Sprintf("innocent %d of %d", round, worker), 40, round%2 == 0)
				want, _ := engine.Answer(body)
				got := send(http.MethodPost, f.URL(entries[worker%len(entries)])+"/v1/chat/completions", "rose", nil, body)
				mu.Lock()
				*results = append(*results, checked{body: body, want: want, got: got})
				mu.Unlock()
			}
		})
	}
	return results
}

func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against a request that takes down one target after the other, because its caller sends it again through
// another entry at once, and against innocent requests that are refused for such crashes. A request that crashes its
// target after the first byte of the answer is not retried by the entry, so that only the caller repeats it.
func TestRepeatedRequestCrashesAtMostTwoTargets(t *testing.T) {
	cases := []struct {
		name    string
		afterMS int
		stream  bool
	}{
		{"before the answer", 0, false},
		{"within the answer", 60, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := crashFleet(t, c.afterMS)
			stop := make(chan struct{})
			var running sync.WaitGroup
			results := innocents(f, stop, &running)
			time.Sleep(time.Second)
			unretried := repeat(t, f, chatBody(poison, 80, c.stream))
			close(stop)
			running.Wait()
			if lost := lostEngines(f); len(lost) != 2 {
				t.Errorf("the request took down %d engines: %v", len(lost), lost)
			}
			checkInnocents(t, *results, budgetDenials(t, f)-unretried)
		})
	}
}

// repeat sends a poisoned request again and again, each time through an entry that has not seen its last failure. It
// returns how often the request failed without a retry although nothing of the answer had been sent.
func repeat(t *testing.T, f *fleet.Fleet, body []byte) int {
	t.Helper()
	unretried := 0
	entries := f.Names("entry")
	for i := range 12 {
		sent := time.Now()
		got := send(http.MethodPost, f.URL(entries[i%len(entries)])+"/v1/chat/completions", "press", nil, body)
		code := failure(got)
		t.Logf("repetition %d: status %d, code %s, ran %s, after %s", i, got.status, code, got.header.Get("Amaranth-Ran"), time.Since(sent).Round(time.Millisecond))
		if code == "target_failed" && got.status != http.StatusOK {
			unretried++
		}
		if i > 1 && (code != "crash_suspect" || got.header.Get("Amaranth-Ran") != "no") {
			t.Errorf("repetition %d: status %d, code %q: %.200s", i, got.status, code, got.body)
		}
	}
	return unretried
}

// budgetDenials returns the number of retries that the entries' budget denied.
func budgetDenials(t *testing.T, f *fleet.Fleet) int {
	t.Helper()
	total := 0
	for _, entry := range f.Names("entry") {
		for line := range strings.Lines(send(http.MethodGet, f.AdminURL(entry)+"/metrics", "rose", nil, nil).body) {
			figure, found := strings.CutPrefix(line, `amaranth_retries_denied_total{reason="retry_budget"} `)
			if !found {
				continue
			}
			count, err := strconv.Atoi(strings.TrimSpace(figure))
			if err != nil {
				t.Fatal(err)
			}
			total += count
		}
	}
	return total
}

// checkInnocents accepts whole answers, explicit errors of streams that a crash cut after their first byte, and an
// explicit error for each retry that the budget denied. No innocent request may be refused as a suspect.
func checkInnocents(t *testing.T, results []checked, denied int) {
	t.Helper()
	whole, unretried := 0, 0
	codes := make(map[string]int)
	for _, r := range results {
		text, done := streamText(r.got.body)
		if r.got.err == nil && r.got.status == http.StatusOK && (done && text == r.want || !isStream(r)) {
			whole++
			continue
		}
		code := failure(r.got)
		codes[code]++
		if code == "target_failed" && isStream(r) && r.got.status == http.StatusOK {
			continue
		}
		unretried++
		if code == "" || code == "crash_suspect" || unretried > denied {
			t.Errorf("innocent request: status %d, code %q, error %v: %.200s", r.got.status, code, r.got.err, r.got.body)
		}
	}
	t.Logf("innocent requests: %d, whole %d, failed by code %v, %d retries denied by the budget", len(results), whole, codes, denied)
	if whole == 0 {
		t.Error("no innocent request completed")
	}
}

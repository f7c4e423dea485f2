package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/engine"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// load sends streamed chats through the balancer until it is stopped, and counts what came of them.
type load struct {
	stop    chan struct{}
	running sync.WaitGroup

	whole    atomic.Int64
	refused  atomic.Int64
	mu       sync.Mutex
	problems []string
	codes    map[string]int
}

// startLoad starts workers that each send one chat after the other.
func startLoad(f *fleet.Fleet, customer string, workers, tokens int) *load {
	l := &load{stop: make(chan struct{}), codes: make(map[string]int)}
	entries := f.Names("entry")
	for worker := range workers {
		l.running.Go(func() {
			for turn := 0; !l.stopped(); turn++ {
				base := "http://" + f.Balancer
				if f.Balancer == "" {
					base = f.URL(entries[worker%len(entries)])
				}
				l.one(base, customer, fmt.Sprintf("%s worker %d turn %d", customer, worker, turn), tokens)
			}
		})
	}
	return l
}

func (l *load) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// one sends a chat and checks its answer byte by byte.
func (l *load) one(base, customer, prompt string, tokens int) {
	l.send(base, customer, prompt, chatBody(prompt, tokens, true))
}

func (l *load) send(base, customer, prompt string, body []byte) {
	want, err := engine.Answer(body)
	if err != nil {
		l.problem(err.Error())
		return
	}
	got := send(http.MethodPost, base+"/v1/chat/completions", customer, nil, body)
	text, done := streamText(got.body)
	code, ran := got.errorCode()
	switch {
	case got.err != nil:
		l.problem(fmt.Sprintf("%s: cut: %v", prompt, got.err))
		time.Sleep(50 * time.Millisecond)
	case got.status == http.StatusOK && done && text == want:
		l.whole.Add(1)
	case code != "" && ran == "no":
		l.refused.Add(1)
		l.code(code)
		time.Sleep(50 * time.Millisecond)
	default:
		l.problem(fmt.Sprintf("%s: status %d, whole %v, %d of %d bytes: %.300s", prompt, got.status, done, len(text), len(want), got.body))
	}
}

func (l *load) code(code string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.codes[code]++
}

func (l *load) problem(problem string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.problems = append(l.problems, problem)
}

// finish stops the workers and fails the test for every answer that was cut, short or wrong.
func (l *load) finish(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.running.Wait()
	t.Logf("%d whole answers, %d refusals %v, %d problems", l.whole.Load(), l.refused.Load(), l.codes, len(l.problems))
	for i, problem := range l.problems {
		if i == 10 {
			break
		}
		t.Error(problem)
	}
}

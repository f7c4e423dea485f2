package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/engine"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// checked is one streamed request with the answer that it must get.
type checked struct {
	body []byte
	want string
	got  reply
}

// streamMany sends requests through all entries at once and returns when all have ended.
func streamMany(t *testing.T, f *fleet.Fleet, count, tokens int) []checked {
	t.Helper()
	requests := make([]checked, count)
	entries := f.Names("entry")
	var running sync.WaitGroup
	for i := range requests {
		r := &requests[i]
		r.body = chatBody(fmt.Sprintf("describe rose %d", i), tokens, true)
		want, err := engine.Answer(r.body)
		if err != nil {
			t.Fatal(err)
		}
		r.want = want
		entry := f.URL(entries[i%len(entries)])
		running.Go(func() {
			r.got = send(http.MethodPost, entry+"/v1/chat/completions", "rose", nil, r.body)
		})
	}
	running.Wait()
	return requests
}

// Guards against a stream that is cut, short or mixed up when the gate that relays it is killed.
func TestStreamsSurviveKilledGate(t *testing.T) {
	spec := fleet.Default()
	spec.EngineFlags = []string{"--token-time", "10ms"}
	f := start(t, spec)
	killed := time.AfterFunc(700*time.Millisecond, func() { f.Kill("gate-a1") })
	defer killed.Stop()
	for i, r := range streamMany(t, f, 24, 150) {
		text, done := streamText(r.got.body)
		if r.got.status != http.StatusOK || !done || text != r.want {
			code, _ := r.got.errorCode()
			t.Errorf("stream %d: status %d, code %s, whole %v, %d of %d bytes, error %v", i, r.got.status, code, done, len(text), len(r.want), r.got.err)
		}
	}
}

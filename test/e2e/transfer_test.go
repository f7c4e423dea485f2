package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/backend"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// lastRun returns the engine that ran a chat last, and its log line.
func lastRun(t *testing.T, f *fleet.Fleet, chat string) (string, backend.Run) {
	t.Helper()
	var engine string
	var last backend.Run
	for _, name := range f.Names("engine") {
		lines := bufio.NewScanner(strings.NewReader(send(http.MethodGet, f.URL(name)+"/standin/log", "rose", nil, nil).body))
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var run backend.Run
			if err := json.Unmarshal(lines.Bytes(), &run); err != nil {
				t.Fatal(err)
			}
			if strings.HasSuffix(run.Chat, chat) && run.StartMS >= last.StartMS {
				engine, last = name, run
			}
		}
	}
	return engine, last
}

// Guards against a chat that is computed from its start after its holder has begun to leave, and against a slow holder
// that delays the chat by more than computing it takes.
func TestChatKeepsItsCacheWhenTheHolderLeaves(t *testing.T) {
	cases := []struct {
		name     string
		transfer bool
		delayMS  int
		cached   bool
	}{
		{"without transfer", false, 0, false},
		{"with transfer", true, 0, true},
		{"with a slow holder", true, 2000, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			spec := fleet.Default()
			spec.Model.KVTransfer = c.transfer
			f := start(t, spec)
			var prompt strings.Builder
			for i := range 800 {
				fmt.Fprintf(&prompt, "word%d ", i)
			}
			body := chatBody(prompt.String(), 8, false)
			header := map[string]string{"Amaranth-Chat": "long"}
			location := f.URL(f.Names("entry")[0]) + "/v1/chat/completions"
			first := send(http.MethodPost, location, "rose", header, body)
			if first.status != http.StatusOK {
				t.Fatalf("first turn: status %d: %s", first.status, first.body)
			}
			holder, _ := lastRun(t, f, "long")
			if err := f.SetVMs(map[string]string{holder: "leaving"}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(3 * time.Second)
			if err := f.Faults(holder, fmt.Sprintf(`{"delay_ms": %d}`, c.delayMS)); err != nil {
				t.Fatal(err)
			}
			header["Amaranth-Placement"] = first.header.Get("Amaranth-Placement")
			sent := time.Now()
			second := send(http.MethodPost, location, "rose", header, body)
			took := time.Since(sent)
			engine, run := lastRun(t, f, "long")
			if second.status != http.StatusOK || engine == holder {
				t.Fatalf("second turn: status %d, holder %s, then %s: %s", second.status, holder, engine, second.body)
			}
			t.Logf("cached %d of %d prompt tokens, %s", run.CachedTokens, run.PromptTokens, took.Round(time.Millisecond))
			if got := run.CachedTokens > run.PromptTokens/2; got != c.cached {
				t.Errorf("cached %d of %d prompt tokens", run.CachedTokens, run.PromptTokens)
			}
			if took > time.Second {
				t.Errorf("the second turn took %s", took)
			}
		})
	}
}

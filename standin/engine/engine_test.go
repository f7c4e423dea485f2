package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/amaranthlb/amaranthlb/standin/backend"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startEngine(t *testing.T, change func(*Config)) *Server {
	t.Helper()
	config := Default()
	config.Model, config.Version = "m", "1"
	config.EventLossRate, config.EventDelay, config.StatusAge = 0, 0, 0
	if change != nil {
		change(&config)
	}
	e := New(config)
	if err := e.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		_ = e.Close()
	})
	return e
}

func sendRequest(e *Server, method, path, id, body string) (int, string, error) {
	request, err := http.NewRequest(method, "http://"+e.Address()+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set(backend.HeaderRequestID, id)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text), err
}

func completionBody(content string, tokens int, stream bool) string {
	return string(mustEncode(Completion{
		Model: "m", Messages: []Message{{Role: "user", Content: content}}, MaxTokens: tokens, Stream: stream,
	}))
}

// eventIDs returns the event ids of a stream and the concatenated text of its chunks.
func eventIDs(t *testing.T, stream string) (ids []string, text string) {
	t.Helper()
	for line := range strings.Lines(stream) {
		line = strings.TrimSpace(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var chunk Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatal(err)
		}
		text += chunk.Choices[0].Delta.Content
	}
	return ids, text
}

// Guards against an answer that differs between streamed, non-streamed and resumed calls, or from the Answer function.
// The replay's answer check would then fail or prove nothing.
func TestAnswerIsSameInAllForms(t *testing.T) {
	e := startEngine(t, nil)
	want, err := Answer([]byte(completionBody("hello there", 5, false)))
	if err != nil {
		t.Fatal(err)
	}
	_, streamed, err := sendRequest(e, "POST", "/v1/chat/completions", "s", completionBody("hello there", 5, true))
	if err != nil {
		t.Fatal(err)
	}
	ids, text := eventIDs(t, streamed)
	if text != want || strings.Join(ids, " ") != "0 1 2 3 4 5" || !strings.HasSuffix(streamed, "data: [DONE]\n\n") {
		t.Errorf("stream %q with ids %v, want %q", text, ids, want)
	}
	_, whole, err := sendRequest(e, "POST", "/v1/chat/completions", "w", completionBody("hello there", 5, false))
	var answer Chunk
	if err != nil || json.Unmarshal([]byte(whole), &answer) != nil || answer.Choices[0].Message.Content != want {
		t.Errorf("whole answer %q (%v), want %q", whole, err, want)
	}
	_, resumed, err := sendRequest(e, "GET", "/v1/streams/s?from=3", "", "")
	if err != nil || !strings.HasSuffix(streamed, resumed) || !strings.HasPrefix(resumed, "id: 3\n") {
		t.Errorf("resumed stream %q (%v) is not the end of the first one", resumed, err)
	}
}

// Guards against injected faults that have no effect: daemon tests that rely on them would pass without testing
// anything.
func TestInjectedFaultsTakeEffect(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults backend.Faults
		ids    string
		broken bool
		status int
	}{
		{"none", backend.Faults{}, "0 1 2 3", false, 200},
		{"cut", backend.Faults{CutAfterEvents: 2}, "0 1", true, 200},
		{"duplicate", backend.Faults{DuplicateEvents: true}, "0 0 1 1 2 2 3 3", false, 200},
		{"swap", backend.Faults{SwapEvents: true}, "1 0 3 2", false, 200},
		{"refuse", backend.Faults{RefuseStatus: 503}, "", false, 503},
		{"crash", backend.Faults{CrashOn: "hello"}, "", true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := startEngine(t, nil)
			before := e.Incarnation()
			e.Faults().Set(test.faults)
			status, stream, err := sendRequest(e, "POST", "/v1/chat/completions", "s", completionBody("hello", 3, true))
			ids, _ := eventIDs(t, stream)
			if strings.Join(ids, " ") != test.ids || (err != nil) != test.broken || status != test.status {
				t.Errorf("status %d, ids %v, error %v", status, ids, err)
			}
			if crashed := e.Incarnation() != before; crashed != (test.faults.CrashOn != "") {
				t.Errorf("new incarnation: %v", crashed)
			}
		})
	}
}

// Guards against a generation that stops when its reader disconnects, or that continues after a cancel.
func TestGenerationOutlivesReaderUntilCancelled(t *testing.T) {
	e := startEngine(t, func(c *Config) { c.TokenTime = 20 * time.Millisecond })
	e.Faults().Set(backend.Faults{CutAfterEvents: 1})
	_, _, err := sendRequest(e, "POST", "/v1/chat/completions", "s", completionBody("hello", 500, true))
	if err == nil {
		t.Fatal("the connection was not cut")
	}
	if _, record, _ := sendRequest(e, "GET", "/v1/requests/s", "", ""); !strings.Contains(record, `"running"`) {
		t.Errorf("record after the cut is %s, want running", record)
	}
	if status, _, err := sendRequest(e, "DELETE", "/v1/streams/s", "", ""); status != http.StatusNoContent || err != nil {
		t.Errorf("cancel: status %d, %v", status, err)
	}
	runs := e.Runs().All()
	if len(runs) != 1 || runs[0].Outcome != backend.Cancelled {
		t.Errorf("runs %+v, want one that is cancelled", runs)
	}
	if status, _, _ := sendRequest(e, "GET", "/v1/streams/s?from=0", "", ""); status != http.StatusNotFound {
		t.Errorf("resume after the cancel: status %d", status)
	}
}

// Guards against an engine that checks fencing but executes an order with an old fencing token, or that does not check
// it but rejects one, and against uncounted reads of the weight store.
func TestOrderFencingAndWeightReads(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := startEngine(t, func(c *Config) { c.ChecksFencing, c.LoadTime = checks, time.Millisecond })
		wantOld, wantModel := http.StatusConflict, "new"
		if !checks {
			wantOld, wantModel = http.StatusOK, "old"
		}
		for _, step := range []struct {
			body string
			want int
		}{
			{`{"fence":5,"kind":"load_model","model":"new","version":"2"}`, http.StatusOK},
			{`{"fence":4,"kind":"load_model","model":"old","version":"1"}`, wantOld},
			{`{"fence":6,"kind":"set_role","role":"prefill"}`, http.StatusOK},
			{`{"fence":6,"kind":"paint"}`, http.StatusBadRequest},
		} {
			if status, answer, err := sendRequest(e, "POST", "/orders", "", step.body); status != step.want || err != nil {
				t.Errorf("checks %v: %s: status %d %s, want %d", checks, step.body, status, answer, step.want)
			}
		}
		_, status, _ := sendRequest(e, "GET", "/status", "", "")
		if !strings.Contains(status, fmt.Sprintf(`"model":%q`, wantModel)) || !strings.Contains(status, `"role":"prefill"`) {
			t.Errorf("checks %v: status %s, want model %s", checks, status, wantModel)
		}
		reads := 0
		for _, run := range e.Runs().All() {
			reads += run.WeightReads
		}
		if want := map[bool]int{true: 1, false: 2}[checks]; reads != want {
			t.Errorf("checks %v: %d reads of the weight store, want %d", checks, reads, want)
		}
	}
}

// Guards against a KV transfer that leaves the importing engine's cache unchanged.
func TestKVTransferFillsCache(t *testing.T) {
	from, to := startEngine(t, nil), startEngine(t, nil)
	body := completionBody(strings.Repeat("word ", 40), 2, false)
	if _, _, err := sendRequest(from, "POST", "/v1/chat/completions", "a", body); err != nil {
		t.Fatal(err)
	}
	_, exported, err := sendRequest(from, "POST", "/kv/export", "", body)
	if err != nil {
		t.Fatal(err)
	}
	if status, _, _ := sendRequest(to, "POST", "/kv/import", "", exported); status != http.StatusOK {
		t.Fatalf("import: status %d", status)
	}
	if _, _, err := sendRequest(to, "POST", "/v1/chat/completions", "b", body); err != nil {
		t.Fatal(err)
	}
	if run := to.Runs().All()[0]; run.CachedTokens != 32 || run.PromptTokens != 41 {
		t.Errorf("cached %d of %d tokens, want 32 of 41", run.CachedTokens, run.PromptTokens)
	}
	_, events, _ := sendRequest(to, "GET", "/cache/events?after=0&wait=1", "", "")
	if !strings.Contains(events, `"op":"store"`) || !strings.Contains(events, `"next":2`) {
		t.Errorf("cache events %s, want two stored blocks", events)
	}
}

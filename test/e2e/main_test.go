// Package e2e tests the fleet as separate processes on loopback.
package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// startLimit bounds the start or the graceful stop of a daemon.
const startLimit = 30 * time.Second

var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "amaranth-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binaries = directory
	root, err := filepath.Abs("../..")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	build := exec.Command("go", "build", "-o", directory+"/", "./cmd/...", "./standin/cmd/...")
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the binaries: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// start starts a fleet that ends with the test.
func start(t *testing.T, spec fleet.Spec) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Start(spec, binaries, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.Close()
		checkPanics(t, f)
	})
	return f
}

// checkPanics fails the test when a daemon died of a fault of its own.
func checkPanics(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	const excerptBytes = 3000
	for _, name := range append(f.Names("gate"), f.Names("entry")...) {
		log := f.Log(name)
		for _, mark := range []string{"panic: ", "fatal error: "} {
			if at := strings.Index(log, mark); at >= 0 {
				t.Errorf("%s: %s", name, log[at:min(len(log), at+excerptBytes)])
			}
		}
	}
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// errorCode returns the reason and the "ran" field of an error reply.
func (r reply) errorCode() (code, ran string) {
	var body struct {
		Error struct {
			Code string `json:"code"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(r.body), &body)
	return body.Error.Code, body.Error.Ran
}

// send sends one request as a customer.
func send(method, location, customer string, header map[string]string, body []byte) reply {
	request, err := http.NewRequest(method, location, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+fleet.Key(customer))
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// chatBody returns a chat completion request.
func chatBody(prompt string, tokens int, stream bool) []byte {
	body, _ := json.Marshal(map[string]any{
		"model":      fleet.ModelPool,
		"stream":     stream,
		"max_tokens": tokens,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
	})
	return body
}

// streamText returns the text of a whole stream, and false for one that did not end with [DONE].
func streamText(body string) (string, bool) {
	var text strings.Builder
	done := false
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		content, _ := chunkText(data)
		text.WriteString(content)
	}
	return text.String(), done
}

// chunkText returns the text of one event of a stream, and false when it is not JSON.
func chunkText(data string) (string, bool) {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil {
		return "", false
	}
	var text strings.Builder
	for _, choice := range chunk.Choices {
		text.WriteString(choice.Delta.Content)
	}
	return text.String(), true
}

// isStream reports whether a request asked for a stream.
func isStream(r checked) bool { return bytes.Contains(r.body, []byte(`"stream":true`)) }

// failure returns the reason of an error reply or of a stream's error event.
func failure(r reply) string {
	if code, _ := r.errorCode(); code != "" {
		return code
	}
	_, event, found := strings.Cut(r.body, "event: error\ndata: ")
	if !found {
		return ""
	}
	code, _ := reply{body: strings.TrimSpace(event)}.errorCode()
	return code
}

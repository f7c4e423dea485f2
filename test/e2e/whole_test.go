package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/engine"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

const (
	wholeStreams = 1000
	wholeTokens  = 60
	// continueTries bounds the entries at which a caller continues one stream.
	continueTries = 8
	continuePause = 250 * time.Millisecond
)

// continuedStream is a caller that continues a broken stream at other entries.
type continuedStream struct {
	body, want, text string
	lastID           string
	done             bool
	code             string
	tries            int
}

// run reads the stream through entries in turn until it is whole or refused.
func (s *continuedStream) run(entries []string, first int) {
	for s.tries = 0; s.tries < continueTries; s.tries++ {
		s.read(entries[(first+s.tries)%len(entries)])
		if s.done || s.code != "" {
			return
		}
		time.Sleep(continuePause)
	}
}

func (s *continuedStream) read(entry string) {
	request, err := http.NewRequest(http.MethodPost, entry+"/v1/chat/completions", strings.NewReader(s.body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+fleet.Key("rose"))
	if s.lastID != "" {
		request.Header.Set("Last-Event-ID", s.lastID)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		var text bytes.Buffer
		_, _ = text.ReadFrom(response.Body)
		s.code, _ = reply{body: text.String()}.errorCode()
		return
	}
	s.events(bufio.NewScanner(response.Body))
}

// events takes over whole events only; a line that breaks off belongs to none.
func (s *continuedStream) events(lines *bufio.Scanner) {
	var id, data string
	failed := false
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			data = line[len("data: "):]
		case line == "event: error":
			failed = true
		case line == "":
			s.event(id, data, failed)
			id, data = "", ""
		}
	}
}

func (s *continuedStream) event(id, data string, failed bool) {
	if failed {
		s.code, _ = reply{body: data}.errorCode()
		return
	}
	if data == "[DONE]" {
		s.done = true
		return
	}
	content, ok := chunkText(data)
	if !ok {
		return
	}
	s.text += content
	if id != "" {
		s.lastID = id
	}
}

// check reports an answer that is altered, foreign, or short and called whole.
func (s *continuedStream) check(t *testing.T, number int) {
	t.Helper()
	if s.done && s.text != s.want {
		t.Errorf("stream %d was called whole with %d of %d bytes, equal so far: %v", number, len(s.text), len(s.want), strings.HasPrefix(s.want, s.text))
	}
	if !s.done && !strings.HasPrefix(s.want, s.text) {
		t.Errorf("stream %d got bytes of another answer", number)
	}
}

// wholeSpec has engines for wholeStreams streams at once.
func wholeSpec() fleet.Spec {
	spec := fleet.Default()
	spec.EntriesPerZone = 2
	spec.Engines = 8
	spec.ThroughLinks = true
	spec.LinkFlags = []string{"--delay-ms", "2", "--jitter-ms", "3"}
	spec.EngineFlags = []string{"--token-time", "20ms", "--slots", "256"}
	spec.Model.MaxInFlight = 256
	spec.Model.LoadMultiple = 3
	spec.Model.QueueLength = wholeStreams
	return spec
}

// runStreams runs the streams and calls during once they are under way.
func runStreams(t *testing.T, f *fleet.Fleet, during func()) []*continuedStream {
	t.Helper()
	var entries []string
	for _, name := range f.Names("entry") {
		entries = append(entries, f.URL(name))
	}
	streams := make([]*continuedStream, wholeStreams)
	var running sync.WaitGroup
	for i := range streams {
		body := chatBody(fmt.Sprintf("describe rose %d", i), wholeTokens, true)
		want, err := engine.Answer(body)
		must(t, err)
		streams[i] = &continuedStream{body: string(body), want: want}
		running.Go(func() { streams[i].run(entries, i) })
	}
	during()
	running.Wait()
	return streams
}

// checkStreams checks every stream and reports what came of them.
func checkStreams(t *testing.T, streams []*continuedStream) {
	t.Helper()
	whole, continued, broken := 0, 0, 0
	codes := make(map[string]int)
	for i, s := range streams {
		s.check(t, i)
		switch {
		case s.done:
			whole++
		case s.code != "":
			codes[s.code]++
		default:
			broken++
		}
		if s.done && s.tries > 0 {
			continued++
		}
	}
	t.Logf("%d streams: %d whole, %d of them continued at another entry, refused %v, %d broken off", len(streams), whole, continued, codes, broken)
	if whole == 0 {
		t.Error("no stream was whole")
	}
}

// Guards against an answer that is altered or short when the engines send events late, twice, swapped or cut.
func TestStreamsAreWholeDespiteEngineFaults(t *testing.T) {
	f := start(t, wholeSpec())
	faults := []string{`{"duplicate_events":true}`, `{"swap_events":true}`, `{"cut_after_events":7}`, `{"delay_ms":300}`}
	for i, name := range f.Names("engine") {
		must(t, f.Faults(name, faults[i%len(faults)]))
	}
	streams := runStreams(t, f, func() {})
	checkStreams(t, streams)
	for i, s := range streams {
		if !s.done && s.text != "" {
			t.Errorf("stream %d ended with %s, although its engine goes on with it", i, s.code)
		}
	}
}

// Guards against an answer that is altered, short or mixed up when a gate is killed in the middle of it.
func TestStreamsAreWholeWhenGateIsKilled(t *testing.T) {
	f := start(t, wholeSpec())
	checkStreams(t, runStreams(t, f, func() {
		time.Sleep(1500 * time.Millisecond)
		f.Kill("gate-a1")
	}))
}

// Guards against a stream that can't be continued at another entry after its own was killed.
func TestStreamsContinueAtOtherEntry(t *testing.T) {
	f := start(t, wholeSpec())
	checkStreams(t, runStreams(t, f, func() {
		time.Sleep(1500 * time.Millisecond)
		f.Kill(f.Names("entry")[0])
	}))
}

// Guards against an answer that is altered or short when links delay and drop connections while it runs.
func TestStreamsAreWholeOverBadLinks(t *testing.T) {
	f := start(t, wholeSpec())
	checkStreams(t, runStreams(t, f, func() {
		for _, gate := range f.Names("gate") {
			must(t, f.SetLink(gate, `"jitter_ms":30,"drop":0.002`))
		}
	}))
}

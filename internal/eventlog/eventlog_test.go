package eventlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// blockingWriter is an output that blocks writes until it is released.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	content bytes.Buffer
}

func (s *blockingWriter) Write(content []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.Write(content)
}

func (s *blockingWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.String()
}

// While the reader of the log stalls, requests must not wait for it, the buffer must stay bounded, and each dropped
// line must be counted.
func TestStalledReaderDoesNotBlockLogging(t *testing.T) {
	output := &blockingWriter{release: make(chan struct{})}
	log := Open(output, logrus.InfoLevel, logrus.Fields{"vm": "a"})
	log.Info("first")
	time.Sleep(3 * flushInterval)
	start := time.Now()
	const lines = 20000
	for range lines {
		log.WithField("request", "r").Info("flood")
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("%d lines took %v", lines, took)
	}
	log.mu.Lock()
	waiting := log.buffer.Len()
	log.mu.Unlock()
	if waiting > maxBufferBytes {
		t.Errorf("%d bytes are buffered, limit %d", waiting, maxBufferBytes)
	}
	if log.Dropped() == 0 {
		t.Fatal("no line was dropped")
	}
	// The reserved space still accepts a line of a failure.
	before := log.Dropped()
	log.WithField("request", "failed-one").Warn("refused")
	if log.Dropped() != before {
		t.Error("a line of a failed request was dropped")
	}
	close(output.release)
	log.Close(5 * time.Second)
	text := output.String()
	if !strings.Contains(text, "failed-one") {
		t.Error("the failed request is not in the log")
	}
	if written := int64(strings.Count(text, "flood")); written+log.Dropped() < lines {
		t.Errorf("%d written, %d dropped of %d", written, log.Dropped(), lines)
	}
}

// Buffered lines must not be lost when the process ends.
func TestCloseFlushesBufferedLines(t *testing.T) {
	output := &blockingWriter{release: make(chan struct{})}
	close(output.release)
	log := Open(output, logrus.InfoLevel, nil)
	log.Info("stopped")
	log.Close(time.Second)
	if !strings.Contains(output.String(), `"msg":"stopped"`) {
		t.Errorf("written: %q", output.String())
	}
}

// Every line must be valid JSON, whatever a caller sends in a request ID.
func TestLinesAreJSON(t *testing.T) {
	output := &blockingWriter{release: make(chan struct{})}
	close(output.release)
	log := Open(output, logrus.InfoLevel, logrus.Fields{"vm": "a"})
	fields := logrus.Fields{
		"request": "a\"b\\c\n\x00\xff\u00e9", "tries": 2, "ms": int64(7), "version": uint64(9), "may_run": true, "load": 1.257,
		"kind": logrus.WarnLevel, "other": []int{1},
	}
	log.WithFields(fields).WithError(errors.New("broken \"pipe\"")).Warn("odd \t message")
	log.Close(time.Second)
	var line map[string]any
	if err := json.Unmarshal([]byte(output.String()), &line); err != nil {
		t.Fatalf("%v: %q", err, output.String())
	}
	want := map[string]any{
		"msg": "odd \t message", "level": "warning", "vm": "a", "tries": 2.0, "ms": 7.0, "version": 9.0, "may_run": true,
		"load": 1.26, "error": "broken \"pipe\"", "kind": "warning", "other": "[1]",
	}
	for name, value := range want {
		if line[name] != value {
			t.Errorf("%s is %v, want %v", name, line[name], value)
		}
	}
	if _, err := time.Parse(time.RFC3339Nano, line["time"].(string)); err != nil {
		t.Error(err)
	}
}

// writeRecorder records the writes to an output.
type writeRecorder struct {
	mu     sync.Mutex
	writes []string
}

func (p *writeRecorder) Write(content []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes = append(p.writes, string(content))
	return len(content), nil
}

// A write must hold complete lines, or lines are split if the reader takes a limited number of bytes at once: a refusal
// was missing from the output of a VM that refused 40 requests between two writes.
func TestWritesHoldWholeLines(t *testing.T) {
	output := &writeRecorder{}
	log := Open(output, logrus.InfoLevel, nil)
	const lines = 200
	for range lines {
		log.WithField("request", strings.Repeat("r", 100)).Info("refused")
	}
	long := strings.Repeat("x", 2*maxWriteBytes)
	log.Info(long)
	log.Close(time.Second)
	count := 0
	for _, piece := range output.writes {
		if !strings.HasSuffix(piece, "\n") {
			t.Errorf("a write ends with %q", piece[max(len(piece)-20, 0):])
		}
		if len(piece) > maxWriteBytes && !strings.Contains(piece, long) {
			t.Errorf("a write has %d bytes", len(piece))
		}
		count += strings.Count(piece, "\n")
	}
	if count != lines+1 {
		t.Errorf("%d lines were written, want %d", count, lines+1)
	}
}

// The flush loop must terminate when the buffered content has no line break.
func TestSplitLines(t *testing.T) {
	long := strings.Repeat("x", maxWriteBytes+1)
	for name, test := range map[string]struct{ chunk, piece, rest string }{
		"short":            {"a\nb\n", "a\nb\n", ""},
		"split after line": {"a\n" + long + "\n", "a\n", long + "\n"},
		"one long line":    {long + "\nb\n", long + "\n", "b\n"},
		"no line":          {long, long, ""},
	} {
		if piece, rest := splitLines([]byte(test.chunk)); string(piece) != test.piece || string(rest) != test.rest {
			t.Errorf("%s: %d and %d bytes, want %d and %d", name, len(piece), len(rest), len(test.piece), len(test.rest))
		}
	}
}

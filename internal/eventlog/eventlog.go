// Package eventlog writes structured log lines without blocking the caller.
//
// A separate goroutine writes the lines from a bounded buffer. When the reader of the output stalls, the buffer fills
// up, and further lines are dropped and counted. Part of the buffer is reserved for lines of failed requests, so those
// are dropped last. Once there is space again, the number of dropped lines is logged.
package eventlog

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Limits of the buffer.
const (
	// maxBufferBytes bounds the buffered lines; it holds about one second of lines at the busiest VM.
	maxBufferBytes = 256 << 10
	// reservedBytes is the part of the buffer that is reserved for lines of failures.
	reservedBytes = 64 << 10
	// flushInterval is how long lines are collected for one write, since each write costs a system call and a wake-up.
	flushInterval = 400 * time.Millisecond
	// maxWriteBytes bounds one write, which holds complete lines. Writes to a pipe are atomic up to this size (PIPE_BUF),
	// so lines are not split by a reader that reads piece by piece or interleaved by several writers of one pipe.
	maxWriteBytes = 4096
)

// Log is a logger that writes through a bounded buffer.
type Log struct {
	*logrus.Entry
	output  io.Writer
	mu      sync.Mutex
	buffer  bytes.Buffer
	dropped int64
	total   int64
	wake    chan struct{}
	done    chan struct{}
	stopped chan struct{}
}

// Open starts a log that writes JSON lines to the output. The fields are added to every line.
func Open(output io.Writer, level logrus.Level, fields logrus.Fields) *Log {
	l := &Log{
		output:  output,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(level)
	logger.AddHook(&hook{log: l})
	logger.SetFormatter(discardFormatter{})
	l.Entry = logger.WithFields(fields)
	go l.flushLoop()
	return l
}

// discardFormatter formats nothing: the logger's own output is unused.
type discardFormatter struct{}

// Format implements logrus.Formatter.
func (discardFormatter) Format(*logrus.Entry) ([]byte, error) { return nil, nil }

type hook struct {
	log    *Log
	format formatter
}

// Levels implements logrus.Hook.
func (h *hook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h *hook) Fire(entry *logrus.Entry) error {
	h.format.mu.Lock()
	defer h.format.mu.Unlock()
	line, err := h.format.Format(entry)
	if err != nil {
		return err
	}
	h.log.add(line, entry.Level <= logrus.WarnLevel)
	return nil
}

// add appends a line to the buffer, or drops it if there is no space.
func (l *Log) add(line []byte, failure bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	limit := maxBufferBytes - reservedBytes
	if failure {
		limit = maxBufferBytes
	}
	if l.buffer.Len()+len(line) > limit {
		l.dropped++
		return
	}
	l.buffer.Write(line)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of dropped lines.
func (l *Log) Dropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Total returns the number of all lines, including dropped ones.
func (l *Log) Total() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Close flushes the buffered lines, waiting at most the given time.
func (l *Log) Close(wait time.Duration) {
	close(l.done)
	select {
	case <-l.stopped:
	case <-time.After(wait):
	}
}

func (l *Log) flushLoop() {
	defer close(l.stopped)
	var reported int64
	for {
		stopping := false
		select {
		case <-l.wake:
			select {
			case <-time.After(flushInterval):
			case <-l.done:
				stopping = true
			}
		case <-l.done:
			stopping = true
		}
		chunk, dropped := l.takeBuffered()
		for len(chunk) > 0 {
			var piece []byte
			piece, chunk = splitLines(chunk)
			// A write error can't be reported anywhere; the counter of dropped lines does not include these lines.
			_, _ = l.output.Write(piece)
		}
		if dropped > reported {
			l.WithField("lines", dropped-reported).Warn("log lines dropped")
			reported = dropped
		}
		if stopping {
			return
		}
	}
}

// splitLines splits off as many complete lines as one write may hold, but at least one.
func splitLines(chunk []byte) (piece, rest []byte) {
	if len(chunk) <= maxWriteBytes {
		return chunk, nil
	}
	end := bytes.LastIndexByte(chunk[:maxWriteBytes], '\n') + 1
	if end == 0 {
		end = bytes.IndexByte(chunk, '\n') + 1
	}
	if end == 0 {
		return chunk, nil
	}
	return chunk[:end], chunk[end:]
}

// takeBuffered empties the buffer and returns its content and the number of dropped lines so far.
func (l *Log) takeBuffered() ([]byte, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	chunk := bytes.Clone(l.buffer.Bytes())
	l.buffer.Reset()
	return chunk, l.dropped
}

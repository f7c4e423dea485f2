// Package eventlog writes structured log lines without ever blocking the caller.
//
// Lines go through a bounded buffer to a writer of its own. When the reader of the output stalls, the buffer fills and
// lines are dropped and counted; lines of failed requests have a part of the buffer to themselves, so they are the
// last to be dropped. The number of dropped lines is written as a line once there is room again.
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
	// bufferBytes bounds the lines that wait, about a second of lines at the busiest VM.
	maxBufferBytes = 256 << 10
	// reservedBytes is the part of the buffer that only failures may use.
	reservedBytes = 64 << 10
	// flushInterval gathers lines into one write, since every write costs a system call and a wake-up.
	flushInterval = 400 * time.Millisecond
	// writeBytes bounds one write, which holds whole lines. A pipe takes this much at once (PIPE_BUF), so that a reader which
	// reads piece by piece, or several writers of one pipe, don't tear lines.
	maxWriteBytes = 4096
)

// Log is a logger with a bounded buffer.
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

// Open starts a log that writes JSON lines to the output. The fields are part of every line.
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

// discard is the formatter of the logger's own output, which is unused.
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

// add puts a line into the buffer, or drops it.
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

// Dropped returns the number of lines that were dropped, and Total that of all lines.
func (l *Log) Dropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Total returns the number of lines, dropped ones included.
func (l *Log) Total() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Close writes what waits, for at most the given time.
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
			// An output that fails can't be reported anywhere; the counter of dropped lines does not include it.
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

// wholeLines splits off as many lines as one write may hold, at least one.
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

// take empties the buffer.
func (l *Log) takeBuffered() ([]byte, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	chunk := bytes.Clone(l.buffer.Bytes())
	l.buffer.Reset()
	return chunk, l.dropped
}

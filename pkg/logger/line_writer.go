// Package logger writes log lines without blocking the process: lines that
// exceed the rate limit or the queue are dropped and counted.
package logger

import (
	"context"
	"io"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst limit the rate of a process's log lines.
	linesPerSecond = 1000
	lineBurst      = 5000
	// maxQueuedLines is the maximum number of lines that wait to be written.
	maxQueuedLines = 4096
)

// LineWriter is an io.Writer that takes one line per call. It is safe for
// concurrent use.
type LineWriter struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
}

// NewLineWriter returns a writer with an empty queue; Run drains the queue.
func NewLineWriter() *LineWriter {
	return &LineWriter{
		lines:   make(chan []byte, maxQueuedLines),
		limiter: rate.NewLimiter(linesPerSecond, lineBurst),
	}
}

// Write queues a line, or drops it if the rate limit is exceeded or the queue is
// full. It never blocks and never returns an error.
func (w *LineWriter) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines, including those that could not
// be written.
func (w *LineWriter) Dropped() int64 {
	return w.dropped.Load()
}

// Run writes queued lines to out until ctx is done, then writes the lines that
// are still queued and returns. A failed write drops its line.
func (w *LineWriter) Run(ctx context.Context, out io.Writer) error {
	for {
		select {
		case line := <-w.lines:
			if _, err := out.Write(line); err != nil {
				w.dropped.Add(1)
			}
		case <-ctx.Done():
			w.flush(out)
			return nil
		}
	}
}

func (w *LineWriter) flush(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			if _, err := out.Write(line); err != nil {
				w.dropped.Add(1)
			}
		default:
			return
		}
	}
}

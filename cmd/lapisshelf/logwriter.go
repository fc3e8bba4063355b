package main

import (
	"io"
	"time"
)

const (
	maxQueuedLogLines = 1024                   // lines queued for the reader
	logFlushTimeout   = 200 * time.Millisecond // maximum time that Close waits for queued lines
)

// logWriter queues log lines and writes them in the background, so that a stalled reader of the log cannot block the event loop.
// Lines that do not fit into the queue are dropped.
type logWriter struct {
	lines chan []byte
	done  chan struct{}
}

func newLogWriter(to io.Writer) *logWriter {
	w := &logWriter{make(chan []byte, maxQueuedLogLines), make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			to.Write(line)
		}
	}()
	return w
}

// Write implements io.Writer. It never blocks and always reports success.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
	}
	return len(line), nil
}

// Close waits up to logFlushTimeout for queued lines to be written. Write must not be called after it.
func (w *logWriter) Close() {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(logFlushTimeout):
	}
}

package main

import (
	"io"
	"time"
)

const (
	maxQueuedLogLines = 1024                   // lines that may wait
	logFlushTimeout   = 200 * time.Millisecond // how long the program's end waits for them
)

// logWriter takes log lines without ever waiting: a reader of the log that has stopped must not stop the loop. What
// finds no room is dropped.
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

// Write implements io.Writer.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
	}
	return len(line), nil
}

// Close waits a moment for what has not been written; nothing may be logged after it.
func (w *logWriter) Close() {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(logFlushTimeout):
	}
}

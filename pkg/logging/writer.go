// Package logging writes log lines without ever making their author wait: a reader that stops costs lines, not requests.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPending bounds the lines that wait to be written, in bytes.
	maxPending = 256 << 10
	// batchDelay is how long lines are collected, so that many lines cost one system call.
	batchDelay = 50 * time.Millisecond
	// closeTimeout limits the wait for the last lines.
	closeTimeout = 500 * time.Millisecond
)

// Writer is an io.Writer for whole lines that never blocks. Lines that find no room are counted, and a line says how many
// were lost once there is room again.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	dropped int
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}
	closed  bool
}

// NewWriter returns a writer that writes to out until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > maxPending {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		w.pending = fmt.Appendf(w.pending, `{"level":"warn","step":"log","lost_lines":%d,"message":"the reader of the log is slow"}`+"\n", w.dropped)
		w.dropped = 0
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// NearlyFull reports whether less important lines should be left out.
func (w *Writer) NearlyFull() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) > maxPending/2
}

// Close writes the lines that wait, unless the reader has stopped.
func (w *Writer) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	w.mu.Unlock()
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for {
		select {
		case <-w.wake:
		case <-w.closing:
			w.flush(batch)
			return
		}
		select {
		case <-time.After(batchDelay):
		case <-w.closing:
		}
		batch = w.flush(batch)
	}
}

// flush writes what waits and returns the buffer for the next time.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	batch := w.pending
	w.pending = spare[:0]
	w.mu.Unlock()
	if len(batch) > 0 {
		_, _ = w.out.Write(batch) // there is nowhere to report that the log cannot be written
	}
	return batch
}

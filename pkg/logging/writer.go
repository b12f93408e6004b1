// Package logging provides a log writer that never blocks and a rate limiter for log lines. If the reader of the log stalls,
// lines are dropped and requests are not delayed.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPending is the maximum size of the buffered lines in bytes.
	maxPending = 256 << 10
	// batchDelay is how long lines are collected before they are written together in one system call.
	batchDelay = 50 * time.Millisecond
	// closeTimeout limits the wait of Close for the last write.
	closeTimeout = 500 * time.Millisecond
)

// Writer is an io.Writer for whole lines that buffers them and never blocks. Lines that do not fit into the buffer are dropped
// and counted; once there is room again, a log line reports their number.
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

// NewWriter returns a writer and starts the goroutine that writes buffered lines to out until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line, or drops it if the buffer is full or the writer is closed. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > maxPending {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		w.pending = fmt.Appendf(w.pending, `{"level":"warn","step":"log","lost_lines":%d,"message":"lines dropped: the log reader is slow"}`+"\n", w.dropped)
		w.dropped = 0
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// NearlyFull reports whether the buffer is more than half full, so that less important lines should be skipped.
func (w *Writer) NearlyFull() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) > maxPending/2
}

// Close writes the buffered lines. It gives up after closeTimeout if the reader has stalled.
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

// run writes the buffered lines in batches until Close.
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

// flush swaps the pending lines with an empty buffer and writes them. It returns their buffer for reuse.
func (w *Writer) flush(buffer []byte) []byte {
	w.mu.Lock()
	batch := w.pending
	w.pending = buffer[:0]
	w.mu.Unlock()
	if len(batch) > 0 {
		_, _ = w.out.Write(batch) // an error cannot be reported anywhere, as this is the log itself
	}
	return batch
}

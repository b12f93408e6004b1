package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a stalled log reader that blocks the goroutines of requests. Lines must be dropped instead, and their number
// must be logged after the reader continues.
func TestStoppedReaderDoesNotBlockWriters(t *testing.T) {
	is := is.New(t)
	r, out := io.Pipe() // a write to the pipe blocks until it is read
	w := NewWriter(out)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	start := time.Now()
	for range 2000 {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	is.True(time.Since(start) < time.Second)
	is.True(w.NearlyFull())

	var mu sync.Mutex
	var got bytes.Buffer
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := r.Read(buf)
			mu.Lock()
			got.Write(buf[:n])
			mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	deadline := time.Now().Add(10 * time.Second)
	for said := false; !said; {
		if time.Now().After(deadline) {
			t.Fatal("no log line with the number of dropped lines (lost_lines)")
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = w.Write([]byte("after\n"))
		mu.Lock()
		said = strings.Contains(got.String(), `"lost_lines":`)
		mu.Unlock()
	}
	w.Close()
	_ = out.Close()
}

// Guards against buffered lines that are lost when the process stops gracefully.
func TestCloseFlushesPendingLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := NewWriter(&out)
	_, _ = w.Write([]byte("last\n"))
	w.Close()
	is.Equal(out.String(), "last\n")
}

// Guards against a log volume that grows with the request rate, and against suppressed lines that are not counted.
func TestLimiter(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(3)
	now := time.Now()
	allowed := 0
	for range 10 {
		if ok, _ := l.Allow(now); ok {
			allowed++
		}
	}
	is.Equal(allowed, 3)
	ok, suppressed := l.Allow(now.Add(time.Second))
	is.True(ok)
	is.Equal(suppressed, 7)
}

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

// Guards against requests that wait for the reader of the log: lines are lost instead, and it is said how many.
func TestStoppedReaderCostsLinesOnly(t *testing.T) {
	is := is.New(t)
	r, out := io.Pipe() // a write waits until it is read
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
			t.Fatal("the log does not say how many lines were lost")
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

// Guards against last lines that are lost when the process ends in order.
func TestCloseWritesWhatWaits(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := NewWriter(&out)
	_, _ = w.Write([]byte("last\n"))
	w.Close()
	is.Equal(out.String(), "last\n")
}

// Guards against a log that grows with the load.
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

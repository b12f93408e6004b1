// Package bubble runs tests in testing/synctest bubbles when their goroutines use yamux over in-memory connections.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run runs f in a synctest bubble. yamux keeps timers in a package-level sync.Pool, and reusing a timer of an earlier bubble
// crashes the process with "select on synctest channel from outside bubble"; the two garbage collections empty the pool before
// the bubble starts. GOMAXPROCS is 1 during the bubble: with more, the race detector of Go 1.26.8 crashed in 4 of 16 runs of
// pkg/membership with "ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346", and with 1 in none of 8.
func Run(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}

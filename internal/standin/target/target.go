// Package target is a stand-in for a target: an http.Handler with a fixed number of slots, a service time chosen by each
// request, and faults that tests switch on. Test scaffolding; it never runs in production.
package target

import (
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Header names that the stand-in reads or sets.
const (
	// HeaderRequestID is chosen by the caller and repeated in the header and the body of the answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderBodySHA256 is the trailer with the hexadecimal SHA-256 sum of the body.
	HeaderBodySHA256 = "X-Body-Sha256"
	// HeaderRequestTimeout is the time left until the deadline, in seconds.
	HeaderRequestTimeout = "Request-Timeout"
	// HeaderTarget names the target that answered.
	HeaderTarget = "X-Target"

	headerAttemptID = "Rattanhitch-Request-Id"
	headerOutcome   = "Rattanhitch-Outcome"
	headerKey       = "Idempotency-Key"
	outcomeNotRun   = "not-run"

	retryAfterSeconds = 1
)

// Options configure a stand-in. The zero value of each field has a usable default.
type Options struct {
	Name string
	// Slots is the number of requests served at the same time; 0 means 4.
	Slots int
	// ColdFor is how long after the start work takes ColdFactor times as long.
	ColdFor    time.Duration
	ColdFactor float64
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// Exit ends the process on a request with crash=1; nil means os.Exit.
	Exit func(code int)
}

// Target is the stand-in.
type Target struct {
	opts    Options
	router  *httprouter.Router
	started time.Time
	load    *lagged

	mu         sync.Mutex
	inUse      int
	peak       int
	shed       int
	total      int
	executions map[string]int
	faults     Faults
	straggling time.Time
}

// New returns a stand-in that is ready to serve.
func New(opts Options) *Target {
	if opts.Slots == 0 {
		opts.Slots = 4
	}
	if opts.ColdFactor == 0 {
		opts.ColdFactor = 1
	}
	if opts.Exit == nil {
		opts.Exit = os.Exit
	}
	t := &Target{
		opts: opts, router: httprouter.New(), started: time.Now(),
		load: newLagged(opts.LoadLag), executions: map[string]int{},
	}
	t.router.GET("/load", t.handleLoad)
	t.router.GET("/executions", t.handleExecutions)
	t.router.POST("/faults", t.handleFaults)
	t.router.HandleMethodNotAllowed = false
	t.router.RedirectTrailingSlash = false
	t.router.RedirectFixedPath = false
	t.router.NotFound = http.HandlerFunc(t.serveWork)
	return t
}

// ServeHTTP serves a request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.router.ServeHTTP(w, r) }

// enter takes a slot unless the target is full, draining or told to shed.
func (t *Target) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inUse >= t.opts.Slots || t.faults.Draining || t.faults.ShedAll {
		t.shed++
		return false
	}
	t.inUse++
	t.peak = max(t.peak, t.inUse)
	t.load.set(t.inUse)
	return true
}

func (t *Target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inUse--
	t.load.set(t.inUse)
}

// execute counts the execution of a request.
func (t *Target) execute(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total++
	if key != "" {
		t.executions[key]++
	}
}

// Executions returns how often requests with an idempotency key were executed.
func (t *Target) Executions(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.executions[key]
}

// factor returns by how much work is slowed down now.
func (t *Target) factor() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	factor := 1.0
	if time.Since(t.started) < t.opts.ColdFor {
		factor = t.opts.ColdFactor
	}
	if time.Now().Before(t.straggling) {
		factor *= t.faults.StraggleFactor
	}
	return factor
}

func writeShed(w http.ResponseWriter) {
	w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	w.Header().Set(headerOutcome, outcomeNotRun)
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
}

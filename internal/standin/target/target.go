// Package target simulates a target for tests and demonstrations: an http.Handler with a fixed number of slots, a service time
// that each request chooses, and fault injection. It never runs in production.
package target

import (
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Names of HTTP headers and trailers.
const (
	// HeaderRequestID holds an ID that the caller chooses. The response repeats it in its header and its body.
	HeaderRequestID = "X-Request-Id"
	// HeaderBodySHA256 holds the hexadecimal SHA-256 sum of the response body. Responses with a chosen size send it as a trailer.
	HeaderBodySHA256 = "X-Body-Sha256"
	// HeaderRequestTimeout holds the time until the deadline of the request, in seconds.
	HeaderRequestTimeout = "Request-Timeout"
	// HeaderTarget holds the name of the target that sent the response.
	HeaderTarget = "X-Target"

	headerAttemptID      = "Rattanhitch-Request-Id"
	headerOutcome        = "Rattanhitch-Outcome"
	headerRateLimit      = "Rattanhitch-Rate-Limit"
	headerIdempotencyKey = "Idempotency-Key"
	outcomeNotRun        = "not-run"

	retryAfterSeconds = 1
)

// Options configures a simulated target. The zero value of each field is a usable default.
type Options struct {
	Name string
	// Slots is the number of requests served at the same time; 0 means 4.
	Slots int
	// ColdFor is the duration of the cold start, during which service times are multiplied by ColdFactor; a factor of 0
	// means 1.
	ColdFor    time.Duration
	ColdFactor float64
	// LoadLag is the age of the load that GET /load reports.
	LoadLag time.Duration
	// Exit is called to end the process on a request with crash=1; nil means os.Exit.
	Exit func(code int)
}

// Target is a simulated target.
type Target struct {
	opts         Options
	router       *httprouter.Router
	started      time.Time
	reportedLoad *delayedValue

	mu            sync.Mutex
	inUse         int
	peak          int
	shed          int
	total         int
	executions    map[string]int
	faults        Faults
	straggleUntil time.Time
}

// New returns a simulated target without injected faults.
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
		reportedLoad: newDelayedValue(opts.LoadLag), executions: map[string]int{},
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

// ServeHTTP serves GET /load, GET /executions and POST /faults, and treats all other requests as work.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.router.ServeHTTP(w, r) }

// acquireSlot occupies a slot and reports true. It reports false if all slots are occupied or a fault makes the target refuse
// requests.
func (t *Target) acquireSlot() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inUse >= t.opts.Slots || t.faults.Draining || t.faults.ShedAll {
		t.shed++
		return false
	}
	t.inUse++
	t.peak = max(t.peak, t.inUse)
	t.reportedLoad.set(t.inUse)
	return true
}

func (t *Target) releaseSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inUse--
	t.reportedLoad.set(t.inUse)
}

// recordExecution counts the execution of a request, also per idempotency key if the key is not empty.
func (t *Target) recordExecution(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total++
	if key != "" {
		t.executions[key]++
	}
}

// Executions returns the number of executed requests with an idempotency key.
func (t *Target) Executions(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.executions[key]
}

// slowdown returns the current multiplier of service times, from the cold start and the straggler fault.
func (t *Target) slowdown() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	factor := 1.0
	if time.Since(t.started) < t.opts.ColdFor {
		factor = t.opts.ColdFactor
	}
	if time.Now().Before(t.straggleUntil) {
		factor *= t.faults.StraggleFactor
	}
	return factor
}

// writeNotRun refuses a request. Like a response, the refusal repeats the request IDs.
func writeNotRun(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	w.Header().Set(headerAttemptID, r.Header.Get(headerAttemptID))
	w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	w.Header().Set(headerOutcome, outcomeNotRun)
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
}

package target

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

// LoadReport is the response to GET /load. InUse is the number of occupied slots, as of Options.LoadLag ago.
type LoadReport struct {
	InUse    int  `json:"in_use"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}

// ExecutionReport is the response to GET /executions.
type ExecutionReport struct {
	// Keys holds the number of executions per idempotency key.
	Keys map[string]int `json:"keys"`
	// Total is the number of executions, Peak the largest number of occupied slots, and Shed the number of refused requests.
	Total int `json:"total"`
	Peak  int `json:"peak"`
	Shed  int `json:"shed"`
}

func (t *Target) handleLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	t.mu.Lock()
	report := LoadReport{InUse: t.reportedLoad.get(), Slots: t.opts.Slots, Draining: t.faults.Draining}
	if t.faults.LoadReport != nil {
		report.InUse = *t.faults.LoadReport
	}
	t.mu.Unlock()
	writeJSON(w, report)
}

func (t *Target) handleExecutions(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, t.Report())
}

// Report returns the counts since the start.
func (t *Target) Report() ExecutionReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := make(map[string]int, len(t.executions))
	for key, n := range t.executions {
		keys[key] = n
	}
	return ExecutionReport{Keys: keys, Total: t.total, Peak: t.peak, Shed: t.shed}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// delayedValue is an integer whose reads return the value that it had a fixed delay ago.
type delayedValue struct {
	delay   time.Duration
	history []change
}

type change struct {
	at    time.Time
	value int
}

func newDelayedValue(delay time.Duration) *delayedValue {
	return &delayedValue{delay: delay, history: []change{{}}}
}

func (v *delayedValue) set(value int) {
	v.trim()
	v.history = append(v.history, change{time.Now(), value})
}

func (v *delayedValue) get() int {
	v.trim()
	return v.history[0].value
}

// trim drops history entries that were already superseded at the time that reads refer to.
func (v *delayedValue) trim() {
	cutoff := time.Now().Add(-v.delay)
	for len(v.history) > 1 && !v.history[1].at.After(cutoff) {
		v.history = v.history[1:]
	}
}

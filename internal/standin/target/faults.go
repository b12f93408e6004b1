package target

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Faults are the injected faults. POST /faults replaces all of them.
type Faults struct {
	// Draining and ShedAll refuse all new requests with outcome not-run. The load report also shows Draining.
	Draining bool `json:"draining"`
	ShedAll  bool `json:"shed_all"`
	// Freeze holds requests open, without executing them, until their deadline or cancellation and then aborts the connection.
	Freeze bool `json:"freeze"`
	// LoseAnswer executes requests and then aborts the connection without a response.
	LoseAnswer bool `json:"lose_answer"`
	// Truncate aborts the connection in the middle of response bodies that have a chosen size.
	Truncate bool `json:"truncate"`
	// WrongID sends request IDs in responses that differ from those of the request.
	WrongID bool `json:"wrong_id"`
	// StraggleFactor multiplies service times for StraggleForMS milliseconds.
	StraggleFactor float64 `json:"straggle_factor"`
	StraggleForMS  int     `json:"straggle_for_ms"`
	// RateLimit, if not 0, is the limit in requests per second that responses state. It is not enforced.
	RateLimit float64 `json:"rate_limit"`
	// LoadReport, if not nil, replaces the number of occupied slots in the load report.
	LoadReport *int `json:"load_report"`
}

// SetFaults replaces all injected faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	t.straggleUntil = time.Now().Add(time.Duration(f.StraggleForMS) * time.Millisecond)
}

// Faults returns the injected faults.
func (t *Target) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

func (t *Target) handleFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

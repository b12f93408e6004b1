package platform

import (
	"net/http"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/store/memory"
)

// Faults is the JSON form of memory.Faults, in requests to POST /faults and responses of GET /faults. A POST replaces all faults,
// so {} ends them.
type Faults struct {
	Outage        bool `json:"outage"`
	DelayMS       int  `json:"delay_ms"`
	LostResponses int  `json:"lost_responses"`
	LateWrites    int  `json:"late_writes"`
	LateByMS      int  `json:"late_by_ms"`
	HostListLagMS int  `json:"host_list_lag_ms"`
}

func (h *Handler) getFaults(w http.ResponseWriter, _ *http.Request) {
	f := h.Memory.Faults()
	writeResult(w, Faults{
		Outage:        f.Outage,
		DelayMS:       int(f.Delay.Milliseconds()),
		LostResponses: f.LostResponses,
		LateWrites:    f.LateWrites,
		LateByMS:      int(f.LateBy.Milliseconds()),
		HostListLagMS: int(f.HostListLag.Milliseconds()),
	}, nil)
}

func (h *Handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	h.Memory.SetFaults(memory.Faults{
		Outage:        f.Outage,
		Delay:         milliseconds(f.DelayMS),
		LostResponses: f.LostResponses,
		LateWrites:    f.LateWrites,
		LateBy:        milliseconds(f.LateByMS),
		HostListLag:   milliseconds(f.HostListLagMS),
	})
	h.getFaults(w, r)
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

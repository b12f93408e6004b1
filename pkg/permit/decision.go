package permit

import (
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// decision returns the current state of the dispatcher for logs and metrics. t is the target granted to the waiter w; it is nil
// if the request is refused, and w is then not used.
func (d *dispatcher) decision(w *waiter, t *target, now time.Time) Decision {
	free, total := d.slots.totals()
	decision := Decision{Dispatcher: d.id.host, FreeSlots: free, TotalSlots: total, Waiting: len(d.queue)}
	if t != nil {
		decision.ExpectedDuration, decision.Cached = d.expectedTime(w, t, now), d.likelyCached(t, w.req.ObjectHash)
	}
	return decision
}

// refused returns the answer for a refusal, to which it adds the state of the dispatcher.
func (d *dispatcher) refused(w *waiter, r *RefusedError, now time.Time) answer {
	r.Decision = d.decision(w, nil, now)
	return answer{refusal: r}
}

func (decision Decision) proto() *peerv1.Decision {
	return &peerv1.Decision{
		FreeSlots: uint32(decision.FreeSlots), TotalSlots: uint32(decision.TotalSlots), Waiting: uint32(decision.Waiting),
		ExpectedMs: ceilMilliseconds(decision.ExpectedDuration), Cached: decision.Cached,
	}
}

func decisionOf(m *peerv1.Decision, dispatcher string) Decision {
	return Decision{
		Dispatcher: dispatcher, FreeSlots: int(m.GetFreeSlots()), TotalSlots: int(m.GetTotalSlots()), Waiting: int(m.GetWaiting()),
		ExpectedDuration: time.Duration(m.GetExpectedMs()) * time.Millisecond, Cached: m.GetCached(),
	}
}

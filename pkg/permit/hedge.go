package permit

import (
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

const (
	// maxHedgePercent is the upper limit of hedged requests, as a percentage of the other requests, and the default without a
	// policy.
	maxHedgePercent = 5
	// hedgeBurst is the capacity of the token bucket for hedged requests.
	hedgeBurst = 20
)

// tokenBucket limits extra requests to a fraction of the regular ones: each regular request adds a fraction of a token, and each
// extra request takes one token.
type tokenBucket struct {
	tokens float64
	burst  float64
}

// tokenEpsilon is larger than the floating-point error in the sum of ten times 0.1.
const tokenEpsilon = 1e-9

func (b *tokenBucket) add(tokens float64) { b.tokens = min(b.burst, b.tokens+tokens) }

// take takes one token and reports whether there was one.
func (b *tokenBucket) take() bool {
	if b.tokens < 1-tokenEpsilon {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// hedgePercent returns the hedge budget in percent. A policy that sets none disables hedging.
func (d *dispatcher) hedgePercent() float64 {
	p := d.snap.Policy(ServiceOf(d.service))
	if p == nil {
		return maxHedgePercent
	}
	return min(maxHedgePercent, float64(p.GetHedgePercent()))
}

// hedgeAfter returns the delay after which the holder of a permit may send a hedged request, or 0 if it may not send one.
func (d *dispatcher) hedgeAfter(w *waiter) time.Duration {
	if w.req.Command || w.req.Hedge || w.class != classShort || d.hedgeBudget.tokens < 1 || d.serviceIsSlow() ||
		d.manager.poison.IsSuspect(w.req.Fingerprint, time.Now()) {
		return 0
	}
	return d.latency.slow
}

// admitHedge returns the refusal of a hedged request, or nil if it is admitted. A hedged request never waits, and it takes no
// slot for which others wait.
func (d *dispatcher) admitHedge(w *waiter, now time.Time) *RefusedError {
	t, _ := d.bestTarget(w, now)
	if t == nil || d.queue.backlog(w.class).requests > 0 || d.serviceIsSlow() || !d.hedgeBudget.take() {
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_HEDGE_BUDGET, minRetryAfter)
	}
	return nil
}

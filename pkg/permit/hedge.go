package permit

import (
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

const (
	// maxHedgePercent is the most extra requests that hedging may add, and the default without a policy.
	maxHedgePercent = 5
	// hedgeBurst is how many hedged requests can be saved up.
	hedgeBurst = 20
)

// tokenBucket pays for extra requests with a share of the first ones.
type tokenBucket struct {
	tokens float64
	burst  float64
}

// tokenEpsilon is more than the sum of ten shares of a tenth differs from one.
const tokenEpsilon = 1e-9

func (b *tokenBucket) add(tokens float64) { b.tokens = min(b.burst, b.tokens+tokens) }

// take reports whether an extra request is paid for.
func (b *tokenBucket) take() bool {
	if b.tokens < 1-tokenEpsilon {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// hedgePercent returns the budget that the policy gives. A policy without a value means that nothing is hedged.
func (d *dispatcher) hedgePercent() float64 {
	p := d.snap.Policy(ServiceOf(d.service))
	if p == nil {
		return maxHedgePercent
	}
	return min(maxHedgePercent, float64(p.GetHedgePercent()))
}

// hedgeAfter returns the delay after which the holder of a permit may send a hedged request, or 0.
func (d *dispatcher) hedgeAfter(w *waiter) time.Duration {
	if w.req.Command || w.req.Hedge || w.class != classShort || d.hedgeBudget.tokens < 1 || d.serviceIsSlow() {
		return 0
	}
	return d.latency.slow
}

// admitHedge returns why a hedged request is refused, or nil. It never waits and takes no slot that others wait for.
func (d *dispatcher) admitHedge(w *waiter, now time.Time) *RefusedError {
	if d.waitingCount(w.class) > 0 || d.serviceIsSlow() || d.chooseTarget(w, now) == nil || !d.hedgeBudget.take() {
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_HEDGE_BUDGET, minRetryAfter)
	}
	return nil
}

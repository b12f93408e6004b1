package permit

import (
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// Retries.
//
// The dispatchers of a service pay for retries with a share of the first attempts, so that retries cannot multiply the load.
// What a service may save up in a failure domain is split among its shards. A successor starts with nothing saved: its
// predecessor may have spent everything a moment ago.

const (
	// defaultRetryRatio is the number of retries that one first attempt pays for.
	defaultRetryRatio = 0.1
	// defaultRetryBurst is how many retries can be saved up.
	defaultRetryBurst = 20
	// retryBudgetRetryAfter is the hint when the retry budget is spent.
	retryBudgetRetryAfter = time.Second
)

// newRetryBudget returns the budget that a dispatcher starts with.
func newRetryBudget(id dispatcherID, burst float64) tokenBucket {
	b := tokenBucket{burst: burst}
	if id.term == firstTerm {
		b.tokens = burst
	}
	return b
}

// splitRetryBurst splits what the service may save up among its shards.
func (d *dispatcher) splitRetryBurst() {
	shards := shardCount(len(d.snap.Targets(ServiceOf(d.service), d.manager.opts.FailureDomain)))
	d.retryBudget.burst = d.manager.opts.RetryBurst / float64(shards)
	d.retryBudget.tokens = min(d.retryBudget.tokens, d.retryBudget.burst)
}

// earnRetryTokens counts a first attempt that is served in this failure domain.
func (d *dispatcher) earnRetryTokens(w *waiter) {
	if w.req.Attempt == 0 && !w.req.Hedge {
		d.retryBudget.add(d.manager.opts.RetryRatio)
	}
}

// admitAttempt returns why a poison request or a retry is refused, or nil.
func (d *dispatcher) admitAttempt(w *waiter, now time.Time) *RefusedError {
	if left := d.poison.refusedUntil.remaining(w.req.Fingerprint, now); left > 0 {
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_POISON, left)
	}
	if w.req.Attempt > 0 && !d.retryBudget.take() {
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_RETRY_BUDGET, retryBudgetRetryAfter)
	}
	return nil
}

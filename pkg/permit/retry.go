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
	// defaultRetryShare is the number of retries that one first attempt pays for.
	defaultRetryShare = 0.1
	// defaultRetryBurst is how many retries can be saved up.
	defaultRetryBurst = 20
	// retryBudgetRetryAfter is the hint when the retry budget is spent.
	retryBudgetRetryAfter = time.Second
)

// newRetries returns the budget that a dispatcher starts with.
func newRetries(id dispatcherID, burst float64) budget {
	b := budget{burst: burst}
	if id.term == firstTerm {
		b.tokens = burst
	}
	return b
}

// shareRetries splits what the service may save up among its shards.
func (d *dispatcher) shareRetries() {
	shards := shardCount(len(d.snap.Targets(ServiceOf(d.service), d.manager.opts.FailureDomain)))
	d.retryBudget.burst = d.manager.opts.RetryBurst / float64(shards)
	d.retryBudget.tokens = min(d.retryBudget.tokens, d.retryBudget.burst)
}

// earnRetries counts a first attempt that is served in this failure domain.
func (d *dispatcher) earnRetries(w *waiter) {
	if w.req.Attempt == 0 && !w.req.Hedge {
		d.retryBudget.earn(d.manager.opts.RetryRatio)
	}
}

// admitAttempt returns why a poison request or a retry is refused, or nil.
func (d *dispatcher) admitAttempt(w *waiter, now time.Time) *RefusedError {
	if left := d.poison.refused.left(w.req.Fingerprint, now); left > 0 {
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_POISON, left)
	}
	if w.req.Attempt > 0 && !d.retryBudget.spend() {
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_RETRY_BUDGET, retryBudgetRetryAfter)
	}
	return nil
}

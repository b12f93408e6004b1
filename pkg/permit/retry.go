package permit

import (
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// Retry budget.
//
// Each dispatcher limits retries with a token bucket that first attempts refill, so that retries cannot multiply the load. An attempt
// that reached no target adds no load, so that the next one needs no token. The
// burst that a service may have in a failure domain is split evenly among its shards. The bucket of a successor starts empty,
// because its predecessor may just have spent the whole burst.

const (
	// defaultRetryRatio is the number of tokens that a first attempt adds to the bucket; a retry takes one.
	defaultRetryRatio = 0.1
	// defaultRetryBurst is the capacity of the bucket.
	defaultRetryBurst = 20
	// arrivalWeight is the weight of a new observation in the moving average of the time between first attempts.
	arrivalWeight = 1.0 / 16
	// maxTokenDelay bounds the time until the next token that callers are told: the requests for a service may have stopped.
	maxTokenDelay = time.Second
)

// arrivals estimates the time between first attempts.
type arrivals struct {
	last     time.Time
	interval time.Duration
}

func (a *arrivals) observe(now time.Time) {
	if !a.last.IsZero() {
		a.interval += time.Duration(arrivalWeight * float64(now.Sub(a.last)-a.interval))
	}
	a.last = now
}

// newRetryBudget returns the token bucket of a new dispatcher. It is full only for the first dispatcher of a service.
func newRetryBudget(id dispatcherID, burst float64) tokenBucket {
	b := tokenBucket{burst: burst}
	if id.term == firstTerm {
		b.tokens = burst
	}
	return b
}

// splitRetryBurst sets the capacity of the bucket to this shard's part of the service's burst.
func (d *dispatcher) splitRetryBurst() {
	shards := shardCount(len(d.snap.Targets(ServiceOf(d.service), d.manager.opts.FailureDomain)))
	d.retryBudget.burst = d.manager.opts.RetryBurst / float64(shards)
	d.retryBudget.tokens = min(d.retryBudget.tokens, d.retryBudget.burst)
}

// earnRetryTokens refills the bucket for a first attempt that is served in this failure domain.
func (d *dispatcher) earnRetryTokens(w *waiter, now time.Time) {
	if w.req.Attempt == 0 && !w.req.Hedge {
		d.retryBudget.add(d.manager.opts.RetryRatio)
		d.firstAttempts.observe(now)
	}
}

// nextRetryToken returns the time after which the bucket probably has a token again, if first attempts go on arriving as before.
func (d *dispatcher) nextRetryToken() time.Duration {
	if d.manager.opts.RetryRatio <= 0 || d.firstAttempts.interval == 0 {
		return maxTokenDelay
	}
	missing := (1 - d.retryBudget.tokens) / d.manager.opts.RetryRatio
	return min(time.Duration(missing*float64(d.firstAttempts.interval)), maxTokenDelay)
}

// admitAttempt returns the refusal of a poison request, or of a retry for which the bucket has no token; nil if the attempt may
// proceed.
func (d *dispatcher) admitAttempt(w *waiter, now time.Time) *RefusedError {
	if left := d.manager.poison.RefusedFor(w.req.Fingerprint, now); left > 0 {
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_POISON, left)
	}
	if w.req.Attempt > w.req.Unreached && !d.retryBudget.take() {
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_RETRY_BUDGET, d.nextRetryToken())
	}
	return nil
}

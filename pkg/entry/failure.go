package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// next says what may be tried after a failure.
type next int

const (
	// nextTarget allows another target of the same place.
	nextTarget next = iota
	nextPlace
	// nextElsewhere allows another failure domain only: this one has no dispatcher.
	nextElsewhere
	// nextLocal allows the own failure domain only.
	nextLocal
	nextNothing
)

// failure is an attempt, or a wish for one, that gave no answer.
type failure struct {
	status     int
	reason     reply.Reason
	retryAfter time.Duration
	// mayHaveRun is set if the attempt may have been executed.
	mayHaveRun bool
	// noAttempt is set if nothing was sent: a report of an earlier attempt says more.
	noAttempt bool
	// stated is set if another host stated the outcome.
	stated bool
	next   next
	err    error
}

// fail notes a failure and returns what may be tried next.
func (rq *request) fail(f *failure) next {
	rq.mayHaveRun = rq.mayHaveRun || f.mayHaveRun
	if rq.last == nil || rq.last.noAttempt || !f.noAttempt {
		rq.last = f
	}
	if f.mayHaveRun && rq.command {
		return nextNothing
	}
	return f.next
}

// refusal returns what to tell the caller when nothing else is tried.
func (rq *request) refusal() *reply.Refusal {
	f := rq.last
	if f == nil {
		f = &failure{status: http.StatusServiceUnavailable, reason: reply.ReasonNoTarget, retryAfter: time.Second}
	}
	out := &reply.Refusal{Status: f.status, Reason: f.reason, RetryAfter: f.retryAfter, Outcome: reply.NotRun}
	if rq.mayHaveRun {
		out.Outcome = reply.Unknown
	}
	if f.err != nil {
		out.Detail = f.err.Error()
	}
	return out
}

// refusedPermit translates an error of Acquire.
func refusedPermit(rq *request, err error) *failure {
	if f := contextFailure(rq); f != nil {
		f.noAttempt = true
		return f
	}
	var elsewhere *permit.RedirectError
	if errors.As(err, &elsewhere) {
		rq.elsewhere = elsewhere.FailureDomain
		return &failure{
			status: http.StatusServiceUnavailable, reason: reply.ReasonNoCapacity, retryAfter: time.Second, noAttempt: true,
			next: nextPlace,
		}
	}
	var refused *permit.RefusedError
	if !errors.As(err, &refused) {
		return &failure{
			status: http.StatusServiceUnavailable, reason: reply.ReasonNoCapacity, retryAfter: time.Second,
			noAttempt: true, next: nextPlace, err: err,
		}
	}
	f := &failure{
		status: http.StatusServiceUnavailable, reason: reply.ReasonNoCapacity, retryAfter: refused.RetryAfter,
		noAttempt: true, next: nextPlace,
	}
	switch refused.Reason {
	case peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER:
		f.next = nextElsewhere
	case peerv1.RefusalReason_REFUSAL_REASON_DEADLINE:
		f.status, f.reason = http.StatusGatewayTimeout, reply.ReasonDeadline
	case peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET, peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE:
		f.reason = reply.ReasonNoTarget
	case peerv1.RefusalReason_REFUSAL_REASON_POISON:
		// Another place must not get it either, and a later try cannot work.
		f.status, f.reason, f.next = http.StatusUnprocessableEntity, reply.ReasonPoison, nextNothing
		f.retryAfter, f.noAttempt = 0, false
	case peerv1.RefusalReason_REFUSAL_REASON_RETRY_BUDGET:
		f.reason, f.next = reply.ReasonRetryBudget, nextNothing
	}
	return f
}

// contextFailure returns the failure of a request whose deadline has passed or whose caller has gone, or nil.
func contextFailure(rq *request) *failure {
	err := rq.ctx.Err()
	if err == nil {
		return nil
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &failure{status: http.StatusGatewayTimeout, reason: reply.ReasonDeadline, next: nextNothing}
	}
	return &failure{status: http.StatusServiceUnavailable, reason: reply.ReasonCallerGone, next: nextNothing}
}

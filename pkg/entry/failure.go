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

// retryScope says what may be tried after a failure.
type retryScope int

const (
	// retryTarget allows another target of the same place.
	retryTarget retryScope = iota
	retryPlace
	// retryOtherDomain allows another failure domain only: this one has no dispatcher.
	retryOtherDomain
	// retryLocal allows the own failure domain only.
	retryLocal
	retryNone
)

// failure is an attempt, or a wish for one, that gave no answer.
type failure struct {
	status     int
	reason     reply.Reason
	retryAfter time.Duration
	// mayHaveRun is set if the attempt may have been executed.
	mayHaveRun bool
	// notSent is set if nothing was sent: a report of an earlier attempt says more.
	notSent bool
	// outcomeStated is set if another host outcomeStated the outcome.
	outcomeStated bool
	retryScope    retryScope
	err           error
}

// recordFailure notes a failure and returns what may be tried next.
func (rq *request) recordFailure(f *failure) retryScope {
	rq.mayHaveRun = rq.mayHaveRun || f.mayHaveRun
	if rq.lastFailure == nil || rq.lastFailure.notSent || !f.notSent {
		rq.lastFailure = f
	}
	if f.mayHaveRun && rq.command {
		return retryNone
	}
	return f.retryScope
}

// refusal returns what to tell the caller when nothing else is tried.
func (rq *request) refusal() *reply.Refusal {
	f := rq.lastFailure
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

// acquireFailure translates an error of Acquire.
func acquireFailure(rq *request, err error) *failure {
	if f := contextFailure(rq); f != nil {
		f.notSent = true
		return f
	}
	var elsewhere *permit.RedirectError
	if errors.As(err, &elsewhere) {
		rq.redirectDomain = elsewhere.FailureDomain
		return &failure{
			status: http.StatusServiceUnavailable, reason: reply.ReasonNoCapacity, retryAfter: time.Second, notSent: true,
			retryScope: retryPlace,
		}
	}
	var refused *permit.RefusedError
	if !errors.As(err, &refused) {
		return &failure{
			status: http.StatusServiceUnavailable, reason: reply.ReasonNoCapacity, retryAfter: time.Second,
			notSent: true, retryScope: retryPlace, err: err,
		}
	}
	f := &failure{
		status: http.StatusServiceUnavailable, reason: reply.ReasonNoCapacity, retryAfter: refused.RetryAfter,
		notSent: true, retryScope: retryPlace,
	}
	switch refused.Reason {
	case peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER:
		f.retryScope = retryOtherDomain
	case peerv1.RefusalReason_REFUSAL_REASON_DEADLINE:
		f.status, f.reason = http.StatusGatewayTimeout, reply.ReasonDeadline
	case peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET, peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE:
		f.reason = reply.ReasonNoTarget
	case peerv1.RefusalReason_REFUSAL_REASON_POISON:
		// Another place must not get it either, and a later try cannot work.
		f.status, f.reason, f.retryScope = http.StatusUnprocessableEntity, reply.ReasonPoison, retryNone
		f.retryAfter, f.notSent = 0, false
	case peerv1.RefusalReason_REFUSAL_REASON_RETRY_BUDGET:
		f.reason, f.retryScope = reply.ReasonRetryBudget, retryNone
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
		return &failure{status: http.StatusGatewayTimeout, reason: reply.ReasonDeadline, retryScope: retryNone}
	}
	return &failure{status: http.StatusServiceUnavailable, reason: reply.ReasonCallerGone, retryScope: retryNone}
}

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

// retryScope is where the request may be tried after a failure.
type retryScope int

const (
	// retryTarget allows another target of the same place.
	retryTarget retryScope = iota
	// retryPlace allows the next place, but no other target of this one.
	retryPlace
	// retryOtherDomain allows only other failure domains, because this one has no dispatcher or this host reaches no target.
	retryOtherDomain
	// retryLocal allows only this failure domain.
	retryLocal
	// retryNone allows no further attempt.
	retryNone
)

// failure describes an attempt without a usable response, or why no attempt was made.
type failure struct {
	status     int
	reason     reply.Reason
	retryAfter time.Duration
	// mayHaveRun is set if a target may have executed the attempt.
	mayHaveRun bool
	// notSent is set if nothing was sent. The failure of an earlier attempt that was sent then takes precedence in the refusal.
	notSent bool
	// unreached is set if the target of the attempt received nothing, because no connection to it could be opened.
	unreached bool
	// targetEnded is set if the target ended while it ran the attempt.
	targetEnded bool
	// outcomeStated is set if another host's refusal stated the outcome.
	outcomeStated bool
	retryScope    retryScope
	err           error
}

// unreachableRetryAfter is the Retry-After of refusals because a host, or a path to the targets, cannot be used. Hosts notice within about that
// time that another one is gone, and choose others.
const unreachableRetryAfter = time.Second

// maxQuarantine is the longest time for which the refusal of a poison request counts as temporary.
const maxQuarantine = time.Minute

// recordFailure adds a failure to the request's state and returns where the request may be tried next. A command that may have
// run is not tried again.
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

// refusal returns the refusal for the caller, made from the last failure. Call it when no further attempt is made.
func (rq *request) refusal() *reply.Refusal {
	f := rq.lastFailure
	if f == nil {
		f = &failure{status: http.StatusServiceUnavailable, reason: reply.ReasonNoTarget, retryAfter: unreachableRetryAfter}
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

// acquireFailure converts an error of permit.Acquirer.Acquire to a failure. A redirect also sets rq.redirectDomain.
func acquireFailure(rq *request, err error) *failure {
	if f := contextFailure(rq); f != nil {
		f.notSent = true
		return f
	}
	var elsewhere *permit.RedirectError
	if errors.As(err, &elsewhere) {
		rq.redirectDomain = elsewhere.FailureDomain
		return &failure{
			status: http.StatusServiceUnavailable, reason: reply.ReasonNoCapacity, retryAfter: unreachableRetryAfter, notSent: true,
			retryScope: retryPlace,
		}
	}
	var refused *permit.RefusedError
	if !errors.As(err, &refused) {
		return &failure{
			status: http.StatusServiceUnavailable, reason: reply.ReasonNoCapacity, retryAfter: unreachableRetryAfter,
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
		// The request must not be sent to any other place either.
		f.reason, f.retryScope, f.notSent = reply.ReasonPoison, retryNone, false
		if refused.RetryAfter > maxQuarantine {
			f.status = http.StatusUnprocessableEntity
		}
	case peerv1.RefusalReason_REFUSAL_REASON_RETRY_BUDGET:
		f.reason, f.retryScope = reply.ReasonRetryBudget, retryNone
	}
	return f
}

// noPathFailure returns the failure of a request for which this host reaches no target. Other failure domains may.
func noPathFailure() *failure {
	return &failure{
		status: http.StatusServiceUnavailable, reason: reply.ReasonTargetUnreachable, retryAfter: unreachableRetryAfter,
		notSent: true, unreached: true, retryScope: retryOtherDomain,
	}
}

// contextFailure returns the failure of a request whose deadline has passed or whose caller has disconnected, or nil.
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

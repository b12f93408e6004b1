package entry

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/invariant"
	"github.com/rattanhitch/rattanhitch/internal/quota"
	"github.com/rattanhitch/rattanhitch/pkg/entry/dialect"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

var (
	errHedgeLost = errors.New("the other attempt of the hedged request answered first")
	errStalled   = errors.New("no progress within the stall timeout")
)

// attempt is one send of a request, either to a target under a permit or to a remote host without a permit.
type attempt struct {
	id string
	// targetRequestID is the request ID that the target receives and that its response may repeat: the caller's one, which other attempts may
	// have too, or id.
	targetRequestID string
	grant           *permit.Grant
	ctx             context.Context
	cancel          context.CancelCauseFunc
	cancelDeadline  context.CancelFunc
	sent            time.Time
	// connRequested is set when the transport starts to obtain a connection, and connected when it has obtained one. From then
	// on the request may have been sent.
	connRequested atomic.Bool
	connected     atomic.Bool
	finished      atomic.Bool
	firstByte     time.Duration
	bytes         uint64
	// info holds the metadata of the target's response header, and responded is set, once the response to this attempt has been read.
	info      dialect.ResponseInfo
	responded bool
	// record describes the send for the log. It is empty if the attempt failed before a connection was requested.
	record sendRecord
	// findLossCause finds out why the connection to the target was lost. silent is set if it was lost because nothing arrived on it.
	findLossCause func() lossCause
	silent        bool
	// targetEnded is set if the connection was lost because the target has ended.
	targetEnded bool
	// permitReleased is set once the permit is released, which may be before the attempt is finished.
	permitReleased bool
	// reserved is the memory for the part of the response body that has been read and not yet sent to the caller.
	reserved quota.Reservation
	// head is the memory for the head of the response.
	head quota.Reservation
}

// answer is an accepted response that has not been streamed yet. Its attempt is still open, and whoever holds the answer must
// finish it.
type answer struct {
	*attempt
	resp *http.Response
	// fullBody holds the whole body if prefetching reached its end.
	fullBody []byte
	// bodyPrefix holds the prefetched part of a longer body; the rest is read from resp.Body.
	bodyPrefix []byte
}

// initHeader builds the header that all attempts share. It must be called in the request's goroutine. It is called only when
// an attempt is about to be sent, so that refused requests do not pay for it.
func (rq *request) initHeader() {
	if rq.header == nil {
		rq.header = requestHeader(rq.in, !rq.forwarded)
	}
}

// newAttempt returns an attempt with a context of its own. grant is nil for a remote host, and for a hedge attempt that has no
// permit yet.
func (h *Handler) newAttempt(rq *request, id string, grant *permit.Grant) *attempt {
	a := &attempt{id: id, targetRequestID: id, sent: time.Now(), cancelDeadline: func() {}}
	if h.opts.Dialect.PreservesRequestID() {
		a.targetRequestID = rq.hints.ID
	}
	a.head.From = h.opts.Answers
	a.ctx, a.cancel = context.WithCancelCause(rq.ctx)
	a.findLossCause = func() lossCause { return h.findLossCause(rq, a) }
	if grant != nil {
		a.setGrant(rq, grant)
	}
	return a
}

// sharedID returns the request ID that the target receives, if other attempts may have the same one, else an empty text.
func (a *attempt) sharedID() string {
	if a.targetRequestID == a.id {
		return ""
	}
	return a.targetRequestID
}

// setGrant attaches a permit to the attempt and limits the attempt's context to the permit's deadline.
func (a *attempt) setGrant(rq *request, grant *permit.Grant) {
	a.grant, a.sent = grant, time.Now()
	if !grant.Deadline.IsZero() && grant.Deadline.Before(rq.deadline) {
		a.ctx, a.cancelDeadline = context.WithDeadline(a.ctx, grant.Deadline)
	}
}

// finish releases the permit and cancels the attempt's context. It must be called exactly once.
func (a *attempt) finish(outcome peerv1.ReleaseOutcome) {
	again := a.finished.Swap(true)
	if again {
		invariant.Check(false, "permit-released-once", "attempt %s was finished twice", a.id)
		return
	}
	a.releasePermit(outcome)
	a.reserved.Release()
	a.head.Release()
	a.cancel(nil)
	a.cancelDeadline()
}

// releasePermit releases the permit, if there is one that has not been released yet.
func (a *attempt) releasePermit(outcome peerv1.ReleaseOutcome) {
	if a.grant == nil || a.permitReleased {
		return
	}
	a.permitReleased = true
	total := time.Since(a.sent)
	cause := lossNone
	if outcome == peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST {
		cause = a.findLossCause()
	}
	a.targetEnded = cause == lossTargetEnded
	if cause == lossHostIsolated {
		outcome = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED
	}
	a.grant.Release(permit.Observation{
		Outcome: outcome, FirstByte: a.firstByte, Total: total, Bytes: a.bytes, SlowdownPercent: a.info.SlowdownPercent,
		TargetAlive: cause == lossConnectionOnly, Responded: a.responded && !a.info.InstanceGone, RateLimit: a.info.RateLimit,
		Leaving: a.processLeaves(), Abandoned: a.isAbandoned(outcome),
	})
}

// isAbandoned reports whether the request was sent and is given up with an outcome that does not show how it ends at the target. The loser
// of a hedged request does not count: the other attempt shows that the request is answered.
func (a *attempt) isAbandoned(outcome peerv1.ReleaseOutcome) bool {
	if !a.mayHaveBeenSent() || errors.Is(context.Cause(a.ctx), errHedgeLost) {
		return false
	}
	timedOut := outcome == peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR && !a.responded && a.ctx.Err() != nil
	return timedOut || outcome == peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED
}

// assertFinished checks the invariant that the attempt is finished, and hence that its permit is released.
func (a *attempt) assertFinished() {
	if !a.finished.Load() {
		invariant.Check(false, "permit-released", "attempt %s was not finished", a.id)
	}
}

// tracedContext returns the attempt's context with an httptrace that sets connRequested and connected.
func (a *attempt) tracedContext() context.Context {
	return httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{
		GetConn: func(string) { a.connRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) {
			a.connected.Store(true)
		},
	})
}

// mayHaveBeenSent reports whether the request may have been sent. It is true for a transport that does not support httptrace,
// because nothing is known then.
func (a *attempt) mayHaveBeenSent() bool { return a.connected.Load() || !a.connRequested.Load() }

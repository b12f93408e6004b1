package entry

import (
	"slices"
	"sync"
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// tryTarget sends the request to the permitted target, and to a second one if the first takes long and the request
// allows it.
func (h *Handler) tryTarget(rq *request, grant *permit.Grant) (*answer, *failure) {
	rq.initHeader()
	a := h.newAttempt(rq, rq.attemptID(), grant)
	rq.attempts++
	if rq.command || !rq.body.empty() || grant.HedgeAfter <= 0 {
		return h.send(rq, a)
	}
	r := &race{h: h, rq: rq, first: a, second: make(chan struct{})}
	r.request = r.hedgeRequest()
	timer := time.AfterFunc(grant.HedgeAfter, func() { h.losers.Go(r.runSecond) })
	ans, f := h.send(rq, a)
	if timer.Stop() {
		return ans, f
	}
	return r.settle(ans, f)
}

// race is the contest between the two attempts of a hedged request. The first one runs in the request's goroutine.
type race struct {
	h       *Handler
	rq      *request
	first   *attempt
	request permit.Request
	// second is closed when the second attempt has its result.
	second chan struct{}

	mu sync.Mutex
	// decided is set when one attempt has won.
	decided bool
	cancel  func()
	// target is the second attempt's.
	target  string
	ans     *answer
	failure *failure
}

// hedgeRequest is made before the race starts, because only the request's goroutine reads the request's state.
func (r *race) hedgeRequest() permit.Request {
	q := r.rq.permitRequest()
	q.Hedge = true
	q.ExcludeTargets = append(slices.Clone(q.ExcludeTargets), r.first.grant.Target)
	return q
}

// runSecond obtains a second permit and sends the request again.
func (r *race) runSecond() {
	defer close(r.second)
	a := r.h.newAttempt(r.rq, r.request.ID, nil)
	r.mu.Lock()
	if r.decided {
		r.mu.Unlock()
		a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_NOT_SENT)
		return
	}
	r.cancel = func() { a.cancel(errHedgeLost) }
	r.mu.Unlock()
	ans, f := r.sendSecond(a)
	r.mu.Lock()
	defer r.mu.Unlock()
	if ans == nil {
		r.failure = f
		return
	}
	if r.decided {
		ans.drop(peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED)
		return
	}
	r.decided, r.ans = true, ans
	r.first.cancel(errHedgeLost)
}

func (r *race) sendSecond(a *attempt) (*answer, *failure) {
	grant, err := r.h.opts.Permits.Acquire(a.ctx, r.request)
	if err != nil {
		a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_NOT_SENT)
		return nil, acquireFailure(r.rq, err)
	}
	a.setGrant(r.rq, grant)
	r.target = grant.Target
	r.h.metrics.hedges.Inc(1)
	return r.h.send(r.rq, a)
}

// settle is called with the result of the first attempt once the second one has been started.
func (r *race) settle(ans *answer, f *failure) (*answer, *failure) {
	r.mu.Lock()
	if ans != nil && !r.decided {
		r.decided = true
		if r.cancel != nil {
			r.cancel()
		}
		r.mu.Unlock()
		return ans, nil
	}
	r.mu.Unlock()
	if ans != nil {
		ans.drop(peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED)
	}
	<-r.second
	r.rq.attempts++
	if r.target != "" {
		r.rq.excluded = append(r.rq.excluded, r.target)
	}
	if r.ans != nil {
		return r.ans, nil
	}
	return nil, r.bothFailed(f)
}

// bothFailed joins the failures of both attempts.
func (r *race) bothFailed(first *failure) *failure {
	second := r.failure
	if second == nil || second.notSent {
		return first
	}
	joined := *first
	joined.mayHaveRun = first.mayHaveRun || second.mayHaveRun
	return &joined
}

// drop finishes an answer that is not passed on and closes its connection.
func (a *answer) drop(outcome peerv1.ReleaseOutcome) {
	a.cancel(errHedgeLost)
	a.resp.Body.Close()
	a.finish(outcome)
}

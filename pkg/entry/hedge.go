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
	r := &hedgeRace{h: h, rq: rq, first: a, secondDone: make(chan struct{})}
	r.permitRequest = r.hedgeRequest()
	timer := time.AfterFunc(grant.HedgeAfter, func() { h.hedgeAttempts.Go(r.runSecond) })
	ans, f := h.send(rq, a)
	if timer.Stop() {
		return ans, f
	}
	return r.pickWinner(ans, f)
}

// hedgeRace is the contest between the two attempts of a hedged request. The first one runs in the request's goroutine.
type hedgeRace struct {
	h             *Handler
	rq            *request
	first         *attempt
	permitRequest permit.Request
	// secondDone is closed when the secondDone attempt has its result.
	secondDone chan struct{}

	mu sync.Mutex
	// decided is set when one attempt has won.
	decided      bool
	cancelSecond func()
	// secondTarget is the second attempt's.
	secondTarget  string
	secondAnswer  *answer
	secondFailure *failure
}

// hedgeRequest is made before the race starts, because only the request's goroutine reads the request's state.
func (r *hedgeRace) hedgeRequest() permit.Request {
	q := r.rq.permitRequest()
	q.Hedge = true
	q.ExcludeTargets = append(slices.Clone(q.ExcludeTargets), r.first.grant.Target)
	return q
}

// runSecond obtains a second permit and sends the request again.
func (r *hedgeRace) runSecond() {
	defer close(r.secondDone)
	a := r.h.newAttempt(r.rq, r.permitRequest.ID, nil)
	r.mu.Lock()
	if r.decided {
		r.mu.Unlock()
		a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_NOT_SENT)
		return
	}
	r.cancelSecond = func() { a.cancel(errHedgeLost) }
	r.mu.Unlock()
	ans, f := r.sendSecond(a)
	r.mu.Lock()
	defer r.mu.Unlock()
	if ans == nil {
		r.secondFailure = f
		return
	}
	if r.decided {
		ans.abort(peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED)
		return
	}
	r.decided, r.secondAnswer = true, ans
	r.first.cancel(errHedgeLost)
}

func (r *hedgeRace) sendSecond(a *attempt) (*answer, *failure) {
	grant, err := r.h.opts.Permits.Acquire(a.ctx, r.permitRequest)
	if err != nil {
		a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_NOT_SENT)
		return nil, acquireFailure(r.rq, err)
	}
	a.setGrant(r.rq, grant)
	r.secondTarget = grant.Target
	r.h.metrics.hedges.Inc(1)
	return r.h.send(r.rq, a)
}

// pickWinner is called with the result of the first attempt once the second one has been started.
func (r *hedgeRace) pickWinner(ans *answer, f *failure) (*answer, *failure) {
	r.mu.Lock()
	if ans != nil && !r.decided {
		r.decided = true
		if r.cancelSecond != nil {
			r.cancelSecond()
		}
		r.mu.Unlock()
		return ans, nil
	}
	r.mu.Unlock()
	if ans != nil {
		ans.abort(peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED)
	}
	<-r.secondDone
	r.rq.attempts++
	if r.secondTarget != "" {
		r.rq.excludedTargets = append(r.rq.excludedTargets, r.secondTarget)
	}
	if r.secondAnswer != nil {
		return r.secondAnswer, nil
	}
	return nil, r.bothFailed(f)
}

// bothFailed joins the failures of both attempts.
func (r *hedgeRace) bothFailed(first *failure) *failure {
	second := r.secondFailure
	if second == nil || second.notSent {
		return first
	}
	joined := *first
	joined.mayHaveRun = first.mayHaveRun || second.mayHaveRun
	return &joined
}

// abort finishes an answer that is not passed on and closes its connection.
func (a *answer) abort(outcome peerv1.ReleaseOutcome) {
	a.cancel(errHedgeLost)
	a.resp.Body.Close()
	a.finish(outcome)
}

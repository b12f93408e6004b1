package entry

import (
	"slices"
	"sync"
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// tryTarget sends the request to the target of the permit. If there is no response after grant.HedgeAfter, it sends a hedged
// request to a second target; commands and requests with a body are not hedged.
func (h *Handler) tryTarget(rq *request, grant *permit.Grant) (*answer, *failure) {
	rq.initHeader()
	a := h.newAttempt(rq, rq.attemptID(), grant)
	rq.attempts++
	rq.targetAttempts++
	if rq.command || !rq.body.empty() || grant.HedgeAfter <= 0 {
		return h.sendFirst(rq, a)
	}
	r := &hedgeRace{h: h, rq: rq, first: a, secondDone: make(chan struct{})}
	r.permitRequest = r.hedgeRequest()
	timer := time.AfterFunc(grant.HedgeAfter, func() { h.hedgeAttempts.Go(r.runSecond) })
	ans, f := h.sendFirst(rq, a)
	if timer.Stop() {
		return ans, f
	}
	return r.pickWinner(ans, f)
}

// sendFirst sends an attempt from the request's goroutine and adds it to the routing history.
func (h *Handler) sendFirst(rq *request, a *attempt) (*answer, *failure) {
	ans, f := h.send(rq, a)
	rq.history.addSend(a.record)
	return ans, f
}

// hedgeRace holds the state that the two attempts of a hedged request share. The first attempt runs in the request's goroutine,
// the second one in a goroutine of its own.
type hedgeRace struct {
	h             *Handler
	rq            *request
	first         *attempt
	permitRequest permit.Request
	// secondDone is closed when the result of the second attempt is known.
	secondDone chan struct{}

	mu sync.Mutex
	// decided is set when one of the attempts has won.
	decided      bool
	cancelSecond func()
	// second is the second attempt, nil if it got no permit.
	second        *attempt
	secondAnswer  *answer
	secondFailure *failure
}

// hedgeRequest returns the permit request of the second attempt. It must be called before the timer starts, so that the goroutine
// of the second attempt does not read state that belongs to the request's goroutine.
func (r *hedgeRace) hedgeRequest() permit.Request {
	q := r.h.permitRequest(r.rq)
	q.Hedge = true
	q.ExcludeTargets = append(slices.Clone(q.ExcludeTargets), r.first.grant.Target)
	return q
}

// runSecond runs the second attempt unless the first one has already won. If the second attempt gets a response first, it
// cancels the first one.
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

// sendSecond acquires a permit for the second attempt and sends the request. On failure the attempt is finished.
func (r *hedgeRace) sendSecond(a *attempt) (*answer, *failure) {
	grant, err := r.h.opts.Permits.Acquire(a.ctx, r.permitRequest)
	if err != nil {
		a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_NOT_SENT)
		return nil, acquireFailure(r.rq, err)
	}
	a.setGrant(r.rq, grant)
	r.second = a
	r.h.metrics.hedges.Inc(1)
	return r.h.send(r.rq, a)
}

// pickWinner returns the result of the hedged request. It takes the result of the first attempt and is called only if the second
// one has been started. If the first attempt has lost or failed, it waits for the second one.
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
	r.rq.targetAttempts++
	if a := r.second; a != nil {
		r.rq.excludedTargets = append(r.rq.excludedTargets, a.grant.Target)
		r.rq.history.addSend(a.record)
	}
	if r.secondAnswer != nil {
		return r.secondAnswer, nil
	}
	return nil, r.bothFailed(f)
}

// bothFailed returns the first attempt's failure, which states that the request may have run if that holds for either attempt.
func (r *hedgeRace) bothFailed(first *failure) *failure {
	second := r.secondFailure
	if second == nil || second.notSent {
		return first
	}
	joined := *first
	joined.mayHaveRun = first.mayHaveRun || second.mayHaveRun
	return &joined
}

// abort discards an answer that does not reach the caller: it closes the connection and finishes the attempt.
func (a *answer) abort(outcome peerv1.ReleaseOutcome) {
	a.cancel(errHedgeLost)
	a.resp.Body.Close()
	a.finish(outcome)
}

package entry

import (
	"cmp"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/sleep"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// crashRetryDelay is how long a request whose target ended waits before it is sent to another one. If copies of it make targets end in
// other failure domains too, that is known here by then: records spread within a round trip between regions, up to 70 ms.
const crashRetryDelay = 80 * time.Millisecond

// maxAttempts limits the attempts of one request at one host. The dispatcher's retry budget is usually the lower limit.
const maxAttempts = 4

// obtainResponse tries the places in order until one of them returns a response. The caller of this method must stream or
// finish the answer.
func (h *Handler) obtainResponse(rq *request) (*answer, *reply.Refusal) {
	if f := h.checkEnd(rq, 0); f != nil && rq.command {
		rq.recordFailure(f)
		return nil, rq.refusal()
	}
	if rq.rule != nil && !rq.forwarded {
		return h.obtainByDispatcher(rq)
	}
	for _, place := range h.places(rq) {
		var (
			ans   *answer
			scope retryScope
		)
		if place.Local() {
			ans, scope = h.tryLocal(rq)
		} else {
			ans, scope = h.tryRemote(rq, place)
		}
		if ans != nil {
			return ans, nil
		}
		if scope == retryNone || rq.attempts >= rq.maxAttempts() || !rq.body.replayable() {
			break
		}
	}
	return nil, rq.refusal()
}

// places returns the places of the request in order of preference. A forwarded request stays in this failure domain.
func (h *Handler) places(rq *request) []Place {
	if rq.forwarded {
		return localPlaces
	}
	return h.opts.Steerer.Places(SteerRequest{Service: rq.name, Class: rq.class(), Command: rq.command})
}

// tryLocal tries targets of this failure domain one after another, with a new permit for each attempt.
func (h *Handler) tryLocal(rq *request) (*answer, retryScope) {
	if !h.opts.Paths.ReachesTargets() {
		return nil, rq.recordFailure(noPathFailure())
	}
	for {
		grant, f := h.acquirePermit(rq)
		if f != nil {
			return nil, rq.recordFailure(f)
		}
		if f := h.checkEnd(rq, grant.Decision.ExpectedDuration); f != nil {
			grant.Release(permit.Observation{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_NOT_SENT})
			return nil, rq.recordFailure(f)
		}
		ans, f := h.tryTarget(rq, grant)
		if ans != nil {
			return ans, retryNone
		}
		rq.excludedTargets = append(rq.excludedTargets, grant.Target)
		if f.unreached {
			rq.targetAttempts--
			rq.unreached++
		}
		scope := rq.recordFailure(f)
		if scope != retryTarget || rq.attempts >= rq.maxAttempts() || !rq.body.replayable() {
			return nil, scope
		}
		if f.targetEnded && !sleep.For(rq.ctx, crashRetryDelay) {
			return nil, scope
		}
	}
}

// acquirePermit asks the dispatcher for a permit and adds its decision to the routing history of the request.
func (h *Handler) acquirePermit(rq *request) (*permit.Grant, *failure) {
	if rq.attempts > 0 {
		h.metrics.retries.Inc(1)
	}
	q := h.permitRequest(rq)
	ctx, cancel := h.acquireContext(rq, q.QueueTimeout)
	defer cancel()
	start := time.Now()
	grant, err := h.opts.Permits.Acquire(ctx, q)
	rq.history.permitWait += time.Since(start)
	if err != nil {
		var refused *permit.RefusedError
		if errors.As(err, &refused) {
			rq.history.decision = refused.Decision
		}
		return nil, acquireFailure(rq, err)
	}
	h.work.record(rq, grant.Decision.ExpectedDuration)
	rq.history.decision = grant.Decision
	rq.history.targets = append(rq.history.targets, grant.Target)
	return grant, nil
}

func (h *Handler) permitRequest(rq *request) permit.Request {
	return permit.Request{
		ID: rq.attemptID(), Service: rq.name, Route: rq.statisticsRoute(), Class: rq.class(), Deadline: rq.deadline,
		Fingerprint: rq.fingerprint, Command: rq.command, Forwarded: rq.forwarded, Shifted: rq.shifted,
		Attempt: rq.attempts, Unreached: rq.unreached, ExcludeTargets: rq.excludedTargets,
		ObjectHash: rq.ruleAffinity(), Priority: rq.rule.GetPriority(),
		QueueTimeout: h.queueTimeout(rq), HomeRegions: rq.rule.GetHomeRegions(),
		FollowsRedirects: rq.followsRedirects,
	}
}

// statisticsRoute names the requests that take about as long as this one: those of its rule or, without a rule, of its route. Rules of one
// service differ: answers to the operators' tests of the configuration take a hundredth of the time of the others.
func (rq *request) statisticsRoute() string {
	return cmp.Or(rq.rule.GetName(), rq.route.GetPathPrefix())
}

// ruleAffinity returns the hash of the request's affinity key, or 0 if the rule does not use target affinity.
func (rq *request) ruleAffinity() uint64 {
	if !rq.rule.GetAffinity() {
		return 0
	}
	return rq.affinityHash
}

// maxAttempts returns the maximum number of attempts of this request: the limit of its rule, up to the constant maxAttempts.
func (rq *request) maxAttempts() int {
	if n := int(rq.rule.GetAttempts()); n > 0 {
		return min(n, maxAttempts)
	}
	return maxAttempts
}

func (rq *request) class() configv1.RequestClass { return rq.route.GetClass() }

// attemptID returns the ID of the next attempt: the request's ID followed by the number of earlier attempts.
func (rq *request) attemptID() string { return rq.id + "." + strconv.Itoa(rq.attempts) }

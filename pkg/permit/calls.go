package permit

import (
	"context"
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

// RPC method names.
const (
	methodAcquire = "permit.acquire"
	methodRelease = "permit.release"
	methodRecover = "permit.recover"
)

const (
	// releaseTimeout limits one attempt to release a permit.
	releaseTimeout = time.Second
	// releaseRetryInterval is the pause after a failed attempt to release a permit.
	releaseRetryInterval = 100 * time.Millisecond
)

// acquireLocal requests a permit from the dispatcher in this process.
func (m *Manager) acquireLocal(ctx context.Context, state *clientState, req Request) acquireResult {
	d := m.dispatcher(req.Service)
	if d == nil {
		return acquireResult{}
	}
	w := newWaiter(req, holder{m.self.Host, m.self.Incarnation}, req.Deadline, state.followed())
	a, ok := d.acquire(ctx, w)
	if !ok {
		return acquireResult{}
	}
	return resultOf(a)
}

func resultOf(a answer) acquireResult {
	if a.refusal != nil {
		return acquireResult{refusal: a.refusal}
	}
	if a.redirectTo != "" {
		return acquireResult{redirectTo: a.redirectTo}
	}
	return acquireResult{key: a.permit.key, grant: &Grant{
		Target: a.permit.target.name, Address: a.address, Instance: a.instance, HedgeAfter: a.hedgeAfter, Class: a.permit.class,
		Decision: a.decision,
	}}
}

func newWaiter(req Request, from holder, deadline time.Time, newest dispatcherID) *waiter {
	return &waiter{
		req: req, from: from, deadline: deadline, arrivedAt: time.Now(), class: req.Class, newest: newest,
		result: make(chan answer, 1),
	}
}

// acquire waits for the dispatcher's answer. It returns false if ctx or the dispatcher ended first; no slot is occupied then.
func (d *dispatcher) acquire(ctx context.Context, w *waiter) (answer, bool) {
	if !d.send(w) {
		return answer{}, false
	}
	select {
	case a := <-w.result:
		return a, true
	case <-ctx.Done():
		d.send(cancelWaiter{w})
	case <-d.done:
		select {
		case a := <-w.result:
			return a, true
		default:
		}
	}
	return answer{}, false
}

// acquireRemote requests a permit from a dispatcher on another host. The call continues after the end of ctx, so that a permit
// that arrives after the caller has gone is returned at once instead of staying occupied until its deadline.
func (m *Manager) acquireRemote(ctx context.Context, state *clientState, req Request, host membership.Member) acquireResult {
	results := make(chan acquireResult, 1)
	callCtx, cancelCall := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	// A call to an unresponsive host must not delay the shutdown of this manager.
	stopWatching := context.AfterFunc(m.ctx, cancelCall)
	spawned := m.spawn(func() {
		defer cancelCall()
		defer stopWatching()
		results <- m.callAcquire(callCtx, state, req, host)
	})
	if !spawned {
		stopWatching()
		cancelCall()
		return acquireResult{}
	}
	for {
		changed := m.opts.View.Changed()
		if membership.IsGone(m.opts.View, host) {
			break
		}
		select {
		case result := <-results:
			return result
		case <-changed:
			continue
		case <-ctx.Done():
		}
		break
	}
	m.spawn(func() {
		m.cancelAcquire(req, host)
		if result := <-results; result.grant != nil {
			m.returnUnused(req, result)
		}
	})
	return acquireResult{}
}

// callAcquire sends the acquire call. A call that fails here may have been granted, so it is cancelled at the dispatcher.
func (m *Manager) callAcquire(ctx context.Context, state *clientState, req Request, host membership.Member) acquireResult {
	resp := &peerv1.AcquireResponse{}
	if err := m.opts.Caller.Call(ctx, host.Address(), methodAcquire, acquireRequest(req, state.followed()), resp); err != nil {
		m.cancelAcquire(req, host)
		return acquireResult{}
	}
	if r := resp.GetRefusal(); r != nil {
		return acquireResult{refusal: &RefusedError{
			Reason: r.GetReason(), RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
			Decision: decisionOf(r.GetDecision(), host.Host),
		}}
	}
	if domain := resp.GetRedirectTo(); domain != "" {
		return acquireResult{redirectTo: domain}
	}
	p := resp.GetPermit()
	if p == nil || p.GetDispatcher().GetHost() != host.Host {
		return acquireResult{}
	}
	return acquireResult{key: permitKey{dispatcherIDOf(p.GetDispatcher()), p.GetId()}, grant: &Grant{
		Target: p.GetTarget(), Address: p.GetAddress(), Instance: p.GetInstance(), Class: p.GetClass(),
		HedgeAfter: time.Duration(p.GetHedgeAfterMs()) * time.Millisecond, Decision: decisionOf(p.GetDecision(), host.Host),
	}}
}

func acquireRequest(req Request, newest dispatcherID) *peerv1.AcquireRequest {
	return &peerv1.AcquireRequest{
		RequestId: req.ID, Service: req.Service, Route: req.Route, Class: req.Class,
		TimeoutMs: ceilMilliseconds(time.Until(req.Deadline)), Fingerprint: req.Fingerprint, Command: req.Command,
		Forwarded: req.Forwarded, Shifted: req.Shifted, Hedge: req.Hedge, Attempt: uint32(req.Attempt), Unreached: uint32(req.Unreached),
		ExcludeTargets: req.ExcludeTargets, Newest: newest.proto(), ObjectHash: req.ObjectHash, Priority: req.Priority,
		ObjectiveMs: noObjective, HomeRegions: req.HomeRegions, FollowsRedirects: req.FollowsRedirects,
		QueueTimeoutMs: ceilMilliseconds(req.QueueTimeout),
	}
}

// noObjective tells dispatchers of earlier versions, which refused requests by a latency objective, that the request has none.
const noObjective = -1

// cancelAcquire cancels an acquire call at its dispatcher, because no caller waits for it any more.
func (m *Manager) cancelAcquire(req Request, host membership.Member) {
	ctx, cancelCall := context.WithTimeout(m.ctx, releaseTimeout)
	defer cancelCall()
	msg := &peerv1.ReleaseRequest{
		Service: req.Service, RequestId: req.ID, Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_NOT_SENT,
	}
	// If the message is lost, the slot is reclaimed only after the request's deadline, which is an accepted limit.
	_ = m.opts.Caller.Call(ctx, host.Address(), methodRelease, msg, &peerv1.ReleaseResponse{})
}

// returnUnused releases a permit that was never used.
func (m *Manager) returnUnused(req Request, result acquireResult) {
	h := &heldPermit{key: result.key, target: result.grant.Target, class: result.grant.Class, deadline: req.Deadline}
	m.sendRelease(req, h, result.key.dispatcher, Observation{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_NOT_SENT})
}

// release ends this host's use of a permit and returns it to the dispatcher.
func (m *Manager) release(state *clientState, req Request, h *heldPermit, obs Observation) {
	state.recordRateLimit(h.target, obs)
	m.sendRelease(req, h, state.removeHeld(h), obs)
}

// sendRelease releases a permit at the dispatcher that accounts for it, without an RPC if that dispatcher is in this process.
func (m *Manager) sendRelease(req Request, h *heldPermit, to dispatcherID, obs Observation) {
	r := &release{key: h.key, target: h.target, class: h.class, route: req.Route, fingerprint: req.Fingerprint, observation: obs}
	if m.releaseLocal(req.Service, to, r) {
		return
	}
	m.spawn(func() { m.releaseWithRetry(req.Service, h, to, r) })
}

// releaseLocal reports whether a dispatcher in this process accepted the release.
func (m *Manager) releaseLocal(service string, to dispatcherID, r *release) bool {
	if to.host != m.self.Host {
		return false
	}
	d := m.dispatcher(service)
	return d != nil && d.send(r)
}

func releaseRequest(service string, r *release) *peerv1.ReleaseRequest {
	msg := &peerv1.ReleaseRequest{
		PermitId: r.key.id, Dispatcher: r.key.dispatcher.proto(), Service: service, Target: r.target, Class: r.class,
		Outcome: r.observation.Outcome, FirstByteUs: uint64(r.observation.FirstByte.Microseconds()),
		TotalUs: uint64(r.observation.Total.Microseconds()), AnswerBytes: r.observation.Bytes,
		Fingerprint: r.fingerprint, Route: r.route, SlowdownPercent: uint32(max(0, r.observation.SlowdownPercent)),
		TargetAlive: r.observation.TargetAlive, TargetLeaving: r.observation.Leaving,
		Abandoned: r.observation.Abandoned,
	}
	if r.observation.Responded {
		msg.RateLimit = &r.observation.RateLimit
	}
	return msg
}

// releaseWithRetry sends a release until a dispatcher accepts it or the permit expires, and at least once. If the dispatcher is
// superseded meanwhile, the release goes to its successor.
func (m *Manager) releaseWithRetry(service string, h *heldPermit, to dispatcherID, r *release) {
	state := m.state(service)
	msg := releaseRequest(service, r)
	for m.ctx.Err() == nil {
		if m.releaseLocal(service, to, r) || m.releaseRemote(to, msg) || !time.Now().Before(h.deadline) {
			return
		}
		if newest := state.followed(); to.olderThan(newest) {
			to = newest
			continue
		}
		select {
		case <-time.After(releaseRetryInterval):
		case <-m.ctx.Done():
		}
	}
}

// releaseRemote reports whether the dispatcher on another host accepted the release.
func (m *Manager) releaseRemote(to dispatcherID, msg *peerv1.ReleaseRequest) bool {
	host, ok := m.opts.View.Lookup(to.host)
	if !ok || to.host == m.self.Host {
		return false
	}
	ctx, cancelCall := context.WithTimeout(m.ctx, releaseTimeout)
	defer cancelCall()
	return m.opts.Caller.Call(ctx, host.Address(), methodRelease, msg, &peerv1.ReleaseResponse{}) == nil
}

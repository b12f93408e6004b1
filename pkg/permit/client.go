package permit

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

const (
	// acquireRetryInterval is the pause after all candidates declined, for example while the view still lists a dead dispatcher.
	acquireRetryInterval = 20 * time.Millisecond
	// notDispatcherRetryAfter is the retry hint if no dispatcher answered in time: a successor takes over within seconds.
	notDispatcherRetryAfter = time.Second
)

// clientState is the state of one service on this host as a holder of permits.
type clientState struct {
	mu sync.Mutex
	// fence is the newest dispatcher whose recover call this host has answered. It acts as a fencing token: permits that other
	// dispatchers grant are not used.
	fence dispatcherID
	// newestSeen is the newest dispatcher known to this host.
	newestSeen dispatcherID
	held       map[permitKey]*heldPermit
	// rateLimits holds the rate limits that targets stated to this host, by target.
	rateLimits map[string]rateReport
}

// heldPermit is a permit that this host holds.
type heldPermit struct {
	key      permitKey
	target   string
	class    configv1.RequestClass
	deadline time.Time
	// fingerprint is that of the request that uses the permit.
	fingerprint uint64
}

// state returns the state of a service and creates it on first use.
func (m *Manager) state(service string) *clientState {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.clientStates[service]
	if s == nil {
		s = &clientState{held: map[permitKey]*heldPermit{}, rateLimits: map[string]rateReport{}}
		m.clientStates[service] = s
	}
	return s
}

// Acquire requests a slot from the service's dispatcher, or from its successor if the dispatcher does not answer. It returns a
// *RefusedError, a *RedirectError, or the cancellation of ctx.
func (m *Manager) Acquire(ctx context.Context, req Request) (*Grant, error) {
	began := time.Now()
	grant, err := m.acquire(ctx, req, began)
	m.acquired.count(err, time.Since(began))
	return grant, err
}

func (m *Manager) acquire(ctx context.Context, req Request, began time.Time) (*Grant, error) {
	snap := m.opts.Store.Current()
	if snap.Service(req.Service) == nil {
		return nil, newRefusal(peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE, noTargetRetryAfter)
	}
	req.Service = shardKeyFor(snap, m.opts.FailureDomain, req)
	ctx, cancelWait := context.WithDeadline(ctx, req.Deadline)
	defer cancelWait()
	state := m.state(req.Service)
	if left := m.poison.RefusedFor(req.Fingerprint, began); left > 0 {
		return nil, newRefusal(peerv1.RefusalReason_REFUSAL_REASON_POISON, left)
	}
	excluded := req.ExcludeTargets
	for attempt := 0; ; {
		req.ExcludeTargets = slices.Concat(excluded, m.notices.excluded(time.Now()))
		if attempt > 0 {
			req.ExcludeTargets = append(req.ExcludeTargets, m.leavingTargets(req.Service)...)
		}
		for _, host := range m.candidates(req.Service, state) {
			grant, err, answered := m.acquireFrom(ctx, state, req, host, attempt)
			if answered {
				return grant, err
			}
			attempt++
		}
		if !m.waitBeforeRetry(ctx) {
			return nil, unansweredError(ctx, peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER)
		}
	}
}

// waitBeforeRetry waits for acquireRetryInterval or until the view changes. It returns false if ctx or the manager has ended.
func (m *Manager) waitBeforeRetry(ctx context.Context) bool {
	timer := time.NewTimer(acquireRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.opts.View.Changed():
	case <-ctx.Done():
	case <-m.ctx.Done():
	}
	return ctx.Err() == nil && m.ctx.Err() == nil
}

// unansweredError returns the error of an Acquire that no dispatcher answered: the cancellation of ctx, or else a refusal.
func unansweredError(ctx context.Context, reason peerv1.RefusalReason) error {
	if ctx.Err() == context.Canceled {
		return steperr.Wrap(ctx.Err(), "acquire permit", "")
	}
	return newRefusal(reason, notDispatcherRetryAfter)
}

// candidates lists the hosts to which an acquire call is sent, in order: the host of the dispatcher that this host follows, then
// the two that rank highest for the service in this host's view. The dispatcher comes first because the views of hosts can differ
// for a while.
func (m *Manager) candidates(service string, state *clientState) []membership.Member {
	owners := rankHosts(service, membership.Owners(m.opts.View, m.opts.FailureDomain))
	fence := state.followed()
	list := make([]membership.Member, 0, 3)
	// A leaving dispatcher is not among the members of the domain but serves until it is superseded.
	if f, ok := m.opts.View.Lookup(fence.host); ok && f.Incarnation == fence.incarnation && f.State != membership.StateDead {
		list = append(list, f)
	}
	for _, owner := range owners[:min(2, len(owners))] {
		if len(list) == 0 || list[0].Host != owner.Host {
			list = append(list, owner)
		}
	}
	return list
}

// headroom returns the dispatcher's headroom, or nil if the dispatcher has ended.
func (d *dispatcher) headroom() *peerv1.ServiceHeadroom {
	reply := make(chan *peerv1.ServiceHeadroom, 1)
	if !d.send(headroomQuery{reply}) {
		return nil
	}
	select {
	case h := <-reply:
		return h
	case <-d.done:
		return nil
	}
}

// addHeld records a permit. It returns false if this host follows another dispatcher than the one that granted the permit.
func (s *clientState) addHeld(h *heldPermit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.key.dispatcher != s.fence {
		return false
	}
	s.held[h.key] = h
	return true
}

// removeHeld removes a permit and returns the dispatcher to which the permit is released.
func (s *clientState) removeHeld(h *heldPermit) dispatcherID {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, h.key)
	return s.fence
}

// inUse returns the permits whose deadline has not passed and removes the others. The caller holds s.mu.
func (s *clientState) inUse(now time.Time) []*heldPermit {
	list := make([]*heldPermit, 0, len(s.held))
	for key, h := range s.held {
		if !now.Before(h.deadline) {
			delete(s.held, key)
			continue
		}
		list = append(list, h)
	}
	return list
}

// followed returns the dispatcher that this host follows.
func (s *clientState) followed() dispatcherID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence
}

// recordSeen updates newestSeen.
func (s *clientState) recordSeen(d dispatcherID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newestSeen.olderThan(d) {
		s.newestSeen = d
	}
}

// nextTerm returns a term that is higher than the terms of all dispatchers known to this host.
func (s *clientState) nextTerm() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.newestSeen.term, s.fence.term, firstTerm-1) + 1
}

// acquireFrom sends the acquire call to one host. answered is false if the next candidate must be tried.
func (m *Manager) acquireFrom(ctx context.Context, state *clientState, req Request, host membership.Member, attempt int) (grant *Grant, err error, answered bool) {
	wire := req
	if attempt > 0 {
		// The ID differs, so that a late answer to an earlier attempt is not taken for the answer to this one.
		wire.ID = req.ID + "/" + strconv.Itoa(attempt)
	}
	var result acquireResult
	if host.Host == m.self.Host {
		result = m.acquireLocal(ctx, state, wire)
	} else {
		result = m.acquireRemote(ctx, state, wire, host)
	}
	if ctx.Err() != nil && result.grant == nil {
		reason := peerv1.RefusalReason_REFUSAL_REASON_DEADLINE
		if time.Now().Before(req.Deadline) {
			reason = peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER // the caller's context ended before the request's deadline
		}
		return nil, unansweredError(ctx, reason), true
	}
	if result.refusal != nil && result.refusal.Reason != peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER {
		return nil, result.refusal, true
	}
	if result.redirectTo != "" {
		return nil, &RedirectError{FailureDomain: result.redirectTo}, true
	}
	if result.grant == nil {
		return nil, nil, false
	}
	return m.accept(ctx, state, req, host, result)
}

// acquireResult is the outcome of one acquire call; all fields are empty if the dispatcher did not answer.
type acquireResult struct {
	grant   *Grant
	key     permitKey
	refusal *RefusedError
	// redirectTo is the failure domain that serves the request instead.
	redirectTo string
}

// accept starts the use of a granted permit, or returns it unused if it is late, its dispatcher has been replaced, or its target must get no request
// from this host.
func (m *Manager) accept(ctx context.Context, state *clientState, req Request, host membership.Member, result acquireResult) (*Grant, error, bool) {
	if ctx.Err() != nil || !time.Now().Before(req.Deadline) {
		m.returnUnused(req, result)
		return nil, unansweredError(ctx, peerv1.RefusalReason_REFUSAL_REASON_DEADLINE), true
	}
	known, ok := m.opts.View.Lookup(host.Host)
	replaced := ok && known.Incarnation > result.key.dispatcher.incarnation
	held := &heldPermit{
		key: result.key, target: result.grant.Target, class: result.grant.Class, deadline: req.Deadline, fingerprint: req.Fingerprint,
	}
	if replaced || m.notices.forbids(held.target, time.Now()) || m.isLeaving(held.target) || !state.addHeld(held) {
		m.returnUnused(req, result)
		return nil, nil, false
	}
	result.grant.Deadline = req.Deadline
	asked := m.notices.process(held.target)
	result.grant.Note = func(n Notice) { m.notices.record(asked, n) }
	var once sync.Once
	result.grant.Release = func(obs Observation) {
		once.Do(func() { m.release(state, req, held, obs) })
	}
	return result.grant, nil, true
}

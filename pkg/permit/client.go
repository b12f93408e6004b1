package permit

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

const (
	// acquireRetryInterval is the pause after every candidate declined, for example while the view still names a dead dispatcher.
	acquireRetryInterval = 20 * time.Millisecond
	// notDispatcherRetryAfter is the hint when no dispatcher was found in time: a successor takes over within seconds.
	notDispatcherRetryAfter = time.Second
)

// clientState is what this host holds of one service.
type clientState struct {
	mu sync.Mutex
	// fence is the dispatcher that this host follows: the newest one that it answered a recover call of. Grants of others
	// are not used.
	fence dispatcherID
	// newestSeen is the newest dispatcher known.
	newestSeen dispatcherID
	// poison holds the fingerprints that this host knows to be poison.
	poison refusalExpiries
	held   map[permitKey]*heldPermit
}

// heldPermit is a permit that this host uses.
type heldPermit struct {
	key      permitKey
	target   string
	class    configv1.RequestClass
	deadline time.Time
}

// state returns the state of a service, creating it at first use.
func (m *Manager) state(service string) *clientState {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.clientStates[service]
	if s == nil {
		s = &clientState{held: map[permitKey]*heldPermit{}, poison: refusalExpiries{}}
		m.clientStates[service] = s
	}
	return s
}

// Acquire asks the service's dispatcher for a slot, and its successor if the dispatcher does not answer.
func (m *Manager) Acquire(ctx context.Context, req Request) (*Grant, error) {
	began := time.Now()
	grant, err := m.acquire(ctx, req)
	m.acquired.count(err, time.Since(began))
	return grant, err
}

func (m *Manager) acquire(ctx context.Context, req Request) (*Grant, error) {
	snap := m.opts.Store.Current()
	if snap.Service(req.Service) == nil {
		return nil, newRefusal(peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE, noTargetRetryAfter)
	}
	req.Service = shardKeyFor(snap, m.opts.FailureDomain, req)
	ctx, cancelWait := context.WithDeadline(ctx, req.Deadline)
	defer cancelWait()
	state := m.state(req.Service)
	if left := state.poisonRemaining(req.Fingerprint); left > 0 {
		return nil, newRefusal(peerv1.RefusalReason_REFUSAL_REASON_POISON, left)
	}
	for attempt := 0; ; {
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

// waitBeforeRetry waits before the candidates are asked again, or until the view changes. It returns false at the end of ctx or of the
// manager.
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

// unansweredError returns the error of an Acquire that no dispatcher answered: the cancellation if there was one, else a refusal.
func unansweredError(ctx context.Context, reason peerv1.RefusalReason) error {
	if ctx.Err() == context.Canceled {
		return steperr.Wrap(ctx.Err(), "acquire permit", "")
	}
	return newRefusal(reason, notDispatcherRetryAfter)
}

// candidates lists the hosts to ask: the dispatcher that fenced this host last, then the owners by the own view. The former
// comes first because views may disagree for a while.
func (m *Manager) candidates(service string, state *clientState) []membership.Member {
	owners := rankHosts(service, m.opts.View.Domain(m.opts.FailureDomain))
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

// headroom asks the dispatcher's goroutine. It returns nil if the dispatcher has ended.
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

// addHeld records a permit unless this host follows another dispatcher than the one that granted it.
func (s *clientState) addHeld(h *heldPermit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.key.dispatcher != s.fence {
		return false
	}
	s.held[h.key] = h
	return true
}

// removeHeld ends the use of a permit and returns the dispatcher that accounts for it now.
func (s *clientState) removeHeld(h *heldPermit) dispatcherID {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, h.key)
	return s.fence
}

// inUse returns the permits whose deadline has not passed and forgets the others.
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

// recordSeen records that a dispatcher exists.
func (s *clientState) recordSeen(d dispatcherID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newestSeen.olderThan(d) {
		s.newestSeen = d
	}
}

// nextTerm returns a term that is newer than all dispatchers known.
func (s *clientState) nextTerm() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.newestSeen.term, s.fence.term, firstTerm-1) + 1
}

// acquireFrom asks one host. answered is false if another host must be asked.
func (m *Manager) acquireFrom(ctx context.Context, state *clientState, req Request, host membership.Member, attempt int) (grant *Grant, err error, answered bool) {
	wire := req
	if attempt > 0 {
		// A late answer to an earlier ask must not be taken for the answer to this one.
		wire.ID = req.ID + "/" + strconv.Itoa(attempt)
	}
	var o acquireResult
	if host.Host == m.self.Host {
		o = m.acquireLocal(ctx, state, wire)
	} else {
		o = m.acquireRemote(ctx, state, wire, host)
	}
	if ctx.Err() != nil && o.grant == nil {
		reason := peerv1.RefusalReason_REFUSAL_REASON_DEADLINE
		if time.Now().Before(req.Deadline) {
			reason = peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER // the caller waits for less than the request
		}
		return nil, unansweredError(ctx, reason), true
	}
	if o.refusal != nil && o.refusal.Reason == peerv1.RefusalReason_REFUSAL_REASON_POISON {
		state.addPoison(req.Fingerprint, o.refusal.RetryAfter)
	}
	if o.refusal != nil && o.refusal.Reason != peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER {
		return nil, o.refusal, true
	}
	if o.redirectTo != "" {
		return nil, &RedirectError{FailureDomain: o.redirectTo}, true
	}
	if o.grant == nil {
		return nil, nil, false
	}
	return m.accept(ctx, state, req, host, o)
}

// acquireResult is a dispatcher's answer as the client sees it; all fields are empty if there was none.
type acquireResult struct {
	grant   *Grant
	key     permitKey
	refusal *RefusedError
	// redirectTo is the failure domain that serves the request instead.
	redirectTo string
}

// accept takes an offered permit into use unless it is late or comes from a dispatcher that has been replaced.
func (m *Manager) accept(ctx context.Context, state *clientState, req Request, host membership.Member, o acquireResult) (*Grant, error, bool) {
	if ctx.Err() != nil || !time.Now().Before(req.Deadline) {
		m.returnUnused(req, o)
		return nil, unansweredError(ctx, peerv1.RefusalReason_REFUSAL_REASON_DEADLINE), true
	}
	known, ok := m.opts.View.Lookup(host.Host)
	replaced := ok && known.Incarnation > o.key.dispatcher.incarnation
	held := &heldPermit{key: o.key, target: o.grant.Target, class: o.grant.Class, deadline: req.Deadline}
	if replaced || !state.addHeld(held) {
		m.returnUnused(req, o)
		return nil, nil, false
	}
	o.grant.Deadline = req.Deadline
	var once sync.Once
	o.grant.Release = func(obs Observation) {
		once.Do(func() { m.release(state, req, held, obs) })
	}
	return o.grant, nil, true
}

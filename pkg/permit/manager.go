package permit

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// Options are what a Manager depends on.
type Options struct {
	Store     *config.Store
	View      membership.View
	Caller    peer.Caller
	Registrar peer.Registrar
	// FailureDomain is the host's own.
	FailureDomain string
	// LastReportedPermits returns the permits that a host reported in its last heartbeat, for use if the host does not answer. The
	// deadlines are taken as relative to the time of the call; ones relative to the heartbeat only reserve for longer.
	LastReportedPermits func(host string) []*peerv1.HeldPermits
	// DomainLoads returns what is known of a service in the other failure domains; nil if none is.
	DomainLoads func(service string) []DomainLoad
	// ShiftShare is the share of requests that may change their failure domain within ShiftWindow; 0 means 10% in 2 s.
	ShiftShare  float64
	ShiftWindow time.Duration
	// RetryRatio is the number of retries that one first attempt pays for, RetryBurst how many can be saved up. Both 0 mean
	// 0.1 and 20.
	RetryRatio float64
	RetryBurst float64
	// Scope receives metrics; it may be nil.
	Scope tally.Scope
}

const (
	defaultShiftShare  = 0.1
	defaultShiftWindow = 2 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	o.ShiftShare = cmp.Or(o.ShiftShare, defaultShiftShare)
	o.ShiftWindow = cmp.Or(o.ShiftWindow, defaultShiftWindow)
	if o.RetryRatio == 0 && o.RetryBurst == 0 {
		o.RetryRatio, o.RetryBurst = defaultRetryRatio, defaultRetryBurst
	}
	return o
}

// Manager acquires and releases permits for this host and runs the dispatchers of the services that this host owns in its
// failure domain.
type Manager struct {
	opts   Options
	self   membership.Member
	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup
	// scope is that of the package; acquired counts the results of Acquire in it.
	scope    tally.Scope
	acquired acquireMetrics

	mu           sync.Mutex
	closed       bool
	dispatchers  map[string]*dispatcher
	clientStates map[string]*clientState
	// knownHosts holds the hosts of the own failure domain that were ever in the view: a host that is dead by now may still hold
	// permits. The value is when the host was first seen dead, or zero.
	knownHosts map[string]time.Time
	// backoffs holds when a superseded dispatcher may start again, and the pause after the next time.
	backoffs map[string]restartBackoff
	wake     chan struct{}
}

// restartBackoff keeps two hosts that both believe to be the dispatcher from superseding each other without end.
type restartBackoff struct {
	until time.Time
	delay time.Duration
}

const (
	// startupDelay is how long a started host waits for two rounds of heartbeats before it runs dispatchers. Without it a
	// restarted host that knows nobody yet believes to own every service and grants slots that are in use.
	startupDelay = 500 * time.Millisecond
	// initialBackoff is short because a restarted host learns the current term by being refused once.
	initialBackoff = 10 * time.Millisecond
	// maxBackoff is longer than a recovery takes.
	maxBackoff = 2 * time.Second
)

var _ Acquirer = (*Manager)(nil)

// NewManager registers the control calls and returns a manager that runs no dispatcher before Start.
func NewManager(o Options) *Manager {
	o = o.withDefaults()
	ctx, cancelAll := context.WithCancel(context.Background())
	scope := o.Scope.SubScope("permit")
	m := &Manager{
		opts: o, self: o.View.Self(), ctx: ctx, cancel: cancelAll, scope: scope, acquired: newAcquireMetrics(scope),
		dispatchers: map[string]*dispatcher{}, clientStates: map[string]*clientState{},
		knownHosts: map[string]time.Time{o.View.Self().Host: {}}, backoffs: map[string]restartBackoff{}, wake: make(chan struct{}, 1),
	}
	o.Registrar.Handle(methodAcquire, m.handleAcquire)
	o.Registrar.Handle(methodRelease, m.handleRelease)
	o.Registrar.Handle(methodRecover, m.handleRecover)
	return m
}

// Start runs the dispatchers of this host until Close.
func (m *Manager) Start() { m.spawn(m.watch) }

// Close stops the dispatchers, refuses what waits and returns when all goroutines have ended. Permits in use stay valid.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.group.Wait()
}

// spawn runs f in a goroutine that Close waits for. It returns false after Close: the group must not grow then.
func (m *Manager) spawn(f func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.group.Go(f)
	}
	return !m.closed
}

// watch starts and stops dispatchers as the configuration and the view change.
func (m *Manager) watch() {
	select {
	case <-time.After(startupDelay):
	case <-m.ctx.Done():
	}
	for m.ctx.Err() == nil {
		configChanged, viewChanged := m.opts.Store.Changed(), m.opts.View.Changed()
		m.reconcileDispatchers()
		select {
		case <-configChanged:
		case <-viewChanged:
		case <-m.wake:
		case <-m.ctx.Done():
		}
	}
	for service := range m.running() {
		m.stopDispatcher(service)
	}
}

// reconcileDispatchers starts the dispatchers that this host owns and stops those of services without targets. A dispatcher that this host
// no longer owns serves on until the new owner's recover call supersedes it, so that grants do not pause meanwhile.
func (m *Manager) reconcileDispatchers() {
	m.updateKnownHosts()
	members := m.opts.View.Domain(m.opts.FailureDomain)
	served := map[string]bool{}
	snap := m.opts.Store.Current()
	for _, o := range snap.List(config.KindService) {
		service := o.GetService().GetName()
		// Where requests are balanced, the dispatcher of a service without targets here sends them elsewhere.
		if len(snap.Targets(service, m.opts.FailureDomain)) == 0 && !snap.Policy(service).GetBalanceRegions() {
			continue
		}
		for _, key := range shardKeys(snap, service, m.opts.FailureDomain) {
			served[key] = true
			if order := rankHosts(key, members); len(order) > 0 && order[0].Host == m.self.Host {
				m.startDispatcher(key)
			}
		}
	}
	for service := range m.running() {
		if !served[service] {
			m.stopDispatcher(service)
		}
	}
}

func (m *Manager) running() map[string]*dispatcher {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make(map[string]*dispatcher, len(m.dispatchers))
	for service, d := range m.dispatchers {
		list[service] = d
	}
	return list
}

// updateKnownHosts adds the hosts of the view to those known and notes which have died.
func (m *Manager) updateKnownHosts() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range m.opts.View.All() {
		if member.FailureDomain == m.opts.FailureDomain {
			m.knownHosts[member.Host] = time.Time{}
		}
	}
	for host, died := range m.knownHosts {
		member, ok := m.opts.View.Lookup(host)
		switch {
		case !ok && host != m.self.Host:
			delete(m.knownHosts, host) // forgotten by membership, so its permits have expired long ago
		case ok && member.State == membership.StateDead && died.IsZero():
			m.knownHosts[host] = time.Now()
		}
	}
}

// domainMembers returns the hosts of the own failure domain that are known, dead and leaving ones included.
func (m *Manager) domainMembers() []membership.Member {
	m.updateKnownHosts()
	m.mu.Lock()
	names := slices.Sorted(maps.Keys(m.knownHosts))
	m.mu.Unlock()
	list := make([]membership.Member, 0, len(names))
	for _, name := range names {
		if name == m.self.Host {
			list = append(list, m.self)
		} else if member, ok := m.opts.View.Lookup(name); ok {
			list = append(list, member)
		}
	}
	return list
}

// latestHeartbeatTime returns the latest time at which the host's last heartbeat can have come.
func (m *Manager) latestHeartbeatTime(host string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if died := m.knownHosts[host]; !died.IsZero() {
		return died
	}
	return time.Now()
}

func (m *Manager) startDispatcher(service string) {
	if m.dispatcher(service) != nil || m.inBackoff(service) {
		return
	}
	id := dispatcherID{host: m.self.Host, incarnation: m.self.Incarnation, term: m.state(service).nextTerm()}
	d := newDispatcher(m, service, id)
	m.mu.Lock()
	m.dispatchers[service] = d
	m.mu.Unlock()
	log.Info().Str("step", "dispatcher").Str("service", service).Uint64("term", id.term).Msg("dispatcher starts")
	m.spawn(func() {
		d.run()
		if d.superseded {
			log.Info().Str("step", "dispatcher").Str("service", service).Uint64("term", id.term).
				Str("newest", m.state(service).followed().host).Msg("dispatcher is superseded")
			m.scheduleRestart(d)
		}
	})
}

func (m *Manager) inBackoff(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.backoffs[service].until)
}

// scheduleRestart removes a superseded dispatcher; assign starts another after a pause if this host is still the owner.
func (m *Manager) scheduleRestart(d *dispatcher) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dispatchers[d.service] == d {
		delete(m.dispatchers, d.service)
	}
	backoff := initialBackoff
	if r := m.backoffs[d.service]; time.Since(r.until) < maxBackoff {
		backoff = min(2*r.delay, maxBackoff)
	}
	// Hosts pause for different times, so that one of them completes its recovery.
	jittered := backoff + backoff*time.Duration(xxhash.Sum64String(m.self.Host)%64)/64
	m.backoffs[d.service] = restartBackoff{until: time.Now().Add(jittered), delay: backoff}
	time.AfterFunc(jittered, func() {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	})
}

func (m *Manager) stopDispatcher(service string) {
	m.mu.Lock()
	d := m.dispatchers[service]
	delete(m.dispatchers, service)
	m.mu.Unlock()
	if d != nil {
		close(d.stop)
		<-d.done
	}
}

// dispatcher returns this host's dispatcher of a service, or nil.
func (m *Manager) dispatcher(service string) *dispatcher {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dispatchers[service]
}

// HeldPermits counts the permits that this host uses, per service and target.
func (m *Manager) HeldPermits() []*peerv1.HeldPermits {
	now := time.Now()
	m.mu.Lock()
	states := make(map[string]*clientState, len(m.clientStates))
	for service, s := range m.clientStates {
		states[service] = s
	}
	m.mu.Unlock()
	var list []*peerv1.HeldPermits
	for service, s := range states {
		list = append(list, s.heldCounts(service, now)...)
	}
	return list
}

func (s *clientState) heldCounts(service string, now time.Time) []*peerv1.HeldPermits {
	s.mu.Lock()
	defer s.mu.Unlock()
	byTarget := map[string]*peerv1.HeldPermits{}
	var list []*peerv1.HeldPermits
	for _, h := range s.inUse(now) {
		c := byTarget[h.target]
		if c == nil {
			c = &peerv1.HeldPermits{Service: service, Target: h.target}
			byTarget[h.target] = c
			list = append(list, c)
		}
		c.Count++
		c.LatestDeadlineMs = max(c.LatestDeadlineMs, ceilMilliseconds(h.deadline.Sub(now)))
	}
	return list
}

// Headroom returns the free slots, all slots and the queue delay of each service whose dispatcher runs on this host.
func (m *Manager) Headroom() []*peerv1.ServiceHeadroom {
	var list []*peerv1.ServiceHeadroom
	for _, d := range m.running() {
		if h := d.headroom(); h != nil {
			list = append(list, h)
		}
	}
	return list
}

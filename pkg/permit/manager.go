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
	"github.com/rattanhitch/rattanhitch/pkg/poison"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// Options holds the dependencies and parameters of a Manager.
type Options struct {
	Store     *config.Store
	View      membership.View
	Caller    peer.Caller
	Registrar peer.Registrar
	// Table keeps the records of poison requests; it may be nil.
	Table store.Table
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// LastReportedPermits returns the permits in a host's last heartbeat, for which slots are reserved if the host does not
	// respond to a recover call. The deadlines are relative to the time of the call.
	LastReportedPermits func(host string) []*peerv1.HeldPermits
	// DomainLoads returns the slots and the demand of a service in the other failure domains, as far as they are known. It may
	// be nil.
	DomainLoads func(service string) []DomainLoad
	// ShiftShare is the fraction of requests that load balancing may move between failure domains within ShiftWindow; 0 means
	// 0.1 within 2 s.
	ShiftShare  float64
	ShiftWindow time.Duration
	// RetryRatio and RetryBurst parameterize the token bucket that limits retries: each first attempt adds RetryRatio tokens, a
	// retry takes one, and the bucket holds at most RetryBurst. If both are 0, they are 0.1 and 20.
	RetryRatio float64
	RetryBurst float64
	// Scope receives the metrics; it may be nil.
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

// Manager acquires and releases permits for this host, and runs the dispatchers of the services (and their shards) that this host
// owns in its failure domain. Ownership is decided by rendezvous hashing over the live hosts.
type Manager struct {
	opts   Options
	self   membership.Member
	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup
	// scope is the metrics scope of the package; acquired counts the results of Acquire.
	scope    tally.Scope
	acquired acquireMetrics
	poison   *poison.Registry

	mu     sync.Mutex
	closed bool
	// dispatchers and clientStates are keyed by the dispatcher key: the name of a service or of one of its shards.
	dispatchers  map[string]*dispatcher
	clientStates map[string]*clientState
	// knownHosts holds the hosts of this failure domain that the membership view has a record of, dead ones included, because a
	// dead host may still hold permits.
	knownHosts map[string]bool
	// backoffs holds the restart backoff of superseded dispatchers by dispatcher key.
	backoffs map[string]restartBackoff
	// wake triggers reconcileDispatchers when a backoff ends.
	wake chan struct{}
}

// restartBackoff is the exponential backoff before a superseded dispatcher is started again. Without it, two hosts that each rank
// first in their own view would keep superseding each other's dispatcher.
type restartBackoff struct {
	// until is when the dispatcher may start again.
	until time.Time
	// delay is the backoff without jitter; the next one is twice as long.
	delay time.Duration
}

const (
	// startupDelay is the time for two rounds of heartbeats, which a host waits after its start before it runs dispatchers.
	// Without it, a restarted host whose view holds only itself would own every service and grant slots that are in use.
	startupDelay = 500 * time.Millisecond
	// initialBackoff is short because a restarted host starts with an outdated term and is superseded once, by which it gets
	// the current term.
	initialBackoff = 10 * time.Millisecond
	// maxBackoff exceeds the duration of a recovery, so that another host can complete one in the meantime.
	maxBackoff = 2 * time.Second
)

var _ Acquirer = (*Manager)(nil)

// NewManager registers the RPC handlers and returns a manager. Its dispatchers run from Start on.
func NewManager(o Options) *Manager {
	o = o.withDefaults()
	ctx, cancelAll := context.WithCancel(context.Background())
	scope := o.Scope.SubScope("permit")
	m := &Manager{
		opts: o, self: o.View.Self(), ctx: ctx, cancel: cancelAll, scope: scope, acquired: newAcquireMetrics(scope),
		dispatchers: map[string]*dispatcher{}, clientStates: map[string]*clientState{},
		knownHosts: map[string]bool{o.View.Self().Host: true}, backoffs: map[string]restartBackoff{},
		wake: make(chan struct{}, 1),
		poison: poison.New(poison.Options{
			View: o.View, Caller: o.Caller, Registrar: o.Registrar, Table: o.Table, Scope: o.Scope,
		}),
	}
	o.Registrar.Handle(methodAcquire, m.handleAcquire)
	o.Registrar.Handle(methodRelease, m.handleRelease)
	o.Registrar.Handle(methodRecover, m.handleRecover)
	return m
}

// Start runs the dispatchers of this host, in the background, until Close.
func (m *Manager) Start() {
	m.poison.Start()
	m.spawn(m.watch)
}

// Close stops the dispatchers, refuses the waiting requests and returns when all goroutines have ended. Permits in use stay
// valid.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.group.Wait()
	m.poison.Close()
}

// spawn runs f in a goroutine that Close waits for. After Close it does nothing and returns false, because the wait group must
// not grow any more.
func (m *Manager) spawn(f func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.group.Go(f)
	}
	return !m.closed
}

// watch reconciles the running dispatchers whenever the configuration or the membership view changes.
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

// reconcileDispatchers starts the dispatchers that this host owns and stops those of services without targets. A dispatcher that
// this host no longer owns keeps running until the recover call of the new owner supersedes it, so that grants continue during
// the handover.
func (m *Manager) reconcileDispatchers() {
	m.updateKnownHosts()
	members := membership.Owners(m.opts.View, m.opts.FailureDomain)
	served := map[string]bool{}
	snap := m.opts.Store.Current()
	for _, o := range snap.List(config.KindService) {
		service := o.GetService().GetName()
		// With load balancing between failure domains, the dispatcher of a service without local targets redirects requests.
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

// running returns a copy of the map of running dispatchers.
func (m *Manager) running() map[string]*dispatcher {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make(map[string]*dispatcher, len(m.dispatchers))
	for service, d := range m.dispatchers {
		list[service] = d
	}
	return list
}

// updateKnownHosts updates knownHosts from the membership view: it adds hosts and removes those that the view no longer holds.
func (m *Manager) updateKnownHosts() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range m.opts.View.All() {
		if member.FailureDomain == m.opts.FailureDomain {
			m.knownHosts[member.Host] = true
		}
	}
	for host := range m.knownHosts {
		if _, ok := m.opts.View.Lookup(host); !ok && host != m.self.Host {
			delete(m.knownHosts, host) // membership drops dead hosts long after their last permit has expired
		}
	}
}

// domainMembers returns the hosts in knownHosts, sorted by name, including dead and leaving ones.
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

// startDispatcher starts a dispatcher with a new term, unless one is running or its restart backoff has not ended.
func (m *Manager) startDispatcher(service string) {
	if m.dispatcher(service) != nil || m.inBackoff(service) {
		return
	}
	id := dispatcherID{host: m.self.Host, incarnation: m.self.Incarnation, term: m.state(service).nextTerm()}
	d := newDispatcher(m, service, id)
	if !m.addDispatcher(service, d) {
		return
	}
	log.Info().Str("step", "dispatcher").Str("service", service).Uint64("term", id.term).Msg("dispatcher starts")
	m.group.Go(func() {
		d.run()
		if d.superseded {
			log.Info().Str("step", "dispatcher").Str("service", service).Uint64("term", id.term).
				Str("newest", m.state(service).followed().host).Msg("dispatcher is superseded")
			m.scheduleRestart(d)
		}
	})
}

// addDispatcher adds a dispatcher to those that run. It returns false after Close, because the dispatcher would never run, and
// stopDispatcher would wait for its end. It is called in a goroutine that Close waits for.
func (m *Manager) addDispatcher(service string, d *dispatcher) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.dispatchers[service] = d
	}
	return !m.closed
}

func (m *Manager) inBackoff(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.backoffs[service].until)
}

// scheduleRestart removes a superseded dispatcher and lets reconcileDispatchers start another one after a backoff, if this host
// is still the owner.
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
	// The jitter is derived from the host name: competing hosts wait for different times, so that one completes its recovery.
	jittered := backoff + backoff*time.Duration(xxhash.Sum64String(m.self.Host)%64)/64
	m.backoffs[d.service] = restartBackoff{until: time.Now().Add(jittered), delay: backoff}
	time.AfterFunc(jittered, func() {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	})
}

// stopDispatcher stops a dispatcher, if it is running, and waits until it has ended.
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

// HeldPermits returns the number of permits that this host uses and their latest deadline, per service and target. Heartbeats
// carry it.
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

// heldCounts returns the permits in use per target. The deadlines are relative to now.
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

// Headroom returns the free slots, total slots, queue delay and demand reported by each dispatcher that runs on this host.
func (m *Manager) Headroom() []*peerv1.ServiceHeadroom {
	var list []*peerv1.ServiceHeadroom
	for _, d := range m.running() {
		if h := d.headroom(); h != nil {
			list = append(list, h)
		}
	}
	return list
}

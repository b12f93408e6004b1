package permit

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

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
	// ShiftShare is the fraction of requests that load balancing may let change the failure domain in which they run from one ShiftWindow to
	// the next; 0 means 0.1 in 2 s.
	ShiftShare  float64
	ShiftWindow time.Duration
	// RetryRatio and RetryBurst parameterize the token bucket that limits retries: each first attempt adds RetryRatio tokens, a
	// retry takes one, and the bucket holds at most RetryBurst. If both are 0, they are 0.1 and 20.
	RetryRatio float64
	RetryBurst float64
	// Scope receives the metrics; it may be nil.
	Scope tally.Scope
}

// The defaults let a tenth of the requests move within two seconds: the caches of targets adapt to new objects within seconds, so that requests
// that move faster would mostly miss them.
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
	notices  *notices
	removals *removals

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
		wake: make(chan struct{}, 1), notices: newNotices(o.Store), removals: newRemovals(),
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
		m.removals.update(m.opts.Store.Current(), time.Now())
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

// dispatcher returns this host's dispatcher of a service, or nil.
func (m *Manager) dispatcher(service string) *dispatcher {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dispatchers[service]
}

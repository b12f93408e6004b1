package config

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// Defaults of Options.
const (
	DefaultPollInterval    = time.Second
	DefaultCompareInterval = 300 * time.Millisecond
	DefaultCheckpointEvery = 256
	DefaultKeepChanges     = 20_000
	DefaultRecentChanges   = 512
)

const (
	// pollTimeout is the timeout of one poll, so that a slow platform delays the next poll by no more than this.
	pollTimeout = 3 * time.Second
	// peerTimeout is the timeout of one RPC to a peer.
	peerTimeout = time.Second
	// jitterShare is the largest relative deviation of a period from its nominal value, in both directions.
	jitterShare = 0.1
)

// counterNames lists the counters of Manager.
var counterNames = []string{
	"commits", "commit_conflicts", "commit_unknown", "polls", "poll_failures", "pushes", "push_failures", "fetches",
	"fetch_failures", "checkpoints", "delegated_polls",
}

// Options configure a Manager. A zero field selects its default.
type Options struct {
	// PeerVersions returns the configuration version that each host last reported, for example in its heartbeat. If it is
	// nil, a host that missed a push catches up only at the next poll.
	PeerVersions func() map[string]uint64
	// PollInterval is the period at which the polling host of a failure domain reads the head row.
	PollInterval time.Duration
	// CompareInterval is the period at which a host compares its version with PeerVersions and fetches missing changes.
	CompareInterval time.Duration
	// CheckpointEvery is the number of changes between two checkpoints.
	CheckpointEvery uint64
	// KeepChanges is the number of change rows older than the newest checkpoint that are kept. The record of a request ID is
	// deleted together with its change row. The default is more than one day of changes at the size expected in two years.
	KeepChanges uint64
	// RecentChanges is the maximum number of changes that a host keeps in memory to serve fetches by its peers. When it is
	// exceeded, only the newest half is kept.
	RecentChanges int
	// Seed seeds the random numbers for jitter and peer selection; 0 selects a random seed.
	Seed uint64
	// ReadOnly is set if the configuration comes from an external Source. Commit then returns ErrReadOnly, and Run is not
	// called.
	ReadOnly bool
	// Scope receives the metrics; it may be nil.
	Scope tally.Scope
}

func (o *Options) setDefaults() {
	o.PollInterval = cmp.Or(o.PollInterval, DefaultPollInterval)
	o.CompareInterval = cmp.Or(o.CompareInterval, DefaultCompareInterval)
	o.CheckpointEvery = cmp.Or(o.CheckpointEvery, DefaultCheckpointEvery)
	o.KeepChanges = cmp.Or(o.KeepChanges, DefaultKeepChanges)
	o.RecentChanges = cmp.Or(o.RecentChanges, DefaultRecentChanges)
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.PeerVersions == nil {
		o.PeerVersions = func() map[string]uint64 { return nil }
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
}

// Manager commits configuration changes to the platform and replicates committed changes to the Store of every host: by push
// from the committing host, by polling the platform from one host of each failure domain, and by fetching from peers that
// report a newer version.
type Manager struct {
	platform store.Platform
	store    *Store
	caller   peer.Caller
	members  membership.View
	options  Options
	history  *history

	// commitSlot is a semaphore of one. It serialises the commits of this host, because concurrent ones would conflict on the
	// head row.
	commitSlot chan struct{}
	ready      chan struct{}
	readyOnce  sync.Once
	// checkpointing is set while this host writes a checkpoint.
	checkpointing atomic.Bool
	failures      failureLog

	rngMu sync.Mutex
	rng   *rand.Rand

	runMu sync.Mutex
	// runCtx is the context of Run; it is nil while Run is not in progress.
	runCtx context.Context
	tasks  conc.WaitGroup
}

// NewManager returns a manager and registers its RPC handlers. Run starts it.
func NewManager(p store.Platform, store *Store, caller peer.Caller, registrar peer.Registrar, members membership.View,
	options Options) *Manager {
	options.setDefaults()
	options.Scope = options.Scope.SubScope("config")
	for _, name := range counterNames {
		// Counters are created at 0, because an alert cannot use a metric that appears only with its first increment.
		options.Scope.Counter(name)
	}
	m := &Manager{
		platform:   p,
		store:      store,
		caller:     caller,
		members:    members,
		options:    options,
		history:    newHistory(store, options.RecentChanges),
		commitSlot: make(chan struct{}, 1),
		ready:      make(chan struct{}),
		rng:        rand.New(rand.NewPCG(options.Seed, 0)),
	}
	registrar.Handle(methodFetch, m.handleFetch)
	registrar.Handle(methodPush, m.handlePush)
	registrar.Handle(methodPoll, m.handlePoll)
	return m
}

// Run loads a first configuration and keeps it up to date until ctx ends. It must be called only once.
func (m *Manager) Run(ctx context.Context) {
	m.runMu.Lock()
	m.runCtx = ctx
	m.runMu.Unlock()
	m.load(ctx)
	var loops conc.WaitGroup
	loops.Go(func() { m.runPeriodically(ctx, m.options.PollInterval, m.poll) })
	loops.Go(func() { m.runPeriodically(ctx, m.options.CompareInterval, m.fetchFromNewerPeer) })
	loops.Wait()
	m.runMu.Lock()
	m.runCtx = nil
	m.runMu.Unlock()
	m.tasks.Wait()
}

// spawn runs a task in the background with the context of Run. It does nothing while Run is not in progress.
func (m *Manager) spawn(task func(ctx context.Context)) {
	m.runMu.Lock()
	defer m.runMu.Unlock()
	if ctx := m.runCtx; ctx != nil {
		m.tasks.Go(func() { task(ctx) })
	}
}

// runPeriodically calls step with the given period, with jitter, until ctx ends.
func (m *Manager) runPeriodically(ctx context.Context, period time.Duration, step func(context.Context)) {
	for m.sleepWithJitter(ctx, period) {
		step(ctx)
	}
}

// sleepWithJitter waits for d with jitter and returns false if ctx has ended.
func (m *Manager) sleepWithJitter(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(m.jitter(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// jitter returns d with a random deviation of up to jitterShare.
func (m *Manager) jitter(d time.Duration) time.Duration {
	m.rngMu.Lock()
	defer m.rngMu.Unlock()
	return time.Duration(float64(d) * (1 + jitterShare*(2*m.rng.Float64()-1)))
}

// randomOrder returns a random permutation of the integers from 0 to n-1.
func (m *Manager) randomOrder(n int) []int {
	m.rngMu.Lock()
	defer m.rngMu.Unlock()
	return m.rng.Perm(n)
}

// Ready returns a channel that is closed once a configuration has been loaded from a peer, from the platform or by a Source.
func (m *Manager) Ready() <-chan struct{} { return m.ready }

func (m *Manager) markReady() { m.readyOnce.Do(func() { close(m.ready) }) }

// followSource marks the manager as ready once an external Source has put a snapshot into force, and reports the version of each
// snapshot until ctx ends.
func (m *Manager) followSource(ctx context.Context) {
	for {
		changed := m.store.Changed()
		if snap := m.store.Current(); snap.Version > 0 {
			m.markReady()
			m.options.Scope.Gauge("version").Update(float64(snap.ReportedVersion()))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (m *Manager) isReady() bool {
	select {
	case <-m.ready:
		return true
	default:
		return false
	}
}

func (m *Manager) count(name string) { m.options.Scope.Counter(name).Inc(1) }

// updateGauges updates the gauges version, newest_version and problem from Status.
func (m *Manager) updateGauges() {
	status := m.Status()
	m.options.Scope.Gauge("version").Update(float64(status.InForce))
	m.options.Scope.Gauge("newest_version").Update(float64(status.Newest))
	problem := 0.0
	if status.Problem != nil {
		problem = 1
	}
	m.options.Scope.Gauge("problem").Update(problem)
}

// Status describes the configuration that a host has read and applied.
type Status struct {
	// InForce is the version in force. Newest is the newest version that was read; it is greater than InForce while that
	// version is invalid.
	InForce uint64
	Newest  uint64
	// Problem is the reason why Newest is not in force or a change could not be read; otherwise it is nil.
	Problem error
	// Loaded is set once a first configuration has been loaded.
	Loaded bool
}

// Status returns the state of this host's configuration.
func (m *Manager) Status() Status {
	return Status{
		InForce: m.store.Current().ReportedVersion(),
		Newest:  m.history.version(),
		Problem: m.history.lastProblem(),
		Loaded:  m.isReady(),
	}
}

// Store returns the store with the snapshot in force.
func (m *Manager) Store() *Store { return m.store }

func decodeChange(value []byte) (*configv1.Change, error) {
	change := &configv1.Change{}
	return change, unmarshal(value, change)
}

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
	// pollTimeout limits one call to the platform, so that a slow platform does not stop polling for longer.
	pollTimeout = 3 * time.Second
	// peerTimeout limits one control call to a peer.
	peerTimeout = time.Second
	// jitterShare spreads periods by this share in both directions.
	jitterShare = 0.1
)

// counterNames lists the counters of this module.
var counterNames = []string{
	"commits", "commit_conflicts", "commit_unknown", "polls", "poll_failures", "pushes", "push_failures", "fetches",
	"fetch_failures", "checkpoints", "delegated_polls",
}

// Options tune a Manager. The zero value selects the defaults.
type Options struct {
	// PeerVersions returns the configuration version that each host reported last, for example in its heartbeat. Without
	// it a host that misses a push waits for the next poll.
	PeerVersions func() map[string]uint64
	// PollInterval is the period at which the owner of config/poll reads the head.
	PollInterval time.Duration
	// CompareInterval is the period at which the versions of the peers are compared with the own one.
	CompareInterval time.Duration
	// CheckpointEvery is the number of changes between checkpoints.
	CheckpointEvery uint64
	// KeepChanges is the number of change rows that are kept before the newest checkpoint. A request ID is remembered for
	// as long as its change row. The default is more than a day's changes at the two-year size.
	KeepChanges uint64
	// RecentChanges is the number of changes that a host keeps in memory for its peers.
	RecentChanges int
	// Seed starts the random numbers for jitter; 0 selects a random seed.
	Seed uint64
	// ReadOnly is set if the configuration comes from another source; changes are refused and nothing is polled.
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

// Manager commits changes, keeps the Store up to date and passes changes on to other hosts.
type Manager struct {
	platform store.Platform
	store    *Store
	caller   peer.Caller
	members  membership.View
	options  Options
	history  *history

	// commitSlot serialises the commits of this host, which would only conflict with each other.
	commitSlot chan struct{}
	ready      chan struct{}
	readyOnce  sync.Once
	// checkpointing is true while this host writes a checkpoint.
	checkpointing atomic.Bool
	failures      failureLog

	rngMu sync.Mutex
	rng   *rand.Rand

	runMu  sync.Mutex
	runCtx context.Context
	tasks  conc.WaitGroup
}

// NewManager returns a manager and registers its control calls. Run starts it.
func NewManager(p store.Platform, store *Store, caller peer.Caller, registrar peer.Registrar, members membership.View,
	options Options) *Manager {
	options.setDefaults()
	options.Scope = options.Scope.SubScope("config")
	for _, name := range counterNames {
		// A counter that is not reported before its first increment can't be used in an alarm.
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

// Run loads the configuration and keeps it up to date until ctx ends. It may be called once.
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

// spawn runs a task in the background while the manager runs.
func (m *Manager) spawn(task func(ctx context.Context)) {
	m.runMu.Lock()
	defer m.runMu.Unlock()
	if ctx := m.runCtx; ctx != nil {
		m.tasks.Go(func() { task(ctx) })
	}
}

// runPeriodically runs a step periodically, with jitter, until ctx ends.
func (m *Manager) runPeriodically(ctx context.Context, period time.Duration, step func(context.Context)) {
	for m.sleepWithJitter(ctx, period) {
		step(ctx)
	}
}

// sleepWithJitter waits for about d and reports whether ctx still holds.
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

func (m *Manager) jitter(d time.Duration) time.Duration {
	m.rngMu.Lock()
	defer m.rngMu.Unlock()
	return time.Duration(float64(d) * (1 + jitterShare*(2*m.rng.Float64()-1)))
}

// randomOrder returns the numbers below n in random order.
func (m *Manager) randomOrder(n int) []int {
	m.rngMu.Lock()
	defer m.rngMu.Unlock()
	return m.rng.Perm(n)
}

// Ready returns a channel that is closed once a configuration was loaded from a peer or from the platform.
func (m *Manager) Ready() <-chan struct{} { return m.ready }

func (m *Manager) markReady() { m.readyOnce.Do(func() { close(m.ready) }) }

// markReadyOnFirstSnapshot marks the manager ready once another source has put a snapshot into force.
func (m *Manager) markReadyOnFirstSnapshot(ctx context.Context) {
	for {
		changed := m.store.Changed()
		if m.store.Current().Version > 0 {
			m.markReady()
			return
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

// updateGauges updates the gauges.
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

// Status says what a host has read and applied.
type Status struct {
	// InForce is the version in force, Newest the newest version that was read.
	InForce uint64
	Newest  uint64
	// Problem says why Newest is not in force, or why a change could not be read; it is nil otherwise.
	Problem error
	Loaded  bool
}

// Status returns the state of this host's configuration.
func (m *Manager) Status() Status {
	return Status{
		InForce: m.store.Current().Version,
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

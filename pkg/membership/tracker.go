package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/invariant"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// Tracker maintains the member table of one host.
type Tracker struct {
	opts    Options
	metrics metrics
	view    atomic.Pointer[snapshot]

	ctx     context.Context
	cancel  context.CancelFunc
	workers conc.WaitGroup
	// gate, if set, is called by all loops and handlers; tests use it to pause the host.
	gate func()

	mu      sync.Mutex
	records map[string]*record
	// remoteDomains holds the other failure domains by name.
	remoteDomains map[string]*remoteDomain
	// contacts holds, by address, the peer addresses to try for hosts outside the ring.
	contacts map[string]contact
	// domainAnswered is set once any host of the local failure domain has answered a heartbeat.
	domainAnswered bool
	// pendingUpdates holds the hosts whose records are queued for gossip.
	pendingUpdates map[string]struct{}
	updatesReady   chan struct{}
	summaryTrigger chan struct{}
	headroom       map[string]headroomReport
	lastSweep      time.Time
	// resumedAt is when this host last detected that it had been paused.
	resumedAt time.Time
	sequence  uint64
	// rounds counts the summary rounds; only summaryLoop uses it.
	rounds int
	random *rand.Rand
	closed bool

	startedAt time.Time
}

var _ View = (*Tracker)(nil)

type metrics struct {
	heartbeats, heartbeatErrors, refusedIncarnations, suspicions, deaths, refutations, gossipMessages, fullLists, summaries,
	pauses tally.Counter
}

// New returns a tracker whose table contains only its own host, and registers its RPC handlers.
func New(opts Options) *Tracker {
	opts = opts.withDefaults()
	s := opts.Scope.SubScope("membership")
	t := &Tracker{
		opts: opts,
		metrics: metrics{
			heartbeats: s.Counter("heartbeats"), heartbeatErrors: s.Counter("heartbeat_errors"),
			refusedIncarnations: s.Counter("refused_incarnations"), suspicions: s.Counter("suspicions"), deaths: s.Counter("deaths"),
			refutations: s.Counter("refutations"), gossipMessages: s.Counter("news"), fullLists: s.Counter("full_lists"),
			summaries: s.Counter("summaries"), pauses: s.Counter("pauses"),
		},
		records: map[string]*record{}, remoteDomains: map[string]*remoteDomain{}, contacts: map[string]contact{},
		pendingUpdates: map[string]struct{}{}, updatesReady: make(chan struct{}, 1), summaryTrigger: make(chan struct{}, 1),
		headroom: map[string]headroomReport{}, random: rand.New(rand.NewPCG(opts.RandomSeed, 0)),
	}
	if opts.RandomSeed == 0 {
		t.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	t.records[opts.Self.Host] = &record{Member: opts.Self, version: 1}
	for _, addr := range opts.Seeds {
		t.contacts[addr] = contact{address: peer.Address{Addr: addr}}
	}
	t.publish()
	t.register()
	return t
}

func (t *Tracker) register() {
	handle(t, methodHeartbeat, t.onHeartbeat)
	handle(t, methodNews, t.onMemberNews)
	handle(t, methodSummaries, t.onSummaries)
	handle(t, methodHeadroom, t.onHeadroom)
}

// handle registers a handler that receives the decoded request.
func handle[M any, P interface {
	*M
	proto.Message
}](t *Tracker, method string, f func(from peer.Identity, m P) (proto.Message, error)) {
	t.opts.Registrar.Handle(method, func(_ context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
		m := P(new(M))
		if err := proto.Unmarshal(payload, m); err != nil {
			return nil, err
		}
		t.pausePoint()
		return f(from, m)
	})
}

// Start starts the loops of the tracker, which run until ctx ends or Close is called. The peer node must have started.
func (t *Tracker) Start(ctx context.Context) {
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.lastSweep = time.Now()
	t.startedAt = t.lastSweep
	t.workers.Go(t.heartbeatLoop)
	t.workers.Go(t.gossipLoop)
	t.workers.Go(t.discoveryLoop)
	t.workers.Go(t.summaryLoop)
	if t.opts.HostList != nil {
		t.workers.Go(t.hostListLoop)
		t.workers.Go(t.announceLoop)
	}
}

// Close stops the tracker and waits for its goroutines. It does not announce that the host leaves; see Leave.
func (t *Tracker) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.workers.Wait()
}

// Leave marks this host as leaving and announces it to the hosts of its failure domain, the relays of the other failure
// domains and the platform. It returns nil once all hosts of the failure domain have answered or failed and at least one has
// answered, and an error if none has or ctx ended.
func (t *Tracker) Leave(ctx context.Context) error {
	t.mu.Lock()
	self := t.selfRecord()
	if self.State != StateLeaving {
		self.State = StateLeaving
		self.version++
		t.publish()
	}
	message := &peerv1.MemberNews{Members: []*peerv1.Member{self.encode(time.Now())}}
	t.mu.Unlock()
	t.triggerSummary()
	var announce conc.WaitGroup
	announce.Go(func() { t.announce(ctx) })
	defer announce.Wait()
	others := t.ringWithoutSelf()
	answers := make(chan error, len(others))
	for _, host := range others {
		t.spawn(func() { answers <- t.sendUpdates(ctx, host, message) })
	}
	var failed error
	reached := 0
	for range others {
		select {
		case err := <-answers:
			failed = errors.CombineErrors(failed, err)
			if err == nil {
				reached++
			}
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	if reached == 0 && len(others) > 0 {
		return errors.Wrap(failed, "no host of the failure domain was told of the leave")
	}
	return nil
}

// SetTargetsUnreachable sets whether this host reaches no target, and spreads a change to the other hosts.
func (t *Tracker) SetTargetsUnreachable(unreachable bool) {
	t.setOwnState(func(self *Member) { self.TargetsUnreachable = unreachable })
}

// SetOverloaded sets whether this host has more work than processor time, and spreads a change to the other hosts.
func (t *Tracker) SetOverloaded(overloaded bool) {
	t.setOwnState(func(self *Member) { self.Overloaded = overloaded })
}

// setOwnState changes the record of this host, and spreads it to the other hosts if it differs from the previous one.
func (t *Tracker) setOwnState(change func(self *Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := t.selfRecord()
	previous := self.Member
	change(&self.Member)
	if self.Member == previous {
		return
	}
	self.version++
	t.publish()
	t.queueUpdate(self.Host)
}

// spawn runs f in a goroutine for which Close waits. It does nothing if the tracker is closed.
func (t *Tracker) spawn(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.workers.Go(f)
	}
}

func (t *Tracker) selfRecord() *record { return t.records[t.opts.Self.Host] }

// pausePoint blocks while a test pauses the host.
func (t *Tracker) pausePoint() {
	if t.gate != nil {
		t.gate()
	}
}

func (t *Tracker) ringWithoutSelf() []string {
	var list []string
	for _, host := range t.view.Load().ring {
		if host != t.opts.Self.Host {
			list = append(list, host)
		}
	}
	return list
}

// merge applies the records of the local failure domain that are newer than those in the table, queues them for gossip, and
// returns whether any changed. t.mu must be held; publishing is left to the calling function.
func (t *Tracker) merge(members []*peerv1.Member) bool {
	changed := false
	for _, m := range members {
		if m.GetFailureDomain() == t.opts.Self.FailureDomain && t.mergeOne(m) {
			t.queueUpdate(m.GetHost())
			changed = true
		}
	}
	return changed
}

// mergeOne merges one record of the local failure domain and returns whether the table changed. t.mu must be held.
func (t *Tracker) mergeOne(m *peerv1.Member) bool {
	if m.GetHost() == t.opts.Self.Host {
		return t.mergeSelf(m)
	}
	now := time.Now()
	r := t.records[m.GetHost()]
	if r == nil {
		// When several hosts start here together, the last summary at a host of another failure domain may list only one of
		// them, so that it reports the others as dead. The report of a dead host without a record only supplies a contact.
		if State(m.GetState()) == StateDead {
			t.addContact(m.GetPeerAddress(), m)
			return false
		}
		r = &record{}
		t.records[m.GetHost()] = r
	} else if !supersedes(m, r) {
		return false
	}
	t.replace(r, m, now)
	return true
}

// replace overwrites r with m, which must be newer.
func (t *Tracker) replace(r *record, m *peerv1.Member, now time.Time) {
	invariant.Check(m.GetIncarnation() >= r.Incarnation, "membership-incarnation",
		"incarnation of host %s decreased from %d to %d", m.GetHost(), r.Incarnation, m.GetIncarnation())
	if m.GetIncarnation() != r.Incarnation {
		*r = record{}
	}
	// Only the host itself increments its version, so a higher one proves that it is alive.
	if m.GetVersion() > r.version {
		r.lastSeenAt = now
	}
	previous := r.State
	r.Member = decodeMember(m)
	r.version = m.GetVersion()
	if r.State == StateDead && previous != StateDead {
		r.diedAt = now
	}
	if len(m.GetHeld()) > 0 && !(r.watched && r.heldReported) {
		r.held, r.heldReported = decodeHeld(m.GetHeld(), now), true
	}
}

// mergeSelf handles a report about this host. It refutes a newer one, such as a suspicion, with a higher version, and calls
// OnSuperseded if the report names a later incarnation.
func (t *Tracker) mergeSelf(m *peerv1.Member) bool {
	self := t.selfRecord()
	if m.GetIncarnation() > self.Incarnation {
		go t.opts.OnSuperseded(m.GetIncarnation())
		return false
	}
	if !supersedes(m, self) {
		return false
	}
	self.version = m.GetVersion() + 1
	t.metrics.refutations.Inc(1)
	return true
}

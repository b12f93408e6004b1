package membership

import (
	"time"

	"github.com/uber-go/tally/v4"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

const (
	// heartbeatInterval is the time between two heartbeats to the same host.
	heartbeatInterval = 200 * time.Millisecond
	// sweepInterval is the time between two checks for silent hosts.
	sweepInterval = heartbeatInterval / 2
	// suspectAfter and deadAfter are times of silence.
	suspectAfter = 1 * time.Second
	deadAfter    = 2 * time.Second
	// probeAfter is the silence of a watched host after which it is called, to learn whether its process still listens.
	probeAfter = 2 * heartbeatInterval
	// deadAfterRefusals is how many heartbeats in a row must meet a refused connection before a host is dead. One could meet a
	// process that is about to listen.
	deadAfterRefusals = 2
	// maxSweepGap is the longest normal time between two sweeps; a longer one means that this host was paused, so the
	// others were not silent but unheard.
	maxSweepGap = 500 * time.Millisecond
	// callTimeout limits a heartbeat, so that calls to a silent host do not pile up.
	callTimeout = 1 * time.Second
	// defaultDeadHostRetention is how long a dead host is remembered, so that old news of it is recognised.
	defaultDeadHostRetention = 10 * time.Minute

	// meshSize is the largest domain in which each host sends heartbeats to all others.
	meshSize = 4
	// ringSuccessors is how many hosts each host sends heartbeats to in larger domains.
	ringSuccessors = 3
	// gossipFanout is how many further hosts, chosen at random, each host passes a change on to.
	gossipFanout = 2
	// gossipInterval is the least time between two messages of changes to the same host. Without it, many changes at once
	// cost so much CPU time that heartbeats are late, which causes further changes.
	gossipInterval = 50 * time.Millisecond
	// fullListInterval limits how often the whole member list goes to the same host.
	fullListInterval = 1 * time.Second

	// discoveryInterval is the time between attempts to reach hosts that are not in the ring: seeds, dead ones and those of
	// the platform's list. It is shorter until the first answer of a host of the own domain, for at most joinTime.
	discoveryInterval     = 1 * time.Second
	joinDiscoveryInterval = 200 * time.Millisecond
	joinPeriod            = 10 * time.Second

	// relaysPerDomain is how many hosts exchange summaries with other domains.
	relaysPerDomain = 2
	// relaySyncRounds is the number of rounds of summaries after which relays of one domain compare what they know.
	relaySyncRounds = 10
	// summaryInterval is the time between two summaries.
	summaryInterval = 1 * time.Second
	// summaryCallTimeout covers dialing at 35 ms one way.
	summaryCallTimeout = 2 * time.Second
	// domainSuspectAfter and domainDeadAfter are times without a summary of a failure domain.
	domainSuspectAfter = 3 * time.Second
	domainDeadAfter    = 6 * time.Second
	// headroomValid is how long a relay uses a report of headroom.
	headroomValid = 3 * time.Second

	// listInterval is the mean time between two reads of the platform's host list: 2,100 hosts make 35 reads/s.
	listInterval = time.Minute
	// startupListInterval is the mean time between two reads in the first startupPeriod after the start: the list lags, and hosts
	// that start together are not on it yet. 2,100 hosts that start at once make 420 reads/s.
	startupListInterval = 5 * time.Second
	startupPeriod       = 2 * time.Minute
	// settledReads is how many reads in a row must name no new host before a young host reads as seldom as others.
	settledReads = 2
	// listRetryDelay is the first pause after a failed read; it doubles up to listInterval.
	listRetryDelay = 1 * time.Second
	// announceInterval is the time between two announcements, youngAnnounceInterval that of a host in its first startupPeriod.
	announceInterval        = 5 * time.Minute
	startupAnnounceInterval = 25 * time.Second
	// maxListLag is how long the list may still describe an earlier incarnation of a host as leaving.
	maxListLag = 2 * time.Minute
	// listTimeout limits one call to the platform.
	listTimeout = 5 * time.Second
)

// Names of the control calls.
const (
	methodHeartbeat = "membership.heartbeat"
	methodNews      = "membership.news"
	methodSummaries = "membership.summaries"
	methodHeadroom  = "membership.headroom"
)

// Options configure a Tracker. Functions that are nil supply nothing.
type Options struct {
	// Self is this host; its State is ignored.
	Self Member
	// Caller and Registrar belong to this host's peer node, which must not have started yet.
	Caller    peer.Caller
	Registrar peer.Registrar
	// HostList is the platform's list; nil means that there is none.
	HostList store.HostList
	// Seeds are peer addresses of hosts in any failure domain.
	Seeds []string
	// HeldPermits returns the permits that this host holds.
	HeldPermits func() []*peerv1.HeldPermits
	// ConfigVersion returns the version of the configuration in force here.
	ConfigVersion func() uint64
	// Headroom returns the headroom of the services whose dispatcher is on this host.
	Headroom func() []*peerv1.ServiceHeadroom
	// OnSuperseded is called, possibly more than once, when a newer incarnation of this host is known.
	OnSuperseded func(incarnation uint64)
	// DeadHostRetention is how long a dead host is remembered; 0 means 10 minutes.
	DeadHostRetention time.Duration
	// Scope receives metrics; it may be nil.
	Scope tally.Scope
	// RandomSeed makes the choice of hosts repeatable; 0 means a random seed.
	RandomSeed uint64
}

func (o Options) withDefaults() Options {
	if o.HeldPermits == nil {
		o.HeldPermits = func() []*peerv1.HeldPermits { return nil }
	}
	if o.ConfigVersion == nil {
		o.ConfigVersion = func() uint64 { return 0 }
	}
	if o.Headroom == nil {
		o.Headroom = func() []*peerv1.ServiceHeadroom { return nil }
	}
	if o.OnSuperseded == nil {
		o.OnSuperseded = func(uint64) {}
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.DeadHostRetention == 0 {
		o.DeadHostRetention = defaultDeadHostRetention
	}
	o.Self.State = StateAlive
	return o
}

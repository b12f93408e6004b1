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
	// sweepInterval is the time between two checks of the failure detector.
	sweepInterval = heartbeatInterval / 2
	// suspectAfter and deadAfter are the times without a heartbeat after which a host is suspect or dead.
	suspectAfter = 1 * time.Second
	deadAfter    = 2 * time.Second
	// probeAfter is the time without a heartbeat after which a watched host is probed, to check that its process still
	// listens.
	probeAfter = 2 * heartbeatInterval
	// deadAfterRefusals is the number of consecutive refused connections after which a host is dead. A single one can hit a
	// process that is starting and does not listen yet.
	deadAfterRefusals = 2
	// maxSweepGap is the longest expected time between two sweeps. A longer gap means that this process was paused and could
	// not receive the heartbeats of other hosts.
	maxSweepGap = 500 * time.Millisecond
	// callTimeout limits heartbeats, gossip and headroom reports, so that calls to an unresponsive host do not accumulate.
	callTimeout = 1 * time.Second
	// defaultDeadHostRetention is how long the record of a dead host is kept, so that outdated updates about it are
	// recognised.
	defaultDeadHostRetention = 10 * time.Minute

	// meshSize is the largest failure domain in which each host sends heartbeats to all others.
	meshSize = 4
	// ringSuccessors is the number of hosts to which each host sends heartbeats in larger failure domains.
	ringSuccessors = 3
	// gossipFanout is the number of random hosts, in addition to the ring successors, to which each host forwards an update.
	gossipFanout = 2
	// gossipInterval is the minimum time between two batches of updates. Without it, many simultaneous changes use so much
	// CPU time that heartbeats are late, which causes further changes.
	gossipInterval = 50 * time.Millisecond
	// fullListInterval is the minimum time between two full member lists to the same host.
	fullListInterval = 1 * time.Second

	// discoveryInterval is the mean time between two attempts to reach hosts outside the ring: seeds, dead hosts and hosts on
	// the platform's list. joinDiscoveryInterval replaces it until a host of the local failure domain answers, for at most
	// joinPeriod after the start.
	discoveryInterval     = 1 * time.Second
	joinDiscoveryInterval = 200 * time.Millisecond
	joinPeriod            = 10 * time.Second

	// relaysPerDomain is the number of hosts per failure domain that exchange summaries with other failure domains.
	relaysPerDomain = 2
	// relaySyncRounds is the number of summary rounds after which the relays of a failure domain synchronise the summaries
	// that they hold.
	relaySyncRounds = 10
	// summaryInterval is the time between two summary rounds.
	summaryInterval = 1 * time.Second
	// summaryCallTimeout limits a call with summaries. It allows for dialing a host that is 35 ms away, one way.
	summaryCallTimeout = 2 * time.Second
	// domainSuspectAfter and domainDeadAfter are the times without a summary after which a failure domain is suspect or dead.
	domainSuspectAfter = 3 * time.Second
	domainDeadAfter    = 6 * time.Second
	// headroomValid is the time after which a relay discards a headroom report.
	headroomValid = 3 * time.Second

	// listInterval is the mean time between two reads of the platform's host list. 2,100 hosts cause 35 reads/s.
	listInterval = time.Minute
	// startupListInterval is the mean time between two reads in the startupPeriod of a host. The list lags behind, so hosts
	// that start together are missing from it at first. 2,100 hosts that start at once cause 420 reads/s.
	startupListInterval = 5 * time.Second
	startupPeriod       = 2 * time.Minute
	// settledReads is the number of consecutive reads without a new host after which a starting host uses listInterval.
	settledReads = 2
	// listRetryDelay is the first delay after a failed read; it doubles up to listInterval.
	listRetryDelay = 1 * time.Second
	// announceInterval is the time between two announcements; startupAnnounceInterval replaces it in the startupPeriod.
	announceInterval        = 5 * time.Minute
	startupAnnounceInterval = 25 * time.Second
	// maxListLag is how long after a restart the list may still mark a host as leaving.
	maxListLag = 2 * time.Minute
	// listTimeout limits one call to the platform.
	listTimeout = 5 * time.Second
)

// RPC methods.
const (
	methodHeartbeat = "membership.heartbeat"
	methodNews      = "membership.news"
	methodSummaries = "membership.summaries"
	methodHeadroom  = "membership.headroom"
)

// Options configure a Tracker. Callbacks that are nil return nothing.
type Options struct {
	// Self is this host; its State is ignored.
	Self Member
	// Caller and Registrar are this host's peer node, which must not have started yet.
	Caller    peer.Caller
	Registrar peer.Registrar
	// HostList is the platform's host list; nil if there is none.
	HostList store.HostList
	// Seeds are peer addresses of hosts in any failure domain.
	Seeds []string
	// HeldPermits returns the permits that this host holds.
	HeldPermits func() []*peerv1.HeldPermits
	// ConfigVersion returns the version of the configuration that this host applies.
	ConfigVersion func() uint64
	// Headroom returns the headroom of the services whose dispatcher runs on this host.
	Headroom func() []*peerv1.ServiceHeadroom
	// OnSuperseded is called, possibly more than once, when a newer incarnation of this host is seen.
	OnSuperseded func(incarnation uint64)
	// DeadHostRetention is how long the record of a dead host is kept; 0 means 10 minutes.
	DeadHostRetention time.Duration
	// Scope receives metrics; it may be nil.
	Scope tally.Scope
	// RandomSeed makes random choices reproducible; 0 means a random seed.
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

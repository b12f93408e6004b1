package permit

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/logging"
)

// Notices of targets.
//
// A target may state in an answer that it is leaving, or that it wants no more requests from this host for some time. This binds the host
// at once: its acquire calls exclude the target, whichever dispatcher answers them, and a permit for it that is granted meanwhile is
// returned unused. The dispatcher hears with the release that a target is leaving and grants no permit for it to any host; a new
// dispatcher hears it from the hosts from which it recovers permits.

const (
	// noticeRetention is how long a host remembers that a target is leaving after the configuration has lost the target. Its entry may
	// come back for a while when the platform returns from an outage.
	noticeRetention = 10 * time.Minute
	// noticeLinesPerSecond limits the log lines about notices.
	noticeLinesPerSecond = 5
)

// Notice is what a target states about itself in an answer to one host.
type Notice struct {
	// Leaving is set if the target's process is about to end, or has ended, and must get no new requests.
	Leaving bool
	// HoldOff is for how long the target wants no requests from this host; 0 if it states nothing.
	HoldOff time.Duration
}

// process is a process of a target.
type process struct {
	target string
	// started is its start (configv1.Target), 0 if it is unknown.
	started uint64
}

// isOther reports whether a process is certainly not the one of the same target with a given start.
func (p process) isOther(started uint64) bool {
	return p.started != 0 && started != 0 && p.started != started
}

// targetNotice is what one process of a target has stated.
type targetNotice struct {
	process
	leaving  bool
	statedAt time.Time
	// holdUntil is until when the target wants no requests from this host.
	holdUntil time.Time
}

// binds reports whether the notice forbids a request at a time.
func (n targetNotice) binds(now time.Time) bool { return n.leaving || now.Before(n.holdUntil) }

// notices holds the notices that targets gave to this host, by target.
type notices struct {
	store *config.Store
	lines *logging.Limiter

	mu       sync.Mutex
	byTarget map[string]targetNotice
}

func newNotices(store *config.Store) *notices {
	return &notices{store: store, lines: logging.NewLimiter(noticeLinesPerSecond), byTarget: map[string]targetNotice{}}
}

// process returns the process of a target in the present configuration.
func (n *notices) process(target string) process {
	return process{target, configOf(n.store.Current(), target).GetStartedUnixMs()}
}

// record adds a notice of a process, unless a later process of the target is configured.
func (n *notices) record(from process, notice Notice) {
	if !notice.Leaving && notice.HoldOff <= 0 || from.isOther(n.process(from.target).started) {
		return
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.removeExpired(now)
	known := n.byTarget[from.target]
	if known.isOther(from.started) {
		known = targetNotice{}
	}
	isNews := notice.Leaving && !known.leaving || notice.HoldOff > 0
	known.process = from
	known.leaving = known.leaving || notice.Leaving
	known.statedAt = now
	if until := now.Add(notice.HoldOff); until.After(known.holdUntil) {
		known.holdUntil = until
	}
	n.byTarget[from.target] = known
	if isNews {
		n.log(from.target, notice, now)
	}
}

func (n *notices) log(target string, notice Notice, now time.Time) {
	ok, leftOut := n.lines.Allow(now)
	if !ok {
		return
	}
	log.Info().Str("step", "target").Str("target", target).Bool("leaving", notice.Leaving).
		Int64("hold_off_ms", notice.HoldOff.Milliseconds()).Int("left_out", leftOut).Msg("target wants no new requests from this host")
}

// removeExpired removes the notices that no longer matter. n.mu must be held.
func (n *notices) removeExpired(now time.Time) {
	snap := n.store.Current()
	for target, known := range n.byTarget {
		if !known.binds(now) || now.Sub(known.statedAt) > noticeRetention && configOf(snap, target) == nil {
			delete(n.byTarget, target)
		}
	}
}

// excluded returns the targets that must get no request from this host.
func (n *notices) excluded(now time.Time) []string {
	var list []string
	for _, known := range n.current() {
		if known.binds(now) {
			list = append(list, known.target)
		}
	}
	return list
}

// encodeLeaving returns the processes that have stated that they are leaving.
func (n *notices) encodeLeaving() []*peerv1.LeavingTarget {
	var list []*peerv1.LeavingTarget
	for _, known := range n.current() {
		if known.leaving {
			list = append(list, &peerv1.LeavingTarget{Target: known.target, StartedUnixMs: known.started})
		}
	}
	return list
}

// current returns the notices of the present processes and removes those of earlier ones.
func (n *notices) current() []targetNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.byTarget) == 0 {
		return nil
	}
	var list []targetNotice
	for target, known := range n.byTarget {
		if known.isOther(n.process(target).started) {
			delete(n.byTarget, target)
			continue
		}
		list = append(list, known)
	}
	return list
}

// forbids reports whether a target must get no request from this host now.
func (n *notices) forbids(target string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	known, ok := n.byTarget[target]
	return ok && known.binds(now)
}

// isLeaving reports whether a target is draining in the configuration of this host or was removed from it. Its dispatcher may have an older one:
// a host must not send a request to a target of which it knows itself that it leaves.
func (m *Manager) isLeaving(target string) bool {
	return isDraining(configOf(m.opts.Store.Current(), target)) || m.removals.has(target)
}

// leavingTargets returns the targets of a dispatcher's service that are draining in the configuration of this host or were removed from it.
func (m *Manager) leavingTargets(key string) []string {
	list := m.removals.of(ServiceOf(key))
	for _, t := range m.opts.Store.Current().Targets(ServiceOf(key), m.opts.FailureDomain) {
		if isDraining(t) {
			list = append(list, t.GetName())
		}
	}
	return list
}

func isDraining(t *configv1.Target) bool {
	return t.GetState() == configv1.TargetState_TARGET_STATE_DRAINING
}

// configOf returns the configuration of a target, or nil.
func configOf(snap *config.Snapshot, target string) *configv1.Target {
	return snap.Object(config.Key{Kind: config.KindTarget, Name: target}).GetTarget()
}

// ForbidsAddress reports whether the target at an address must get no request from this host, not for another host either.
func (m *Manager) ForbidsAddress(address string) bool {
	snap := m.opts.Store.Current()
	for _, name := range m.notices.excluded(time.Now()) {
		if configOf(snap, name).GetAddress() == address {
			return true
		}
	}
	return false
}

// closeLeaving makes a dispatcher grant no more permits for a process that is leaving or gone.
func (d *dispatcher) closeLeaving(p process) {
	t := d.slots.targets[p.target]
	if t == nil || t.leaving || p.isOther(t.config.GetStartedUnixMs()) {
		return
	}
	t.leaving, t.closed = true, true
	log.Info().Str("step", "target").Str("service", d.service).Str("target", p.target).Msg("target is leaving and gets no more permits")
}

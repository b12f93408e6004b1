package permit

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/rattanhitch/rattanhitch/pkg/config"
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
	// Leaving is set if the target is about to end and must get no new requests.
	Leaving bool
	// HoldOff is for how long the target wants no requests from this host; 0 if it states nothing.
	HoldOff time.Duration
}

// targetNotice is what one process of a target has stated.
type targetNotice struct {
	// started is the start of the process (configv1.Target), 0 if it is unknown.
	started  uint64
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

// record adds a notice of a target.
func (n *notices) record(target string, notice Notice) {
	if !notice.Leaving && notice.HoldOff <= 0 {
		return
	}
	now := time.Now()
	started := startOf(n.store.Current(), target)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.removeExpired(now)
	known := n.byTarget[target]
	if started != 0 && known.started != started {
		known = targetNotice{started: started}
	}
	isNews := notice.Leaving && !known.leaving || notice.HoldOff > 0
	known.leaving = known.leaving || notice.Leaving
	known.statedAt = now
	if until := now.Add(notice.HoldOff); until.After(known.holdUntil) {
		known.holdUntil = until
	}
	n.byTarget[target] = known
	if isNews {
		n.log(target, notice, now)
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
	for target, known := range n.byTarget {
		if !known.binds(now) || now.Sub(known.statedAt) > noticeRetention && startOf(n.store.Current(), target) == 0 {
			delete(n.byTarget, target)
		}
	}
}

// excluded returns the targets that must get no request from this host.
func (n *notices) excluded(now time.Time) []string {
	return n.targets(func(known targetNotice) bool { return known.binds(now) })
}

// leaving returns the targets that have stated that they are leaving.
func (n *notices) leaving() []string {
	return n.targets(func(known targetNotice) bool { return known.leaving })
}

// targets returns the targets whose present process gave a notice for which a predicate holds.
func (n *notices) targets(holds func(targetNotice) bool) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.byTarget) == 0 {
		return nil
	}
	snap := n.store.Current()
	var list []string
	for target, known := range n.byTarget {
		if started := startOf(snap, target); started != 0 && known.started != 0 && started != known.started {
			delete(n.byTarget, target) // another process under the same name
			continue
		}
		if holds(known) {
			list = append(list, target)
		}
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

// startOf returns the start of a target's process in a configuration, 0 if it is unknown.
func startOf(snap *config.Snapshot, target string) uint64 {
	return snap.Object(config.Key{Kind: config.KindTarget, Name: target}).GetTarget().GetStartedUnixMs()
}

// ForbidsAddress reports whether the target at an address must get no request from this host, not for another host either.
func (m *Manager) ForbidsAddress(address string) bool {
	snap := m.opts.Store.Current()
	for _, name := range m.notices.excluded(time.Now()) {
		if snap.Object(config.Key{Kind: config.KindTarget, Name: name}).GetTarget().GetAddress() == address {
			return true
		}
	}
	return false
}

// closeLeaving makes a dispatcher grant no more permits for targets that are leaving.
func (d *dispatcher) closeLeaving(targets []string) {
	for _, name := range targets {
		if t := d.slots.targets[name]; t != nil && !t.leaving {
			t.leaving, t.closed = true, true
			log.Info().Str("step", "target").Str("service", d.service).Str("target", name).Msg("target is leaving and gets no more permits")
		}
	}
}

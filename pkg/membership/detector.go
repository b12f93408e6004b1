package membership

import (
	"slices"
	"time"

	"github.com/phuslu/log"
)

// heartbeatLoop checks the failure detector every sweepInterval and sends heartbeats in every second round.
func (t *Tracker) heartbeatLoop() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for send := true; ; send = !send {
		t.pausePoint()
		t.sweep(time.Now())
		if send {
			t.sendHeartbeats()
		}
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sweep marks watched hosts and failure domains that timed out as suspect or dead, probes silent hosts, and removes dead
// hosts whose retention period is over.
func (t *Tracker) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.compensateForPause(now)
	t.updateWatched(now)
	changed := false
	for _, host := range t.view.Load().predecessors {
		r := t.records[host]
		changed = t.checkTimeouts(r, now) || changed
		if now.Sub(r.lastSeenAt) >= probeAfter && r.State != StateDead {
			t.probe(r)
		}
	}
	t.probeUnwatchedSuspects()
	changed = t.checkDomains(now) || changed
	for host, r := range t.records {
		if r.State == StateDead && now.Sub(r.diedAt) > t.opts.DeadHostRetention {
			delete(t.records, host)
			t.dropContact(r)
			changed = true
		}
	}
	if changed {
		t.publish()
	}
}

// probeUnwatchedSuspects sends heartbeats to suspect hosts that do not send heartbeats to this host. A suspect refutes the
// suspicion once it receives it. If the gossip that carries it was lost, only a heartbeat from this host does that. t.mu must be
// held.
func (t *Tracker) probeUnwatchedSuspects() {
	for _, r := range t.records {
		if r.State == StateSuspect && !r.watched && r.FailureDomain == t.opts.Self.FailureDomain {
			t.probe(r)
		}
	}
}

// compensateForPause detects that this process was paused and extends all timeouts by that time: the other hosts may have
// sent heartbeats meanwhile. t.mu must be held.
func (t *Tracker) compensateForPause(now time.Time) {
	gap := now.Sub(t.lastSweep)
	t.lastSweep = now
	if gap <= maxSweepGap {
		return
	}
	t.metrics.pauses.Inc(1)
	t.resumedAt = now
	for _, r := range t.records {
		r.lastSeenAt = r.lastSeenAt.Add(gap)
	}
	for _, d := range t.remoteDomains {
		d.lastSummaryAt = d.lastSummaryAt.Add(gap)
	}
}

// updateWatched marks the ring predecessors of this host as watched and starts the timeout of newly watched ones. t.mu must
// be held.
func (t *Tracker) updateWatched(now time.Time) {
	watchedHosts := t.view.Load().predecessors
	for _, r := range t.records {
		watched := slices.Contains(watchedHosts, r.Host)
		if watched && !r.watched {
			r.lastSeenAt = now
		}
		r.watched = watched
	}
}

// checkTimeouts moves a watched host to suspect or dead if its last heartbeat is too old, and returns whether its state
// changed. t.mu must be held.
func (t *Tracker) checkTimeouts(r *record, now time.Time) bool {
	silence := now.Sub(r.lastSeenAt)
	switch {
	case silence >= deadAfter && r.State != StateDead:
		t.declareDead(r, now)
	case silence >= suspectAfter && r.State == StateAlive:
		r.State = StateSuspect
		t.metrics.suspicions.Inc(1)
		log.Info().Str("step", "membership").Str("peer", r.Host).Dur("silent_for", silence).Msg("host is suspect")
	default:
		return false
	}
	t.queueUpdate(r.Host)
	return true
}

// declareDead sets the state of a record to dead. t.mu must be held.
func (t *Tracker) declareDead(r *record, now time.Time) {
	r.State = StateDead
	r.diedAt = now
	t.metrics.deaths.Inc(1)
	log.Info().Str("step", "membership").Str("peer", r.Host).Dur("silent_for", now.Sub(r.lastSeenAt)).
		Int("refusals", r.refusedConnections).Msg("host is dead")
}

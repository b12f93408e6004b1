package permit

import (
	"slices"
	"strconv"
	"time"

	"github.com/phuslu/log"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/poison"
)

// Abandoned runs.
//
// A request may be given up after it was sent: its caller leaves, its deadline passes, or its host is lost. The target may go on running it,
// and nobody hears how that ends. The dispatcher therefore remembers the run. If the target ends before the run must be over, the request
// counts as one that the target ran when it ended, as if its connection had been lost then. A dispatcher that takes over starts without
// the abandoned runs of its predecessor.

const (
	// abandonedMargin is how long after the deadline of its permit a request may still run. A target counts the time that is left from
	// the arrival of the request.
	abandonedMargin = 250 * time.Millisecond
	// abandonedRetention is how long a run that must be over is remembered while nothing is heard from its target. An idle target that
	// ended is noticed when its next process appears in the configuration.
	abandonedRetention = 5 * time.Second
	// endConfirmation is how long a target that accepts no connection from a host must also leave all other requests without an answer
	// before it counts as ended. It may be cut off from that host only.
	endConfirmation = 300 * time.Millisecond
	// maxAbandonedRuns limits the memory of one dispatcher.
	maxAbandonedRuns = 1024
	// abandonedSweepInterval is the time between two searches for runs that no longer matter.
	abandonedSweepInterval = time.Second
)

// abandonedRun is one run of a request that its holder has given up.
type abandonedRun struct {
	target *target
	// started is when the request was sent. It no longer runs after until.
	started, until time.Time
}

// abandonedRuns holds the abandoned runs of a dispatcher by the fingerprint of their request.
type abandonedRuns struct {
	byFingerprint map[uint64][]abandonedRun
	count         int
	sweptAt       time.Time
}

func newAbandonedRuns() abandonedRuns {
	return abandonedRuns{byFingerprint: map[uint64][]abandonedRun{}}
}

func (a *abandonedRuns) add(fingerprint uint64, run abandonedRun) {
	if a.count >= maxAbandonedRuns {
		return
	}
	a.byFingerprint[fingerprint] = append(a.byFingerprint[fingerprint], run)
	a.count++
}

// answered removes the runs of a request that a target has answered: it is innocent.
func (a *abandonedRuns) answered(fingerprint uint64) {
	a.count -= len(a.byFingerprint[fingerprint])
	delete(a.byFingerprint, fingerprint)
}

// each calls f for each run that may not be over yet.
func (a *abandonedRuns) each(now time.Time, f func(fingerprint uint64, t *target)) {
	for fingerprint, runs := range a.byFingerprint {
		for _, run := range runs {
			if now.Before(run.until) {
				f(fingerprint, run.target)
			}
		}
	}
}

// removeFunc removes the runs for which remove returns true.
func (a *abandonedRuns) removeFunc(remove func(fingerprint uint64, run abandonedRun) bool) {
	for fingerprint, runs := range a.byFingerprint {
		kept := slices.DeleteFunc(runs, func(run abandonedRun) bool { return remove(fingerprint, run) })
		a.count -= len(runs) - len(kept)
		if len(kept) == 0 {
			delete(a.byFingerprint, fingerprint)
			continue
		}
		a.byFingerprint[fingerprint] = kept
	}
}

// sweep removes the runs that are over at a target that was alive afterwards, and those that are too old.
func (a *abandonedRuns) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < abandonedSweepInterval {
		return
	}
	a.sweptAt = now
	a.removeFunc(func(_ uint64, run abandonedRun) bool {
		return run.target.aliveAt.After(run.until) || now.Sub(run.until) > abandonedRetention
	})
}

// abandon remembers the run of a permit that is no longer held, although its request may still run. A run at a target that is closed is
// not remembered: such a target may end at any moment.
func (d *dispatcher) abandon(p *permit, started time.Time) {
	if p.fingerprint == 0 || p.target.closed {
		return
	}
	run := abandonedRun{target: p.target, started: started, until: p.expires.Add(abandonedMargin)}
	if run.mayHaveRunAt(p.target.endedAt) {
		d.recordCrash(p.fingerprint, run, p.target.endedAt)
		return
	}
	d.abandoned.add(p.fingerprint, run)
}

// mayHaveRunAt reports whether the target may have run the request when it ended. The end is zero if the target has not ended.
func (r abandonedRun) mayHaveRunAt(end time.Time) bool {
	return end.After(r.started) && !r.target.aliveAt.After(r.until)
}

// recordCrash counts the end of a target as a crash of an abandoned request that it may have run.
func (d *dispatcher) recordCrash(fingerprint uint64, run abandonedRun, ended time.Time) {
	d.manager.poison.Crashed(fingerprint, poison.Crash{Target: run.target.name, Started: run.started, Ended: ended})
	if ok, leftOut := d.lossLog.Allow(ended); ok {
		log.Info().Str("step", "poison").Str("service", d.service).Str("target", run.target.name).
			Str("fingerprint", strconv.FormatUint(fingerprint, 36)).Dur("after", ended.Sub(run.started)).Int("left_out", leftOut).
			Msg("target ended while it may have run an abandoned request")
	}
}

// observeLiveness records whether a release shows that its target is alive, or that it may have ended.
func (d *dispatcher) observeLiveness(t *target, o Observation, now time.Time) {
	switch {
	case o.Outcome == peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK || o.Responded:
		t.aliveAt = now
		delete(d.unreachableSince, t)
	case o.Outcome == peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST && !o.TargetAlive:
		d.targetEnded(t, now)
	case o.Outcome == peerv1.ReleaseOutcome_RELEASE_OUTCOME_UNREACHABLE && d.unreachableSince[t].IsZero():
		d.unreachableSince[t] = now
	}
}

// confirmEnds handles the targets that have not answered since they accepted no connection for the first time.
func (d *dispatcher) confirmEnds(now time.Time) {
	for t, since := range d.unreachableSince {
		if now.Sub(since) >= endConfirmation {
			d.targetEnded(t, since)
		}
	}
}

// targetEnded counts the end of a target as a crash of the abandoned requests that it may have run then. The planned end of a target that is
// closed shows nothing about them.
func (d *dispatcher) targetEnded(t *target, at time.Time) {
	delete(d.unreachableSince, t)
	if t.closed {
		return
	}
	t.endedAt = at
	d.abandoned.removeFunc(func(fingerprint uint64, run abandonedRun) bool {
		if run.target != t {
			return false
		}
		if run.mayHaveRunAt(at) {
			d.recordCrash(fingerprint, run, at)
		}
		return true
	})
}

// forgetClosed removes the abandoned runs at targets that are closed.
func (d *dispatcher) forgetClosed() {
	d.abandoned.removeFunc(func(_ uint64, run abandonedRun) bool { return run.target.closed })
}

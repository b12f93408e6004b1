package permit

import (
	"strconv"
	"time"

	"github.com/phuslu/log"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/poison"
)

// lossLinesPerSecond limits the log lines about lost connections of one dispatcher.
const lossLinesPerSecond = 20

// observeCrash records what a release shows about the request: a target that answered shows that it is innocent, and one that ended
// makes it a suspect. p is nil if this dispatcher has no record of the permit.
func (d *dispatcher) observeCrash(p *permit, r *release, now time.Time) {
	switch r.observation.Outcome {
	case peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK:
		d.observeAnswer(r)
	case peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR:
		if r.observation.Responded {
			d.observeAnswer(r)
		}
	case peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST:
		started := r.started(p, d.id, now)
		if !r.observation.TargetAlive {
			d.manager.poison.Crashed(r.fingerprint, poison.Crash{Target: r.target, Started: started, Ended: now})
		}
		d.logLoss(r, started, now)
	}
}

// observeAnswer records that a target has answered the request.
func (d *dispatcher) observeAnswer(r *release) {
	d.manager.poison.Answered(r.fingerprint)
	d.abandoned.answered(r.fingerprint)
}

// logLoss writes a line about a request that lost its connection.
func (d *dispatcher) logLoss(r *release, started, now time.Time) {
	ok, leftOut := d.lossLog.Allow(now)
	if !ok {
		return
	}
	log.Info().Str("step", "poison").Str("service", d.service).Str("target", r.target).Uint64("permit", r.key.id).
		Str("fingerprint", strconv.FormatUint(r.fingerprint, 36)).Dur("ran", now.Sub(started)).
		Bool("target_alive", r.observation.TargetAlive).Int("left_out", leftOut).Msg("connection to a target was lost")
}

// refusePoison refuses the waiting requests that are refused as poison since they began to wait.
func (d *dispatcher) refusePoison(now time.Time) {
	if !d.manager.poison.HasRecords() {
		return
	}
	d.queue.removeFunc(func(w *waiter) bool {
		left := d.manager.poison.RefusedFor(w.req.Fingerprint, now)
		if left > 0 {
			w.result <- answer{refusal: newRefusal(peerv1.RefusalReason_REFUSAL_REASON_POISON, left)}
		}
		return left > 0
	})
}

// isolation holds the restrictions for a request that may be poison. It runs at one target at a time, and not beside another such request:
// if the target ends, the innocent requests there get their first strike and not their second.
type isolation struct {
	// running is set while another copy of the request is running, or may be running although it was given up.
	running bool
	// occupied holds the targets that run other suspects.
	occupied map[*target]bool
}

// isolationOf returns the restrictions for a request; there are none if it is no suspect.
func (d *dispatcher) isolationOf(w *waiter, now time.Time) isolation {
	if !d.manager.poison.IsSuspect(w.req.Fingerprint, now) {
		return isolation{}
	}
	i := isolation{occupied: map[*target]bool{}}
	add := func(fingerprint uint64, t *target) {
		i.running = i.running || fingerprint == w.req.Fingerprint
		if d.manager.poison.IsSuspect(fingerprint, now) {
			i.occupied[t] = true
		}
	}
	for _, p := range d.slots.permits {
		add(p.fingerprint, p.target)
	}
	d.abandoned.each(now, add)
	return i
}

// allows reports whether the request may run at a target.
func (i isolation) allows(t *target) bool { return !i.running && !i.occupied[t] }

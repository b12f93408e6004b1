package permit

import (
	"strconv"
	"time"

	"github.com/phuslu/log"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

const (
	// poisonTTL is how long the requests of a poison fingerprint are refused.
	poisonTTL = 10 * time.Minute
	// strikeTTL is how long a lost connection counts against a fingerprint.
	strikeTTL = 10 * time.Minute
	// maxFingerprints bounds the number of fingerprints in each map.
	maxFingerprints = 4096
	// lossLinesPerSecond limits the log lines about lost connections of one dispatcher.
	lossLinesPerSecond = 20
)

// strike records that a request with a fingerprint lost its connection to a target.
type strike struct {
	target string
	at     time.Time
	until  time.Time
}

// poisonTracker detects requests that make targets fail: a fingerprint is poison once it has lost its connections to two
// targets.
type poisonTracker struct {
	strikes      map[uint64]strike
	refusedUntil refusalExpiries
}

// refusalExpiries holds the time until which each fingerprint is refused.
type refusalExpiries map[uint64]time.Time

// remaining returns how long a fingerprint is still refused, or 0.
func (e refusalExpiries) remaining(fingerprint uint64, now time.Time) time.Duration {
	until, ok := e[fingerprint]
	if !ok {
		return 0
	}
	if !now.Before(until) {
		delete(e, fingerprint)
		return 0
	}
	return until.Sub(now)
}

func (e refusalExpiries) add(fingerprint uint64, until time.Time) {
	if len(e) >= maxFingerprints {
		for old := range e {
			delete(e, old)
			break
		}
	}
	e[fingerprint] = until
}

func newPoisonTracker() poisonTracker {
	return poisonTracker{strikes: map[uint64]strike{}, refusedUntil: refusalExpiries{}}
}

// isSuspect reports whether a fingerprint has a strike, so that a second one makes it poison.
func (p *poisonTracker) isSuspect(fingerprint uint64, now time.Time) bool {
	s, ok := p.strikes[fingerprint]
	return ok && now.Before(s.until)
}

// recordLoss records a lost connection and reports whether it made the fingerprint poison. The second strike only counts if its
// request started after the first strike: many callers send the same popular request, and a network failure between hosts and
// targets breaks all connections in use at the same moment.
func (p *poisonTracker) recordLoss(fingerprint uint64, target string, started, now time.Time) bool {
	if fingerprint == 0 {
		return false
	}
	if first := p.strikes[fingerprint]; p.isSuspect(fingerprint, now) && first.target != target {
		if !started.After(first.at) {
			return false
		}
		delete(p.strikes, fingerprint)
		p.refusedUntil.add(fingerprint, now.Add(poisonTTL))
		return true
	}
	if len(p.strikes) >= maxFingerprints {
		for old := range p.strikes {
			delete(p.strikes, old)
			break
		}
	}
	p.strikes[fingerprint] = strike{target, now, now.Add(strikeTTL)}
	return false
}

// observeConnectionLoss updates the strikes after a release. A fingerprint that became poison is also sent to the holder, which
// refuses it from then on, so that the refusal outlives this dispatcher.
func (d *dispatcher) observeConnectionLoss(p *permit, r *release, now time.Time) {
	var found []uint64
	switch r.observation.Outcome {
	case peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK, peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR:
		// The target answered, so the request did not make it fail.
		delete(d.poison.strikes, p.fingerprint)
	}
	if r.observation.Outcome == peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST {
		before := d.poison.strikes[p.fingerprint]
		if d.poison.recordLoss(p.fingerprint, p.target.name, p.granted, now) {
			found = []uint64{p.fingerprint}
			d.manager.state(d.service).addPoison(p.fingerprint, poisonTTL)
		}
		d.logLoss(p, before, len(found) > 0, now)
	}
	if r.poison != nil {
		r.poison <- found
	}
}

// logLoss writes a line about a request that lost its connection. before is the strike that its fingerprint had.
func (d *dispatcher) logLoss(p *permit, before strike, poison bool, now time.Time) {
	ok, leftOut := d.lossLog.Allow(now)
	if !ok {
		return
	}
	line := log.Info().Str("step", "poison").Str("service", d.service).Str("target", p.target.name).Str("id", p.requestID).
		Str("host", p.holder.host).Str("fingerprint", strconv.FormatUint(p.fingerprint, 36)).Dur("ran", now.Sub(p.granted)).
		Bool("poison", poison).Int("left_out", leftOut)
	if before.target != "" {
		line = line.Str("lost_before_at", before.target).Dur("lost_before", now.Sub(before.at))
	}
	line.Msg("connection to a target was lost")
}

// trial holds the restrictions for a request that may be poison. It runs at one target at a time, and not beside another such request:
// if the target ends, the innocent requests there get their first strike and not their second.
type trial struct {
	// running is set while another copy of the request is running.
	running bool
	// occupied holds the targets that run other suspects.
	occupied map[*target]bool
}

// trialOf returns the restrictions for a request; there are none if it is no suspect.
func (d *dispatcher) trialOf(w *waiter, now time.Time) trial {
	if !d.poison.isSuspect(w.req.Fingerprint, now) {
		return trial{}
	}
	t := trial{occupied: map[*target]bool{}}
	for _, p := range d.slots.permits {
		t.running = t.running || p.fingerprint == w.req.Fingerprint
		if d.poison.isSuspect(p.fingerprint, now) {
			t.occupied[p.target] = true
		}
	}
	return t
}

// allows reports whether the request may run at a target.
func (t trial) allows(target *target) bool { return !t.running && !t.occupied[target] }

// addPoison makes this host refuse a fingerprint without a call to the dispatcher.
func (s *clientState) addPoison(fingerprint uint64, left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.add(fingerprint, time.Now().Add(left))
}

// poisonRemaining returns how long this host still refuses a fingerprint, or 0.
func (s *clientState) poisonRemaining(fingerprint uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.remaining(fingerprint, time.Now())
}

package permit

import (
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

const (
	// poisonTTL is how long a poison fingerprint is refused.
	poisonTTL = 10 * time.Minute
	// strikeTTL is how long a lost connection counts against a fingerprint.
	strikeTTL = 10 * time.Minute
	// maxFingerprints bounds the fingerprints that are remembered of each kind.
	maxFingerprints = 4096
)

// strike is a connection that a fingerprint's request lost at a target.
type strike struct {
	target string
	at     time.Time
	until  time.Time
}

// poisonTracker tracks the requests that make targets fail.
type poisonTracker struct {
	strikes      map[uint64]strike
	refusedUntil refusalExpiries
}

// refusalExpiries holds until when each fingerprint is refused.
type refusalExpiries map[uint64]time.Time

// remaining returns how long a fingerprint is still refused.
func (l refusalExpiries) remaining(fingerprint uint64, now time.Time) time.Duration {
	until, ok := l[fingerprint]
	if !ok {
		return 0
	}
	if !now.Before(until) {
		delete(l, fingerprint)
		return 0
	}
	return until.Sub(now)
}

func (l refusalExpiries) add(fingerprint uint64, until time.Time) {
	if len(l) >= maxFingerprints {
		for old := range l {
			delete(l, old)
			break
		}
	}
	l[fingerprint] = until
}

func newPoisonTracker() poisonTracker {
	return poisonTracker{strikes: map[uint64]strike{}, refusedUntil: refusalExpiries{}}
}

// isSuspect reports whether a fingerprint lost the connection at one target.
func (p *poisonTracker) isSuspect(fingerprint uint64, now time.Time) bool {
	s, ok := p.strikes[fingerprint]
	return ok && now.Before(s.until)
}

// recordLoss records a recordLoss connection and reports whether the fingerprint is poison now. Only a request that started after the
// first strike can give the second one: many callers send the same popular request, and a failure of the network between
// hosts and targets loses all that are in flight at the same moment.
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

// observeConnectionLoss reacts to a lost connection. The holder learns that its request is poison, so that the knowledge survives this
// dispatcher.
func (d *dispatcher) observeConnectionLoss(p *permit, r *release, now time.Time) {
	var found []uint64
	switch r.observation.Outcome {
	case peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK, peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR:
		// A target that answered has survived the request.
		delete(d.poison.strikes, p.fingerprint)
	}
	if r.observation.Outcome == peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST &&
		d.poison.recordLoss(p.fingerprint, p.target.name, p.granted, now) {
		found = []uint64{p.fingerprint}
		d.manager.state(d.service).addPoison(p.fingerprint, poisonTTL)
	}
	if r.poison != nil {
		r.poison <- found
	}
}

// allowsSuspect reports whether a request may run at a target beside those there. Requests under suspicion run at most one to a
// target: if it fails, the others that were in flight there get their first strike and not their second.
func (d *dispatcher) allowsSuspect(t *target, w *waiter, now time.Time) bool {
	return t.suspectRequests == 0 || !d.poison.isSuspect(w.req.Fingerprint, now)
}

// addPoison refuses a fingerprint on this host without asking the dispatcher.
func (s *clientState) addPoison(fingerprint uint64, left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.add(fingerprint, time.Now().Add(left))
}

// poisonRemaining returns how long a fingerprint is still refused on this host.
func (s *clientState) poisonRemaining(fingerprint uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.remaining(fingerprint, time.Now())
}

package permit

import (
	"time"

	"github.com/phuslu/log"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

const (
	// probeInterval is the time between two probes of a target that is quarantined or down.
	probeInterval = 100 * time.Millisecond
	// probesToReinstate is how many consecutive probes must not be slow before a target leaves quarantine.
	probesToReinstate = 2
)

// observeReachability marks a target that accepts no connections as down, however many other targets are avoided: it fails fast,
// always has free slots and would attract most requests. It returns true if the outcome has no response time to evaluate.
func (d *dispatcher) observeReachability(t *target, outcome peerv1.ReleaseOutcome, now time.Time) bool {
	h := &t.health
	before := h.down
	defer func() {
		if h.down != before {
			log.Info().Str("step", "target").Str("service", d.service).Str("target", t.name).Bool("down", h.down).
				Msg("reachability of a target changed")
		}
	}()
	switch outcome {
	case peerv1.ReleaseOutcome_RELEASE_OUTCOME_UNREACHABLE:
		h.down = true
		h.nextProbe = now.Add(probeInterval)
		return true
	case peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK, peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR,
		peerv1.ReleaseOutcome_RELEASE_OUTCOME_SHED:
		t.lastAnswer = now
		if h.down {
			t.startReturnCold(now)
		}
		h.down = false
	}
	return false
}

// observeProbe counts the successful probes of a target and ends its quarantine after probesToReinstate of them.
func (d *dispatcher) observeProbe(t *target, took time.Duration, valid bool, now time.Time) {
	h := &t.health
	if !valid || d.latency.slow > 0 && took > d.latency.slow {
		h.goodProbes, h.nextProbe = 0, now.Add(probeInterval)
		return
	}
	h.goodProbes++
	if h.goodProbes >= probesToReinstate {
		h.quarantined, h.slowHistory = false, 0
		t.speed.ForgetObserved() // the slow times from before the probes
		log.Info().Str("step", "target").Str("service", d.service).Str("target", t.name).Msg("target is out of quarantine")
	}
}

// canProbe reports whether a request may probe a target that is quarantined or down. Commands and hedged requests are not risked
// at a slow target. Any first attempt may probe a target that accepted no connections: it is not executed if the connection fails again,
// and is retried. A retry must not, because it could use up the attempts of its request on one such target after another.
func (d *dispatcher) canProbe(t *target, w *waiter, now time.Time) bool {
	h := &t.health
	if h.down {
		return !h.probing && !now.Before(h.nextProbe) && !w.req.Hedge && w.req.Attempt == 0
	}
	return h.quarantined && !h.probing && !now.Before(h.nextProbe) && w.class == classShort && !w.req.Command && !w.req.Hedge
}

package placement

import (
	"math"
	"time"
)

const (
	// slowdownTTL is how long the slowdown that a target reports is used: it changes many times per second.
	slowdownTTL = time.Second
	// The residual slowdown of a target is the ratio of the observed time to the time expected from its route's mean and its
	// reported slowdown. residualWeight is the weight of one observation, maxResidual the bound of one observation, and
	// residualHalfLife the time after which half of the residual has decayed, so that the target is tried again.
	residualWeight   = 0.25
	maxResidual      = 4
	residualHalfLife = time.Second
)

// Speed is the estimate of how fast a target works.
type Speed struct {
	// slowdown is the factor that the target reported, 1 at normal speed; 0 if it has reported none.
	slowdown   float64
	reportedAt time.Time
	// residual is the residual slowdown at residualAt; 0 if there was no observation yet.
	residual   float64
	residualAt time.Time
}

// Reported returns the slowdown that the target reported, or 1 if the report is missing or older than slowdownTTL.
func (s *Speed) Reported(now time.Time) float64 {
	if s.slowdown == 0 || now.Sub(s.reportedAt) > slowdownTTL {
		return 1
	}
	return s.slowdown
}

// Factor returns the factor by which requests take longer than normal.
func (s *Speed) Factor(now time.Time) float64 {
	return s.Reported(now) * s.currentResidual(now)
}

// currentResidual returns the residual slowdown after its decay towards 1.
func (s *Speed) currentResidual(now time.Time) float64 {
	if s.residual == 0 {
		return 1
	}
	left := math.Exp2(-float64(now.Sub(s.residualAt)) / float64(residualHalfLife))
	return 1 + (s.residual-1)*left
}

// Report adds a slowdown that the target reported, as a percentage of its normal service time; 0 means that it reported none.
func (s *Speed) Report(percent int, now time.Time) {
	if percent > 0 {
		s.slowdown, s.reportedAt = float64(percent)/100, now
	}
}

// Observe adds a request that took ratio times as long as expected to the residual slowdown.
func (s *Speed) Observe(ratio float64, now time.Time) {
	residual := s.currentResidual(now)
	s.residual = residual + residualWeight*(min(max(ratio, 1.0/maxResidual), maxResidual)-residual)
	s.residualAt = now
}

// ForgetObserved drops the residual slowdown, because the target has shown that it is as fast as others.
func (s *Speed) ForgetObserved() { s.residual = 0 }

// ObserveFailure counts a request that the target failed or shed as a slow one, so that the target gets fewer requests.
func (s *Speed) ObserveFailure(now time.Time) { s.Observe(maxResidual, now) }

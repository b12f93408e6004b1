package budget

import (
	"math"
	"slices"
	"time"
)

const (
	// sliceTTL is the length of the interval in which a slice may be used. The slices used in a window of 1 s start within
	// 1 s + sliceTTL, so slices are spaced for that longer window and utilisation is at most 1/1.025 = 97.6%.
	sliceTTL = 25 * time.Millisecond
	// grantHorizon is how far in the future a granted slice may start; a request for a later slice is refused.
	grantHorizon = 50 * time.Millisecond
	// maxSliceFraction is the largest amount of a slice under a cap in megabits, as a fraction of the domain's share per
	// second. The usable share is reduced by the same fraction, because the last slice of a window may extend beyond it.
	maxSliceFraction = 0.01
	// raiseDelay delays the increase of a share. Until all hosts have the new configuration, holders with the old and with
	// the new one could exceed the cap together. A change reaches all hosts within 3 s, or 15 s at the fleet size projected
	// for two years.
	raiseDelay = 15 * time.Second
)

// share returns a failure domain's share of the cap, in units per second, or 0 if the cap does not cover the domain. Shares of
// a cap on requests are whole numbers: with fractions, each domain could send one request above its share in some windows.
func (c Cap) share(failureDomain string) float64 {
	index := slices.Index(c.Domains, failureDomain)
	if index < 0 {
		return 0
	}
	if c.Unit == UnitMegabits {
		return c.Rate / float64(len(c.Domains))
	}
	whole, count := int(math.Floor(c.Rate)), len(c.Domains)
	part := whole / count
	if index < whole%count {
		part++
	}
	return float64(part)
}

// maxSliceAmount returns the largest amount that one slice can have in a failure domain, in units of the cap.
func (c Cap) maxSliceAmount(failureDomain string) float64 {
	if c.Unit == UnitRequests {
		return 1
	}
	return c.share(failureDomain) * maxSliceFraction
}

// schedule is a leaky-bucket traffic shaper: it assigns consecutive start times to the slices of one failure domain's share.
type schedule struct {
	// nextStart is the earliest start of the next slice.
	nextStart time.Time
	// shares holds the current share and recent ones; the lowest is in effect.
	shares []shareRecord
}

type shareRecord struct {
	rate float64
	// expires is when the record no longer limits the rate; zero for the current share.
	expires time.Time
}

// setShare records the share of the current configuration. A decrease takes effect at once, an increase after raiseDelay.
func (s *schedule) setShare(rate float64, now time.Time) {
	s.shares = slices.DeleteFunc(s.shares, func(p shareRecord) bool { return !p.expires.IsZero() && !p.expires.After(now) })
	last := len(s.shares) - 1
	if last >= 0 && s.shares[last].expires.IsZero() {
		if s.shares[last].rate == rate {
			return
		}
		s.shares[last].expires = now.Add(raiseDelay)
	}
	s.shares = append(s.shares, shareRecord{rate: rate})
}

// rate returns the share in effect, in units per second.
func (s *schedule) rate() float64 {
	lowest := math.Inf(1)
	for _, r := range s.shares {
		lowest = min(lowest, r.rate)
	}
	return lowest
}

// reserve schedules the next slice and returns its start. If the slice would start later than limit after now, reserve
// schedules nothing and returns the time after which to retry.
func (s *schedule) reserve(unit Unit, amount float64, now time.Time, limit time.Duration) (start time.Time, retry time.Duration) {
	rate := s.rate()
	if rate <= 0 {
		return time.Time{}, raiseDelay
	}
	if unit == UnitMegabits {
		rate *= 1 - maxSliceFraction
	}
	start = now
	if s.nextStart.After(now) {
		start = s.nextStart
	}
	if ahead := start.Sub(now); ahead > limit {
		return time.Time{}, ahead - limit + time.Millisecond
	}
	// Rounded up, so that the rate of the slices does not exceed the share.
	length := math.Ceil(amount / rate * float64(time.Second+sliceTTL))
	s.nextStart = start.Add(time.Duration(length))
	return start, 0
}

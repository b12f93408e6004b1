package steering

import (
	"time"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// rampFraction returns the fraction of a planned change that is in effect at now, from 0 to 1. It grows linearly over the ramp;
// a change without a ramp is in full effect from the start.
func rampFraction(startedUnixMS int64, rampSeconds uint32, now time.Time) float64 {
	if rampSeconds == 0 {
		return 1
	}
	elapsed := now.Sub(time.UnixMilli(startedUnixMS))
	fraction := elapsed.Seconds() / float64(rampSeconds)
	return min(max(fraction, 0), 1)
}

// MovePercent returns the percentage of the service's requests in from_region that a move sends to to_region at now.
func MovePercent(m *configv1.Move, now time.Time) float64 {
	if m.GetCancelled() {
		return 0
	}
	return float64(m.GetPercent()) * rampFraction(m.GetStartedUnixMs(), m.GetRampSeconds(), now)
}

// DrainShare returns the fraction of new requests that a drain keeps away from its subject at now, from 0 to 1.
func DrainShare(d *configv1.Drain, now time.Time) float64 {
	if d.GetCancelled() {
		return 0
	}
	return rampFraction(d.GetStartedUnixMs(), d.GetRampSeconds(), now)
}

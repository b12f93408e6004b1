package worktime

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against estimates that miss the quantiles by far.
func TestEstimatesFollowTheSamples(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		e := New(4)
		for range 400 {
			e.Observe("r", 200*time.Millisecond+time.Duration(rng.IntN(200))*time.Millisecond)
		}
		is.True(e.Least("r") > 200*time.Millisecond && e.Least("r") < 260*time.Millisecond)                                   // 220 ms
		is.True(e.Median("r") > 260*time.Millisecond && e.Median("r") < 340*time.Millisecond)                                 // 300 ms
		is.True(e.Within("r", time.Hour, 0.9) > 340*time.Millisecond && e.Within("r", time.Hour, 0.9) < 400*time.Millisecond) // 380 ms
	}
}

// Guards against a route whose requests are all cut off and that counts as fast or unknown for good: its requests took slots although
// none could be complete in time.
func TestCutRequestsRaiseTheEstimate(t *testing.T) {
	is := is.New(t)
	e := New(4)
	const given = 100 * time.Millisecond
	for range refreshEvery {
		is.Equal(e.Least("r"), time.Duration(0))
		e.ObserveCut("r", given)
	}
	is.True(e.Least("r") > given)
	is.True(e.Median("r") > given)
	is.True(e.Within("r", time.Hour, 0.9) > given)
}

// Guards against an estimate that callers with little time spoil for the others: their requests say only that they take longer than that.
func TestEarlyCutsDoNotHideLongerTimes(t *testing.T) {
	is := is.New(t)
	e := New(4)
	for range 100 {
		e.Observe("r", 300*time.Millisecond)
		e.ObserveCut("r", 100*time.Millisecond)
	}
	is.Equal(e.Least("r"), 300*time.Millisecond)
	is.Equal(e.Median("r"), 300*time.Millisecond)
	is.Equal(e.Within("r", time.Hour, 0.9), 300*time.Millisecond)
	is.Equal(e.Mean("r"), 200*time.Millisecond) // the time for which slots are occupied
}

// Guards against an estimate that keeps the times from before a change, or that grows without bound while all requests are cut off.
func TestEstimateFollowsAChange(t *testing.T) {
	is := is.New(t)
	e := New(4)
	for range 1000 {
		e.ObserveCut("r", 800*time.Millisecond)
	}
	is.Equal(e.Median("r"), 816*time.Millisecond)
	for range window {
		e.Observe("r", 300*time.Millisecond)
	}
	is.Equal(e.Within("r", time.Hour, 0.9), 300*time.Millisecond)
	e.Forget("r")
	is.Equal(e.Median("r"), time.Duration(0))
}

// Guards against a margin that a route needs for its slowest requests, which are not complete in time without a wait either.
func TestWithinCountsOnlyWhatIsInTimeAnyway(t *testing.T) {
	is := is.New(t)
	e := New(4)
	for i := range window {
		if i%4 == 0 {
			e.ObserveCut("r", 800*time.Millisecond)
		} else {
			e.Observe("r", time.Duration(300+i)*time.Millisecond)
		}
	}
	is.Equal(e.Within("r", 800*time.Millisecond, 1), 363*time.Millisecond)
	is.True(e.Within("r", 800*time.Millisecond, 0.9) < 360*time.Millisecond)
	is.True(e.Within("r", 800*time.Millisecond, 0.9) > 350*time.Millisecond)
	is.True(e.Within("r", 320*time.Millisecond, 0.9) < 320*time.Millisecond)
	is.Equal(e.Within("unknown", time.Second, 0.9), time.Duration(0))
}

// Guards against memory that grows with the number of routes, and against an estimate from very few samples.
func TestUnknownRoutesHaveNoEstimate(t *testing.T) {
	is := is.New(t)
	e := New(1)
	for range refreshEvery - 1 {
		e.Observe("r", time.Second)
	}
	is.Equal(e.Median("r"), time.Duration(0))
	e.Observe("r", time.Second)
	is.Equal(e.Median("r"), time.Second)
	for range refreshEvery {
		e.Observe("other", time.Second)
	}
	is.Equal(e.Median("other"), time.Duration(0))
}

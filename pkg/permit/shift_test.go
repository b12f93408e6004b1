package permit

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/soak"
)

const (
	// shiftLimit is the stated limit: the part of a region's requests that may change the region in which they run from one window to the next.
	shiftLimit = 0.15
	// minShiftRequests is the least number of requests in a window that counts.
	minShiftRequests = 40
	// settleTime is the time in which dispatchers learn the loads without a limit, and targets fill their caches.
	settleTime   = 8 * time.Second
	replayLength = 30 * time.Second
)

// rateStep is a change of the requests a second at a time since the start.
type rateStep struct {
	at   time.Duration
	rate float64
}

// stepRate returns a rate that changes in steps.
func stepRate(first float64, steps ...rateStep) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		rate := first
		for _, s := range steps {
			if t >= s.at {
				rate = s.rate
			}
		}
		return rate
	}
}

// smallRegion has a sixth of the slots, for which its callers ask at other rates than those of the other regions.
func smallRegion(rate func(time.Duration) float64) replayRegion {
	return replayRegion{"small", 12, 4, rate}
}

// withLargeRegions adds two regions whose callers need less than half of the slots there at a factor of 1.
func withLargeRegions(small replayRegion, factor func(time.Duration) float64) []replayRegion {
	scaled := func(rate float64) func(time.Duration) float64 {
		return func(t time.Duration) float64 { return rate * factor(t) }
	}
	return []replayRegion{small, {"b", 16, 8, scaled(240)}, {"c", 15, 8, scaled(230)}}
}

// shiftLoads are loads in which only the traffic changes.
func shiftLoads() map[string][]replayRegion {
	const s = time.Second
	steady := stepRate(1)
	return map[string][]replayRegion{
		"clients move to the region": withLargeRegions(
			smallRegion(stepRate(170, rateStep{12 * s, 280}, rateStep{18 * s, 420}, rateStep{20 * s, 230})), steady),
		"three times the clients": withLargeRegions(smallRegion(stepRate(170, rateStep{12 * s, 510}, rateStep{20 * s, 170})), steady),
		"clients leave and come back": withLargeRegions(
			smallRegion(stepRate(300, rateStep{12 * s, 60}, rateStep{16 * s, 300}, rateStep{22 * s, 100}, rateStep{24 * s, 300})), steady),
		"growth everywhere": withLargeRegions(
			smallRegion(stepRate(230, rateStep{14 * s, 460}, rateStep{20 * s, 230})), stepRate(1, rateStep{14 * s, 2}, rateStep{20 * s, 1})),
		"requests wait when the traffic ends": withLargeRegions(smallRegion(stepRate(330, rateStep{27 * s, 680})), steady),
		"more than all slots serve":           withLargeRegions(smallRegion(stepRate(400)), stepRate(2.2)),
	}
}

// checkShift reports the regions whose requests change their region faster than the limit.
func (r *replay) checkShift(t *testing.T, name string) {
	t.Helper()
	for _, d := range r.domains {
		most, at := d.shareChange(r.start, settleTime, minShiftRequests)
		t.Logf("%s, %s: %s, largest change %.2f at %v", name, d.name, d.summary(), most, at)
		if most > shiftLimit {
			t.Errorf("%s: %.0f of 100 requests of %s changed their region at %v", name, 100*most, d.name, at)
		}
	}
}

// Guards against a full region whose requests change their region faster than the limit, because what was meant to stay is refused, or waits until
// the requests that leave have stopped.
func TestFullRegionKeepsTheShiftLimit(t *testing.T) {
	for name, regions := range shiftLoads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				r := playReplay(t, seed, replayLength, replayObjects, regions...)
				r.checkShift(t, name)
			}
		})
	}
}

// Guards against a full region that serves less the more it is asked for: requests that have waited took slots of targets that had not cached their
// objects, needed several times as long, and others waited longer.
func TestFullRegionKeepsItsThroughput(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		regions := withLargeRegions(smallRegion(stepRate(230, rateStep{14 * time.Second, 690})), stepRate(1))
		r := playReplay(t, seed, 20*time.Second, replayObjects, regions...)
		small := r.domains[0]
		before := small.ranHere(r.start.Add(10*time.Second), r.start.Add(14*time.Second))
		after := small.ranHere(r.start.Add(15*time.Second), r.start.Add(19*time.Second))
		t.Logf("seed %d: %d requests ran in the region in the 4 s before, %d after; %s", seed, before, after, small.summary())
		is.True(after >= before)
	}
}

// Guards against an overload in which the requests for some objects are never served, because no target has them cached and others always come first.
// A kind of requests counts as starved if it is served less than a quarter as often as all.
func TestOverloadStarvesNoObject(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	// With fewer requests for an object, the least served one would be served less often by chance. The objects are a third more than the caches hold.
	const minRequests, length, objects = 60, 4 * replayLength, 480
	for seed := range uint64(2) {
		r := playReplay(t, seed, length, objects, smallRegion(stepRate(450)))
		d := r.domains[0]
		all := float64(d.served) / float64(d.sent)
		least := 1.0
		for _, c := range d.byObject {
			if c.sent >= minRequests {
				least = min(least, float64(c.served)/float64(c.sent))
			}
		}
		t.Logf("seed %d: %s; served %.2f of all, %.2f of the least served object", seed, d.summary(), all, least)
		is.True(least >= all/4)
	}
}

// Guards against loads that none of the others has: regions of several sizes whose clients come and go at any time, and growth everywhere.
func TestRandomLoadsKeepTheShiftLimit(t *testing.T) {
	t.Parallel()
	first, rounds := soak.Parameter(t, soak.Seed, 1), soak.Parameter(t, soak.Rounds, 8)
	for seed := first; seed < first+rounds; seed++ {
		rng := rand.New(rand.NewPCG(uint64(seed), 2))
		small := smallRegion(randomRate(rng, 150+200*rng.Float64(), 0.3, 2.5))
		small.targets = 8 + rng.IntN(10)
		regions := withLargeRegions(small, randomRate(rng, 0.8, 0.6, 1.8))
		r := playReplay(t, uint64(seed), replayLength, replayObjects, regions...)
		r.checkShift(t, "seed "+strconv.Itoa(seed))
	}
}

// randomRate returns a rate that is multiplied by a random factor, between the given ones, for a few seconds now and then.
func randomRate(rng *rand.Rand, usual, least, most float64) func(time.Duration) float64 {
	var steps []rateStep
	for at := settleTime; at < replayLength; {
		at += time.Duration((1 + 4*rng.Float64()) * float64(time.Second))
		steps = append(steps, rateStep{at, usual * (least + (most-least)*rng.Float64())})
		at += time.Duration((1 + 4*rng.Float64()) * float64(time.Second))
		steps = append(steps, rateStep{at, usual})
	}
	return stepRate(usual, steps...)
}

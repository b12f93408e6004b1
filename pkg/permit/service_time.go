package permit

import (
	"math"
	"slices"
	"time"
)

const (
	// trackedObjects is the number of objects of which it is known how long ago a target served them.
	trackedObjects = 64
	// alwaysCachedRanks is the number of objects that a target is taken to remember in any case.
	alwaysCachedRanks = 8
	// rankBucketSize is the number of neighbouring ranks of which it is learned together whether targets remember them, and
	// memoryWeight the weight of one observation.
	rankBucketSize = 4
	hitRateWeight  = 0.1
	// serviceTimeWeight is the weight of a new observation in the mean times of a route.
	serviceTimeWeight = 1.0 / 32
	// minServiceTimeSamples is the number of observations before the mean times of a route are used.
	minServiceTimeSamples = 8
	// maxSampleFactor bounds an observation by a multiple of the mean: few requests take many times as long as the others, and
	// they say nothing of the rest.
	maxSampleFactor = 2.5
	// coldFactor is how many times as long work is taken to last at a target that is still cold.
	coldFactor = 2
	// defaultHitFactor is the time at a target that remembers the object, as a part of the time elsewhere, until it is known.
	defaultHitFactor = 0.8
	// slowdownTTL is how long a target's own report of its speed counts: it changes many times a second.
	slowdownTTL = time.Second
	// pace is how fast a target is compared with what its route's mean and its reports say; residualWeight is the weight of one
	// observation, maxPace the bound of one, and paceHalfLife the time after which half of it is forgotten, so that the
	// target is tried again.
	residualWeight   = 0.25
	maxResidual      = 4
	residualHalfLife = 2 * time.Second
	// estimateMargin is added to an expected time, so that most of the requests end within it.
	estimateMargin = 0.1
)

// serviceTime is what is known of the time that requests on a route take at a target, in nanoseconds: cold where the target does
// not remember the object, and warm where it does.
type serviceTime struct {
	miss, hit           float64
	missCount, hitCount int
}

// estimate returns the mean time, or 0 while it is unknown.
func (w *serviceTime) estimate(hit bool) float64 {
	switch {
	case w == nil || w.missCount+w.hitCount < minServiceTimeSamples:
		return 0
	case hit && w.hitCount >= minServiceTimeSamples:
		return w.hit
	case hit:
		return w.miss * defaultHitFactor
	case w.missCount >= minServiceTimeSamples:
		return w.miss
	}
	return w.hit / defaultHitFactor
}

func (w *serviceTime) observe(took float64, hit bool) {
	mean, count := &w.miss, &w.missCount
	if hit {
		mean, count = &w.hit, &w.hitCount
	}
	if *count == 0 {
		*mean = took
	}
	*count++
	took = min(took, maxSampleFactor**mean)
	*mean += max(serviceTimeWeight, 1/float64(*count)) * (took - *mean)
}

// recentObjects holds the objects that a target served, the last one first.
type recentObjects []uint64

// rank returns how many other objects the target served since it served this one; knownObjects if it is not known.
func (r recentObjects) rank(object uint64) int {
	if i := slices.Index(r, object); i >= 0 {
		return i
	}
	return trackedObjects
}

func (r recentObjects) touch(object uint64) recentObjects {
	if object == 0 {
		return r
	}
	if i := slices.Index(r, object); i >= 0 {
		copy(r[1:i+1], r[:i])
		r[0] = object
		return r
	}
	if len(r) < trackedObjects {
		r = append(r, 0)
	}
	copy(r[1:], r)
	r[0] = object
	return r
}

// cacheModel is what is known of how many objects the targets of a service remember: for neighbouring ranks, the share of the
// requests that were served as fast as for an object that was just served.
type cacheModel [trackedObjects / rankBucketSize]float64

func newCacheModel() cacheModel {
	var m cacheModel
	for i := range m {
		m[i] = 1
	}
	return m
}

// likelyHit reports whether most requests at a rank are served fast.
func (m *cacheModel) likelyHit(rank int) bool {
	return rank < trackedObjects && m[rank/rankBucketSize] > 0.5
}

func (m *cacheModel) observe(rank int, fast bool) {
	if rank >= trackedObjects {
		return
	}
	sample := 0.0
	if fast {
		sample = 1
	}
	m[rank/rankBucketSize] += hitRateWeight * (sample - m[rank/rankBucketSize])
}

// speed is what is known of how fast a target works.
type speed struct {
	// slowdown is the target's own report, 1 for the usual speed.
	slowdown   float64
	reportedAt time.Time
	// residual is what its responses show beyond that.
	residual   float64
	residualAt time.Time
}

// reported returns the target's own report as far as it still counts.
func (s *speed) reported(now time.Time) float64 {
	if s.slowdown == 0 || now.Sub(s.reportedAt) > slowdownTTL {
		return 1
	}
	return s.slowdown
}

// factor returns by how much work takes longer than usual.
func (s *speed) factor(now time.Time) float64 {
	return s.reported(now) * s.currentResidual(now)
}

func (s *speed) currentResidual(now time.Time) float64 {
	if s.residual == 0 {
		return 1
	}
	left := math.Exp2(-float64(now.Sub(s.residualAt)) / float64(residualHalfLife))
	return 1 + (s.residual-1)*left
}

func (s *speed) report(percent int, now time.Time) {
	if percent > 0 {
		s.slowdown, s.reportedAt = float64(percent)/100, now
	}
}

// observe takes note of a request that took ratio times as long as expected.
func (s *speed) observe(ratio float64, now time.Time) {
	residual := s.currentResidual(now)
	s.residual = residual + residualWeight*(min(max(ratio, 1/maxResidual), maxResidual)-residual)
	s.residualAt = now
}

// expectedTime returns the time that a request is expectedTime to take at a target; 0 while nothing is known.
func (d *dispatcher) expectedTime(w *waiter, t *target, now time.Time) time.Duration {
	base := d.serviceTimes[w.req.Route].estimate(d.likelyCached(t, w.req.ObjectHash))
	factor := t.speed.factor(now)
	if now.Before(t.coldUntil) {
		factor *= coldFactor
	}
	return time.Duration(base * factor)
}

// likelyCached reports whether a target is taken to remember an object.
func (d *dispatcher) likelyCached(t *target, object uint64) bool {
	return object != 0 && d.cacheModel.likelyHit(t.recentObjects.rank(object))
}

// observeServiceTime learns from a request that got an answer.
func (d *dispatcher) observeServiceTime(p *permit, o Observation, now time.Time) {
	t := p.target
	reportedAtGrant := p.slowdown
	t.speed.report(o.SlowdownPercent, now)
	if !p.objective || o.Total <= 0 {
		return
	}
	// The speed changes while a request runs, so the mean of both ends counts.
	took := float64(o.Total) * 2 / (reportedAtGrant + t.speed.reported(now))
	if p.cold {
		took /= coldFactor
	}
	stats := d.serviceTimes[p.route]
	if stats == nil {
		if len(d.serviceTimes) >= maxRoutes {
			return
		}
		stats = &serviceTime{}
		d.serviceTimes[p.route] = stats
	}
	if expected := stats.estimate(p.warm); expected > 0 && !p.cold {
		t.speed.observe(took/expected, now)
	}
	switch {
	case p.recencyRank < alwaysCachedRanks:
		stats.observe(took, true)
	case p.recencyRank >= trackedObjects:
		stats.observe(took, false)
	}
	if stats.hitCount >= minServiceTimeSamples && stats.missCount >= minServiceTimeSamples {
		d.cacheModel.observe(p.recencyRank, took < (stats.hit+stats.miss)/2)
	}
}

// observeFailure takes note of a request that a target failed or did not take.
func (d *dispatcher) observeFailure(t *target, now time.Time) { t.speed.observe(maxResidual, now) }

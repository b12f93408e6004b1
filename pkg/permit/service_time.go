package permit

import (
	"math"
	"slices"
	"time"
)

const (
	// trackedObjects is the number of objects in the list of recently served objects of each target.
	trackedObjects = 64
	// alwaysCachedRanks is how many of the most recent objects a target is assumed to have cached in any case.
	alwaysCachedRanks = 8
	// rankBucketSize is the number of adjacent recency ranks that share one estimate of the hit rate, and hitRateWeight the
	// weight of one observation in it.
	rankBucketSize = 4
	hitRateWeight  = 0.1
	// serviceTimeWeight is the weight of a new observation in the moving averages of a route.
	serviceTimeWeight = 1.0 / 32
	// minServiceTimeSamples is the number of observations from which on the averages of a route are used.
	minServiceTimeSamples = 8
	// maxSampleFactor limits an observation to a multiple of the mean. Few requests take many times as long as the others, and
	// they would distort the mean of the rest.
	maxSampleFactor = 2.5
	// coldFactor is how many times as long a request is assumed to take at a target that is still cold after its start.
	coldFactor = 2
	// defaultHitFactor is the assumed ratio of the time on a cache hit to the time on a miss while only one of them is known.
	defaultHitFactor = 0.8
	// slowdownTTL is how long the slowdown that a target reports is used: it changes many times per second.
	slowdownTTL = time.Second
	// The residual slowdown of a target is the ratio of the observed time to the time expected from its route's mean and its
	// reported slowdown. residualWeight is the weight of one observation, maxResidual the bound of one observation, and
	// residualHalfLife the time after which half of the residual has decayed, so that the target is tried again.
	residualWeight   = 0.25
	maxResidual      = 4
	residualHalfLife = 2 * time.Second
	// estimateMargin is added to an expected time, as a fraction of it, so that most requests complete within the sum.
	estimateMargin = 0.1
)

// serviceTime holds the moving averages of the time that requests on a route take at a target, in nanoseconds: miss if the
// target does not have the object in its cache, hit if it has.
type serviceTime struct {
	miss, hit           float64
	missCount, hitCount int
}

// estimate returns the mean time on a cache hit or miss, or 0 while it is unknown.
func (s *serviceTime) estimate(hit bool) float64 {
	switch {
	case s == nil || s.missCount+s.hitCount < minServiceTimeSamples:
		return 0
	case hit && s.hitCount >= minServiceTimeSamples:
		return s.hit
	case hit:
		return s.miss * defaultHitFactor
	case s.missCount >= minServiceTimeSamples:
		return s.miss
	}
	return s.hit / defaultHitFactor
}

func (s *serviceTime) observe(took float64, hit bool) {
	mean, count := &s.miss, &s.missCount
	if hit {
		mean, count = &s.hit, &s.hitCount
	}
	if *count == 0 {
		*mean = took
	}
	*count++
	took = min(took, maxSampleFactor**mean)
	*mean += max(serviceTimeWeight, 1/float64(*count)) * (took - *mean)
}

// recentObjects holds the hashes of the objects that a target served, most recent first.
type recentObjects []uint64

// rank returns how many other objects the target has served since it last served this one, or trackedObjects if that is unknown.
func (r recentObjects) rank(object uint64) int {
	if i := slices.Index(r, object); i >= 0 {
		return i
	}
	return trackedObjects
}

// touch moves an object to the front and returns the new list. The last object is dropped if the list is full.
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

// cacheModel estimates how many objects the targets of a service keep in their caches. For each bucket of recency ranks it holds
// the fraction of the requests that were as fast as a cache hit.
type cacheModel [trackedObjects / rankBucketSize]float64

func newCacheModel() cacheModel {
	var m cacheModel
	for i := range m {
		m[i] = 1
	}
	return m
}

// likelyHit reports whether most requests at a recency rank are cache hits.
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

// speed is the estimate of how fast a target works.
type speed struct {
	// slowdown is the factor that the target reported, 1 at normal speed; 0 if it has reported none.
	slowdown   float64
	reportedAt time.Time
	// residual is the residual slowdown at residualAt; 0 if there was no observation yet.
	residual   float64
	residualAt time.Time
}

// reported returns the slowdown that the target reported, or 1 if the report is missing or older than slowdownTTL.
func (s *speed) reported(now time.Time) float64 {
	if s.slowdown == 0 || now.Sub(s.reportedAt) > slowdownTTL {
		return 1
	}
	return s.slowdown
}

// factor returns the factor by which requests take longer than normal.
func (s *speed) factor(now time.Time) float64 {
	return s.reported(now) * s.currentResidual(now)
}

// currentResidual returns the residual slowdown after its decay towards 1.
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

// observe adds a request that took ratio times as long as expected to the residual slowdown.
func (s *speed) observe(ratio float64, now time.Time) {
	residual := s.currentResidual(now)
	s.residual = residual + residualWeight*(min(max(ratio, 1.0/maxResidual), maxResidual)-residual)
	s.residualAt = now
}

// expectedTime returns the time that a request is expected to take at a target, or 0 if it is unknown.
func (d *dispatcher) expectedTime(w *waiter, t *target, now time.Time) time.Duration {
	base := d.serviceTimes[w.req.Route].estimate(d.likelyCached(t, w.req.ObjectHash))
	factor := t.speed.factor(now)
	if now.Before(t.coldUntil) {
		factor *= coldFactor
	}
	return time.Duration(base * factor)
}

// likelyCached reports whether a target is expected to have an object in its cache.
func (d *dispatcher) likelyCached(t *target, object uint64) bool {
	return object != 0 && d.cacheModel.likelyHit(t.recentObjects.rank(object))
}

// observeServiceTime updates the estimates after a request that was answered.
func (d *dispatcher) observeServiceTime(p *permit, o Observation, now time.Time) {
	t := p.target
	slowdownAtGrant := p.slowdown
	t.speed.report(o.SlowdownPercent, now)
	if !p.objective || o.Total <= 0 {
		return
	}
	// The slowdown changes while a request runs, so the mean of its values at the start and the end is used.
	took := float64(o.Total) * 2 / (slowdownAtGrant + t.speed.reported(now))
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

// observeFailure counts a request that a target failed or shed as a slow one, so that the target gets fewer requests.
func (d *dispatcher) observeFailure(t *target, now time.Time) { t.speed.observe(maxResidual, now) }

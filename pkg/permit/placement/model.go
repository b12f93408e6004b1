// Package placement estimates how long a request takes at a target: how long requests of its route take, whether the target has the
// request's object in its cache, and how fast the target is at the moment. Dispatchers choose targets by it.
package placement

import "time"

const (
	// serviceTimeWeight is the weight of a new observation in the moving averages of a route.
	serviceTimeWeight = 1.0 / 32
	// minServiceTimeSamples is the number of observations from which on the averages of a route are used.
	minServiceTimeSamples = 8
	// maxSampleFactor limits an observation to a multiple of the mean. Few requests take many times as long as the others, and
	// they would distort the mean of the rest.
	maxSampleFactor = 2.5
	// defaultHitFactor is the assumed ratio of the time on a cache hit to the time on a miss while only one of them is known.
	defaultHitFactor = 0.8
	// alwaysCachedRanks is how many of the most recent objects a target is assumed to have cached in any case.
	alwaysCachedRanks = 8
)

// Model holds the estimates of one service. It is not safe for concurrent use.
type Model struct {
	// maxRoutes bounds the routes with estimates.
	maxRoutes int
	routes    map[string]*serviceTime
	cache     cacheModel
}

// NewModel returns a Model that knows nothing and estimates at most maxRoutes routes.
func NewModel(maxRoutes int) *Model {
	return &Model{maxRoutes: maxRoutes, routes: map[string]*serviceTime{}, cache: newCacheModel()}
}

// Estimate returns the mean time that requests of a route take on a cache hit or miss at normal speed, or 0 while it is unknown.
func (m *Model) Estimate(route string, hit bool) time.Duration {
	return time.Duration(m.routes[route].estimate(hit))
}

// LikelyCached reports whether a target is expected to have an object in its cache.
func (m *Model) LikelyCached(recent RecentObjects, object uint64) bool {
	return object != 0 && m.cache.likelyHit(recent.Rank(object))
}

// Sample is the time that one request took.
type Sample struct {
	Route string
	// Took is the time at normal speed of the target.
	Took time.Duration
	// Warm is set if a cache hit was expected.
	Warm bool
	// Rank is the rank of the request's object among the recent objects of the target.
	Rank int
}

// Observe adds a sample and returns the time that was expected before, 0 if that was unknown. known is false if there are too many routes.
func (m *Model) Observe(s Sample) (expected time.Duration, known bool) {
	stats := m.routes[s.Route]
	if stats == nil {
		if len(m.routes) >= m.maxRoutes {
			return 0, false
		}
		stats = &serviceTime{}
		m.routes[s.Route] = stats
	}
	expected = time.Duration(stats.estimate(s.Warm))
	took := float64(s.Took)
	switch {
	case s.Rank < alwaysCachedRanks:
		stats.observe(took, true)
	case s.Rank >= trackedObjects:
		stats.observe(took, false)
	}
	if stats.hitCount >= minServiceTimeSamples && stats.missCount >= minServiceTimeSamples {
		m.cache.observe(s.Rank, took < (stats.hit+stats.miss)/2)
	}
	return expected, true
}

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

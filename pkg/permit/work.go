package permit

import (
	"math"
	"slices"
	"time"
)

const (
	// knownObjects is the number of objects of which it is known how long ago a target served them.
	knownObjects = 64
	// surelyWarm is the number of objects that a target is taken to remember in any case.
	surelyWarm = 8
	// memoryStep is the number of neighbouring ranks of which it is learned together whether targets remember them, and
	// memoryWeight the weight of one observation.
	memoryStep   = 4
	memoryWeight = 0.1
	// workWeight is the weight of a new observation in the mean times of a route.
	workWeight = 1.0 / 32
	// workFirst is the number of observations before the mean times of a route are used.
	workFirst = 8
	// tailFactor bounds an observation by a multiple of the mean: few requests take many times as long as the others, and
	// they say nothing of the rest.
	tailFactor = 2.5
	// coldFactor is how many times as long work is taken to last at a target that is still cold.
	coldFactor = 2
	// warmGuess is the time at a target that remembers the object, as a part of the time elsewhere, until it is known.
	warmGuess = 0.8
	// slowdownValid is how long a target's own report of its speed counts: it changes many times a second.
	slowdownValid = time.Second
	// pace is how fast a target is compared with what its route's mean and its reports say; paceWeight is the weight of one
	// observation, maxPace the bound of one, and paceHalfLife the time after which half of it is forgotten, so that the
	// target is tried again.
	paceWeight   = 0.25
	maxPace      = 4
	paceHalfLife = 2 * time.Second
	// spread is added to an expected time, so that most of the requests end within it.
	spread = 0.1
)

// work is what is known of the time that requests on a route take at a target, in nanoseconds: cold where the target does
// not remember the object, and warm where it does.
type work struct {
	cold, warm           float64
	coldCount, warmCount int
}

// expect returns the mean time, or 0 while it is unknown.
func (w *work) expect(warm bool) float64 {
	switch {
	case w == nil || w.coldCount+w.warmCount < workFirst:
		return 0
	case warm && w.warmCount >= workFirst:
		return w.warm
	case warm:
		return w.cold * warmGuess
	case w.coldCount >= workFirst:
		return w.cold
	}
	return w.warm / warmGuess
}

func (w *work) observe(took float64, warm bool) {
	mean, count := &w.cold, &w.coldCount
	if warm {
		mean, count = &w.warm, &w.warmCount
	}
	if *count == 0 {
		*mean = took
	}
	*count++
	took = min(took, tailFactor**mean)
	*mean += max(workWeight, 1/float64(*count)) * (took - *mean)
}

// recency holds the objects that a target served, the last one first.
type recency []uint64

// rank returns how many other objects the target served since it served this one; knownObjects if it is not known.
func (r recency) rank(object uint64) int {
	if i := slices.Index(r, object); i >= 0 {
		return i
	}
	return knownObjects
}

func (r recency) use(object uint64) recency {
	if object == 0 {
		return r
	}
	if i := slices.Index(r, object); i >= 0 {
		copy(r[1:i+1], r[:i])
		r[0] = object
		return r
	}
	if len(r) < knownObjects {
		r = append(r, 0)
	}
	copy(r[1:], r)
	r[0] = object
	return r
}

// memory is what is known of how many objects the targets of a service remember: for neighbouring ranks, the share of the
// requests that were served as fast as for an object that was just served.
type memory [knownObjects / memoryStep]float64

func newMemory() memory {
	var m memory
	for i := range m {
		m[i] = 1
	}
	return m
}

// remembers reports whether most requests at a rank are served fast.
func (m *memory) remembers(rank int) bool { return rank < knownObjects && m[rank/memoryStep] > 0.5 }

func (m *memory) observe(rank int, fast bool) {
	if rank >= knownObjects {
		return
	}
	seen := 0.0
	if fast {
		seen = 1
	}
	m[rank/memoryStep] += memoryWeight * (seen - m[rank/memoryStep])
}

// speed is what is known of how fast a target works.
type speed struct {
	// slowdown is the target's own report, 1 for the usual speed.
	slowdown   float64
	reportedAt time.Time
	// pace is what its responses show beyond that.
	pace    float64
	pacedAt time.Time
}

// reported returns the target's own report as far as it still counts.
func (s *speed) reported(now time.Time) float64 {
	if s.slowdown == 0 || now.Sub(s.reportedAt) > slowdownValid {
		return 1
	}
	return s.slowdown
}

// factor returns by how much work takes longer than usual.
func (s *speed) factor(now time.Time) float64 {
	return s.reported(now) * s.currentPace(now)
}

func (s *speed) currentPace(now time.Time) float64 {
	if s.pace == 0 {
		return 1
	}
	left := math.Exp2(-float64(now.Sub(s.pacedAt)) / float64(paceHalfLife))
	return 1 + (s.pace-1)*left
}

func (s *speed) report(percent int, now time.Time) {
	if percent > 0 {
		s.slowdown, s.reportedAt = float64(percent)/100, now
	}
}

// observe takes note of a request that took ratio times as long as expected.
func (s *speed) observe(ratio float64, now time.Time) {
	pace := s.currentPace(now)
	s.pace = pace + paceWeight*(min(max(ratio, 1/maxPace), maxPace)-pace)
	s.pacedAt = now
}

// expected returns the time that a request is expected to take at a target; 0 while nothing is known.
func (d *dispatcher) expected(w *waiter, t *target, now time.Time) time.Duration {
	base := d.serviceTimes[w.req.Route].expect(d.remembers(t, w.req.ObjectHash))
	factor := t.speed.factor(now)
	if now.Before(t.coldUntil) {
		factor *= coldFactor
	}
	return time.Duration(base * factor)
}

// remembers reports whether a target is taken to remember an object.
func (d *dispatcher) remembers(t *target, object uint64) bool {
	return object != 0 && d.cacheModel.remembers(t.recentObjects.rank(object))
}

// observeWork learns from a request that got an answer.
func (d *dispatcher) observeWork(p *permit, o Observation, now time.Time) {
	t := p.target
	before := p.slowdown
	t.speed.report(o.SlowdownPercent, now)
	if !p.objective || o.Total <= 0 {
		return
	}
	// The speed changes while a request runs, so the mean of both ends counts.
	took := float64(o.Total) * 2 / (before + t.speed.reported(now))
	if p.cold {
		took /= coldFactor
	}
	stats := d.serviceTimes[p.route]
	if stats == nil {
		if len(d.serviceTimes) >= maxRoutes {
			return
		}
		stats = &work{}
		d.serviceTimes[p.route] = stats
	}
	if expected := stats.expect(p.warm); expected > 0 && !p.cold {
		t.speed.observe(took/expected, now)
	}
	switch {
	case p.recencyRank < surelyWarm:
		stats.observe(took, true)
	case p.recencyRank >= knownObjects:
		stats.observe(took, false)
	}
	if stats.warmCount >= workFirst && stats.coldCount >= workFirst {
		d.cacheModel.observe(p.recencyRank, took < (stats.warm+stats.cold)/2)
	}
}

// observeTrouble takes note of a request that a target failed or did not take.
func (d *dispatcher) observeTrouble(t *target, now time.Time) { t.speed.observe(maxPace, now) }

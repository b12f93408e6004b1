// Package worktime estimates how long the requests of a route take, as quantiles of the latest ones. A request that was cut off counts
// too: it shows that its work takes longer than the time that it had.
package worktime

import (
	"cmp"
	"slices"
	"time"
)

const (
	// leastShare is the share of the requests that complete within Least: a request with less time almost certainly fails.
	leastShare  = 0.1
	medianShare = 0.5
	// window is the number of requests that an estimate is based on, refreshEvery the number of requests after which it is computed again.
	// The first refresh also sets how many requests make an estimate.
	window       = 64
	refreshEvery = 8
	// cutMargin is added to the longest known time, as a fraction of it, where a quantile lies among requests that were cut off: they need
	// more than they had, and the next request must not count as fitting because it has a little more.
	cutMargin = 0.02
	// roundingError is larger than the error of a share that is computed in up to window steps.
	roundingError = 1e-9
)

// Estimates holds the estimates of the routes of one service. It is not safe for concurrent use.
type Estimates struct {
	// maxRoutes bounds the routes with estimates.
	maxRoutes int
	routes    map[string]*route
}

// route holds the latest samples of one route, and what follows from them as of the last refresh.
type route struct {
	samples []sample
	// ended counts the requests. The next sample replaces the one at ended modulo window.
	ended int
	// steps is the distribution of the times, beyond a time that is longer than all that are known.
	steps        []step
	beyond, mean time.Duration
}

// step says which share of the requests completes within a time.
type step struct {
	within time.Duration
	share  float64
}

// sample is the time that one request took, or the time after which it was cut off.
type sample struct {
	took time.Duration
	cut  bool
}

// New returns Estimates that know nothing and estimate at most maxRoutes routes.
func New(maxRoutes int) *Estimates {
	return &Estimates{maxRoutes: maxRoutes, routes: map[string]*route{}}
}

// Least returns the time within which one of ten requests of a route completes, or 0 while it is unknown.
func (e *Estimates) Least(name string) time.Duration { return e.routes[name].quantile(leastShare) }

// Median returns the time within which half of the requests of a route complete, or 0 while it is unknown.
func (e *Estimates) Median(name string) time.Duration { return e.routes[name].quantile(medianShare) }

// Within returns the time within which a part of those requests of a route complete that complete within a limit, or 0 while it is unknown.
func (e *Estimates) Within(name string, limit time.Duration, part float64) time.Duration {
	r := e.routes[name]
	return r.quantile(part * r.share(limit))
}

// Mean returns the mean time of the latest requests of a route, or 0 while it is unknown. Requests that were cut off count with the time that
// they had: they occupied their slot for that long.
func (e *Estimates) Mean(name string) time.Duration {
	if r := e.routes[name]; r != nil {
		return r.mean
	}
	return 0
}

// Observe adds a request that was complete after a time.
func (e *Estimates) Observe(name string, took time.Duration) { e.add(name, sample{took: took}) }

// ObserveCut adds a request that was cut off after a time.
func (e *Estimates) ObserveCut(name string, after time.Duration) {
	e.add(name, sample{took: after, cut: true})
}

// Forget drops what is known of a route, because it has changed.
func (e *Estimates) Forget(name string) { delete(e.routes, name) }

func (e *Estimates) add(name string, s sample) {
	r := e.routes[name]
	if r == nil {
		if len(e.routes) >= e.maxRoutes {
			return
		}
		r = &route{}
		e.routes[name] = r
	}
	if len(r.samples) < window {
		r.samples = append(r.samples, s)
	} else {
		r.samples[r.ended%window] = s
	}
	r.ended++
	if r.ended%refreshEvery == 0 {
		r.refresh()
	}
}

// refresh computes the distribution by the Kaplan-Meier estimator: a request that was cut off counts among those that take longer than each
// time before that, and not at all afterwards.
func (r *route) refresh() {
	sorted := slices.SortedFunc(slices.Values(r.samples), func(a, b sample) int { return cmp.Compare(a.took, b.took) })
	longest := sorted[len(sorted)-1].took
	r.beyond = longest + time.Duration(cutMargin*float64(longest))
	r.mean = meanOf(sorted)
	r.steps = r.steps[:0]
	running := 1.0 // the share of the requests that take longer
	for i, s := range sorted {
		if s.cut {
			continue
		}
		running -= running / float64(len(sorted)-i)
		r.steps = append(r.steps, step{within: s.took, share: 1 - running})
	}
}

// quantile returns the time within which a share of the requests completes, or 0 while it is unknown.
func (r *route) quantile(share float64) time.Duration {
	if r == nil {
		return 0
	}
	i, _ := slices.BinarySearchFunc(r.steps, share-roundingError, func(s step, share float64) int { return cmp.Compare(s.share, share) })
	if i == len(r.steps) {
		return r.beyond
	}
	return r.steps[i].within
}

// share returns the share of the requests that completes within a time.
func (r *route) share(limit time.Duration) float64 {
	if r == nil {
		return 0
	}
	i, found := slices.BinarySearchFunc(r.steps, limit, func(s step, limit time.Duration) int { return cmp.Compare(s.within, limit) })
	for found && i < len(r.steps) && r.steps[i].within == limit {
		i++
	}
	if i == 0 {
		return 0
	}
	return r.steps[i-1].share
}

func meanOf(samples []sample) time.Duration {
	sum := time.Duration(0)
	for _, s := range samples {
		sum += s.took
	}
	return sum / time.Duration(len(samples))
}

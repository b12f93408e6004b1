// Package worktime estimates how long the requests of a route take, as quantiles of the latest ones. A request that was cut off counts
// too: it shows that its work takes longer than the time that it had.
package worktime

import (
	"cmp"
	"slices"
	"time"
)

const (
	// leastQuantile is the share of the requests that complete within Least: a request with less time almost certainly fails.
	leastQuantile  = 0.1
	medianQuantile = 0.5
	// likelyQuantile is the share of the requests that complete within Likely. The rest would spend slot time on answers that come too
	// late, if each request waited until only that time is left.
	likelyQuantile = 0.9
	// window is the number of requests that an estimate is based on, refreshEvery the number of requests after which it is computed again.
	// The first refresh also sets how many requests make an estimate.
	window       = 64
	refreshEvery = 8
	// cutMargin is added to the longest known time, as a fraction of it, where a quantile lies among requests that were cut off: they need
	// more than they had, and the next request must not count as fitting because it has a little more.
	cutMargin = 0.02
)

// Estimates holds the estimates of the routes of one service. It is not safe for concurrent use.
type Estimates struct {
	// maxRoutes bounds the routes with estimates.
	maxRoutes int
	routes    map[string]*route
}

// route holds the latest samples of one route, and the quantiles as of the last refresh.
type route struct {
	samples []sample
	// ended counts the requests. The next sample replaces the one at ended modulo window.
	ended                       int
	least, median, likely, mean time.Duration
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
func (e *Estimates) Least(name string) time.Duration {
	if r := e.routes[name]; r != nil {
		return r.least
	}
	return 0
}

// Median returns the time within which half of the requests of a route complete, or 0 while it is unknown.
func (e *Estimates) Median(name string) time.Duration {
	if r := e.routes[name]; r != nil {
		return r.median
	}
	return 0
}

// Likely returns the time within which nine of ten requests of a route complete, or 0 while it is unknown.
func (e *Estimates) Likely(name string) time.Duration {
	if r := e.routes[name]; r != nil {
		return r.likely
	}
	return 0
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

// refresh computes the quantiles by the Kaplan-Meier estimator: a request that was cut off counts among those that take longer than each
// time before that, and not at all afterwards.
func (r *route) refresh() {
	sorted := slices.SortedFunc(slices.Values(r.samples), func(a, b sample) int { return cmp.Compare(a.took, b.took) })
	longest := sorted[len(sorted)-1].took
	beyond := longest + time.Duration(cutMargin*float64(longest))
	r.least, r.median, r.likely = beyond, beyond, beyond
	r.mean = meanOf(sorted)
	running := 1.0 // the share of the requests that take longer
	for i, s := range sorted {
		if s.cut {
			continue
		}
		running -= running / float64(len(sorted)-i)
		for _, q := range []struct {
			value *time.Duration
			share float64
		}{{&r.least, leastQuantile}, {&r.median, medianQuantile}, {&r.likely, likelyQuantile}} {
			if *q.value == beyond && 1-running >= q.share {
				*q.value = s.took
			}
		}
	}
}

func meanOf(samples []sample) time.Duration {
	sum := time.Duration(0)
	for _, s := range samples {
		sum += s.took
	}
	return sum / time.Duration(len(samples))
}

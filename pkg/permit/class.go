package permit

import (
	"cmp"
	"math"
	"time"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

const (
	classShort = configv1.RequestClass_REQUEST_CLASS_SHORT
	classLong  = configv1.RequestClass_REQUEST_CLASS_LONG

	// longFactor classifies a route as long if its mean response time exceeds longFactor times the median of the service.
	longFactor = 8
	// shortFactor classifies a route as short again below this factor. It is smaller than longFactor for hysteresis: a route
	// near the threshold must not change its class with each request.
	shortFactor = 4
	// longBytes is the mean response size in bytes above which a route is long regardless of its response time, because such
	// responses use the sessions for long responses.
	longBytes = 4 << 20
	// routeWeight is the weight of a new observation in the exponential moving averages of a route.
	routeWeight = 1.0 / 16
	// medianStep is the fraction by which one observation moves the estimate of the median. Early observations move it
	// further (see observeMedian).
	medianStep = 0.02
	// medianWarmUp is the number of observations before any route can be classified as long. Without it, a first observation
	// far below the true median makes every route long until the estimate has converged.
	medianWarmUp = 200
	// maxRoutes bounds the memory of per-route statistics. Routes come from the configuration, so that exceeding it is an
	// error of the caller.
	maxRoutes = 1024
	// defaultLongShare is the percentage of slots that long requests may occupy if the policy specifies none.
	defaultLongShare = 50
)

// classifier classifies the routes of a service as short or long by their mean response time and size.
type classifier struct {
	// median is a running estimate of the median response time of the service.
	median       time.Duration
	observations int
	routes       map[string]*routeStats
}

// routeStats holds the class of a route and the moving averages of its response time (ns) and response size (bytes).
type routeStats struct {
	class     configv1.RequestClass
	meanTime  float64
	meanBytes float64
}

// classOf returns the class that the request specifies, or else the class of its route. Unknown routes are short.
func (c *classifier) classOf(class configv1.RequestClass, route string) configv1.RequestClass {
	if class == classShort || class == classLong {
		return class
	}
	if r := c.routes[route]; r != nil {
		return r.class
	}
	return classShort
}

// observe updates the statistics from one successful response and reclassifies its route.
func (c *classifier) observe(route string, total time.Duration, bytes uint64) {
	c.observations++
	c.observeMedian(total)
	r := c.routes[route]
	if r == nil {
		if len(c.routes) >= maxRoutes {
			return
		}
		r = &routeStats{class: classShort, meanTime: float64(total), meanBytes: float64(bytes)}
		c.routes[route] = r
	}
	r.meanTime += routeWeight * (float64(total) - r.meanTime)
	r.meanBytes += routeWeight * (float64(bytes) - r.meanBytes)
	if c.observations < medianWarmUp {
		return
	}
	switch factor := r.meanTime / float64(max(c.median, time.Microsecond)); {
	case factor > longFactor || r.meanBytes > longBytes:
		r.class = classLong
	case factor < shortFactor && r.meanBytes < longBytes/2:
		r.class = classShort
	}
}

// observeMedian moves the estimate towards the observation by a fixed fraction of itself, regardless of the distance. The
// estimate converges to the median, where steps up and down are equally frequent. The fraction decreases to medianStep over the
// first observations.
func (c *classifier) observeMedian(total time.Duration) {
	if c.median == 0 {
		c.median = total
		return
	}
	fraction := max(medianStep, 1/math.Sqrt(float64(c.observations)))
	step := max(time.Microsecond, time.Duration(fraction*float64(c.median)))
	switch {
	case total > c.median:
		c.median += step
	case total < c.median:
		c.median -= step
	}
}

// Precedence of the requests of one priority: short requests come before long ones, and local requests before those forwarded from other
// failure domains.
const (
	precedenceShortLocal = iota
	precedenceShortForwarded
	precedenceLongLocal
	precedenceLongForwarded
)

// precedence returns the precedence of a request. Load balancing sends this failure domain only what fits into its slots, so that forwarded
// requests count as local ones then.
func (d *dispatcher) precedence(w *waiter) int {
	p := precedenceShortLocal
	if w.class == classLong {
		p = precedenceLongLocal
	}
	if w.req.Forwarded && !d.balancingEnabled() {
		p++
	}
	return p
}

// classCapacity is what the slots can do for a request class.
type classCapacity struct {
	// free is the number of slots that are free now, usable the number that the class could have while the other one keeps its slots.
	free, usable int
	// meanHold is the mean time for which a request occupies its slot.
	meanHold time.Duration
}

func (d *dispatcher) capacityFor(class configv1.RequestClass) classCapacity {
	free, usable := d.slots.capacity(class)
	return classCapacity{free: free, usable: max(1, usable), meanHold: d.meanHoldTime[class]}
}

// delay estimates the time until a request gets a slot when others of its class are ahead of it: that of the first slot that is expected to
// be free, and that of the work ahead which does not find a free slot now.
func (c classCapacity) delay(ahead backlog) time.Duration {
	if ahead.requests < c.free {
		return 0
	}
	queued := ahead.work * time.Duration(ahead.requests-c.free) / time.Duration(max(1, ahead.requests))
	return (queued + c.meanHold) / time.Duration(c.usable)
}

// queueDelay estimates the time until a request gets a slot that is served after all waiting requests of its class.
func (d *dispatcher) queueDelay(class configv1.RequestClass) time.Duration {
	return d.capacityFor(class).delay(d.queue.backlog(class))
}

// expectedWork returns the time for which a request is expected to occupy a slot, wherever it is served.
func (d *dispatcher) expectedWork(w *waiter) time.Duration {
	return cmp.Or(d.work.Mean(w.req.Route), d.meanHoldTime[w.class])
}

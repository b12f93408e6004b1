package permit

import (
	"math"
	"time"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

const (
	classShort = configv1.RequestClass_REQUEST_CLASS_SHORT
	classLong  = configv1.RequestClass_REQUEST_CLASS_LONG

	// longFactor is how many times the service's median a route's mean time is from which on it counts as long.
	longFactor = 8
	// shortFactor is below longFactor, so that a route near the limit does not change its class with each request.
	shortFactor = 4
	// longBytes is the mean answer size from which on a route counts as long whatever its time: such an answer takes the
	// sessions for long responses.
	longBytes = 4 << 20
	// routeWeight is the weight of a new observation in the means of a route.
	routeWeight = 1.0 / 16
	// medianStep is the share by which an observation moves the estimate of the median; the first ones move it further.
	medianStep = 0.02
	// medianWarmUp is the number of observations before a route can count as long. A first observation far below the median
	// made every route long until the estimate had caught up.
	medianWarmUp = 200
	// maxRoutes bounds the routes that are learned; they come from configuration, so more is a fault of the caller.
	maxRoutes = 1024
	// defaultLongShare is the percentage of slots that long work may take if the policy gives none.
	defaultLongShare = 50
)

// classifier learns which routes of a service are long.
type classifier struct {
	// median is the estimated median response time of the service.
	median time.Duration
	// observations is the number of observations.
	observations int
	routes       map[string]*routeStats
}

type routeStats struct {
	class     configv1.RequestClass
	meanTime  float64
	meanBytes float64
}

// classOf returns the request's own class, or else the learned one. Unknown routes count as short.
func (c *classifier) classOf(class configv1.RequestClass, route string) configv1.RequestClass {
	if class == classShort || class == classLong {
		return class
	}
	if r := c.routes[route]; r != nil {
		return r.class
	}
	return classShort
}

// observe learns from one answered request.
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

// observeMedian moves the estimate towards the observation by a fixed share, which converges to the median.
func (c *classifier) observeMedian(total time.Duration) {
	if c.median == 0 {
		c.median = total
		return
	}
	share := max(medianStep, 1/math.Sqrt(float64(c.observations)))
	step := max(time.Microsecond, time.Duration(share*float64(c.median)))
	switch {
	case total > c.median:
		c.median += step
	case total < c.median:
		c.median -= step
	}
}

// Queues in the order in which they are served: short before long work, local before forwarded requests.
const (
	queueShortLocal = iota
	queueShortForwarded
	queueLongLocal
	queueLongForwarded
	queueCount
)

// queueOf returns the index of the queue in which a request waits.
func queueOf(class configv1.RequestClass, forwarded bool) int {
	index := queueShortLocal
	if class == classLong {
		index = queueLongLocal
	}
	if forwarded {
		index++
	}
	return index
}

// waitersAhead returns how many waiting requests of its class are served before a new one.
func (d *dispatcher) waitersAhead(w *waiter) int {
	index := queueOf(w.class, w.req.Forwarded)
	n := d.queues[index].rank(w.deadline)
	if w.req.Forwarded {
		n += d.queues[index-1].len()
	}
	return n
}

// queueDelay estimates how long a request with that many others of its class ahead waits for a slot.
func (d *dispatcher) queueDelay(class configv1.RequestClass, ahead int) time.Duration {
	free, usable := d.slots.capacity(class)
	if ahead < free {
		return 0
	}
	return time.Duration(ahead-free+1) * d.meanHoldTime[class] / time.Duration(max(1, usable))
}

// minServiceTime is the time below which a request is not worth starting.
func (d *dispatcher) minServiceTime(class configv1.RequestClass) time.Duration {
	return d.meanHoldTime[class] / 2
}

// waitingCount returns the number of waitingCount requests of a class.
func (d *dispatcher) waitingCount(class configv1.RequestClass) int {
	first := queueOf(class, false)
	return d.queues[first].len() + d.queues[first+1].len()
}

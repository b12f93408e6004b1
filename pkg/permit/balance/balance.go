// Package balance decides which failure domain serves each request of a service.
//
// Each dispatcher measures the demand of the callers of its failure domain, in slots, and receives the demand and the slots of
// the other failure domains. It redirects a share of its requests if its own slots do not suffice for them. The
// shares change slowly, so that the caches of the targets can adapt. The hash of a request's object selects the failure domain,
// so that each object stays in one of them; a deficit counter for each failure domain corrects the selection, so that the shares
// hold within a few requests.
package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// spareFactor is the number of spare slots of a failure domain for the square root of its slots. With 1.2, an arriving request
	// finds a free slot in about nine of ten cases.
	spareFactor = 1.2
	// updateInterval is the shortest time between two updates of the shares.
	updateInterval = 100 * time.Millisecond
	// arrivalRateWeight is the weight of one updateInterval in the moving average of the arrival rate.
	arrivalRateWeight = 0.1
	// unlimitedShiftPeriod is how long a dispatcher changes its shares without a rate limit after its start or a loss of slots.
	// A new dispatcher does not know the shares of its predecessor, and it receives the summaries of the other failure domains
	// one by one, at one summary per second. After two of them from each it knows all loads.
	unlimitedShiftPeriod = 2 * time.Second
	// minRetainedFraction is the fraction of its peak slots that a failure domain must keep for the rate limit to apply. The
	// requests of a zone that is lost or evacuated must be served elsewhere at once; they would be refused otherwise. The spare slots
	// of spareFactor, a fifth of 32 slots, make up for a smaller loss.
	minRetainedFraction = 0.75
	// maxDeficit is the deficit or surplus, in requests, beyond which a request goes to another failure domain than its hash
	// selects.
	maxDeficit = 6.0
	// biasGain is how much the hash range of a failure domain changes for each request of its deficit. Hash ranges in proportion
	// to the shares are not enough, because some objects are more popular than others.
	biasGain = 0.0005
	// runLimitFraction is the part of the limit on shifts that the requests may use which run: some of them start later than others, and may be refused
	// elsewhere. leaveFraction and returnFraction are the parts that the shares may use. Requests that leave a full region would be refused
	// there. Those that return have a slot where they are, and a slow return keeps room for callers that come back.
	runLimitFraction = 0.8
	leaveFraction    = 0.8
	returnFraction   = 0.45
)

// NoDomain stands for an unknown failure domain.
const NoDomain = "-"

// Load is the load of a service in a failure domain.
type Load struct {
	Domain string
	Region string
	// Slots is the number of slots of its targets. Demand is the number of slots that the requests of its callers need.
	Slots  float64
	Demand float64
}

// Options are the parameters of a Balancer.
type Options struct {
	// Domain and Region are the failure domain of the dispatcher and its region.
	Domain, Region string
	// ShiftShare is the fraction of requests that may change the failure domain in which they run from one ShiftWindow to the next.
	ShiftShare  float64
	ShiftWindow time.Duration
}

// Observation is what a dispatcher observes of its failure domain and of the others.
type Observation struct {
	// Slots is the number of slots of its own targets, HoldTime the mean time for which a request occupies one.
	Slots    int
	HoldTime time.Duration
	// Others are the loads of the other failure domains, divided by Dispatchers: the number of dispatchers of the service in this failure
	// domain, each of which balances its part of the requests.
	Others      []Load
	Dispatchers int
}

// Request is what the selection depends on.
type Request struct {
	// Object is the hash of the object that the request concerns; 0 if it names none.
	Object uint64
	// HomeRegions are the regions in which the request may be served; empty means all.
	HomeRegions []string
}

// Balancer selects the failure domain of each request of one service. It is not safe for concurrent use.
type Balancer struct {
	opts Options
	// arrivals counts the requests of callers of this failure domain since the last update.
	arrivals int
	// arrivalRate is the moving average of the arrivals per second.
	arrivalRate float64
	updatedAt   time.Time
	// unlimitedUntil is until when the shares change without a rate limit.
	unlimitedUntil time.Time
	// peakSlots is the largest number of slots of each failure domain since its last loss of slots, divided by dispatchers.
	peakSlots   map[string]float64
	dispatchers int
	// rateSamples counts the observations in arrivalRate.
	rateSamples int
	// shares holds the share of each failure domain including this one, sorted by name.
	shares []share
	// plan is what the last update derived from the loads.
	plan Plan
	runs *runs
}

// Plan is what a dispatcher intends for the requests of its failure domain's callers, and what it derives that from.
type Plan struct {
	// Share is the fraction that its own failure domain serves now, Wanted the one that fits the loads.
	Share, Wanted float64
	// Demand is the number of slots that the requests need, Capacity the number up to which its own failure domain serves them.
	Demand, Capacity float64
}

// Plan returns the result of the last update. Before the first one, all requests stay.
func (b *Balancer) Plan() Plan {
	if len(b.shares) == 0 {
		return Plan{Share: 1, Wanted: 1}
	}
	return b.plan
}

// New returns a Balancer that serves all requests in its own failure domain until the first update.
func New(o Options) *Balancer { return &Balancer{opts: o, runs: newRuns(o.ShiftWindow)} }

// CountArrival counts a request of a caller of this failure domain.
func (b *Balancer) CountArrival() { b.arrivals++ }

// CountRun counts a request of a caller of this failure domain that runs in it.
func (b *Balancer) CountRun(now time.Time) { b.runs.countHere(now) }

// Update moves the shares towards those that fit the loads, at most once per updateInterval. It calls observe only if it does.
func (b *Balancer) Update(now time.Time, observe func() Observation) {
	elapsed := now.Sub(b.updatedAt)
	if elapsed < updateInterval {
		return
	}
	first := b.updatedAt.IsZero()
	b.updatedAt = now
	if first {
		b.unlimitedUntil = now.Add(unlimitedShiftPeriod)
	} else {
		b.updateArrivalRate(elapsed)
	}
	b.arrivals = 0
	observed := observe()
	b.setDispatchers(observed.Dispatchers)
	loads := b.loads(observed)
	if b.detectSlotLoss(loads) {
		b.unlimitedUntil = now.Add(unlimitedShiftPeriod)
	}
	wanted := balancedShares(b.opts.Domain, loads)
	b.shares = limitShift(b.shares, wanted, b.maxShift(wanted, elapsed, now))
	b.plan = b.planOf(loads, wanted)
	b.runs.advance(now)
	b.runs.updateCredit()
}

// maxShift returns how far the shares may move towards the wanted ones after a time.
func (b *Balancer) maxShift(wanted []share, elapsed time.Duration, now time.Time) float64 {
	if b.arrivalRate == 0 || !b.limited(now) {
		return 1
	}
	fraction := returnFraction
	if shareOf(wanted, b.opts.Domain).fraction < shareOf(b.shares, b.opts.Domain).fraction {
		fraction = leaveFraction
	}
	return fraction * b.opts.ShiftShare * float64(elapsed) / float64(b.opts.ShiftWindow)
}

// limited reports whether the limit on shifts applies.
func (b *Balancer) limited(now time.Time) bool { return !now.Before(b.unlimitedUntil) }

// applyRunLimit returns the share that a request gets of which the shares have selected one, so that what runs keeps the limit: the selected one, that of
// this failure domain if no more may leave, or another one if no more may return. The shares alone don't keep it. When more requests arrive than a full
// region serves, those that are meant to stay are refused, and those that leave grow with the arrivals; when the arrivals end, those that have
// waited run here, and nothing else leaves.
func (b *Balancer) applyRunLimit(now time.Time, selected *share) *share {
	if !b.limited(now) {
		return selected
	}
	most := runLimitFraction * b.opts.ShiftShare
	switch stays := selected.domain == b.opts.Domain; {
	case !stays && !b.runs.allowsAway(now, most):
		return b.ownShare()
	case stays && !b.runs.allowsHere(now, most):
		return cmp.Or(b.neediestOther(), selected)
	}
	return selected
}

// planOf returns the plan for the loads, which are sorted by name.
func (b *Balancer) planOf(loads []Load, wanted []share) Plan {
	p := Plan{Share: shareOf(b.shares, b.opts.Domain).fraction, Wanted: shareOf(wanted, b.opts.Domain).fraction}
	for i, c := range capacities(loads) {
		if loads[i].Domain == b.opts.Domain {
			p.Demand, p.Capacity = loads[i].Demand, c
		}
	}
	return p
}

// setDispatchers adapts the peaks to the number of dispatchers. How many slots of this failure domain belong to this dispatcher changes with it.
func (b *Balancer) setDispatchers(n int) {
	if b.dispatchers > 0 && n > 0 && b.dispatchers != n {
		for domain := range b.peakSlots {
			b.peakSlots[domain] *= float64(b.dispatchers) / float64(n)
		}
		delete(b.peakSlots, b.opts.Domain)
	}
	b.dispatchers = n
}

// updateArrivalRate adds the arrivals since the last update to the moving average. The first observations have equal weights.
func (b *Balancer) updateArrivalRate(elapsed time.Duration) {
	b.rateSamples++
	weight := max(arrivalRateWeight*float64(elapsed)/float64(updateInterval), 1/float64(b.rateSamples))
	b.arrivalRate += min(1, weight) * (float64(b.arrivals)/elapsed.Seconds() - b.arrivalRate)
}

// Demand returns the number of slots that the requests of this failure domain's callers need: arrival rate times mean hold time.
func (b *Balancer) Demand(holdTime time.Duration) float64 { return b.arrivalRate * holdTime.Seconds() }

// detectSlotLoss updates the peaks and reports whether a failure domain has lost a large part of its slots. A failure domain
// that reports neither slots nor demand has no dispatcher at the moment. It keeps its peak: otherwise its requests would be
// redirected at once and would return only at the limited rate.
func (b *Balancer) detectSlotLoss(loads []Load) bool {
	lost := false
	most := make(map[string]float64, len(loads))
	for _, l := range loads {
		most[l.Domain] = max(l.Slots, b.peakSlots[l.Domain])
		if l.Slots == 0 && l.Demand == 0 {
			continue
		}
		if l.Slots < minRetainedFraction*most[l.Domain] {
			most[l.Domain] = l.Slots
			lost = true
		}
	}
	b.peakSlots = most
	return lost
}

// loads returns the loads of all failure domains. While the demand of this one is unknown, it is assumed to be the mean of the
// others.
func (b *Balancer) loads(o Observation) []Load {
	own := Load{Domain: b.opts.Domain, Region: b.opts.Region, Slots: float64(o.Slots), Demand: b.Demand(o.HoldTime)}
	if own.Demand == 0 {
		own.Demand = meanDemand(o.Others)
	}
	return append([]Load{own}, o.Others...)
}

// meanDemand returns the mean demand of the failure domains that report one, or 0. A new dispatcher has no demand of its own to
// report until its first request has ended.
func meanDemand(loads []Load) float64 {
	sum, count := 0.0, 0
	for _, l := range loads {
		if l.Demand > 0 {
			sum += l.Demand
			count++
		}
	}
	return sum / float64(max(1, count))
}

// Choice is where a request is served.
type Choice struct {
	// Domain is the failure domain to which the request is redirected; empty if it stays in this one.
	Domain string
	// Kept is set if the request stays only because no more may leave. Its object is probably cached elsewhere.
	Kept bool
}

// Choose selects the failure domain of a request. A request with home regions does not count for the limit on shifts.
func (b *Balancer) Choose(now time.Time, r Request) Choice {
	if len(r.HomeRegions) > 0 {
		return Choice{Domain: b.chooseHomeDomain(r.HomeRegions)}
	}
	selected := b.pickShare(r.Object)
	if selected == nil {
		return Choice{}
	}
	selected.deficit-- // also if it does not get the request: what the limit prevents is not made up for later
	allowed := b.applyRunLimit(now, selected)
	if allowed.domain == b.opts.Domain {
		return Choice{Kept: allowed != selected}
	}
	b.runs.countAway(now)
	return Choice{Domain: allowed.domain}
}

// Instead returns the failure domain to which a request that was chosen to stay is redirected when it could run, because too many run here, or an
// empty string if it may run.
func (b *Balancer) Instead(now time.Time) string {
	most := runLimitFraction * b.opts.ShiftShare
	if !b.limited(now) || b.runs.allowsWaiting() && b.runs.allowsHere(now, most) || !b.runs.allowsAway(now, most) {
		return ""
	}
	other := b.neediestOther()
	if other == nil {
		return ""
	}
	b.runs.countAway(now)
	return other.domain
}

// chooseHomeDomain returns the failure domain of a request that may be served in its home regions only: an empty string if this
// one is in a home region, else the one with the largest share, or NoDomain if there is none.
func (b *Balancer) chooseHomeDomain(homes []string) string {
	if slices.Contains(homes, b.opts.Region) {
		return ""
	}
	best := -1
	for i, s := range b.shares {
		if slices.Contains(homes, s.region) && (best < 0 || s.fraction > b.shares[best].fraction) {
			best = i
		}
	}
	if best < 0 {
		return NoDomain
	}
	return b.shares[best].domain
}

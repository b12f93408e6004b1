package balance

import (
	"cmp"
	"math"
	"slices"
)

// share is the part of this failure domain's requests that one failure domain serves.
type share struct {
	domain string
	region string
	// fraction is between 0 and 1.
	fraction float64
	// deficit is how many requests the domain has received below its fraction; it is negative if the domain has received more.
	deficit float64
	// bias is added to fraction for the width of the domain's hash range.
	bias float64
}

// balancedShares returns the shares of the requests of failure domain own: it serves as many itself as capacities allows, and the
// others serve the rest in proportion to the room that their own requests leave.
func balancedShares(own string, loads []Load) []share {
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Domain, b.Domain) })
	assumeDemand(loads)
	capacity := capacities(loads)
	var room, excess, ownDemand float64
	for i, l := range loads {
		if l.Domain == own {
			ownDemand, excess = l.Demand, max(0, l.Demand-capacity[i])
			continue
		}
		room += max(0, capacity[i]-l.Demand)
	}
	away := 0.0
	if ownDemand > 0 && room > 0 {
		away = excess / ownDemand
	}
	shares := make([]share, len(loads))
	for i, l := range loads {
		shares[i] = share{domain: l.Domain, region: l.Region}
		switch {
		case l.Domain == own:
			shares[i].fraction = 1 - away
		case room > 0:
			shares[i].fraction = away * max(0, capacity[i]-l.Demand) / room
		}
	}
	return shares
}

// assumeDemand sets an unknown demand: it is assumed to be the same everywhere and to need all slots.
func assumeDemand(loads []Load) {
	slots, demand := totalLoad(loads)
	if demand > 0 {
		return
	}
	for i := range loads {
		loads[i].Demand = max(slots, 1) / float64(len(loads))
	}
}

func totalLoad(loads []Load) (slots, demand float64) {
	for _, l := range loads {
		slots += l.Slots
		demand += l.Demand
	}
	return slots, demand
}

// capacities returns the demand, in slots, up to which each failure domain serves its own callers. While the demand of all of them fits,
// this is the demand at which requests seldom wait. If it needs all slots or more, all failure domains get the same utilization.
func capacities(loads []Load) []float64 {
	slots, demand := totalLoad(loads)
	list := make([]float64, len(loads))
	planned := 0.0
	for i, l := range loads {
		list[i] = plannedCapacity(l.Slots)
		planned += list[i]
	}
	if demand <= planned || slots == 0 {
		return list
	}
	pressure := min(1, (demand-planned)/max(slots-planned, 1e-9))
	for i, l := range loads {
		list[i] += pressure * (l.Slots*max(1, demand/slots) - list[i])
	}
	return list
}

// plannedCapacity returns the number of slots that can be in use on average so that an arriving request seldom finds all of them occupied.
// By the square-root rule of staffing, the spare slots grow with the root of the slots: few slots need a larger part in reserve.
func plannedCapacity(slots float64) float64 { return max(0, slots-spareFactor*math.Sqrt(slots)) }

// limitShift returns the shares in from, moved towards those in to by at most maxShift, a fraction of all requests. A failure
// domain that is missing in to loses its share at once.
func limitShift(from, to []share, maxShift float64) []share {
	next := slices.Clone(to)
	var distance float64
	for i := range next {
		before := shareOf(from, next[i].domain)
		next[i].deficit, next[i].bias = before.deficit, before.bias
		distance += max(0, next[i].fraction-before.fraction)
	}
	if distance <= maxShift {
		return next
	}
	sum := 0.0
	for i := range next {
		before := shareOf(from, next[i].domain)
		next[i].fraction = before.fraction + (next[i].fraction-before.fraction)*maxShift/distance
		sum += next[i].fraction
	}
	if sum > 0 {
		for i := range next {
			next[i].fraction /= sum
		}
	}
	return next
}

func shareOf(shares []share, domain string) share {
	for _, s := range shares {
		if s.domain == domain {
			return s
		}
	}
	return share{}
}

// pickShare selects the share whose hash range contains the object. It selects the share with the
// largest deficit instead if the request has no object, or if a deficit or surplus exceeds maxDeficit. It returns nil if there
// are no shares.
func (b *Balancer) pickShare(object uint64) *share {
	if len(b.shares) == 0 {
		return nil
	}
	hashed, neediest := (*share)(nil), &b.shares[0]
	position, sum := float64(MixHash(object)>>11)/(1<<53)*b.totalSpan(), 0.0
	for i := range b.shares {
		s := &b.shares[i]
		s.deficit += s.fraction
		s.bias += biasGain * s.deficit
		sum += max(0, s.fraction+s.bias)
		if hashed == nil && position < sum {
			hashed = s
		}
		if s.deficit > neediest.deficit {
			neediest = s
		}
	}
	chosen := hashed
	if chosen == nil || object == 0 || chosen.deficit < -maxDeficit || neediest.deficit > maxDeficit {
		chosen = neediest
	}
	return chosen
}

// ownShare returns the share of this failure domain, which is always among the shares.
func (b *Balancer) ownShare() *share {
	i := slices.IndexFunc(b.shares, func(s share) bool { return s.domain == b.opts.Domain })
	return &b.shares[i]
}

// neediestOther returns the share with the largest deficit of the other failure domains that get requests, or nil if none does.
func (b *Balancer) neediestOther() *share {
	var best *share
	for i := range b.shares {
		s := &b.shares[i]
		if s.domain != b.opts.Domain && s.fraction > 0 && (best == nil || s.deficit > best.deficit) {
			best = s
		}
	}
	return best
}

// totalSpan returns the sum of the widths of all hash ranges.
func (b *Balancer) totalSpan() float64 {
	sum := 0.0
	for _, s := range b.shares {
		sum += max(0, s.fraction+s.bias)
	}
	return sum
}

// MixHash mixes all bits of an object's hash. The same hash selects the target within a failure domain, so that without mixing
// the two selections would be correlated.
func MixHash(object uint64) uint64 {
	x := object ^ object>>31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>27
}

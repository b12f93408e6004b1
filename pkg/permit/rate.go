package permit

import (
	"maps"
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// Rate limits of targets.
//
// A target may state in its responses how many requests per second it accepts from all hosts together. Its dispatcher grants all
// permits for it, so a token bucket there keeps the limit. A new dispatcher gets the limits from the hosts that it recovers permits
// from, and starts with empty buckets, because its predecessor may just have spent the tokens.

// rateLimitBurst is the capacity of the bucket of a rate limit, as the time in which it fills.
const rateLimitBurst = 200 * time.Millisecond

// rateLimitTTL is how long a host remembers the limit of a target that sends it no responses any more.
const rateLimitTTL = time.Minute

// rateBucket is a token bucket that time refills. Each request takes a token. The zero value has no rate and allows all requests.
type rateBucket struct {
	// rate is in tokens per second.
	rate       float64
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// setRate changes the rate and the capacity. A bucket that had no rate starts empty.
func (b *rateBucket) setRate(rate, burst float64, now time.Time) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
	b.refilledAt = now
}

func (b *rateBucket) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// allows refills the bucket and reports whether it has a token.
func (b *rateBucket) allows(now time.Time) bool {
	if b.rate <= 0 {
		return true
	}
	b.refill(now)
	return b.tokens >= 1-tokenEpsilon
}

func (b *rateBucket) take() {
	if b.rate > 0 {
		b.tokens--
	}
}

// nextToken returns when the bucket will have a token.
func (b *rateBucket) nextToken(now time.Time) time.Time {
	if b.allows(now) {
		return now
	}
	return now.Add(time.Duration((1 - b.tokens) / b.rate * float64(time.Second)))
}

// rateReport is the rate limit that a target stated; perSecond is 0 if it stated none.
type rateReport struct {
	perSecond float64
	at        time.Time
}

// reportRateLimit applies the limit that a target states. hold is the mean time for which a request occupies a slot.
func (t *target) reportRateLimit(r rateReport, hold time.Duration, now time.Time) {
	if r.at.Before(t.rateReportedAt) {
		return
	}
	t.rateReportedAt = r.at
	if r.perSecond <= 0 {
		t.rateLimit = rateBucket{}
		return
	}
	if r.perSecond != t.rateLimit.rate {
		t.rateLimit.setRate(r.perSecond, max(1, r.perSecond*rateLimitBurst.Seconds()), now)
	}
	t.rateLimitSlots = max(1, int(r.perSecond*hold.Seconds()+0.5))
}

// usableSlots returns the slots that the target's requests occupy on average at its rate limit. They count for load balancing and for
// admission. They do not limit the requests in flight: one that takes long would keep the target from getting others.
func (t *target) usableSlots() int {
	if t.rateLimit.rate <= 0 {
		return t.slots
	}
	return min(t.slots, t.rateLimitSlots)
}

// freeAtRate returns how many of a number of free slots can be used at the target's rate limit.
func (t *target) freeAtRate(free int) int { return min(free, max(0, t.usableSlots()-t.used)) }

// allowsRate reports whether the rate limit and the limit of a cold target allow a request now.
func (t *target) allowsRate(now time.Time) bool {
	return t.rateLimit.allows(now) && t.allowsColdRequest(now)
}

// takeRateToken counts a request against the limits of the target's rate.
func (t *target) takeRateToken(now time.Time) {
	t.rateLimit.take()
	if now.Before(t.coldUntil) {
		t.cold.take()
	}
}

// nextToken returns the earliest time after now at which a target with a rate limit has a token again, or zero if none waits for one.
func (s *slotTable) nextToken(now time.Time) time.Time {
	var next time.Time
	for _, t := range s.order {
		if t.closed || t.rateLimit.rate <= 0 {
			continue
		}
		if at := t.rateLimit.nextToken(now); at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// observeRateLimit applies the limit that the response of a released request stated.
func (d *dispatcher) observeRateLimit(p *permit, o Observation, now time.Time) {
	if o.Responded {
		p.target.reportRateLimit(rateReport{o.RateLimit, now}, d.meanHoldTime[p.class], now)
	}
}

// recordRateLimit remembers the limit that a target stated to this host, for the next dispatcher.
func (s *clientState) recordRateLimit(target string, o Observation) {
	if !o.Responded {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.RateLimit <= 0 {
		delete(s.rateLimits, target)
		return
	}
	now := time.Now()
	maps.DeleteFunc(s.rateLimits, func(_ string, r rateReport) bool { return now.Sub(r.at) > rateLimitTTL })
	s.rateLimits[target] = rateReport{o.RateLimit, now}
}

// encodeRateLimits returns the limits that this host knows. s.mu must be held.
func (s *clientState) encodeRateLimits(now time.Time) []*peerv1.TargetRateLimit {
	var list []*peerv1.TargetRateLimit
	for target, r := range s.rateLimits {
		list = append(list, &peerv1.TargetRateLimit{Target: target, PerSecond: r.perSecond, AgeMs: ceilMilliseconds(now.Sub(r.at))})
	}
	return list
}

// adoptRateLimits applies the limits that a host knew. Later reports of responses replace them.
func (d *dispatcher) adoptRateLimits(limits []*peerv1.TargetRateLimit, now time.Time) {
	for _, l := range limits {
		t, ok := d.slots.targets[l.GetTarget()]
		if !ok {
			continue
		}
		at := now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond)
		t.reportRateLimit(rateReport{l.GetPerSecond(), at}, d.meanHoldTime[classShort], now)
	}
}

package permit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit/placement"
)

// coldBurst is the capacity of the token bucket that limits the requests to a cold target. A new dispatcher starts with an empty
// bucket, because its predecessor may just have spent the tokens.
const coldBurst = 2

// returnColdTime is how long a target that accepted no connection counts as cold once it answers again. It may have restarted, which the
// configuration says within about that time.
const returnColdTime = 1500 * time.Millisecond

// applyConfig applies the configuration of a target. c is the same object while the configuration of the target is unchanged, so
// that the cold period starts only once.
func (t *target) applyConfig(c *configv1.Target, coldPerSecond float64, now time.Time) {
	if t.config == c {
		t.cold.rate = coldPerSecond
		return
	}
	if previous := t.config; previous.GetStartedUnixMs() != c.GetStartedUnixMs() {
		// The target was restarted: the estimates for the previous process do not apply.
		t.recentObjects, t.speed, t.rateLimit = nil, placement.Speed{}, rateBucket{}
		t.health.down, t.leaving = false, false
	}
	t.config = c
	t.nameHash = xxhash.Sum64String(c.GetName())
	t.coldUntil = time.Time{}
	if cold := time.Duration(c.GetColdMs()) * time.Millisecond; cold > 0 {
		t.coldUntil = now.Add(cold)
	}
	t.cold = rateBucket{rate: coldPerSecond, burst: coldBurst, refilledAt: now}
}

// startReturnCold limits the requests to a target that answers again after it accepted no connection.
func (t *target) startReturnCold(now time.Time) {
	until := now.Add(returnColdTime)
	if !until.After(t.coldUntil) {
		return
	}
	if !now.Before(t.coldUntil) {
		t.cold = rateBucket{rate: t.cold.rate, burst: coldBurst, refilledAt: now}
	}
	t.coldUntil = until
}

// allowsColdRequest reports whether the target may get a request as far as its cold caches are concerned. A target that is not cold
// always may.
func (t *target) allowsColdRequest(now time.Time) bool {
	return !now.Before(t.coldUntil) || t.cold.allows(now)
}

// rendezvousWeight returns the rendezvous hash weight of the target for an object; the highest weight is preferred.
func (t *target) rendezvousWeight(object uint64) uint64 {
	x := (t.nameHash ^ object) * 0x9e3779b97f4a7c15
	return x ^ x>>29
}

package permit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// coldBurst is how many requests a cold target gets at once at most. A dispatcher that takes over starts with none: its
// predecessor may just have spent them.
const coldBurst = 2

// applyConfig applies what the configuration says of a target. c is the same object for as long as it says the same, so
// that the time for which the target is cold starts once.
func (t *target) applyConfig(c *configv1.Target, coldPerSecond float64, now time.Time) {
	t.coldRate = coldPerSecond
	if t.config == c {
		return
	}
	if previous := t.config; previous.GetStartedUnixMs() != c.GetStartedUnixMs() {
		// Another process: what was learned of the one before it says nothing.
		t.recentObjects, t.speed = nil, speed{}
		t.quality.down = false
	}
	t.config = c
	t.nameHash = xxhash.Sum64String(c.GetName())
	t.coldUntil = time.Time{}
	if cold := time.Duration(c.GetColdMs()) * time.Millisecond; cold > 0 {
		t.coldUntil = now.Add(cold)
		t.coldTokens, t.coldRefilledAt = 0, now
	}
}

// allowsColdRequest reports whether a target that may be cold takes one more request now.
func (t *target) allowsColdRequest(now time.Time) bool {
	if t.coldRate <= 0 || !now.Before(t.coldUntil) {
		return true
	}
	t.coldTokens = min(coldBurst, t.coldTokens+t.coldRate*now.Sub(t.coldRefilledAt).Seconds())
	t.coldRefilledAt = now
	return t.coldTokens >= 1
}

// takeColdToken takes note of a request to a target that may be cold.
func (t *target) takeColdToken(now time.Time) {
	if t.coldRate > 0 && now.Before(t.coldUntil) {
		t.coldTokens--
	}
}

// rendezvousWeight orders targets for an object by rendezvous hash.
func (t *target) rendezvousWeight(object uint64) uint64 {
	x := (t.nameHash ^ object) * 0x9e3779b97f4a7c15
	return x ^ x>>29
}

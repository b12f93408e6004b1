package entry

import (
	"sync"
	"time"
)

// Callers that were refused come back and say how long they still wait, but not how long they have waited. Where most callers
// of a rule wait for the same time at first, the difference tells: an answer that is in time for a new caller is late for one
// that has come back.

const (
	// usualLead is by how many requests the usual timeout must lead before it counts.
	usualLead = 10
	// maxUsualLead bounds the lead, so that a new usual timeout is found soon.
	maxUsualLead = 200
	// usualSlack is the difference to the usual timeout that counts as none: callers round it.
	usualSlack = 5 * time.Millisecond
	// maxUsualRules bounds the rules that are remembered.
	maxUsualRules = 4096
)

// usualTimeouts finds for each rule the timeout that most callers give, by majority vote.
type usualTimeouts struct {
	mu    sync.Mutex
	rules map[string]*usualTimeout
}

type usualTimeout struct {
	timeout time.Duration
	lead    int
}

func newUsualTimeouts() *usualTimeouts { return &usualTimeouts{rules: map[string]*usualTimeout{}} }

// waited takes note of a caller's timeout and returns how long the caller seems to have waited before.
func (u *usualTimeouts) waited(rule string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.rules[rule]
	if r == nil {
		if len(u.rules) >= maxUsualRules {
			clear(u.rules)
		}
		r = &usualTimeout{}
		u.rules[rule] = r
	}
	r.note(timeout)
	missing := r.timeout - timeout
	if r.lead < usualLead || missing <= usualSlack {
		return 0
	}
	return missing
}

func (r *usualTimeout) note(timeout time.Duration) {
	switch {
	case timeout == r.timeout:
		r.lead = min(r.lead+1, maxUsualLead)
	case r.lead == 0:
		r.timeout, r.lead = timeout, 1
	default:
		r.lead--
	}
}

package permit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// LeastInFlight chooses the target with the fewest requests in flight from this host. It ignores the load from other hosts and
// serves as a baseline for comparisons.
type LeastInFlight struct {
	store  *config.Store
	domain string

	mu       sync.Mutex
	inFlight map[string]int
}

// NewLeastInFlight returns an Acquirer for the targets of one failure domain.
func NewLeastInFlight(store *config.Store, failureDomain string) *LeastInFlight {
	return &LeastInFlight{store: store, domain: failureDomain, inFlight: map[string]int{}}
}

// Acquire grants a permit without waiting; it returns a *RefusedError only if the service has no active target.
func (l *LeastInFlight) Acquire(_ context.Context, req Request) (*Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *configv1.Target
	for _, t := range l.store.Current().Targets(req.Service, l.domain) {
		if isDraining(t) {
			continue
		}
		if best == nil || l.inFlight[t.GetName()] < l.inFlight[best.GetName()] {
			best = t
		}
	}
	if best == nil {
		return nil, &RefusedError{Reason: peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET, RetryAfter: time.Second}
	}
	name := best.GetName()
	l.inFlight[name]++
	release := sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.inFlight[name]--
	})
	return &Grant{
		Target: name, Address: best.GetAddress(), Deadline: req.Deadline, Class: req.Class,
		Release: func(Observation) { release() },
	}, nil
}

var _ Acquirer = (*LeastInFlight)(nil)

// RandomChoice chooses among the active targets at random. It serves as a baseline for comparisons.
type RandomChoice struct {
	store  *config.Store
	domain string

	mu  sync.Mutex
	rng *rand.Rand
}

// NewRandomChoice returns an Acquirer for the targets of one failure domain.
func NewRandomChoice(store *config.Store, failureDomain string, rng *rand.Rand) *RandomChoice {
	return &RandomChoice{store: store, domain: failureDomain, rng: rng}
}

// Acquire grants a permit without waiting; it returns a *RefusedError only if the service has no active target.
func (c *RandomChoice) Acquire(_ context.Context, req Request) (*Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return grantOne(activeTargets(c.store, req.Service, c.domain), req, func(n int) int { return c.rng.IntN(n) })
}

// TwoChoices chooses the less loaded of two random targets ("power of two choices") by load reports that lag. It serves as a
// baseline for comparisons.
type TwoChoices struct {
	store  *config.Store
	domain string
	report func(target string) int

	mu  sync.Mutex
	rng *rand.Rand
}

// NewTwoChoices returns an Acquirer for the targets of one failure domain. report returns the last reported number of requests
// in flight at a target.
func NewTwoChoices(store *config.Store, failureDomain string, rng *rand.Rand, report func(target string) int) *TwoChoices {
	return &TwoChoices{store: store, domain: failureDomain, report: report, rng: rng}
}

// Acquire grants a permit without waiting; it returns a *RefusedError only if the service has no active target.
func (c *TwoChoices) Acquire(_ context.Context, req Request) (*Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	targets := activeTargets(c.store, req.Service, c.domain)
	return grantOne(targets, req, func(n int) int {
		a, b := c.rng.IntN(n), c.rng.IntN(n)
		if c.report(targets[b].GetName()) < c.report(targets[a].GetName()) {
			return b
		}
		return a
	})
}

func activeTargets(store *config.Store, service, failureDomain string) []*configv1.Target {
	var active []*configv1.Target
	for _, t := range store.Current().Targets(service, failureDomain) {
		if !isDraining(t) {
			active = append(active, t)
		}
	}
	return active
}

func grantOne(targets []*configv1.Target, req Request, choose func(n int) int) (*Grant, error) {
	if len(targets) == 0 {
		return nil, &RefusedError{Reason: peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET, RetryAfter: time.Second}
	}
	t := targets[choose(len(targets))]
	return &Grant{
		Target: t.GetName(), Address: t.GetAddress(), Deadline: req.Deadline, Class: req.Class, Release: func(Observation) {},
	}, nil
}

var (
	_ Acquirer = (*RandomChoice)(nil)
	_ Acquirer = (*TwoChoices)(nil)
)

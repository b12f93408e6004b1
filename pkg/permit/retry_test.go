package permit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit/balance"
	"github.com/rattanhitch/rattanhitch/pkg/poison"
)

// newTestDispatcher returns a dispatcher of a service with the given number of targets and a retry burst of 40.
func newTestDispatcher(targets int, term uint64) *dispatcher {
	m := &Manager{scope: tally.NoopScope, poison: &poison.Registry{}, opts: Options{
		RetryRatio: 0.2, RetryBurst: 40, FailureDomain: "d", ShiftShare: 0.1, ShiftWindow: time.Second,
	}}
	d := newDispatcher(m, "s", dispatcherID{term: term})
	d.snap = snapshotOf(targets)
	d.splitRetryBurst()
	return d
}

// retriesAdmitted sends retries until one is refused and returns the number admitted.
func (d *dispatcher) retriesAdmitted() int {
	count := 0
	for d.admitAttempt(&waiter{req: Request{Attempt: 1}}, time.Now()) == nil {
		count++
	}
	return count
}

// Guards against a retry burst that grows with the number of shards: a service with many targets has several dispatchers in a
// failure domain, and each had the burst of the whole service.
func TestShardsSplitTheRetryBurst(t *testing.T) {
	is := is.New(t)
	is.Equal(newTestDispatcher(1, firstTerm).retriesAdmitted(), 40)
	is.Equal(newTestDispatcher(4*maxShardTargets, firstTerm).retriesAdmitted(), 10)
}

// Guards against a failover that refills the retry budget: in a rolling restart of all hosts, each successor started with a full
// bucket.
func TestSuccessorStartsWithEmptyRetryBudget(t *testing.T) {
	is := is.New(t)
	d := newTestDispatcher(1, firstTerm+1)
	is.Equal(d.retriesAdmitted(), 0)
	for range 10 {
		d.earnRetryTokens(&waiter{}, time.Now())
	}
	is.Equal(d.retriesAdmitted(), 2)
}

// Guards against a request that refills the retry budget twice: in the failure domain that redirects it and in the one that
// serves it.
func TestRedirectedRequestDoesNotRefillRetryBudget(t *testing.T) {
	is := is.New(t)
	d := newTestDispatcher(1, firstTerm+1)
	d.balance = balance.New(balance.Options{Domain: "d", ShiftShare: 1, ShiftWindow: time.Second})
	d.manager.opts.DomainLoads = func(string) []DomainLoad { return []DomainLoad{{Domain: "other", Slots: 100}} } // d has no slots
	d.manager.self.Host = "h"
	d.followers["h"] = &follower{holder: holder{"h", 1}, answered: true}
	d.snap = config.NewSnapshot(1, []*configv1.Object{
		{Kind: &configv1.Object_Service{Service: &configv1.Service{Name: "s"}}},
		{Kind: &configv1.Object_Policy{Policy: &configv1.Policy{Name: "p", Service: "s", BalanceRegions: true}}},
	})
	for range 10 {
		later := time.Now().Add(time.Hour)
		w := newWaiter(Request{Service: "s", FollowsRedirects: true}, holder{"h", 1}, later, dispatcherID{})
		w.apply(d, time.Now())
		is.Equal((<-w.result).redirectTo, "other")
	}
	is.Equal(d.retriesAdmitted(), 0)
}

// Guards against requests that are refused because their retries after refused connections, which no target has seen, use up the budget.
func TestUnreachedTargetsCostNoRetryBudget(t *testing.T) {
	is := is.New(t)
	d := newTestDispatcher(1, firstTerm)
	for range 100 {
		is.True(d.admitAttempt(&waiter{req: Request{Attempt: 2, Unreached: 2}}, time.Now()) == nil)
	}
	is.Equal(d.retriesAdmitted(), 40)
	is.True(d.admitAttempt(&waiter{req: Request{Attempt: 2, Unreached: 1}}, time.Now()) != nil)
}

// Guards against callers that are told to return long before or after the next retry is possible.
func TestRefusedRetryHearsWhenATokenIsExpected(t *testing.T) {
	is := is.New(t)
	d := newTestDispatcher(1, firstTerm+1)
	now := time.Now()
	is.Equal(d.admitAttempt(&waiter{req: Request{Attempt: 1}}, now).RetryAfter, maxTokenDelay) // nothing is known
	for i := range 1002 {                                                                      // 100 a second, a fifth of a token each
		d.earnRetryTokens(&waiter{}, now.Add(time.Duration(i)*10*time.Millisecond))
	}
	d.retriesAdmitted()
	after := d.admitAttempt(&waiter{req: Request{Attempt: 1}}, now).RetryAfter
	is.True(after > 45*time.Millisecond && after <= 50*time.Millisecond)
}

package permit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// newTestDispatcher returns a dispatcher of a service with a number of targets, of which 40 retries can be saved up.
func newTestDispatcher(targets int, term uint64) *dispatcher {
	m := &Manager{scope: tally.NoopScope, opts: Options{
		RetryRatio: 0.2, RetryBurst: 40, FailureDomain: "d", ShiftShare: 0.1, ShiftWindow: time.Second,
	}}
	d := newDispatcher(m, "s", dispatcherID{term: term})
	d.snap = snapshotOf(targets)
	d.splitRetryBurst()
	return d
}

// retriesAdmitted returns how many retries are admitted one after the other.
func (d *dispatcher) retriesAdmitted() int {
	count := 0
	for d.admitAttempt(&waiter{req: Request{Attempt: 1}}, time.Now()) == nil {
		count++
	}
	return count
}

// Guards against retries that multiply with the dispatchers: a service of many targets has several in each failure domain, and
// each one saved up as much as a single one may.
func TestShardsShareTheSavedRetries(t *testing.T) {
	is := is.New(t)
	is.Equal(newTestDispatcher(1, firstTerm).retriesAdmitted(), 40)
	is.Equal(newTestDispatcher(4*maxShardTargets, firstTerm).retriesAdmitted(), 10)
}

// Guards against a change of the dispatcher that pays for the same retries again: when all hosts restart in turn, each successor
// started with everything saved up.
func TestSuccessorStartsWithoutSavedRetries(t *testing.T) {
	is := is.New(t)
	d := newTestDispatcher(1, firstTerm+1)
	is.Equal(d.retriesAdmitted(), 0)
	for range 10 {
		d.earnRetryTokens(&waiter{})
	}
	is.Equal(d.retriesAdmitted(), 2)
}

// Guards against a request that pays for retries in two failure domains, the one that it came to and the one that serves it.
func TestRequestSentElsewhereEarnsNoRetry(t *testing.T) {
	is := is.New(t)
	d := newTestDispatcher(1, firstTerm+1)
	d.balance.shares = []share{{domain: "other", fraction: 1}}
	d.balance.updatedAt = time.Now().Add(time.Hour)
	d.balance.ownDomain = "d"
	d.manager.self.Host = "h"
	d.followers["h"] = &follower{holder: holder{"h", 1}, answered: true}
	d.snap = config.NewSnapshot(1, []*configv1.Object{
		{Kind: &configv1.Object_Service{Service: &configv1.Service{Name: "s"}}},
		{Kind: &configv1.Object_Policy{Policy: &configv1.Policy{Name: "p", Service: "s", BalanceRegions: true}}},
	})
	for range 10 {
		later := time.Now().Add(time.Hour)
		w := newWaiter(Request{Service: "s", FollowsRedirects: true, Objective: later}, holder{"h", 1}, later, dispatcherID{})
		w.apply(d, time.Now())
		is.Equal((<-w.result).redirectTo, "other")
	}
	is.Equal(d.retriesAdmitted(), 0)
}

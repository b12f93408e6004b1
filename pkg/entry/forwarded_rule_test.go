package entry

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/command"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// addRules returns a store whose configuration is that of ruleStore with more rules and a service "fresh".
func addRules(rules ...*configv1.Rule) *config.Store {
	objects := []*configv1.Object{
		{Kind: &configv1.Object_Service{Service: &configv1.Service{Name: "fresh", DefaultTimeoutMs: 5000}}},
	}
	for _, o := range ruleStore().Current().List("") {
		if host := o.GetVirtualHost(); host != nil {
			host.Rules = append(host.Rules, rules...)
		}
		objects = append(objects, o)
	}
	store := config.NewStore()
	store.Set(config.NewSnapshot(2, objects))
	return store
}

// newRule returns a rule for one service with two attempts.
func newRule(prefix, service string, repeat configv1.Repeat) *configv1.Rule {
	return &configv1.Rule{
		Name: "new", PathPrefix: prefix, Repeat: repeat, TimeoutMs: 2000, Attempts: 2, LatencyMs: 500,
		Class: configv1.RequestClass_REQUEST_CLASS_SHORT, Destinations: []*configv1.Destination{{Service: service, Weight: 1}},
	}
}

// redirectToSecond returns a host with one target whose dispatcher redirects all requests, and the host that they are redirected to.
// The first host has the newer configuration.
func redirectToSecond(t *testing.T, newer, older *config.Store) (first, second *fixture) {
	second = newFixture(t, 2, func(o *Options) {
		o.Store = older
		o.Self = peer.Identity{Host: "h2", Incarnation: 9}
	})
	first = newFixture(t, 1, func(o *Options) {
		o.Store = newer
		o.Permits = redirectingAcquirer{o.Permits}
		o.FindRemote = func(domain string, _ []string) (Place, bool) {
			return Place{FailureDomain: domain, Host: peer.Address{Host: "h2", Addr: "h2"}}, true
		}
	})
	first.handler.opts.Forwarder = first.net
	first.net.serve(t, "h2", second.handler.ForwardedHandler())
	return first, second
}

// Guards against a request on a new route that is answered with 404, or handled by the older rule of the host that it is
// forwarded to, because the configuration reaches the two hosts at different times.
func TestForwardedRequestKeepsTheRuleOfTheFirstHost(t *testing.T) {
	for _, c := range []struct {
		name      string
		rule      *configv1.Rule
		older     *config.Store
		loseFirst bool
		status    int
		// executed is the number of runs at the targets of the first and of the second host.
		executed [2]int
	}{
		{"new route", newRule("/n/", "lookup", configv1.Repeat_REPEAT_IDEMPOTENT), ruleStore(), false, 200, [2]int{0, 1}},
		{"new route below an older one", newRule("/r/n/", "lookup", configv1.Repeat_REPEAT_AT_MOST_ONCE), ruleStore(), true, 502, [2]int{0, 1}},
		{"new service", newRule("/n/", "fresh", configv1.Repeat_REPEAT_IDEMPOTENT), ruleStore(), false, 200, [2]int{1, 0}},
		{"no configuration", newRule("/n/", "lookup", configv1.Repeat_REPEAT_IDEMPOTENT), config.NewStore(), false, 200, [2]int{1, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				first, second := redirectToSecond(t, addRules(c.rule), c.older)
				if c.loseFirst {
					second.targets[0].SetFaults(target.Faults{LoseAnswer: true})
				}
				got := first.do("POST", c.rule.GetPathPrefix()+"a", "x")
				is.NoErr(got.err)
				is.Equal(got.status, c.status)
				synctest.Wait()
				is.Equal(first.targets[0].Report().Total, c.executed[0])
				is.Equal(second.targets[0].Report().Total+second.targets[1].Report().Total, c.executed[1])
			})
		})
	}
}

// Guards against a request without a rule that is handled by the older route or body limit of the host that it is forwarded to: a
// command runs twice, or a body that the service allows is refused.
func TestForwardedRequestKeepsTheRouteOfTheFirstHost(t *testing.T) {
	const limit = 2 << 20
	newer := config.NewStore()
	newer.Set(config.NewSnapshot(2, []*configv1.Object{{Kind: &configv1.Object_Service{Service: &configv1.Service{
		Name: "lookup", DefaultTimeoutMs: 5000, MaxBodyBytes: limit, Routes: []*configv1.Route{{PathPrefix: "/order", Command: true}},
	}}}}))
	for _, c := range []struct {
		name, path, body string
		loseFirst        bool
		status, executed int
	}{
		{"new command route", "/lookup/order", "x", true, 502, 1},
		{"route without command", "/lookup/read", "x", true, 200, 2},
		{"larger body limit", "/lookup/read", strings.Repeat("x", limit), false, 200, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				second := newFixture(t, 2, func(o *Options) { o.Self = peer.Identity{Host: "h2", Incarnation: 9} })
				first := newFixture(t, 0, func(o *Options) {
					o.Store, o.Steerer, o.Commands = newer, fixedPlaces{atSecond}, directExecutor{}
				})
				first.handler.opts.Forwarder = first.net
				first.net.serve(t, "h2", second.handler.ForwardedHandler())
				if c.loseFirst {
					second.targets[0].SetFaults(target.Faults{LoseAnswer: true})
				}
				got := first.do("PUT", c.path, c.body, "Idempotency-Key", "k")
				is.NoErr(got.err)
				is.Equal(got.status, c.status)
				synctest.Wait()
				is.Equal(second.targets[0].Report().Total+second.targets[1].Report().Total, c.executed)
			})
		})
	}
}

// Guards against 404 for a command that is relayed to the owner of its key while the owner has an older configuration.
func TestRelayedCommandOfANewServiceIsNotUnknown(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		second := newFixture(t, 1, func(o *Options) {
			o.Self = peer.Identity{Host: "h2", Incarnation: 9}
			o.Commands = directExecutor{}
		})
		first := newFixture(t, 0, func(o *Options) {
			o.Store, o.Commands = serviceStore("fresh"), relayingExecutor{}
		})
		first.handler.opts.Forwarder = first.net
		first.net.serve(t, "h2", second.handler.ForwardedHandler())
		got := first.do("POST", "/fresh/pay", "x", "Idempotency-Key", "k")
		is.NoErr(got.err)
		is.Equal(got.status, 503)
		is.Equal(got.header.Get("Rattanhitch-Reason"), "not-ready")
		is.Equal(second.targets[0].Report().Total, 0)
	})
}

// relayingExecutor is a CommandExecutor that relays every command to the host h2.
type relayingExecutor struct{ directExecutor }

func (relayingExecutor) Execute(ctx context.Context, _ command.Command, s command.Sender) command.Result {
	result, _ := s.Relay(ctx, peer.Address{Host: "h2", Addr: "h2"}, 1000)
	return result
}

// serviceStore returns a store whose configuration has one service.
func serviceStore(name string) *config.Store {
	store := config.NewStore()
	store.Set(config.NewSnapshot(2, []*configv1.Object{
		{Kind: &configv1.Object_Service{Service: &configv1.Service{Name: name, DefaultTimeoutMs: 5000}}},
	}))
	return store
}

// failingOverAcquirer grants one permit and refuses all others, as after the loss of the dispatcher.
type failingOverAcquirer struct {
	permit.Acquirer
	granted *atomic.Bool
}

func (a failingOverAcquirer) Acquire(ctx context.Context, req permit.Request) (*permit.Grant, error) {
	if a.granted.Swap(true) {
		return nil, &permit.RefusedError{Reason: peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER}
	}
	return a.Acquirer.Acquire(ctx, req)
}

// Guards against a request that runs at more targets than the attempts of its rule, and whose retries take no retry budget, because the
// host that it is forwarded to does not know of its earlier attempts.
func TestForwardedRequestKeepsItsAttempts(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		first, second := redirectToSecond(t, ruleStore(), ruleStore())
		first.handler.opts.Permits = failingOverAcquirer{first.permits, &atomic.Bool{}}
		for _, t := range []*target.Target{first.targets[0], second.targets[0], second.targets[1]} {
			t.SetFaults(target.Faults{LoseAnswer: true})
		}
		got := first.do("GET", "/r/a", "") // two attempts
		is.NoErr(got.err)
		is.Equal(got.status, 502)
		synctest.Wait()
		is.Equal(first.targets[0].Report().Total, 1)
		is.Equal(second.targets[0].Report().Total+second.targets[1].Report().Total, 1)
		is.Equal(second.permits.requests[0].Attempt, 1)
	})
}

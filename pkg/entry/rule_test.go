package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	"github.com/rattanhitch/rattanhitch/pkg/entry/dialect"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// ruleStore returns a configuration with one virtual host: a rule for reads, one for commands and one with two destinations.
func ruleStore() *config.Store {
	rule := func(name, prefix string, repeat configv1.Repeat, destinations ...*configv1.Destination) *configv1.Rule {
		return &configv1.Rule{
			Name: name, PathPrefix: prefix, Repeat: repeat, TimeoutMs: 2000, Attempts: 2, LatencyMs: 500,
			Class: configv1.RequestClass_REQUEST_CLASS_SHORT, Destinations: destinations,
		}
	}
	lookup := &configv1.Destination{Service: "lookup", Weight: 3}
	other := &configv1.Destination{Service: "other", Weight: 1}
	store := config.NewStore()
	store.Set(config.NewSnapshot(1, []*configv1.Object{
		{Kind: &configv1.Object_Service{Service: &configv1.Service{Name: "lookup", DefaultTimeoutMs: 5000}}},
		{Kind: &configv1.Object_Service{Service: &configv1.Service{Name: "other", DefaultTimeoutMs: 5000}}},
		{Kind: &configv1.Object_VirtualHost{VirtualHost: &configv1.VirtualHost{Name: "entry", Rules: []*configv1.Rule{
			rule("reads", "/r/", configv1.Repeat_REPEAT_IDEMPOTENT, lookup),
			rule("commands", "/r/c/", configv1.Repeat_REPEAT_AT_MOST_ONCE, lookup),
			rule("split", "/s/", configv1.Repeat_REPEAT_IDEMPOTENT, lookup, other),
		}}}},
	}))
	return store
}

func newRuleFixture(t *testing.T, targets int, change func(*Options)) *fixture {
	return newFixture(t, targets, func(o *Options) {
		o.Store = ruleStore()
		if change != nil {
			change(o)
		}
	})
}

// Guards against a command that matches a rule and runs twice because its response was lost or truncated, and against a read that
// fails although another target can serve it.
func TestRulesControlRetries(t *testing.T) {
	for _, c := range []struct {
		name, method, url string
		faults            target.Faults
		status            int
		outcome           string
		executed          [2]int
	}{
		{"read, lost answer", "GET", "/r/a", target.Faults{LoseAnswer: true}, 200, "", [2]int{1, 1}},
		{"read by POST, lost answer", "POST", "/r/a", target.Faults{LoseAnswer: true}, 200, "", [2]int{1, 1}},
		{"read, cut answer", "GET", "/r/a?size=200000", target.Faults{Truncate: true}, 200, "", [2]int{1, 1}},
		{"read, shed", "GET", "/r/a", target.Faults{ShedAll: true}, 200, "", [2]int{0, 1}},
		{"command, lost answer", "POST", "/r/c/a", target.Faults{LoseAnswer: true}, 502, "unknown", [2]int{1, 0}},
		{"command by GET, lost answer", "GET", "/r/c/a", target.Faults{LoseAnswer: true}, 502, "unknown", [2]int{1, 0}},
		{"command, cut answer", "POST", "/r/c/a?size=200000", target.Faults{Truncate: true}, 502, "unknown", [2]int{1, 0}},
		{"command, shed", "POST", "/r/c/a", target.Faults{ShedAll: true}, 200, "", [2]int{0, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				w := newRuleFixture(t, 2, nil)
				w.targets[0].SetFaults(c.faults)
				got := w.do(c.method, c.url, "x")
				is.NoErr(got.err)
				is.Equal(got.status, c.status)
				is.Equal(got.header.Get("Rattanhitch-Outcome"), c.outcome)
				synctest.Wait()
				is.Equal(w.targets[0].Report().Total, c.executed[0])
				is.Equal(w.targets[1].Report().Total, c.executed[1])
				is.Equal(w.permits.open, 0)
			})
		})
	}
}

// Guards against estimates of the service time that mix the requests of different rules: short ones made dispatchers believe that a cache
// miss takes hardly longer than a hit, so that objects were spread over all targets.
func TestRulesHaveStatisticsOfTheirOwn(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newRuleFixture(t, 1, nil)
		w.do("GET", "/r/a", "")
		w.do("GET", "/s/a", "")
		is.Equal(len(w.permits.requests), 2)
		is.Equal(w.permits.requests[0].Route, "reads")
		is.Equal(w.permits.requests[1].Route, "split")
	})
}

// Guards against serving a request that matches no rule, and against a request that exceeds the timeout of its rule.
func TestRulesLimitPathsAndTime(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newRuleFixture(t, 1, nil)
		for _, path := range []string{"/", "/rx", "/x/", "/lookup/a"} {
			is.Equal(w.do("GET", path, "").status, 404)
		}
		w.targets[0].SetFaults(target.Faults{Freeze: true})
		start := time.Now()
		got := w.do("GET", "/r/a", "")
		// 502 if the target, which receives the deadline, closes its connection just before it. Both leave the outcome open.
		is.True(got.status == 504 || got.status == 502)
		is.Equal(got.header.Get("Rattanhitch-Outcome"), "unknown")
		is.True(time.Since(start) < 2100*time.Millisecond)
		synctest.Wait()
		// A second attempt, if the target has closed the connection just before the deadline, has no time left.
		q := w.permits.requests[0]
		is.Equal(q.QueueTimeout, (time.Second-decisionDelay)/3) // half of the caller's time is spare, whatever the objective
	})
}

// Guards against a traffic split whose destinations get shares that do not match their weights.
func TestSplitByWeight(t *testing.T) {
	is := is.New(t)
	counts := map[string]int{}
	rule, _ := ruleStore().Current().Rule("entry", "/s/x")
	const draws = 4000
	for range draws {
		counts[pickDestination(rule.GetDestinations())]++
	}
	is.True(counts["lookup"] > draws*72/100 && counts["lookup"] < draws*78/100)
	is.Equal(counts["lookup"]+counts["other"], draws)
}

// redirectingAcquirer redirects all requests that follow redirects to another failure domain.
type redirectingAcquirer struct{ permit.Acquirer }

func (e redirectingAcquirer) Acquire(ctx context.Context, req permit.Request) (*permit.Grant, error) {
	if req.FollowsRedirects {
		return nil, &permit.RedirectError{FailureDomain: "d2"}
	}
	return e.Acquirer.Acquire(ctx, req)
}

// forwarderFunc is a peer.Forwarder whose transports call the function.
type forwarderFunc func(*http.Request) (*http.Response, error)

func (f forwarderFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func (f forwarderFunc) Transport(peer.Address, peer.SessionClass) http.RoundTripper { return f }

// Guards against a redirected request that is refused because the chosen host is unreachable, and against a request that is
// forwarded more than once.
func TestRedirectFallsBackToLocalTargets(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		bubble.Run(t, func(t *testing.T) {
			is := is.New(t)
			forwards := 0
			w := newRuleFixture(t, 1, func(o *Options) {
				o.Permits = redirectingAcquirer{o.Permits}
				o.FindRemote = func(domain string, _ []string) (Place, bool) {
					is.Equal(domain, "d2")
					return Place{FailureDomain: domain, Host: peer.Address{Host: "h2", Addr: "h2"}}, true
				}
				o.Forwarder = forwarderFunc(func(r *http.Request) (*http.Response, error) {
					forwards++
					if !reachable {
						httptrace.ContextClientTrace(r.Context()).GetConn("h2") // without GotConn: nothing was sent
						return nil, errors.New("no connection")
					}
					is.True(r.Header.Get("Request-Timeout") != "") // the other host needs the time that is left
					resp := &http.Response{
						StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("there")), ContentLength: 5,
					}
					for _, name := range []string{"Rattanhitch-Request-Id", headerIncarnation} {
						resp.Header.Set(name, r.Header.Get(name))
					}
					return resp, nil
				})
			})
			got := w.do("GET", "/r/a", "")
			is.NoErr(got.err)
			is.Equal(got.status, 200)
			is.Equal(string(got.body) == "there", reachable)
			is.Equal(forwards, 1)
		})
	}
}

// statingDialect makes targets state that they are leaving and that they want no requests for some time.
type statingDialect struct{ dialect.Native }

func (d statingDialect) ReadResponse(resp *http.Response) dialect.ResponseInfo {
	info := d.Native.ReadResponse(resp)
	info.Leaving, info.HoldOff = true, 2*time.Second
	return info
}

// Guards against a target's statements that are only handed on once its response has ended, or never.
func TestTargetStatementsAreHandedOnAtOnce(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newRuleFixture(t, 1, func(o *Options) { o.Dialect = statingDialect{} })
		is.Equal(w.do("GET", "/r/a", "").status, 200)
		is.Equal(w.permits.notices, []permit.Notice{{Leaving: true, HoldOff: 2 * time.Second}})
		is.Equal(len(w.permits.released), 1)
		is.True(w.permits.released[0].Leaving)
	})
}

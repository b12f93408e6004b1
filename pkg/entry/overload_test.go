package entry

import (
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// switchOverload returns a function that sets whether the host of the options is overloaded.
func switchOverload(o *Options) (set func(bool)) {
	var overloaded atomic.Bool
	o.Overloaded = func(time.Time) bool { return overloaded.Load() }
	return overloaded.Store
}

// Guards against a host without processor time that accepts requests which it can't serve in time: they take the time from those that it has
// accepted, and from the calls that keep its configuration up to date.
func TestHostWithoutProcessorTimeRefusesAtOnce(t *testing.T) {
	for _, c := range []struct {
		method, url, body string
		header            []string
		outcome           reply.Outcome
		closing           bool
	}{
		{"GET", "/lookup/a", "", nil, reply.NotRun, false},
		{"GET", "/nothing/a", "", nil, reply.NotRun, false},
		{"PUT", "/lookup/a", "body", nil, reply.NotRun, false},
		{"PUT", "/lookup/a", strings.Repeat("x", maxDiscardedBody+1), nil, reply.NotRun, true},
		{"POST", "/lookup/pay", "", []string{reply.HeaderKey, "k"}, reply.Unknown, false}, // an earlier send of the key may have run
	} {
		t.Run(c.method+c.url+strconv.Itoa(len(c.body)), func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				var overload func(bool)
				w := newFixture(t, 1, func(o *Options) { overload = switchOverload(o) })
				started := make(chan result, 1)
				go func() { started <- w.do("GET", "/lookup/a?work=1s", "") }()
				synctest.Wait()
				overload(true)
				start := time.Now()
				got := w.do(c.method, c.url, c.body, c.header...)
				is.NoErr(got.err)
				is.Equal(time.Since(start), time.Duration(0)) // virtual time
				is.Equal(got.status, 503)
				is.Equal(got.header.Get(reply.HeaderReason), string(reply.ReasonOverloaded))
				is.Equal(got.header.Get(reply.HeaderOutcome), string(c.outcome))
				is.Equal(got.header.Get(reply.HeaderRetryAfter), "1")
				is.Equal(got.closing, c.closing)
				is.Equal((<-started).body, target.Body("c1", 0)) // the request that was accepted before
				is.Equal(w.targets[0].Report().Total, 1)
				overload(false)
				is.Equal(w.do("GET", "/lookup/a", "").status, 200)
			})
		})
	}
}

// Guards against a request that is refused because the host to which it was redirected has no processor time, although the first host can serve it.
func TestRequestIsServedHereIfTheOtherHostIsOverloaded(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		first, second := redirectToSecond(t, addRules(newRule("/n/", "lookup", configv1.Repeat_REPEAT_AT_MOST_ONCE)), ruleStore())
		second.handler.opts.Overloaded = func(time.Time) bool { return true }
		got := first.do("POST", "/n/a", "x")
		is.NoErr(got.err)
		is.Equal(got.status, 200)
		synctest.Wait()
		is.Equal(first.targets[0].Report().Total, 1)
		is.Equal(second.targets[0].Report().Total+second.targets[1].Report().Total, 0)
	})
}

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

// scriptedLoad is the load of a host that a test sets.
type scriptedLoad struct{ overloaded, short atomic.Bool }

func (l *scriptedLoad) Overloaded(time.Time) bool                    { return l.overloaded.Load() }
func (l *scriptedLoad) ShortageWithin(time.Duration, time.Time) bool { return l.short.Load() }

// scriptedFreshness is the freshness of a configuration that a test sets.
type scriptedFreshness struct {
	lag   time.Duration
	known bool
}

func (f scriptedFreshness) Age(time.Time) (time.Duration, bool) { return f.lag, f.known }
func (f scriptedFreshness) Lag(time.Time) (time.Duration, bool) { return f.lag, f.known }

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
				load := &scriptedLoad{}
				w := newFixture(t, 1, func(o *Options) { o.Load = load })
				started := make(chan result, 1)
				go func() { started <- w.do("GET", "/lookup/a?work=1s", "") }()
				synctest.Wait()
				load.overloaded.Store(true)
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
				load.overloaded.Store(false)
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
		load := &scriptedLoad{}
		load.overloaded.Store(true)
		second.handler.opts.Load = load
		got := first.do("POST", "/n/a", "x")
		is.NoErr(got.err)
		is.Equal(got.status, 200)
		synctest.Wait()
		is.Equal(first.targets[0].Report().Total, 1)
		is.Equal(second.targets[0].Report().Total+second.targets[1].Report().Total, 0)
	})
}

// Guards against a host without processor time that answers by a configuration which other hosts have replaced: 404 for a route that was added, or
// a target that leaves. A host that is cut off, and is not short of processor time, has to go on serving.
func TestHostThatIsBehindForWantOfTimeDecidesNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		short   bool
		lag     time.Duration
		unknown bool
		url     string
		status  int
	}{
		{"behind for want of time", true, maxConfigLag + 1, false, "/lookup/a", 503},
		{"behind for want of time, unknown route", true, maxConfigLag + 1, false, "/nothing/a", 503},
		{"short of time, up to date", true, maxConfigLag, false, "/lookup/a", 200},
		{"cut off", false, time.Hour, false, "/lookup/a", 200},
		{"lag not known", true, time.Hour, true, "/lookup/a", 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				load := &scriptedLoad{}
				load.short.Store(c.short)
				w := newFixture(t, 1, func(o *Options) {
					o.Load = load
					o.Freshness = scriptedFreshness{c.lag, !c.unknown}
				})
				got := w.do("GET", c.url, "")
				is.NoErr(got.err)
				is.Equal(got.status, c.status)
				if c.status == 503 {
					is.Equal(got.header.Get(reply.HeaderReason), string(reply.ReasonNotReady))
					is.Equal(got.header.Get(reply.HeaderOutcome), string(reply.NotRun))
					is.Equal(got.header.Get(reply.HeaderRetryAfter), "1")
					is.Equal(w.targets[0].Report().Total, 0)
				}
			})
		})
	}
}

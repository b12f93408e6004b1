package entry

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
)

// captureLog returns the buffer to which log lines go until the test ends.
func captureLog(t *testing.T) *bytes.Buffer {
	var lines bytes.Buffer
	before := log.DefaultLogger
	log.DefaultLogger = log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &lines}}
	t.Cleanup(func() { log.DefaultLogger = before })
	return &lines
}

// Guards against a false refusal that neither the log nor the metrics explain: which target answered, at which address, on which connection,
// and whether it stated that the request was not executed.
func TestSendsAreLoggedAndCounted(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		lines := captureLog(t)
		scope := tally.NewTestScope("", nil)
		w := newRuleFixture(t, 0, func(o *Options) { o.Dialect, o.Scope = promisingDialect{}, scope })
		w.permits.withAddresses(map[string]string{"t-old": "a", "t-new": "a"}, "t-old", "t-new")
		w.net.serve(t, "a", newScriptedTarget(func(c *targetConn, r *http.Request) {
			if r.Header.Get(headerExpected) == "t-new" {
				c.pending = c.answer(r, http.StatusServiceUnavailable, notRunHeader)
				return
			}
			c.answer(r, http.StatusMisdirectedRequest, notRunHeader)
		}))
		for _, id := range []string{"c1", "c2"} {
			got := w.do("POST", "/r/c/a", "x", target.HeaderRequestID, id)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusServiceUnavailable)
		}
		synctest.Wait()
		is.True(strings.Contains(lines.String(),
			`"sends":["t-old a 421 instance-gone earlier=0 skipped=0","t-new a 503 not-run earlier=0 skipped=0"]`))
		is.True(strings.Contains(lines.String(), `"sends":["t-old a 421 instance-gone earlier=1 skipped=1","t-new `)) // after a copy
		counters := map[string]int64{}
		for name, c := range scope.Snapshot().Counters() {
			counters[name] = c.Value()
		}
		is.Equal(counters["entry.target_refusals+statement=instance-gone"], int64(2))
		is.Equal(counters["entry.target_refusals+statement=not-run"], int64(2))
		is.Equal(counters["entry.skipped_responses+"], int64(1))
	})
}

// Guards against a false refusal of which neither the log nor the metrics tell whether the host believed that nothing was sent, a target or
// another host.
func TestReasonsOfAPromiseAreLoggedAndCounted(t *testing.T) {
	for _, c := range []struct {
		basis promiseBasis
		// sends is the text of the sends in the line of the host that got the request; it ends the list.
		sends string
		build func(t *testing.T, change func(*Options)) *fixture
	}{
		{basisNoSend, ``, func(t *testing.T, change func(*Options)) *fixture { return newRuleFixture(t, 0, change) }},
		{basisNotSent, `"sends":["nowhere nowhere 0 not-sent earlier=0 skipped=0"]`, func(t *testing.T, change func(*Options)) *fixture {
			w := newRuleFixture(t, 0, change)
			w.permits.targets = []string{"nowhere"}
			return w
		}},
		{basisTarget, `"sends":["a a 503 not-run earlier=0 skipped=0"]`, func(t *testing.T, change func(*Options)) *fixture {
			w := newRuleFixture(t, 0, change)
			w.permits.targets = []string{"a"}
			w.net.serve(t, "a", newScriptedTarget(func(c *targetConn, r *http.Request) {
				c.answer(r, http.StatusServiceUnavailable, notRunHeader)
			}))
			return w
		}},
		{basisHost, `"sends":["host h2 h2 503 not-run no-target"]`, func(t *testing.T, change func(*Options)) *fixture {
			first, second := redirectToSecond(t, ruleStore(), ruleStore())
			first.permits.targets, second.permits.targets = nil, nil
			change(&first.handler.opts)
			first.handler.metrics = newMetrics(first.handler.opts.Scope)
			return first
		}},
	} {
		t.Run(string(c.basis), func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				lines := captureLog(t)
				scope := tally.NewTestScope("", nil)
				w := c.build(t, func(o *Options) { o.Dialect, o.Scope = promisingDialect{}, scope })
				got := w.do("POST", "/r/c/a", "x", target.HeaderRequestID, "c1")
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusServiceUnavailable)
				synctest.Wait()
				is.True(strings.Contains(lines.String(), `"at_most_once":true`))
				is.True(strings.Contains(lines.String(), c.sends))
				is.Equal(scope.Snapshot().Counters()["entry.promises+basis="+string(c.basis)].Value(), int64(1))
			})
		})
	}
}

package entry

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// promisingFixture returns a host whose callers take some statuses as promises, without targets.
func promisingFixture(t *testing.T) *fixture {
	return newRuleFixture(t, 0, func(o *Options) { o.Dialect = promisingDialect{} })
}

// promisingPair returns a host whose dispatcher redirects all requests, and the host of another failure domain that gets them.
func promisingPair(t *testing.T) (first, second *fixture) {
	first, second = redirectToSecond(t, ruleStore(), ruleStore())
	first.handler.opts.Dialect, second.handler.opts.Dialect = promisingDialect{}, promisingDialect{}
	return first, second
}

// Guards against a command that is answered with a promise although it has run: its target answers with a status that callers take as one.
func TestTargetsOwnStatusIsNoPromise(t *testing.T) {
	for _, status := range ownRefusals {
		for _, forwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d, forwarded %v", status, forwarded), func(t *testing.T) {
				bubble.Run(t, func(t *testing.T) { checkOwnStatus(t, status, forwarded) })
			})
		}
	}
}

// checkOwnStatus checks that a command whose target runs it and answers with a status of its own is answered as one that may have run.
func checkOwnStatus(t *testing.T, status int, forwarded bool) {
	is := is.New(t)
	caller := promisingFixture(t)
	server := caller
	if forwarded {
		caller, server = promisingPair(t)
	}
	own := newScriptedTarget(func(c *targetConn, r *http.Request) {
		c.run(r)
		c.answer(r, status, "")
	})
	server.net.serve(t, "own", own)
	server.permits.targets = []string{"own"}
	got := caller.do("POST", "/r/c/a", "x")
	is.NoErr(got.err)
	is.Equal(own.runsOf("c1"), 1)
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(got.header.Get("Rattanhitch-Outcome"), "unknown")
	synctest.Wait()
	is.Equal(server.permits.open, 0)
}

// takenOverAddress returns a target process "t-new" at the address of the process "t-old", which has ended. It sends each refusal a second
// time before the next response on the connection.
func takenOverAddress() *scriptedTarget {
	return newScriptedTarget(func(c *targetConn, r *http.Request) {
		if r.Header.Get(headerExpected) != "t-new" {
			c.pending = c.answer(r, http.StatusMisdirectedRequest, notRunHeader)
			return
		}
		c.run(r)
		c.answer(r, http.StatusOK, "")
	})
}

// Guards against a command that is refused as not run although it runs: a late copy of the refusal of its first send, to a process that is
// no longer at the address, is taken for the answer to its second send, to the process that is there now.
func TestCopyOfARefusalDoesNotAnswerTheNextSend(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := promisingFixture(t)
		tg := takenOverAddress()
		w.net.serve(t, "a", tg)
		w.permits.withAddresses(map[string]string{"t-old": "a", "t-new": "a"}, "t-old", "t-new")
		got := w.do("POST", "/r/c/a", "x")
		is.NoErr(got.err)
		is.Equal(tg.runsOf("c1"), 1)
		is.Equal(got.status, http.StatusOK)
	})
}

// Guards against a command that runs twice: the host to which it was forwarded takes it for not run, because of a late copy of a refusal, and
// the first host sends it to a target of its own.
func TestCopyOfARefusalDoesNotRunACommandTwice(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		first, second := promisingPair(t)
		there, here := takenOverAddress(), newScriptedTarget(func(c *targetConn, r *http.Request) {
			c.run(r)
			c.answer(r, http.StatusOK, "")
		})
		second.net.serve(t, "a", there)
		second.permits.withAddresses(map[string]string{"t-old": "a", "t-new": "a"}, "t-old", "t-new")
		first.net.serve(t, "here", here)
		first.permits.targets = []string{"here"}
		got := first.do("POST", "/r/c/a", "x")
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.Equal(there.runsOf("c1")+here.runsOf("c1"), 1)
	})
}

// Guards against a promise that a host of an earlier version has passed on as the status of a target.
func TestStatusFromAnOlderHostIsNoPromise(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		first, _ := promisingPair(t)
		first.net.serve(t, "h2", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if origin, err := parseOrigin(r); err == nil {
				origin.writeIdentity(w.Header())
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		got := first.do("POST", "/r/c/a", "x")
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusBadGateway)
		is.Equal(got.header.Get("Rattanhitch-Outcome"), "unknown")
		is.Equal(got.header.Get("Rattanhitch-Reason"), string(reply.ReasonTargetFailed))
	})
}

// Guards against a read that fails because one target answers with a status that callers take as a promise, although another target can
// serve it.
func TestReadIsRetriedAfterATargetsOwnRefusal(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := promisingFixture(t)
		answering := func(status int) *scriptedTarget {
			return newScriptedTarget(func(c *targetConn, r *http.Request) {
				c.run(r)
				c.answer(r, status, "")
			})
		}
		failing, healthy := answering(http.StatusServiceUnavailable), answering(http.StatusOK)
		w.net.serve(t, "failing", failing)
		w.net.serve(t, "healthy", healthy)
		w.permits.targets = []string{"failing", "healthy"}
		got := w.do("GET", "/r/a", "")
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.Equal(failing.runsOf("c1")+healthy.runsOf("c1"), 2)
		w.permits.targets = []string{"failing"}
		got = w.do("GET", "/r/a", "")
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusBadGateway)
	})
}

// Guards against a command that is refused as not run although it runs: a late copy of the refusal of another request with the same ID, which
// the caller's HTTP client has sent again or a proxy has doubled, is taken for its answer.
func TestCopyOfARefusalDoesNotAnswerAnotherRequestWithItsID(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := promisingFixture(t)
		refused := false
		tg := newScriptedTarget(func(c *targetConn, r *http.Request) {
			if !refused {
				refused = true
				c.pending = c.answer(r, http.StatusServiceUnavailable, notRunHeader)
				return
			}
			c.run(r)
			c.answer(r, http.StatusOK, "")
		})
		w.net.serve(t, "a", tg)
		w.permits.targets = []string{"a"}
		got := w.do("POST", "/r/c/a", "x")
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusServiceUnavailable)
		got = w.do("POST", "/r/c/a", "x")
		is.NoErr(got.err)
		is.Equal(tg.runsOf("c1"), 1)
		is.Equal(got.status, http.StatusOK)
	})
}

// Guards against a hedged read that is refused as not run, or gets the answer of another process: the copy of the first attempt's refusal is
// taken for the answer to the second attempt, at the same address.
func TestCopyOfARefusalDoesNotAnswerAHedge(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := promisingFixture(t)
		tg := newScriptedTarget(func(c *targetConn, r *http.Request) {
			if r.Header.Get(headerExpected) != "t-new" {
				time.Sleep(30 * time.Millisecond)
				c.pending = c.answer(r, http.StatusMisdirectedRequest, notRunHeader)
				return
			}
			c.run(r)
			time.Sleep(50 * time.Millisecond)
			c.answer(r, http.StatusOK, "")
		})
		w.net.serve(t, "a", tg)
		w.permits.withAddresses(map[string]string{"t-old": "a", "t-new": "a"}, "t-old", "t-new")
		w.permits.hedgeAfter = 20 * time.Millisecond
		w.permits.hedgeWait = 20 * time.Millisecond
		got := w.do("GET", "/r/a", "")
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.Equal(tg.runsOf("c1"), 1)
	})
}

// Guards against requests that go on using up their attempts on a process that is gone, as long as its entry is in the configuration.
func TestGoneProcessIsReported(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := promisingFixture(t)
		w.net.serve(t, "a", takenOverAddress())
		w.permits.withAddresses(map[string]string{"t-old": "a", "t-new": "a"}, "t-old", "t-new")
		is.NoErr(w.do("POST", "/r/c/a", "x").err)
		synctest.Wait()
		is.Equal(w.permits.notices, []permit.Notice{{Leaving: true}, {}})
		is.True(w.permits.released[0].Leaving)
		is.True(!w.permits.released[1].Leaving)
	})
}

// Guards against a target that gets no more requests although it runs: a skipped response to an earlier request, for a process that is gone, is
// taken for a statement of the process that loses the next request.
func TestSkippedResponseSaysNothingAboutTheTarget(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := promisingFixture(t)
		w.net.serve(t, "a", newScriptedTarget(func(c *targetConn, r *http.Request) {
			if r.Header.Get(headerExpected) != "t-new" {
				c.pending = c.answer(r, http.StatusMisdirectedRequest, notRunHeader)
				return
			}
			c.run(r)
			c.sendPending()
			c.ended = true
		}))
		w.permits.withAddresses(map[string]string{"t-old": "a", "t-new": "a"}, "t-old")
		got := w.do("POST", "/r/c/a", "x", target.HeaderRequestID, "c1")
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusServiceUnavailable)
		w.permits.targets = []string{"t-new"}
		got = w.do("POST", "/r/c/a", "x", target.HeaderRequestID, "c2")
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusBadGateway)
		synctest.Wait()
		lost := w.permits.released[1]
		is.Equal(lost.Outcome, peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST)
		is.True(!lost.Leaving)
		is.True(!lost.Responded)
	})
}

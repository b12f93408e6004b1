package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// Guards against invalid retries: of requests that must not run twice, at the target that failed, without a new permit, or by
// net/http itself, which retries when a reused connection breaks.
func TestRetries(t *testing.T) {
	big := strings.Repeat("x", maxReplayBytes+1)
	for _, c := range []struct {
		name, method, url, body string
		faults                  target.Faults
		status                  int
		outcome                 string
		executed                [2]int
	}{
		{"lost answer", "GET", "/lookup/a", "", target.Faults{LoseAnswer: true}, 200, "", [2]int{1, 1}},
		{"swapped answer", "GET", "/lookup/a", "", target.Faults{WrongID: true}, 200, "", [2]int{1, 1}},
		{"shed", "GET", "/lookup/a", "", target.Faults{ShedAll: true}, 200, "", [2]int{0, 1}},
		{"body kept", "PUT", "/lookup/a", "x", target.Faults{LoseAnswer: true}, 200, "", [2]int{1, 1}},
		{"body streamed", "PUT", "/lookup/a", big, target.Faults{LoseAnswer: true}, 502, "unknown", [2]int{1, 0}},
		{"idempotent POST", "POST", "/lookup/search", "x", target.Faults{LoseAnswer: true}, 200, "", [2]int{1, 1}},
		{"command without key", "POST", "/lookup/a", "x", target.Faults{}, 503, "not-run", [2]int{0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				w := newFixture(t, 2, nil)
				is.Equal(w.do("GET", "/lookup/a", "").status, 200) // leaves an idle connection
				w.targets[0].SetFaults(c.faults)
				got := w.do(c.method, c.url, c.body)
				is.NoErr(got.err)
				is.Equal(got.status, c.status)
				is.Equal(got.header.Get("Rattanhitch-Outcome"), c.outcome)
				synctest.Wait()
				is.Equal(w.targets[0].Report().Total-1, c.executed[0])
				is.Equal(w.targets[1].Report().Total, c.executed[1])
				is.Equal(w.permits.open, 0)
				ids := map[string]bool{}
				for _, q := range w.permits.requests {
					is.True(!ids[q.ID]) // each attempt has a permit of its own
					ids[q.ID] = true
				}
			})
		})
	}
}

// Guards against a wrong outcome after several attempts: not-run although one target executed the request, or unknown although
// all of them shed it.
func TestOutcomeWhenAllTargetsFail(t *testing.T) {
	for _, c := range []struct {
		name    string
		second  target.Faults
		status  int
		outcome string
	}{
		{"all shed", target.Faults{ShedAll: true}, 503, "not-run"},
		{"one lost", target.Faults{LoseAnswer: true}, 502, "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				w := newFixture(t, 2, nil)
				w.permits.targets = append(w.permits.targets, "unreachable")
				w.targets[0].SetFaults(target.Faults{ShedAll: true})
				w.targets[1].SetFaults(c.second)
				got := w.do("GET", "/lookup/a", "")
				is.Equal(got.header.Get("Rattanhitch-Outcome"), c.outcome)
				is.Equal(got.header.Get("Retry-After"), "1")
				synctest.Wait()
				is.Equal(len(w.permits.released), 3)
				is.Equal(w.permits.open, 0)
			})
		})
	}
}

// Guards against a truncated response that looks complete to the caller, and against a retry after a part of the response has
// been sent to the caller.
func TestTruncatedResponseAbortsTheConnection(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 2, nil)
		w.targets[0].SetFaults(target.Faults{Truncate: true})
		got := w.do("GET", "/lookup/a?size=300000", "")
		is.True(got.err != nil)
		is.Equal(w.targets[1].Report().Total, 0)
		w.checkReleased(is, outcomeLost)
	})
}

// Guards against passing on a close-delimited response, whose truncation cannot be detected.
func TestCloseDelimitedResponseIsRejected(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 0, nil)
		w.permits.targets = []string{"raw"}
		w.net.serve(t, "raw", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
			conn.Close()
		}))
		got := w.do("GET", "/lookup/a", "")
		is.Equal(got.status, 502)
		is.Equal(got.header.Get("Rattanhitch-Outcome"), "unknown")
	})
}

// Guards against a hedged request that does not cut the latency of a slow target, leaks a permit or does not cancel the slower
// attempt.
func TestHedge(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 2, nil)
		w.permits.hedgeAfter = 50 * time.Millisecond
		w.targets[0].SetFaults(target.Faults{StraggleFactor: 100, StraggleForMS: 1000})
		start := time.Now()
		got := w.do("GET", "/lookup/a?work=20ms", "")
		is.Equal(got.header.Get(target.HeaderTarget), "t1")
		is.Equal(time.Since(start), 70*time.Millisecond)
		is.True(w.permits.requests[1].Hedge)
		is.Equal(w.permits.requests[1].ExcludeTargets, []string{"t0"})
		synctest.Wait()
		is.Equal(w.permits.open, 0)
		outcomes := map[any]int{w.permits.released[0].Outcome: 1}
		outcomes[w.permits.released[1].Outcome]++
		is.Equal(outcomes, map[any]int{outcomeOK: 1, outcomeCancelled: 1})
		time.Sleep(time.Second) // the slow target recovers
		is.Equal(w.do("GET", "/lookup/a?work=60ms", "x").status, 200)
		is.Equal(len(w.permits.requests), 3) // a request with a body is not hedged
	})
}

// Guards against a permit leak when both attempts of a hedged request get a response at the same time, or when the second one
// starts just as the first one gets its response.
func TestHedgeRaces(t *testing.T) {
	for i := range 60 {
		bubble.Run(t, func(t *testing.T) {
			is := is.New(t)
			w := newFixture(t, 2, nil)
			w.permits.hedgeAfter = 50 * time.Millisecond
			// The first target responds after 50 or 100 ms, the second one, if it is used, 100 ms after the start.
			w.targets[0].SetFaults(target.Faults{StraggleFactor: float64(1 + i%2), StraggleForMS: 1000})
			got := w.do("GET", "/lookup/a?work=50ms", "")
			is.Equal(got.body, target.Body("c1", 0))
			synctest.Wait()
			is.Equal(w.permits.open, 0)
			is.Equal(len(w.permits.released), len(w.permits.requests))
		})
	}
}

// Guards against a target that continues to work after the caller has disconnected, and against a deadline that is not passed on
// to the target.
func TestCancellationAndDeadlineReachTheTarget(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 0, nil)
		w.permits.targets = []string{"slow"}
		timeLeft, gone := "", time.Time{}
		w.net.serve(t, "slow", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			timeLeft = r.Header.Get("Request-Timeout")
			io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body is read
			<-r.Context().Done()
			gone = time.Now()
		}))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		is.True(w.doContext(ctx, "GET", "/lookup/a", "", "Request-Timeout", "2.5").err != nil)
		synctest.Wait()
		is.Equal(timeLeft, "2.500")
		is.Equal(gone.Sub(start), time.Second)
		w.checkReleased(is, outcomeCancelled)

		start = time.Now()
		got := w.do("GET", "/lookup/a", "", "Request-Timeout", "0.25") // this target ignores the deadline
		is.Equal(time.Since(start), 250*time.Millisecond)
		is.Equal(got.status, 504)
		is.Equal(got.header.Get("Rattanhitch-Reason"), string(reply.ReasonDeadline))
		is.Equal(got.header.Get("Rattanhitch-Outcome"), "unknown")
		w.checkReleased(is, outcomeCancelled, outcomeError)
	})
}

// Guards against responses that hold a slot without progress because the target has stopped sending or the caller has stopped
// reading.
func TestStalledResponsesAreAborted(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 1, func(o *Options) { o.Limits.StallTimeout = 2 * time.Second })
		w.permits.targets = []string{"stalls"}
		w.net.serve(t, "stalls", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, "part")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		start := time.Now()
		is.True(w.do("GET", "/lookup/a", "").err != nil)
		is.Equal(time.Since(start), 2*time.Second)
		w.checkReleased(is, outcomeError)

		w.permits.targets, w.permits.released = []string{"t0"}, nil
		resp, err := w.client.Get("http://entry/lookup/a?size=1000000")
		is.NoErr(err)
		time.Sleep(4 * time.Second) // the caller does not read
		w.checkReleased(is, outcomeCancelled)
		_, err = io.Copy(io.Discard, resp.Body)
		is.True(err != nil)
		resp.Body.Close()
	})
}

// Guards against passing on hop-by-hop headers and headers between hosts.
func TestHeaders(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 0, nil)
		w.permits.targets = []string{"echo"}
		var seen *http.Request
		w.net.serve(t, "echo", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			seen = r.Clone(context.Background())
			w.Header().Set("Connection", "X-Hop")
			w.Header().Set("X-Hop", "1")
			w.Header().Set("Rattanhitch-Outcome", "not-run")
			w.Header().Set("Trailer", "X-End")
			w.(http.Flusher).Flush()
			w.Header().Set("X-End", "sum")
		}))
		w.handler.SetLeaving(true)
		got := w.do("GET", "/lookup/a%2Fb/c?q=1", "", "Connection", "X-One", "X-One", "1", "X-Two", "2", "Rattanhitch-Mode", "run")
		is.Equal(got.status, 200)
		is.Equal(seen.RequestURI, "/a%2Fb/c?q=1") // the first segment, which names the service, is removed
		is.Equal(seen.Header.Get("X-One"), "")
		is.Equal(seen.Header.Get("X-Two"), "2")
		is.Equal(seen.Header.Get("Rattanhitch-Mode"), "")
		is.Equal(got.header.Get("X-Hop"), "")
		is.Equal(got.header.Get("Rattanhitch-Outcome"), "") // a target cannot refuse with status 200
		is.True(got.closing)                                // a leaving host asks callers to close
	})
}

// Guards against a body of unknown length that exceeds its limit or breaks off, and against attributing that to the target.
func TestStreamedBodyFaults(t *testing.T) {
	broken := io.MultiReader(strings.NewReader(strings.Repeat("x", 200000)), iotest.ErrReader(io.ErrUnexpectedEOF))
	for name, body := range map[string]io.Reader{"too long": io.LimitReader(zeros{}, 1<<20+1), "broken": broken} {
		t.Run(name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				w := newFixture(t, 1, nil)
				r, _ := http.NewRequest("PUT", "http://entry/lookup/a", body)
				resp, err := w.client.Do(r)
				if name == "too long" {
					is.NoErr(err)
					is.Equal(resp.StatusCode, 413)
					is.Equal(resp.Header.Get("Rattanhitch-Outcome"), "unknown") // the target received a part of it
					resp.Body.Close()
				}
				w.checkReleased(is, outcomeCancelled)
			})
		})
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a retry at the target of a failed hedge attempt, and against accepting HTTP/1.0, which cannot detect truncated
// bodies.
func TestHedgeTargetIsNotTriedAgain(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 3, nil)
		w.permits.hedgeAfter = 50 * time.Millisecond
		w.targets[0].SetFaults(target.Faults{LoseAnswer: true})
		w.targets[1].SetFaults(target.Faults{LoseAnswer: true})
		is.Equal(w.do("GET", "/lookup/a?work=200ms", "").header.Get(target.HeaderTarget), "t2")
		w.checkReleased(is, outcomeLost, outcomeLost, outcomeOK)

		conn, err := w.net.dial(t.Context(), "tcp", "entry")
		is.NoErr(err)
		go io.WriteString(conn, "GET /lookup/a HTTP/1.0\r\n\r\n")
		answer, _ := io.ReadAll(conn)
		is.True(strings.Contains(string(answer), " 505 "))
	})
}

// halfOpen is a connection that silently discards writes once silent is set, like one whose peer has vanished.
type halfOpen struct {
	net.Conn
	silent *atomic.Bool
}

func (c halfOpen) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Guards against losing more than one request when all idle connections to a target have become half-open.
func TestHalfOpenConnectionsAreDropped(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		silent := &atomic.Bool{}
		w := newFixture(t, 1, func(o *Options) {
			dial := o.Dial
			o.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				return halfOpen{conn, silent}, err
			}
		})
		go w.do("GET", "/lookup/a?work=1s", "")
		is.Equal(w.do("GET", "/lookup/a?work=1s", "").status, 200) // two idle connections now
		synctest.Wait()
		silent.Store(true)
		silent = &atomic.Bool{} // new connections work
		is.Equal(w.do("GET", "/lookup/a", "", "Request-Timeout", "1").status, 504)
		is.Equal(w.do("GET", "/lookup/a", "", "Request-Timeout", "1").status, 200)
		w.checkReleased(is, outcomeOK, outcomeOK, outcomeError, outcomeOK)
	})
}

// Guards against a caller that does not send its body and so keeps its request open for ever, before or during an attempt;
// against a refusal that waits for the rest of the body; and against the read deadline of one request ending the next one.
func TestBodyThatDoesNotArrive(t *testing.T) {
	for name, c := range map[string]struct {
		sent, status int
		after        time.Duration
		validFor     time.Duration
		refuse       *permit.RefusedError
	}{
		"start":       {10, 408, 2 * time.Second, 0, nil},
		"rest":        {100000, 504, 2 * time.Second, 0, nil},
		"permit ends": {100000, 504, time.Second, time.Second, nil},
		"refused":     {100000, 503, 0, 0, &permit.RefusedError{Reason: peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD}},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				w := newFixture(t, 1, nil)
				is.Equal(w.do("PUT", "/lookup/a", "x", "Request-Timeout", "1").status, 200)
				time.Sleep(5 * time.Second)
				is.Equal(w.do("PUT", "/lookup/a?work=4s", "x").status, 200) // on the same connection

				w.permits.refuse, w.permits.validFor = c.refuse, c.validFor
				conn, err := w.net.dial(t.Context(), "tcp", "entry")
				is.NoErr(err)
				start := time.Now()
				go io.WriteString(conn, "PUT /lookup/a HTTP/1.1\r\nHost: e\r\nContent-Length: 200000\r\nRequest-Timeout: 2\r\n\r\n"+
					strings.Repeat("x", c.sent))
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, c.status)
				is.Equal(time.Since(start), c.after)
				time.Sleep(2 * time.Second)
				synctest.Wait()
				is.Equal(w.handler.InFlight(), 0)
				is.Equal(w.permits.open, 0)
				conn.Close()
			})
		})
	}
}

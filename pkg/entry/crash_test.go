package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// endingTarget adds a target, before all others, that ends when it gets a request.
func (w *fixture) endingTarget(t *testing.T, name string) {
	w.net.serve(t, name, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		w.net.remove(name)
		panic(http.ErrAbortHandler)
	}))
	w.permits.targets = append([]string{name}, w.permits.targets...)
}

// Guards against an innocent request that is taken for poison because a live target lost its answer, and against a poison request that
// is not recognised because its target counts as alive.
func TestLostConnectionsTellWhetherTheTargetEnded(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 2, nil)
		w.targets[0].SetFaults(target.Faults{LoseAnswer: true})
		is.Equal(w.do("GET", "/lookup/a", "").status, 200)
		w.endingTarget(t, "ending")
		w.targets[0].SetFaults(target.Faults{})
		is.Equal(w.do("GET", "/lookup/a", "").status, 200)
		synctest.Wait()
		w.checkReleased(is, outcomeLost, outcomeOK, outcomeLost, outcomeOK)
		is.True(w.permits.released[0].TargetAlive)
		is.True(!w.permits.released[2].TargetAlive)
	})
}

// Guards against a request that counts as run to its end, or as never sent, although its target may go on running it: the host closes the
// connection when the caller leaves or the time is over, and hears nothing more.
func TestAbandonedRequestsAreReported(t *testing.T) {
	unreachable := func(w *fixture, _ *testing.T) { w.net.remove("t0") }
	hanging := func(w *fixture, _ *testing.T) {
		w.net.mu.Lock()
		defer w.net.mu.Unlock()
		w.net.hosts["t0"] = make(chan net.Conn) // accepts no connection and refuses none
	}
	hedged := func(w *fixture, t *testing.T) {
		w.permits.hedgeAfter = 20 * time.Millisecond
		w.net.serve(t, "t1", target.New(target.Options{}))
		w.permits.targets = append(w.permits.targets, "t1")
		w.targets[0].SetFaults(target.Faults{Freeze: true})
	}
	// The target answers later than the deadline, which the stand-in of targets does not.
	late := func(w *fixture, t *testing.T) {
		w.net.serve(t, "t0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Second) }))
	}
	none := func(*fixture, *testing.T) {}
	for _, c := range []struct {
		name     string
		setUp    func(w *fixture, t *testing.T)
		work     string
		patience time.Duration
		want     bool
	}{
		{"caller left", none, "1s", 50 * time.Millisecond, true},
		{"caller left during the body", none, "1ms&size=30000000", 50 * time.Millisecond, true},
		{"deadline", late, "20s", 30 * time.Second, true},
		{"answered", none, "1ms", time.Second, false},
		{"not connected", hanging, "1s", 50 * time.Millisecond, false},
		{"refused", unreachable, "1s", time.Second, false},
		{"hedge lost", hedged, "1ms", 2 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				w := newFixture(t, 1, nil)
				c.setUp(w, t)
				ctx, cancel := context.WithTimeout(t.Context(), c.patience)
				defer cancel()
				r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://entry/lookup/a?work="+c.work, nil)
				if resp, err := w.client.Do(r); err == nil {
					if c.want {
						<-ctx.Done() // the caller does not read the body
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				time.Sleep(time.Minute)
				synctest.Wait()
				is.True(len(w.permits.released) > 0)
				abandoned := false
				for _, o := range w.permits.released {
					abandoned = abandoned || o.Abandoned
				}
				is.Equal(abandoned, c.want)
			})
		})
	}
}

// Guards against a poison request that ends a second target before other failure domains have told this one of the targets that
// its copies ended there, and against a delay of requests whose target lives.
func TestRetryWaitsAfterTheTargetEnded(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 2, nil)
		w.targets[0].SetFaults(target.Faults{LoseAnswer: true})
		start := time.Now()
		is.Equal(w.do("GET", "/lookup/a", "").status, 200)
		is.True(time.Since(start) < crashRetryDelay)
		w.endingTarget(t, "ending")
		w.targets[0].SetFaults(target.Faults{})
		start = time.Now()
		is.Equal(w.do("GET", "/lookup/a", "").status, 200)
		is.True(time.Since(start) >= crashRetryDelay)
	})
}

// Guards against a refusal for some seconds that tells the caller never to come back, and against one for minutes that does not.
func TestRefusalsOfPoisonTellForHowLong(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		w := newFixture(t, 1, nil)
		for _, c := range []struct {
			left   time.Duration
			status int
			after  string
		}{
			{10 * time.Second, 503, "10"},
			{10 * time.Minute, 422, "600"},
		} {
			is := is.New(t)
			w.permits.refuse = &permit.RefusedError{Reason: peerv1.RefusalReason_REFUSAL_REASON_POISON, RetryAfter: c.left}
			got := w.do("GET", "/lookup/a", "")
			is.Equal(got.status, c.status)
			is.Equal(got.header.Get("Retry-After"), c.after)
			is.Equal(got.header.Get("Rattanhitch-Reason"), "poison-request")
			is.Equal(got.header.Get("Rattanhitch-Outcome"), "not-run")
		}
	})
}

// Guards against a poison request that is taken for another one in each service to which its rule distributes it, and against
// different requests of two virtual hosts that are taken for one.
func TestFingerprintOfRules(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newRuleFixture(t, 1, nil)
		for range 40 {
			is.Equal(w.do("GET", "/s/a", "").status, 200)
		}
		services := map[string]uint64{}
		for _, q := range w.permits.requests {
			services[q.Service] = q.Fingerprint
		}
		is.Equal(len(services), 2)
		is.Equal(services["lookup"], services["other"])

		fingerprint := func(host string) uint64 {
			in := httptest.NewRequest(http.MethodGet, "http://"+host+"/s/a", nil)
			rq := &request{in: in, path: in.URL.Path, rule: &configv1.Rule{}, body: &body{}}
			return rq.computeFingerprint()
		}
		is.Equal(fingerprint("a.example"), fingerprint("A.example:80"))
		is.True(fingerprint("a.example") != fingerprint("b.example"))
	})
}

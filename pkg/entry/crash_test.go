package entry

import (
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

package entry

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
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

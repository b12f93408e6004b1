package target

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
)

func get(t *Target, url string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	t.ServeHTTP(w, httptest.NewRequest(http.MethodGet, url, nil))
	return w
}

// Guards against a simulated target that serves more requests than it has slots, or that counts a refused request as executed.
func TestShedsOverItsSlots(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		tg := New(Options{Slots: 2, LoadLag: time.Second})
		for range 2 {
			go get(tg, "/?work=3s")
		}
		synctest.Wait()
		w := get(tg, "/")
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get("Rattanhitch-Outcome"), "not-run")
		is.Equal(tg.Report().Total, 2)
		is.Equal(get(tg, "/load").Body.String(), "{\"in_use\":0,\"slots\":2,\"draining\":false}\n") // load reports are 1 s old
		time.Sleep(2 * time.Second)
		is.Equal(get(tg, "/load").Body.String(), "{\"in_use\":2,\"slots\":2,\"draining\":false}\n")
		time.Sleep(2 * time.Second)
		is.Equal(get(tg, "/").Code, http.StatusOK)
	})
}

// Guards against a cold start or an injected straggler phase that does not end.
func TestSlowEpisodesEnd(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		tg := New(Options{ColdFor: time.Minute, ColdFactor: 3})
		took := func() time.Duration {
			start := time.Now()
			get(tg, "/?work=100ms")
			return time.Since(start)
		}
		is.Equal(took(), 300*time.Millisecond)
		time.Sleep(time.Minute)
		is.Equal(took(), 100*time.Millisecond)
		tg.SetFaults(Faults{StraggleFactor: 10, StraggleForMS: 5000})
		is.Equal(took(), time.Second)
		time.Sleep(5 * time.Second)
		is.Equal(took(), 100*time.Millisecond)
	})
}

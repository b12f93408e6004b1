package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a target that is expected to have an object cached that many other objects have displaced.
func TestRecentObjectsRank(t *testing.T) {
	is := is.New(t)
	var r RecentObjects
	for i := range uint64(trackedObjects + 10) {
		r = r.Touch(i + 1)
	}
	is.Equal(len(r), trackedObjects)
	is.Equal(r.Rank(trackedObjects+10), 0)
	is.Equal(r.Rank(trackedObjects+9), 1)
	is.Equal(r.Rank(1), trackedObjects)
	r = r.Touch(trackedObjects + 1)
	is.Equal(r.Rank(trackedObjects+1), 0)
	is.Equal(r.Rank(trackedObjects+10), 1)
	is.Equal(len(r), trackedObjects)
	seen := map[string]bool{}
	for _, o := range r {
		seen[fmt.Sprint(o)] = true
	}
	is.Equal(len(seen), trackedObjects)
}

// Guards against one request that ends at once, for example with an error page, and makes its target look much faster than it is.
func TestOneFastAnswerCountsLittle(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var fast, fastest Speed
	fast.Observe(1.0/maxResidual, now)
	fastest.Observe(1.0/1000, now)
	is.Equal(fastest.currentResidual(now), fast.currentResidual(now))
	is.True(fast.currentResidual(now) > 0.8)
}

package permit

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a target that is expected to have an object cached that many other objects have displaced.
func TestRecentObjectsRank(t *testing.T) {
	is := is.New(t)
	var r recentObjects
	for i := range uint64(trackedObjects + 10) {
		r = r.touch(i + 1)
	}
	is.Equal(len(r), trackedObjects)
	is.Equal(r.rank(trackedObjects+10), 0)
	is.Equal(r.rank(trackedObjects+9), 1)
	is.Equal(r.rank(1), trackedObjects)
	r = r.touch(trackedObjects + 1)
	is.Equal(r.rank(trackedObjects+1), 0)
	is.Equal(r.rank(trackedObjects+10), 1)
	is.Equal(len(r), trackedObjects)
	seen := map[string]bool{}
	for _, o := range r {
		seen[fmt.Sprint(o)] = true
	}
	is.Equal(len(seen), trackedObjects)
}

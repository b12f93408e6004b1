package permit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/permit/placement"
)

// Guards against requests that go to another place although a target of the same speed is in their own, and against a near target that is
// preferred to a faster one or to one that has the object cached.
func TestNearTargetsComeFirstAmongEquals(t *testing.T) {
	is := is.New(t)
	d := &dispatcher{model: placement.NewModel(maxRoutes)}
	const object, usual = 5, 100 * time.Millisecond
	p, q := &target{name: "p-1", place: "p", slots: 4, nameHash: 1}, &target{name: "q-1", place: "q", slots: 4, nameHash: 2}
	for _, object := range []uint64{0, object} {
		for _, near := range []*target{p, q} {
			far := p
			if near == p {
				far = q
			}
			w := &waiter{place: near.place, class: classShort, req: Request{ObjectHash: object}}
			is.True(d.isBetter(w, near, far, usual, usual))
			is.True(!d.isBetter(w, far, near, usual, usual))
			is.True(!d.isBetter(w, near, far, 2*usual, usual))
		}
	}
	w := &waiter{place: "p", class: classShort, req: Request{ObjectHash: object}}
	q.recentObjects = q.recentObjects.Touch(object)
	is.True(!d.isBetter(w, p, q, 3*usual, usual))
}

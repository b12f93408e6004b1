package registry

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a plug-in that silently replaces another one registered under the same name.
func TestDuplicatePanics(t *testing.T) {
	is := is.New(t)
	r := New[int]("number")
	r.Register("b", 2)
	r.Register("a", 1)
	is.Equal(r.Names(), []string{"a", "b"})
	n, ok := r.Get("b")
	is.True(ok)
	is.Equal(n, 2)
	_, ok = r.Get("c")
	is.True(!ok)
	defer func() { is.Equal(recover(), "number registered twice: a") }()
	r.Register("a", 3)
}

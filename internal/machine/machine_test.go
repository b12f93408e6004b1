package machine

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against limits that are taken from the machine although the settings state them, or that are 0.
func TestSettingsTakePrecedence(t *testing.T) {
	is := is.New(t)
	is.Equal(Memory(136), int64(136<<20))
	is.True(Memory(0) > 64<<20)
	is.Equal(Descriptors(10), 10)
	is.True(Descriptors(0) > 10)
	is.Equal(Descriptors(1<<30), Descriptors(0)) // the kernel allows less
}

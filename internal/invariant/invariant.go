// Package invariant checks assertions at run time. A violation panics in tests; in production it is counted and logged.
package invariant

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/phuslu/log"
)

var violations atomic.Uint64

// Check reports a violation of the named invariant if ok is false. format and args describe the values that violate it.
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	detail := fmt.Sprintf(format, args...)
	violations.Add(1)
	if testing.Testing() {
		panic(Violation(fmt.Sprintf("invariant %s violated: %s", name, detail)))
	}
	log.Error().Str("invariant", name).Msg(detail)
}

// Violation is the value with which Check panics in tests.
type Violation string

// Rethrow panics again with a recovered value that is a Violation, which must end a test.
func Rethrow(recovered any) {
	if v, ok := recovered.(Violation); ok {
		panic(v)
	}
}

// Violations returns the number of violations since the process started.
func Violations() uint64 { return violations.Load() }

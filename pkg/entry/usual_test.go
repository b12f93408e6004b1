package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that come back after a refusal and take the slots of those that can still be in time, and against
// callers that count as having waited because their timeouts differ anyway.
func TestReturningCallersAreRecognised(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	u := newUsualTimeouts()
	for range 200 {
		u.waited("r", 2*time.Second)
		if rng.IntN(3) == 0 {
			u.waited("r", 2*time.Second-time.Duration(rng.IntN(900))*time.Millisecond)
		}
	}
	is.Equal(u.waited("r", 2*time.Second), time.Duration(0))
	is.Equal(u.waited("r", 1400*time.Millisecond), 600*time.Millisecond)
	is.Equal(u.waited("r", 3*time.Second), time.Duration(0))

	for range 1000 {
		is.Equal(u.waited("mixed", time.Duration(1+rng.IntN(3000))*time.Millisecond), time.Duration(0))
	}
	for range maxUsualLead + usualLead { // the usual timeout changes
		u.waited("r", time.Second)
	}
	is.Equal(u.waited("r", 900*time.Millisecond), 100*time.Millisecond)
}

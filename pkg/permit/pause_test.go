package permit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/permit/permittest"
)

// Guards against a dispatcher that is paused (as by SIGSTOP) while a successor grants its slots, and that grants them again from
// its outdated table when it resumes.
func TestPausedDispatcherRecoversBeforeItGrants(t *testing.T) {
	run(t, 1, 4, permittest.Objects(lookup), func(d *domain, is *is.I) {
		owner, others := d.ownerAndOthers("lookup")
		slots := lookup.Targets * lookup.Slots
		owner.Pause()
		time.Sleep(4 * time.Second)
		d.fill(others[0], slots, 5*time.Second)
		owner.Resume()
		d.fill(owner, slots, time.Second)
		d.pending.Wait()
		for _, peak := range d.peak {
			is.Equal(peak, lookup.Slots)
		}
	})
}

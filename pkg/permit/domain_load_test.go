package permit

import (
	"math"
	"testing"

	"github.com/matryer/is"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// Guards against other failure domains that take the missing report of one of several dispatchers for a loss of slots, or two reports about
// one target, while the number of dispatchers changes, for more slots: they would move their requests without a limit.
func TestReportsOfSomeDispatchersStandForAll(t *testing.T) {
	report := func(key string, usable, configured uint32) *peerv1.ServiceHeadroom {
		return &peerv1.ServiceHeadroom{Service: key, TotalSlots: usable, DemandSlots: float32(usable) / 2, ConfiguredSlots: configured}
	}
	snap := snapshotOf(80) // four dispatchers, one slot for each target
	for _, c := range []struct {
		name    string
		reports []*peerv1.ServiceHeadroom
		slots   float64
	}{
		{"all", []*peerv1.ServiceHeadroom{report("s", 18, 18), report("s#1", 22, 22), report("s#2", 21, 21), report("s#3", 19, 19)}, 80},
		{"one missing", []*peerv1.ServiceHeadroom{report("s", 18, 18), report("s#2", 21, 21), report("s#3", 19, 19)}, 80},
		{"of two dispatchers before, of four now", []*peerv1.ServiceHeadroom{report("s", 40, 40), report("s#1", 22, 22), report("s#2", 21, 21)}, 80},
		{"half of the targets unusable, one missing", []*peerv1.ServiceHeadroom{report("s", 9, 18), report("s#2", 11, 22)}, 40},
		{"of two versions", []*peerv1.ServiceHeadroom{report("s", 38, 0), report("s#1", 22, 22), report("s#2", 20, 20)}, 80},
		{"of an earlier version", []*peerv1.ServiceHeadroom{report("s", 38, 0), report("s#1", 42, 0)}, 80},
		{"none", nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := domainLoad(snap, "s", &peerv1.DomainSummary{FailureDomain: "d", Region: "r", Services: c.reports})
			is.Equal(got.Domain, "d")
			is.True(math.Abs(got.Slots-c.slots) < 0.01)
			is.True(math.Abs(got.Demand-c.slots/2) < 0.01)
		})
	}
}

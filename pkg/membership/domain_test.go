package membership

import (
	"testing"

	"github.com/matryer/is"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// Guards against mistaking a summary for a duplicate because two relays of one failure domain started in the same
// microsecond and share an incarnation. When the relay with the higher sequence number is lost, its domain looks dead until
// the other relay has caught up.
func TestRelaysWithOneIncarnation(t *testing.T) {
	is := is.New(t)
	tracker := &Tracker{records: map[string]*record{}, remoteDomains: map[string]*remoteDomain{}, contacts: map[string]contact{}}
	d := tracker.remoteDomainFor("y")
	summary := func(relay string, sequence uint64) *peerv1.DomainSummary {
		return &peerv1.DomainSummary{
			FailureDomain: "y", Relay: relay, RelayIncarnation: 7, Sequence: sequence,
			Members: []*peerv1.Member{{Host: relay, FailureDomain: "y", Incarnation: 7}}, MembersHash: 1,
		}
	}
	is.True(tracker.applySummary(d, summary("y-0", 100)))
	is.True(!tracker.applySummary(d, summary("y-0", 100))) // duplicate
	is.True(tracker.applySummary(d, summary("y-1", 40)))
	is.True(!tracker.applySummary(d, summary("y-1", 39)))
}

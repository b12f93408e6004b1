package permit_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
	"github.com/rattanhitch/rattanhitch/pkg/permit/permittest"
)

// serveUntil acquires a permit and occupies its target for the duration work, or until the deadline cuts the request off.
func (d *domain) serveUntil(h *permittest.Host, req permit.Request, work time.Duration) error {
	g, err := h.Acquire(context.Background(), req)
	if err != nil {
		return err
	}
	left := time.Until(g.Deadline)
	o := permit.Observation{Outcome: ok, Total: work}
	if left < work {
		o = permit.Observation{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR, Total: left, Abandoned: true}
	}
	time.Sleep(o.Total)
	g.Release(o)
	return nil
}

// Guards against slots that are spent on requests which cannot be complete in time, and against callers that are held before they hear it:
// half of the usual time counted as enough, and requests with an objective were not checked at all.
func TestRequestWithTooLittleTimeIsRefusedAtOnce(t *testing.T) {
	const work = 300 * time.Millisecond
	run(t, 1, 3, permittest.Objects(lookup), func(d *domain, is *is.I) {
		_, others := d.ownerAndOthers("lookup")
		for range 20 {
			is.NoErr(d.serveUntil(others[0], d.request("lookup", 5*time.Second), work))
		}
		for _, timeout := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, work - 10*time.Millisecond} {
			for range 2 {
				start := time.Now()
				err := d.serveUntil(others[0], d.request("lookup", timeout), work)
				is.Equal(reason(err), peerv1.RefusalReason_REFUSAL_REASON_DEADLINE)
				is.Equal(time.Since(start), 2*delay)
			}
		}
		is.NoErr(d.serveUntil(others[0], d.request("lookup", work+100*time.Millisecond), work))
	})
}

// Guards against a route that takes slots for good because none of its requests is ever complete, and against one that is refused for good
// after its requests were too slow for some time.
func TestSlowRouteIsRefusedUntilItIsFastAgain(t *testing.T) {
	run(t, 1, 3, permittest.Objects(lookup), func(d *domain, is *is.I) {
		send := func(n int, work time.Duration) (refused int) {
			for range n {
				if d.serveUntil(d.Hosts()[0], d.request("lookup", 200*time.Millisecond), work) != nil {
					refused++
				}
				time.Sleep(50 * time.Millisecond)
			}
			return refused
		}
		is.Equal(send(20, 100*time.Millisecond), 0)
		send(100, time.Second)
		is.True(send(200, time.Second) > 195)
		send(200, 100*time.Millisecond) // the trials find out
		is.Equal(send(20, 100*time.Millisecond), 0)
	})
}

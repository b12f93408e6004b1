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

// sendRequests sends n requests at a steady rate and returns how many each target got. Targets for which slow returns true take
// 20 times longer.
func (d *domain) sendRequests(h *permittest.Host, n int, slow func(target string) bool) map[string]int {
	requests := map[string]int{}
	for range n {
		req := d.request("lookup", 10*time.Second)
		work := time.Duration(5+d.rng.IntN(10)) * time.Millisecond
		d.pending.Go(func() {
			g, err := h.Acquire(context.Background(), req)
			if err != nil {
				return
			}
			d.mu.Lock()
			requests[g.Target]++
			d.mu.Unlock()
			took := work
			if slow(g.Target) {
				took *= 20
			}
			time.Sleep(took)
			g.Release(permit.Observation{Outcome: ok, FirstByte: took, Total: took})
		})
		time.Sleep(2 * time.Millisecond)
	}
	d.pending.Wait()
	return requests
}

// Guards against a slow target that keeps its share of the requests, and against a recovered one that does not get it back.
func TestStragglerIsQuarantinedAndReinstated(t *testing.T) {
	s := permittest.Service{Name: "lookup", Domain: "d1", Targets: 8, Slots: 4}
	run(t, 1, 3, permittest.Objects(s), func(d *domain, is *is.I) {
		_, others := d.ownerAndOthers("lookup")
		none := func(string) bool { return false }
		one := func(target string) bool { return target == "lookup-3" }
		d.sendRequests(others[0], 1000, none)
		d.sendRequests(others[0], 200, one)
		is.True(d.sendRequests(others[0], 2000, one)["lookup-3"] <= 40) // only probes, where its share would be 250
		d.sendRequests(others[0], 500, none)
		is.True(d.sendRequests(others[0], 2000, none)["lookup-3"] >= 150)
	})
}

// Guards against hedged requests beyond their budget, and against hedging and quarantine while the whole service is slow.
func TestHedgesStayWithinTheBudget(t *testing.T) {
	s := permittest.Service{Name: "lookup", Domain: "d1", Targets: 8, Slots: 4}
	run(t, 1, 3, permittest.Objects(s), func(d *domain, is *is.I) {
		_, others := d.ownerAndOthers("lookup")
		h := others[0]
		d.sendRequests(h, 1000, func(string) bool { return false })
		hedge := func() error {
			req := d.request("lookup", time.Second)
			req.Hedge = true
			return d.serve(h, req, time.Millisecond)
		}
		granted := 0
		for hedge() == nil {
			granted++
		}
		is.Equal(granted, 20) // 5% of 1000 requests, capped by the burst
		is.Equal(reason(hedge()), peerv1.RefusalReason_REFUSAL_REASON_HEDGE_BUDGET)

		visits := d.sendRequests(h, 2000, func(string) bool { return true })
		is.Equal(len(visits), 8)
		is.Equal(reason(hedge()), peerv1.RefusalReason_REFUSAL_REASON_HEDGE_BUDGET)
		g, err := h.Acquire(context.Background(), d.request("lookup", time.Second))
		is.NoErr(err)
		is.Equal(g.HedgeAfter, 0*time.Second)
		g.Release(permit.Observation{Outcome: ok})
	})
}

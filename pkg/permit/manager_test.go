package permit_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
	"github.com/rattanhitch/rattanhitch/pkg/permit/permittest"
)

const ok = peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK

var lookup = permittest.Service{Name: "lookup", Domain: "d1", Targets: 3, Slots: 4}

// reason returns the reason of a RefusedError, or UNSPECIFIED if err is not one.
func reason(err error) peerv1.RefusalReason {
	var r *permit.RefusedError
	if errors.As(err, &r) {
		return r.Reason
	}
	return peerv1.RefusalReason_REFUSAL_REASON_UNSPECIFIED
}

// Guards against over-allocation and leaked slots without faults, under 1.2 times the capacity of the slots, from all hosts, with
// cancellations.
func TestSlotsAreExactUnderOverload(t *testing.T) {
	for seed := range uint64(4) {
		run(t, seed, 5, permittest.Objects(lookup), func(d *domain, is *is.I) {
			hosts := d.Hosts()
			for range 4000 {
				h := hosts[d.rng.IntN(len(hosts))]
				work := time.Duration(d.rng.ExpFloat64() * float64(20*time.Millisecond))
				cancelAfter := time.Duration(d.rng.IntN(200)) * time.Millisecond
				req := d.request("lookup", time.Duration(20+d.rng.IntN(300))*time.Millisecond)
				d.pending.Go(func() { _ = d.serve(h, req, work) })
				if d.rng.IntN(10) == 0 {
					d.pending.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), cancelAfter)
						defer cancel()
						req := req
						req.ID += "c"
						if g, err := h.Acquire(ctx, req); err == nil {
							g.Release(permit.Observation{Outcome: ok})
						}
					})
				}
				time.Sleep(time.Duration(d.rng.ExpFloat64() * float64(20*time.Millisecond) / 12 / 1.2))
			}
			d.pending.Wait()
			time.Sleep(time.Second)
			for target, peak := range d.peak {
				is.True(peak == lookup.Slots) // each target was full, and never more than full
				is.Equal(d.inFlight[target], 0)
			}
			owner, _ := d.ownerAndOthers("lookup")
			free, total := headroom(owner)
			is.Equal(total, 12)
			is.Equal(free, 12) // no slot leaked
		})
	}
}

// fill sends a number of concurrent requests through host h; each occupies a slot for the duration work.
func (d *domain) fill(h *permittest.Host, slots int, work time.Duration) {
	for range slots {
		req := d.request("lookup", time.Minute)
		d.pending.Go(func() { _ = d.serve(h, req, work) })
	}
	time.Sleep(50 * time.Millisecond)
}

// Guards against requests that queue although no slot becomes free before their deadline, and against refusals that are delayed.
func TestRefusesWhatCannotMeetItsDeadline(t *testing.T) {
	run(t, 1, 3, permittest.Objects(lookup), func(d *domain, is *is.I) {
		owner, others := d.ownerAndOthers("lookup")
		d.fill(owner, 12, 200*time.Millisecond)
		time.Sleep(200 * time.Millisecond) // the mean hold time is now 200 ms
		d.fill(owner, 24, 200*time.Millisecond)

		start := time.Now()
		err := d.serve(others[0], d.request("lookup", 100*time.Millisecond), 0)
		is.Equal(reason(err), peerv1.RefusalReason_REFUSAL_REASON_DEADLINE)
		is.Equal(time.Since(start), 2*delay) // refused on arrival
		var refused *permit.RefusedError
		is.True(errors.As(err, &refused))
		is.True(refused.RetryAfter > 0)

		is.NoErr(d.serve(others[0], d.request("lookup", 5*time.Second), 0)) // with a later deadline it is queued and served
	})
}

// Guards against a queue in order of arrival instead of earliest deadline first.
func TestServesEarliestDeadlineFirst(t *testing.T) {
	run(t, 1, 2, permittest.Objects(permittest.Service{Name: "lookup", Domain: "d1", Targets: 1, Slots: 1}), func(d *domain, is *is.I) {
		owner, _ := d.ownerAndOthers("lookup")
		d.fill(owner, 1, time.Second)
		var order []int
		for i, timeout := range []time.Duration{9 * time.Second, 5 * time.Second, 7 * time.Second} {
			req := d.request("lookup", timeout)
			d.pending.Go(func() {
				_ = d.serve(owner, req, time.Millisecond)
				d.mu.Lock()
				order = append(order, i)
				d.mu.Unlock()
			})
		}
		d.pending.Wait()
		is.Equal(order, []int{1, 2, 0})
	})
}

// Guards against permits for a draining target that are granted after the configuration took effect.
func TestDrainingTargetsGetNoPermit(t *testing.T) {
	run(t, 1, 3, permittest.Objects(lookup), func(d *domain, is *is.I) {
		store := d.Store
		_, others := d.ownerAndOthers("lookup")
		put := func(o *configv1.Object) {
			next, err := store.Current().With(&configv1.Change{
				Version:   store.Current().Version + 1,
				Mutations: []*configv1.Mutation{{Action: &configv1.Mutation_Put{Put: o}}},
			})
			is.NoErr(err)
			store.Set(next)
		}
		drain := func(d *configv1.Drain) *configv1.Object {
			return &configv1.Object{Kind: &configv1.Object_Drain{Drain: d}}
		}
		seen := func() map[string]int {
			d.mu.Lock()
			d.peak = map[string]int{}
			d.mu.Unlock()
			for range 8 {
				req := d.request("lookup", time.Second)
				d.pending.Go(func() { _ = d.serve(others[0], req, 10*time.Millisecond) })
			}
			d.pending.Wait()
			return d.peak
		}
		is.Equal(len(seen()), 3)
		put(permittest.TargetObject(lookup, 0, configv1.TargetState_TARGET_STATE_DRAINING))
		is.Equal(seen(), map[string]int{"lookup-1": 4, "lookup-2": 4})
		put(drain(&configv1.Drain{Name: "x", Subject: &configv1.Drain_Target{Target: "lookup-1"}}))
		is.Equal(seen(), map[string]int{"lookup-2": 4})
		// During the ramp of a drain of the whole failure domain, steering moves the requests away; those that still arrive are
		// served.
		put(drain(&configv1.Drain{
			Name: "z", Subject: &configv1.Drain_FailureDomain{FailureDomain: "d1"}, RampSeconds: 10,
			StartedUnixMs: time.Now().UnixMilli(),
		}))
		is.Equal(seen(), map[string]int{"lookup-2": 4})
		time.Sleep(10 * time.Second)
		is.Equal(len(seen()), 0)
		put(drain(&configv1.Drain{Name: "z", Subject: &configv1.Drain_FailureDomain{FailureDomain: "d1"}, Cancelled: true}))
		is.Equal(seen(), map[string]int{"lookup-2": 4})
		put(drain(&configv1.Drain{Name: "y", Subject: &configv1.Drain_FailureDomain{FailureDomain: "d1"}}))
		is.Equal(len(seen()), 0)
		err := d.serve(others[0], d.request("lookup", time.Second), 0)
		is.Equal(reason(err), peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET)
	})
}

// Guards against requests that keep waiting for a dispatcher whose host has crashed: they must be served by its successor before
// their deadline.
func TestWaitingRequestsReachTheSuccessor(t *testing.T) {
	run(t, 1, 4, permittest.Objects(lookup), func(d *domain, is *is.I) {
		owner, others := d.ownerAndOthers("lookup")
		d.fill(others[0], 12, time.Second)
		req := d.request("lookup", 8*time.Second)
		served := make(chan error, 1)
		d.pending.Go(func() { served <- d.serve(others[1], req, 0) })
		time.Sleep(10 * time.Millisecond)
		d.Kill(owner)
		is.NoErr(<-served)
	})
}

// Guards against slots that leak when the response to an acquire call is lost, or when a grant arrives after its caller has
// cancelled.
func TestLostAndLateGrantsReturnTheirSlot(t *testing.T) {
	run(t, 1, 3, permittest.Objects(lookup), func(d *domain, is *is.I) {
		owner, others := d.ownerAndOthers("lookup")
		name := others[0].Member.Host

		ctx, cancel := context.WithTimeout(context.Background(), 3*delay/2)
		defer cancel()
		_, err := others[0].Acquire(ctx, d.request("lookup", time.Minute))
		is.True(err != nil) // cancelled while the grant was in transit
		time.Sleep(10 * delay)
		free, _ := headroom(owner)
		is.Equal(free, 12)

		d.Network.Cut(owner.Member.Host, name, true)
		ctx, cancel = context.WithTimeout(context.Background(), 10*delay)
		defer cancel()
		_, err = others[0].Acquire(ctx, d.request("lookup", 20*time.Millisecond))
		is.True(err != nil) // the response was lost
		time.Sleep(20 * time.Millisecond)
		free, _ = headroom(owner)
		is.Equal(free, 12)
		d.Network.Cut(owner.Member.Host, name, false)
	})
}

// Guards against the use of a grant that arrives after the dispatcher's host, whose earlier incarnation sent it, has restarted.
func TestGrantOfAnEarlierIncarnationIsDropped(t *testing.T) {
	run(t, 1, 3, permittest.Objects(lookup), func(d *domain, is *is.I) {
		owner, others := d.ownerAndOthers("lookup")
		d.Network.SetDelay(300 * time.Millisecond)
		grants := make(chan *permit.Grant, 1)
		req := d.request("lookup", 10*time.Second)
		d.pending.Go(func() {
			g, err := others[0].Acquire(context.Background(), req)
			is.NoErr(err)
			grants <- g
		})
		time.Sleep(310 * time.Millisecond) // the grant is in transit
		d.Network.SetDelay(delay)
		d.Kill(owner)
		restarted := d.Add(owner.Member.Host)
		restarted.Start()
		g := <-grants
		free, _ := headroom(restarted)
		is.Equal(free, 11) // the permit in use was granted by the restarted dispatcher
		g.Release(permit.Observation{Outcome: ok})
	})
}

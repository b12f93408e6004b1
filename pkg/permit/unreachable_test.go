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

const (
	lost        = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST
	unreachable = peerv1.ReleaseOutcome_RELEASE_OUTCOME_UNREACHABLE
)

// Guards against a target that refuses connections but gets most requests, because it fails fast and thus always has free slots;
// and against one that gets no requests after it has recovered, here for a service that receives only commands.
func TestUnreachableTargetGetsOnlyProbes(t *testing.T) {
	run(t, 1, 3, permittest.Objects(lookup), func(d *domain, is *is.I) {
		h := d.Hosts()[0]
		send := func(down bool) (toDown int) {
			for range 500 {
				req := d.request("lookup", time.Second)
				req.Command = true
				g, err := h.Acquire(context.Background(), req)
				is.NoErr(err)
				outcome := ok
				if g.Target == "lookup-0" {
					toDown++
					if down {
						outcome = unreachable
					}
				}
				time.Sleep(2 * time.Millisecond)
				g.Release(permit.Observation{Outcome: outcome, Total: 2 * time.Millisecond})
				time.Sleep(2 * time.Millisecond)
			}
			return toDown
		}
		started := time.Now()
		probes := send(true)
		is.True(probes <= int(time.Since(started)/(100*time.Millisecond))+1) // at most one probe per 100 ms
		is.True(send(false) > 100)
	})
}

// Guards against a flood of requests to a target that has restarted with cold caches, in the time until the configuration says so
// (review/standin cold-return: 23 requests within a second, 16.4 allowed).
func TestTargetThatComesBackIsColdAtFirst(t *testing.T) {
	objects := permittest.Objects(permittest.Service{Name: "lookup", Domain: "d1", Targets: 2, Slots: 4})
	const coldPerSecond = 8
	objects[0].GetService().ColdRequestsPerSecond = coldPerSecond
	run(t, 1, 2, objects, func(d *domain, is *is.I) {
		h := d.Hosts()[0]
		back := time.Now().Add(2 * time.Second)
		var arrivals []time.Time
		for time.Since(back) < 4*time.Second {
			g, err := h.Acquire(context.Background(), d.request("lookup", time.Second))
			is.NoErr(err)
			outcome := ok
			if g.Target == "lookup-0" {
				if time.Now().Before(back) {
					outcome = unreachable
				} else {
					arrivals = append(arrivals, time.Now())
				}
			}
			d.pending.Go(func() {
				time.Sleep(5 * time.Millisecond)
				g.Release(permit.Observation{Outcome: outcome, Total: 5 * time.Millisecond, Responded: outcome == ok})
			})
			time.Sleep(4 * time.Millisecond)
		}
		first := 0
		for _, at := range arrivals {
			if at.Sub(arrivals[0]) < time.Second {
				first++
			}
		}
		is.True(first <= coldPerSecond+2+1) // the rate, the burst, and the probe
		is.True(len(arrivals) > 100)        // it is used as before later
	})
}

// Guards against requests that wait until their deadline although no target accepts connections.
func TestNoReachableTargetIsRefusedAtOnce(t *testing.T) {
	one := permittest.Service{Name: "lookup", Domain: "d1", Targets: 1, Slots: 4}
	run(t, 1, 2, permittest.Objects(one), func(d *domain, is *is.I) {
		h := d.Hosts()[0]
		g, err := h.Acquire(context.Background(), d.request("lookup", time.Second))
		is.NoErr(err)
		g.Release(permit.Observation{Outcome: unreachable})
		time.Sleep(10 * delay)
		_, err = h.Acquire(context.Background(), d.request("lookup", time.Minute))
		is.Equal(reason(err), peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET)
		time.Sleep(200 * time.Millisecond)
		_, err = h.Acquire(context.Background(), d.request("lookup", time.Minute))
		is.NoErr(err) // admitted as a probe
	})
}

// Guards against a popular request that is classified as poison because many copies of it lose their connection when the network
// between the hosts and the targets fails; and against a suspicion that persists after a successful response.
func TestPopularRequestIsNotPoison(t *testing.T) {
	run(t, 1, 3, permittest.Objects(lookup), func(d *domain, is *is.I) {
		h := d.Hosts()[0]
		acquire := func() *permit.Grant {
			req := d.request("lookup", time.Second)
			req.Fingerprint = 7
			g, err := h.Acquire(context.Background(), req)
			is.NoErr(err)
			return g
		}
		release := func(g *permit.Grant, outcome peerv1.ReleaseOutcome) {
			g.Release(permit.Observation{Outcome: outcome, Total: time.Millisecond})
			time.Sleep(10 * delay)
		}
		first, second := acquire(), acquire()
		is.True(first.Target != second.Target)
		release(first, lost)
		release(second, lost)
		release(acquire(), ok)
		release(acquire(), lost)
		release(acquire(), ok)
		release(acquire(), lost)
		release(acquire(), ok)
	})
}

// Guards against a request that uses up its attempts on probes of targets that are down, while another target serves.
func TestRetryProbesNoUnreachableTarget(t *testing.T) {
	five := permittest.Service{Name: "lookup", Domain: "d1", Targets: 5, Slots: 4}
	run(t, 1, 3, permittest.Objects(five), func(d *domain, is *is.I) {
		h := d.Hosts()[0]
		down := map[string]bool{"lookup-0": true, "lookup-1": true, "lookup-2": true, "lookup-3": true}
		// send returns the number of attempts that a request needs.
		send := func() int {
			req := d.request("lookup", time.Second)
			for {
				g, err := h.Acquire(context.Background(), req)
				is.NoErr(err)
				time.Sleep(2 * time.Millisecond)
				req.Attempt++
				if !down[g.Target] {
					g.Release(permit.Observation{Outcome: ok, Total: 2 * time.Millisecond})
					return req.Attempt
				}
				g.Release(permit.Observation{Outcome: unreachable})
				req.ExcludeTargets = append(req.ExcludeTargets, g.Target)
				req.ID += "+"
				time.Sleep(2 * time.Millisecond)
			}
		}
		for range 400 { // finds the targets that are down, and earns budget for retries
			g, err := h.Acquire(context.Background(), d.request("lookup", time.Second))
			is.NoErr(err)
			outcome := ok
			if down[g.Target] {
				outcome = unreachable
			}
			g.Release(permit.Observation{Outcome: outcome, Total: 2 * time.Millisecond})
			time.Sleep(2 * time.Millisecond)
		}
		for range 5 {
			time.Sleep(200 * time.Millisecond) // all probes are due
			is.True(send() <= 2)
		}
	})
}

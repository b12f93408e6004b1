package permit_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/permit"
	"github.com/rattanhitch/rattanhitch/pkg/permit/permittest"
)

// mostWithin returns the largest number of times in any span of the given length. The times must be sorted.
func mostWithin(times []time.Time, span time.Duration) int {
	most := 0
	for i, first := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[first]) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a target that gets more requests than its limit, summed over all hosts, also after its dispatcher was replaced; against
// a limit that leaves the target unused, and against one that remains after the target has stopped stating it.
func TestRateLimitHoldsAcrossFailover(t *testing.T) {
	const (
		limit = 5.0
		span  = 4 * time.Second
	)
	one := permittest.Service{Name: "lookup", Domain: "d1", Targets: 1, Slots: 8}
	run(t, 1, 4, permittest.Objects(one), func(d *domain, is *is.I) {
		owner, others := d.ownerAndOthers("lookup")
		var mu sync.Mutex
		stated := limit
		var sent []time.Time
		// send keeps the target busy from all hosts but the owner until the given time has passed.
		send := func(duration time.Duration) {
			end := time.Now().Add(duration)
			for _, h := range others {
				for range 4 {
					d.pending.Go(func() {
						for time.Now().Before(end) {
							g, err := h.Acquire(context.Background(), d.request("lookup", time.Second))
							if err != nil {
								time.Sleep(delay)
								continue
							}
							mu.Lock()
							sent = append(sent, time.Now())
							mu.Unlock()
							time.Sleep(20 * time.Millisecond)
							mu.Lock()
							o := permit.Observation{Outcome: ok, Total: 20 * time.Millisecond, RateLimit: stated, Responded: true}
							mu.Unlock()
							g.Release(o)
						}
					})
				}
			}
			time.Sleep(duration)
			d.pending.Wait()
		}
		send(time.Second) // the limit becomes known
		sent = nil
		send(2 * span)
		beforeFailover := len(sent)
		d.Kill(owner)
		send(4 * span)
		is.True(mostWithin(sent, span) <= int(limit*span.Seconds())+2)
		is.True(beforeFailover >= int(2*limit*span.Seconds())*3/4)
		is.True(len(sent)-beforeFailover >= int(4*limit*span.Seconds())/2) // some time passes until the successor grants

		stated = 0
		send(time.Second)
		sent = nil
		send(span)
		is.True(len(sent) > 4*int(limit*span.Seconds()))
	})
}

// Guards against a target with a rate limit that gets no request for as long as one request there takes, or its permit is lost, because
// only as many slots are used as the rate needs on average.
func TestSlowRequestDoesNotBlockALimitedTarget(t *testing.T) {
	one := permittest.Service{Name: "lookup", Domain: "d1", Targets: 1, Slots: 8}
	run(t, 1, 2, permittest.Objects(one), func(d *domain, is *is.I) {
		h := d.Hosts()[0]
		short := permit.Observation{Outcome: ok, Total: 20 * time.Millisecond, Responded: true, RateLimit: 5}
		served := 0
		serve := func(until time.Time) {
			for time.Now().Before(until) {
				g, err := h.Acquire(context.Background(), d.request("lookup", time.Second))
				if err != nil {
					continue
				}
				time.Sleep(short.Total)
				g.Release(short)
				served++
			}
		}
		serve(time.Now().Add(2 * time.Second))
		slow, err := h.Acquire(context.Background(), d.request("lookup", time.Minute))
		is.NoErr(err)
		served = 0
		serve(time.Now().Add(6 * time.Second))
		is.True(served >= 20 && served <= 32)
		slow.Release(short)
	})
}

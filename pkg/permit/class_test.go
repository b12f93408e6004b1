package permit_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit/permittest"
)

// Guards against short requests that queue behind long ones, and against a route with long responses that is not classified as
// long. The requests do not specify a class.
func TestShortRequestsDoNotWaitBehindLongOnes(t *testing.T) {
	run(t, 1, 3, permittest.Objects(lookup), func(d *domain, is *is.I) {
		_, others := d.ownerAndOthers("lookup")
		send := func(route string, forwarded bool, work time.Duration) <-chan time.Duration {
			req := d.request("lookup", time.Minute)
			req.Route, req.Forwarded = route, forwarded
			took := make(chan time.Duration, 1)
			start := time.Now()
			d.pending.Go(func() {
				is.NoErr(d.serve(others[0], req, work))
				took <- time.Since(start)
			})
			return took
		}
		for i := range 300 { // enough requests to classify the routes
			send("/short", false, 10*time.Millisecond)
			if i%10 == 0 {
				send("/long", false, time.Second)
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		for range 100 {
			send("/long", false, time.Second)
		}
		time.Sleep(100 * time.Millisecond)
		for _, n := range d.inFlightByTarget() {
			is.Equal(n, 2) // long requests take half of each target's slots
		}
		is.True(<-send("/short", false, 10*time.Millisecond) < 20*time.Millisecond)

		var local, forwarded []time.Duration
		var waits []<-chan time.Duration
		for i := range 60 {
			waits = append(waits, send("/short", i%2 == 0, 100*time.Millisecond))
		}
		for i, w := range waits {
			if i%2 == 0 {
				forwarded = append(forwarded, <-w)
			} else {
				local = append(local, <-w)
			}
		}
		slices.Sort(forwarded)
		is.True(slices.Max(local) <= forwarded[6]) // at most 6 found a free slot on arrival
	})
}

// Guards against a share for long requests that rounds down to zero slots, and one that is exceeded in the sum over all targets.
func TestLongShareFollowsThePolicy(t *testing.T) {
	for _, c := range []struct{ slots, percent, want int }{{4, 0, 6}, {4, 25, 3}, {1, 50, 1}, {3, 50, 3}} {
		s := permittest.Service{Name: "lookup", Domain: "d1", Targets: 3, Slots: c.slots}
		policy := &configv1.Policy{Name: "p", Service: "lookup", LongSharePercent: uint32(c.percent)}
		objects := append(permittest.Objects(s), &configv1.Object{Kind: &configv1.Object_Policy{Policy: policy}})
		run(t, 1, 2, objects, func(d *domain, is *is.I) {
			for range 20 {
				req := d.request("lookup", time.Minute)
				req.Class = configv1.RequestClass_REQUEST_CLASS_LONG
				d.pending.Go(func() { _ = d.serve(d.Hosts()[0], req, time.Second) })
			}
			time.Sleep(100 * time.Millisecond)
			sum := 0
			for _, n := range d.inFlightByTarget() {
				sum += n
			}
			is.Equal(sum, c.want)
		})
	}
}

// Guards against a service whose only route is classified as long because its first response was far faster than the median.
func TestFastFirstResponseDoesNotMakeARouteLong(t *testing.T) {
	run(t, 1, 2, permittest.Objects(lookup), func(d *domain, is *is.I) {
		h := d.Hosts()[0]
		is.NoErr(d.serve(h, d.request("lookup", time.Minute), 10*time.Microsecond))
		for range 100 {
			is.NoErr(d.serve(h, d.request("lookup", time.Minute), 20*time.Millisecond))
		}
		d.fill(h, 12, time.Second)
		sum := 0
		for _, n := range d.inFlightByTarget() {
			sum += n
		}
		is.Equal(sum, 12) // half as many if the route were classified as long
	})
}

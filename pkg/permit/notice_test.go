package permit_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
	"github.com/rattanhitch/rattanhitch/pkg/permit/permittest"
)

// take acquires a permit at a host for a target other than those excluded, and returns it.
func (d *domain) take(is *is.I, h *permittest.Host, exclude ...string) *permit.Grant {
	is.Helper()
	req := d.request("lookup", 2*time.Second)
	req.ExcludeTargets = exclude
	g, err := h.Acquire(context.Background(), req)
	is.NoErr(err)
	return g
}

// targetsOf returns the targets that a host gets for a number of requests, one at a time.
func (d *domain) targetsOf(is *is.I, h *permittest.Host, requests int) []string {
	is.Helper()
	var list []string
	for range requests {
		g := d.take(is, h)
		if !slices.Contains(list, g.Target) {
			list = append(list, g.Target)
		}
		g.Release(permit.Observation{Outcome: ok, Total: time.Millisecond})
		d.fillOnce(is, h)
	}
	slices.Sort(list)
	return list
}

// fillOnce occupies a slot for a moment, so that the next request goes to another target.
func (d *domain) fillOnce(is *is.I, h *permittest.Host) {
	g := d.take(is, h)
	d.pending.Go(func() {
		time.Sleep(5 * time.Millisecond)
		g.Release(permit.Observation{Outcome: ok, Total: time.Millisecond})
	})
}

var threeTargets = permittest.Service{Name: "lookup", Domain: "d1", Targets: 3, Slots: 2}

// Guards against requests to a target that has said that it is leaving: from the host that heard it at once, also with a permit that is on
// its way; from the other hosts once the dispatcher has heard it, also after its dispatcher was replaced; and after the target's entry
// was missing for a while.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	run(t, 1, 4, permittest.Objects(threeTargets), func(d *domain, is *is.I) {
		owner, others := d.ownerAndOthers("lookup")
		g := d.take(is, others[0])
		gone := g.Target
		g.Note(permit.Notice{Leaving: true})
		is.True(!slices.Contains(d.targetsOf(is, others[0], 20), gone)) // before the dispatcher hears it
		is.True(slices.Contains(d.targetsOf(is, others[1], 20), gone))
		g.Release(permit.Observation{Outcome: ok, Total: time.Millisecond, Leaving: true})
		time.Sleep(10 * time.Millisecond)
		is.True(!slices.Contains(d.targetsOf(is, others[1], 20), gone))
		d.Kill(owner)
		time.Sleep(5 * time.Second) // another dispatcher takes over
		is.True(!slices.Contains(d.targetsOf(is, others[1], 20), gone))

		without := slices.DeleteFunc(permittest.Objects(threeTargets), func(o *configv1.Object) bool { return o.GetTarget().GetName() == gone })
		d.Store.Set(config.NewSnapshot(2, without))
		time.Sleep(time.Second)
		d.Store.Set(config.NewSnapshot(3, permittest.Objects(threeTargets)))
		time.Sleep(time.Second)
		is.True(!slices.Contains(d.targetsOf(is, others[0], 20), gone))
	})
}

// startedAt returns the objects of threeTargets with the given start of all processes.
func startedAt(unixMs uint64) []*configv1.Object {
	objects := permittest.Objects(threeTargets)
	for _, o := range objects {
		if o.GetTarget() != nil {
			o.GetTarget().StartedUnixMs = unixMs
		}
	}
	return objects
}

// Guards against a target that stays unused after it was started again under its name.
func TestRestartedTargetIsNoLongerLeaving(t *testing.T) {
	run(t, 2, 2, startedAt(7), func(d *domain, is *is.I) {
		h := d.Hosts()[0]
		g := d.take(is, h)
		g.Note(permit.Notice{Leaving: true, HoldOff: time.Hour})
		g.Release(permit.Observation{Outcome: ok, Total: time.Millisecond, Leaving: true})
		is.True(!slices.Contains(d.targetsOf(is, h, 20), g.Target))
		d.Store.Set(config.NewSnapshot(2, startedAt(8)))
		time.Sleep(100 * time.Millisecond)
		is.True(slices.Contains(d.targetsOf(is, h, 20), g.Target))
	})
}

// Guards against requests from a host to a target that has asked this host to wait, also from requests that were waiting for a slot then,
// and against a wait that binds other hosts or does not end.
func TestHoldOffBindsTheHost(t *testing.T) {
	run(t, 3, 3, permittest.Objects(permittest.Service{Name: "lookup", Domain: "d1", Targets: 1, Slots: 1}), func(d *domain, is *is.I) {
		_, others := d.ownerAndOthers("lookup")
		g := d.take(is, others[0])
		granted := make(chan bool, 1)
		start := time.Now()
		d.pending.Go(func() { // waits for the only slot while the target asks its host to wait
			waiting, err := others[0].Acquire(context.Background(), d.request("lookup", 5*time.Second))
			if err == nil {
				waiting.Release(permit.Observation{Outcome: ok, Total: time.Millisecond})
			}
			granted <- err == nil
		})
		time.Sleep(50 * time.Millisecond)
		g.Note(permit.Notice{HoldOff: time.Second})
		g.Release(permit.Observation{Outcome: ok, Total: time.Millisecond})
		other := d.take(is, others[1])
		is.True(time.Since(start) < time.Second)
		other.Release(permit.Observation{Outcome: ok, Total: time.Millisecond})
		is.True(!<-granted)
		time.Sleep(time.Second)
		d.take(is, others[0]).Release(permit.Observation{Outcome: ok, Total: time.Millisecond})
	})
}

// grantsOf returns how many of six permits that a host gets at once, which are all of threeTargets, are for a target.
func (d *domain) grantsOf(is *is.I, h *permittest.Host, target string) int {
	is.Helper()
	count := 0
	for range threeTargets.Targets * threeTargets.Slots {
		g := d.take(is, h)
		defer g.Release(permit.Observation{Outcome: ok, Total: time.Millisecond})
		if g.Target == target {
			count++
		}
	}
	return count
}

// Guards against a target that stays unused because the last answer of its earlier process, which was leaving, is reported after another one
// was started under its name: by a release, or by a host when another dispatcher takes over.
func TestStatementOfAnEarlierProcessIsIgnored(t *testing.T) {
	run(t, 4, 4, startedAt(7), func(d *domain, is *is.I) {
		owner, others := d.ownerAndOthers("lookup")
		g := d.take(is, others[0])
		d.Store.Set(config.NewSnapshot(2, startedAt(8)))
		time.Sleep(100 * time.Millisecond)
		g.Note(permit.Notice{Leaving: true})
		g.Release(permit.Observation{Outcome: ok, Total: time.Millisecond, Leaving: true})
		time.Sleep(100 * time.Millisecond)
		is.Equal(d.grantsOf(is, others[0], g.Target), 2)
		time.Sleep(100 * time.Millisecond)
		is.Equal(d.grantsOf(is, others[1], g.Target), 2)
		d.Kill(owner)
		time.Sleep(5 * time.Second) // another dispatcher takes over
		is.Equal(d.grantsOf(is, others[1], g.Target), 2)
	})
}

// addInformed adds a host with a newer configuration than that of the dispatcher of lookup, and returns it.
func (d *domain) addInformed(is *is.I, newer *config.Store) *permittest.Host {
	is.Helper()
	owner, _ := d.ownerAndOthers("lookup")
	d.Configure = func(o *permit.Options) { o.Store = newer }
	informed := d.Add("informed")
	informed.Start()
	time.Sleep(2 * time.Second)
	present, _ := d.ownerAndOthers("lookup")
	is.Equal(present.Member.Host, owner.Member.Host)
	return informed
}

// Guards against a request to a target that was removed, from a host that knows it, because the dispatcher has an older configuration: a dispatcher's
// host may have been cut off (review/8).
func TestPermitForARemovedTargetIsReturned(t *testing.T) {
	run(t, 1, 4, permittest.Objects(threeTargets), func(d *domain, is *is.I) {
		var names []string
		var kept []*configv1.Object
		for _, o := range permittest.Objects(threeTargets) {
			if o.GetTarget() != nil {
				names = append(names, o.GetTarget().GetName())
			}
			if o.GetTarget().GetName() == "" || len(names) > 1 {
				kept = append(kept, o)
			}
		}
		newer := config.NewStore()
		newer.Set(config.NewSnapshot(8, permittest.Objects(threeTargets)))
		informed := d.addInformed(is, newer)
		is.Equal(d.grantsOf(is, informed, names[0]), threeTargets.Slots)

		newer.Set(config.NewSnapshot(9, kept))
		time.Sleep(100 * time.Millisecond)
		for range 20 {
			g := d.take(is, informed)
			is.True(g.Target != names[0])
			g.Release(permit.Observation{Outcome: ok, Total: time.Millisecond})
		}
		newer.Set(config.NewSnapshot(10, permittest.Objects(threeTargets))) // it is back
		time.Sleep(100 * time.Millisecond)
		is.Equal(d.grantsOf(is, informed, names[0]), threeTargets.Slots)
	})
}

// Guards against a request to a target that leaves, from a host that knows it, because the dispatcher has an older configuration: a dispatcher's host may
// be short of processor time.
func TestPermitForADrainingTargetIsReturned(t *testing.T) {
	run(t, 1, 4, permittest.Objects(threeTargets), func(d *domain, is *is.I) {
		_, others := d.ownerAndOthers("lookup")
		objects := permittest.Objects(threeTargets)
		var names []string
		for _, o := range objects {
			if o.GetTarget() != nil {
				names = append(names, o.GetTarget().GetName())
			}
			if len(names) == 1 && o.GetTarget() != nil {
				o.GetTarget().State = configv1.TargetState_TARGET_STATE_DRAINING
			}
		}
		newer := config.NewStore()
		newer.Set(config.NewSnapshot(9, objects))
		informed := d.addInformed(is, newer)

		last := d.request("lookup", 2*time.Second)
		last.ExcludeTargets = names[1:]
		_, err := informed.Acquire(context.Background(), last)
		is.Equal(reason(err), peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET)
		is.Equal(d.take(is, others[0], names[1:]...).Target, names[0])
		for range 20 {
			g := d.take(is, informed)
			is.True(g.Target != names[0])
			g.Release(permit.Observation{Outcome: ok, Total: time.Millisecond})
		}
	})
}

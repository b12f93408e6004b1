package permit_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
	"github.com/rattanhitch/rattanhitch/pkg/permit/permittest"
	"github.com/rattanhitch/rattanhitch/pkg/store/memory"
)

// loseConnection sends a request whose connection is lost, and returns the target that it was sent to.
func (d *domain) loseConnection(h *permittest.Host, fingerprint uint64, exclude ...string) (string, error) {
	req := d.request("lookup", time.Second)
	req.Fingerprint, req.Attempt, req.ExcludeTargets = fingerprint, len(exclude), exclude
	return d.lose(h, req)
}

// lose sends a request whose connection is lost, and returns the target that it was sent to.
func (d *domain) lose(h *permittest.Host, req permit.Request) (string, error) {
	g, err := h.Acquire(context.Background(), req)
	if err != nil {
		return "", err
	}
	g.Release(permit.Observation{Outcome: lost, Total: time.Millisecond})
	time.Sleep(10 * delay)
	return g.Target, nil
}

// Guards against a poison request that is retried at one target after the other, and against one that is accepted again after
// its dispatcher failed.
func TestPoisonIsRefusedOnAllHostsAndAfterFailover(t *testing.T) {
	run(t, 1, 4, permittest.Objects(lookup), func(d *domain, is *is.I) {
		owner, others := d.ownerAndOthers("lookup")
		first, err := d.loseConnection(others[0], 7)
		is.NoErr(err)
		_, err = d.loseConnection(others[1], 7, first)
		is.NoErr(err)
		for _, h := range d.Hosts() {
			_, err = d.loseConnection(h, 7)
			is.Equal(reason(err), peerv1.RefusalReason_REFUSAL_REASON_POISON)
		}
		_, err = d.loseConnection(others[0], 8)
		is.NoErr(err) // requests with another fingerprint are served

		d.Kill(owner)
		time.Sleep(4 * time.Second)
		fresh := d.Add("fresh")
		fresh.Start()
		time.Sleep(2 * time.Second)
		_, err = d.loseConnection(fresh, 7)
		is.Equal(reason(err), peerv1.RefusalReason_REFUSAL_REASON_POISON)
	})
}

// Guards against an innocent request that is refused as poison because it ran at two failing targets together with a poison
// request.
func TestSuspectsDoNotShareATarget(t *testing.T) {
	one := permittest.Service{Name: "lookup", Domain: "d1", Targets: 1, Slots: 4}
	run(t, 1, 2, permittest.Objects(one), func(d *domain, is *is.I) {
		h := d.Hosts()[0]
		acquire := func(fingerprint uint64) (*permit.Grant, error) {
			req := d.request("lookup", time.Second)
			req.Fingerprint = fingerprint
			return h.Acquire(context.Background(), req)
		}
		for _, fingerprint := range []uint64{7, 8} {
			_, err := d.loseConnection(h, fingerprint)
			is.NoErr(err)
		}
		first, err := acquire(7)
		is.NoErr(err)
		_, err = acquire(8)
		is.Equal(reason(err), peerv1.RefusalReason_REFUSAL_REASON_DEADLINE) // had to wait for the other suspect
		other, err := acquire(9)
		is.NoErr(err)
		other.Release(permit.Observation{Outcome: ok})
		first.Release(permit.Observation{Outcome: ok})
		second, err := acquire(8)
		is.NoErr(err)
		second.Release(permit.Observation{Outcome: ok})
	})
}

// Guards against a suspect that is kept apart for minutes although targets answer it, if only with an error, and against a time-out that
// counts as an answer.
func TestErrorsOfTargetsAreAnswers(t *testing.T) {
	for _, responded := range []bool{true, false} {
		run(t, 1, 2, permittest.Objects(lookup), func(d *domain, is *is.I) {
			h := d.Hosts()[0]
			first, err := d.loseConnection(h, 7)
			is.NoErr(err)
			req := d.request("lookup", time.Second)
			req.Fingerprint = 7
			g, err := h.Acquire(context.Background(), req)
			is.NoErr(err)
			g.Release(permit.Observation{
				Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR, Total: time.Millisecond, Responded: responded,
			})
			time.Sleep(10 * delay)
			_, err = d.loseConnection(h, 7, first)
			is.NoErr(err)
			_, err = d.loseConnection(h, 7)
			is.Equal(reason(err) == peerv1.RefusalReason_REFUSAL_REASON_POISON, !responded)
		})
	}
}

// Guards against an innocent request that is refused as poison because it was lost beside one copy of a poison request and then ran
// beside another copy, which had started before.
func TestInnocentBesideCopiesOfPoison(t *testing.T) {
	three := permittest.Service{Name: "lookup", Domain: "d1", Targets: 3, Slots: 2}
	run(t, 1, 2, permittest.Objects(three), func(d *domain, is *is.I) {
		const poison, innocent = 7, 8
		h := d.Hosts()[0]
		acquire := func(fingerprint uint64, timeout time.Duration, exclude ...string) (*permit.Grant, error) {
			req := d.request("lookup", timeout)
			req.Fingerprint, req.ExcludeTargets = fingerprint, exclude
			return h.Acquire(context.Background(), req)
		}
		loseAll := func(grants ...*permit.Grant) {
			for _, g := range grants {
				g.Release(permit.Observation{Outcome: lost, Total: time.Millisecond})
			}
			time.Sleep(10 * delay)
		}
		copies := map[string]*permit.Grant{}
		for range 3 {
			g, err := acquire(poison, time.Minute)
			is.NoErr(err)
			copies[g.Target] = g
		}
		is.Equal(len(copies), 3) // one at each target
		first, err := acquire(innocent, time.Minute)
		is.NoErr(err)
		loseAll(copies[first.Target], first)
		if second, err := acquire(innocent, time.Second, first.Target); err == nil {
			loseAll(copies[second.Target], second)
		}
		_, err = acquire(innocent, time.Second)
		is.True(reason(err) != peerv1.RefusalReason_REFUSAL_REASON_POISON)
	})
}

// Guards against a poison request that ends one more target each time its dispatcher is replaced, because the first strike is forgotten.
func TestStrikesSurviveFailover(t *testing.T) {
	run(t, 1, 4, permittest.Objects(lookup), func(d *domain, is *is.I) {
		owner, others := d.ownerAndOthers("lookup")
		first, err := d.loseConnection(others[0], 7)
		is.NoErr(err)
		d.Kill(owner)
		time.Sleep(4 * time.Second)
		other := d.request("lookup", time.Second)
		other.Fingerprint, other.ExcludeTargets = 7, []string{first}
		_, err = d.lose(others[1], other)
		is.NoErr(err)
		_, err = d.loseConnection(others[1], 7)
		is.Equal(reason(err), peerv1.RefusalReason_REFUSAL_REASON_POISON)
	})
}

// Guards against a poison request that ends the same target again and again: a target may start again under its name.
func TestStrikesCountAtRestartedTarget(t *testing.T) {
	one := permittest.Service{Name: "lookup", Domain: "d1", Targets: 1, Slots: 4}
	run(t, 1, 2, permittest.Objects(one), func(d *domain, is *is.I) {
		for range 2 {
			_, err := d.loseConnection(d.Hosts()[0], 7)
			is.NoErr(err)
			time.Sleep(3 * time.Second) // the target starts again
		}
		_, err := d.loseConnection(d.Hosts()[0], 7)
		is.Equal(reason(err), peerv1.RefusalReason_REFUSAL_REASON_POISON)
	})
}

// Guards against a poison request that ends one more target in each shard of a large service.
func TestStrikesAreSharedByShards(t *testing.T) {
	large := permittest.Service{Name: "lookup", Domain: "d1", Targets: 40, Slots: 2}
	run(t, 1, 4, permittest.Objects(large), func(d *domain, is *is.I) {
		h := d.Hosts()[0]
		var ended []string
		for object := range uint64(16) {
			req := d.request("lookup", time.Second)
			req.Fingerprint, req.ObjectHash, req.ExcludeTargets = 7, object+1, ended
			target, err := d.lose(h, req)
			if err == nil {
				ended = append(ended, target)
			} else {
				is.Equal(reason(err), peerv1.RefusalReason_REFUSAL_REASON_POISON)
			}
			time.Sleep(100 * delay)
		}
		is.Equal(len(ended), 2)
	})
}

// Guards against a poison request that ends the targets of one failure domain after those of another, because they do not share what
// they know.
func TestStrikesAreSharedByFailureDomains(t *testing.T) {
	elsewhere := permittest.Service{Name: "lookup", Domain: "d2", Targets: 3, Slots: 4, TargetPrefix: "elsewhere"}
	objects := append(permittest.Objects(lookup), permittest.Objects(elsewhere)...)
	run(t, 1, 3, objects, func(d *domain, is *is.I) {
		second := d.addDomain("d2", 3)
		defer second.Close()
		first, err := d.loseConnection(d.Hosts()[0], 7)
		is.NoErr(err)
		_, err = d.loseConnection(second.Hosts()[0], 7, first)
		is.NoErr(err)
		for _, h := range append(d.Hosts(), second.Hosts()...) {
			_, err = d.loseConnection(h, 7)
			is.Equal(reason(err), peerv1.RefusalReason_REFUSAL_REASON_POISON)
		}
	})
}

// Guards against a poison request that is accepted again in a failure domain all of whose hosts were lost, or that was cut off when the
// others learned of it.
func TestStrikesReachHostsThatWereAway(t *testing.T) {
	elsewhere := permittest.Service{Name: "lookup", Domain: "d2", Targets: 3, Slots: 4, TargetPrefix: "elsewhere"}
	objects := append(permittest.Objects(lookup), permittest.Objects(elsewhere)...)
	for _, cutOff := range []bool{true, false} {
		run(t, 1, 3, objects, func(d *domain, is *is.I) {
			second := d.addDomain("d2", 3)
			defer second.Close()
			setCut := func(on bool) {
				for _, a := range d.Hosts() {
					for _, b := range second.Hosts() {
						d.Network.Cut(a.Member.Host, b.Member.Host, on)
						d.Network.Cut(b.Member.Host, a.Member.Host, on)
					}
				}
			}
			setCut(cutOff)
			first, err := d.loseConnection(d.Hosts()[0], 7)
			is.NoErr(err)
			_, err = d.loseConnection(d.Hosts()[0], 7, first)
			is.NoErr(err)
			time.Sleep(time.Second)
			setCut(false)
			if !cutOff {
				names := second.Hosts()
				for _, h := range names {
					second.Kill(h)
				}
				for _, h := range names {
					second.Add(h.Member.Host)
				}
				second.StartAll()
			}
			time.Sleep(3 * time.Second)
			_, err = d.loseConnection(second.Hosts()[0], 7)
			is.Equal(reason(err), peerv1.RefusalReason_REFUSAL_REASON_POISON)
		})
	}
}

// Guards against a poison request that ends targets again after all hosts were lost at once, and against records that are lost because the
// platform was not there when they were to be written.
func TestStrikesSurviveTheLossOfAllHosts(t *testing.T) {
	for _, outage := range []bool{false, true} {
		table := memory.New()
		run(t, 1, 4, permittest.Objects(lookup), func(d *domain, is *is.I) {
			d.Configure = func(o *permit.Options) { o.Table = table }
			d.restartAll() // with the table
			table.SetFaults(memory.Faults{Outage: outage})
			first, err := d.loseConnection(d.Hosts()[0], 7)
			is.NoErr(err)
			_, err = d.loseConnection(d.Hosts()[1], 7, first)
			is.NoErr(err)
			table.SetFaults(memory.Faults{})
			time.Sleep(4 * time.Second)
			d.restartAll()
			_, err = d.loseConnection(d.Hosts()[2], 7)
			is.Equal(reason(err), peerv1.RefusalReason_REFUSAL_REASON_POISON)
		})
	}
}

// restartAll kills all hosts at once and starts four new ones.
func (d *domain) restartAll() {
	for _, h := range d.Hosts() {
		d.Kill(h)
	}
	for i := range 4 {
		d.Add(fmt.Sprintf("h%d", i))
	}
	d.StartAll()
	time.Sleep(3 * time.Second)
}

// Guards against a poison request of which the first crash is forgotten with all hosts, so that it ends another target after each loss of
// all hosts, and against rows of innocent requests that stay in the platform's table.
func TestFirstCrashSurvivesTheLossOfAllHosts(t *testing.T) {
	table := memory.New()
	run(t, 1, 4, permittest.Objects(lookup), func(d *domain, is *is.I) {
		d.Configure = func(o *permit.Options) { o.Table = table }
		d.restartAll()
		first, err := d.loseConnection(d.Hosts()[0], 7)
		is.NoErr(err)
		_, err = d.loseConnection(d.Hosts()[0], 8, first)
		is.NoErr(err)
		time.Sleep(time.Second)
		d.restartAll()
		innocent := d.request("lookup", time.Second)
		innocent.Fingerprint = 8
		is.NoErr(d.serve(d.Hosts()[1], innocent, 0))
		_, err = d.loseConnection(d.Hosts()[1], 7)
		is.NoErr(err)
		time.Sleep(time.Second)
		_, err = d.loseConnection(d.Hosts()[2], 7)
		is.Equal(reason(err), peerv1.RefusalReason_REFUSAL_REASON_POISON) // the second strike
		rows, err := table.Scan(t.Context(), "poison/", "", 10)
		is.NoErr(err)
		is.Equal(len(rows), 1)
	})
}

// Guards against retries that multiply the load: they are limited to a tenth of the first attempts once the saved tokens are
// spent.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	run(t, 1, 2, permittest.Objects(lookup), func(d *domain, is *is.I) {
		h := d.Hosts()[0]
		granted, refused := 0, 0
		for range 1000 {
			is.NoErr(d.serve(h, d.request("lookup", time.Second), 0))
			retry := d.request("lookup", time.Second)
			retry.Attempt = 1
			switch err := d.serve(h, retry, 0); reason(err) {
			case peerv1.RefusalReason_REFUSAL_REASON_RETRY_BUDGET:
				refused++
			default:
				is.NoErr(err)
				granted++
			}
		}
		is.True(granted >= 100 && granted <= 120)
		is.Equal(granted+refused, 1000)
	})
}

package permit_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
	"github.com/rattanhitch/rattanhitch/pkg/permit/permittest"
)

const (
	cancelled = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED
	timedOut  = peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR

	// impatience is the time after which the holder of a permit gives its request up, and runTimeout the request's time-out.
	impatience = 50 * time.Millisecond
	runTimeout = time.Second
)

// abandon sends a request that is given up with an outcome while it runs, and returns its target.
func (d *domain) abandon(h *permittest.Host, fingerprint uint64, outcome peerv1.ReleaseOutcome) (string, error) {
	req := d.request("lookup", runTimeout)
	req.Fingerprint = fingerprint
	g, err := h.Acquire(context.Background(), req)
	if err != nil {
		return "", err
	}
	time.Sleep(impatience)
	g.Release(permit.Observation{Outcome: outcome, Total: impatience, Abandoned: true})
	time.Sleep(10 * delay)
	return g.Target, nil
}

// sendTo sends another request to a target of threeTargets, and releases it with an outcome.
func (d *domain) sendTo(is *is.I, h *permittest.Host, target string, outcome peerv1.ReleaseOutcome) {
	is.Helper()
	req := d.request("lookup", runTimeout)
	for _, o := range permittest.Objects(threeTargets) {
		if name := o.GetTarget().GetName(); name != "" && name != target {
			req.ExcludeTargets = append(req.ExcludeTargets, name)
		}
	}
	g, err := h.Acquire(context.Background(), req)
	is.NoErr(err)
	is.Equal(g.Target, target)
	g.Release(permit.Observation{Outcome: outcome, Total: time.Millisecond, Responded: outcome == ok})
	time.Sleep(10 * delay)
}

// restart configures another process of a target.
func (d *domain) restart(target string) {
	snap := d.Store.Current()
	objects := startedAt(7)
	for _, o := range objects {
		if t := o.GetTarget(); t != nil {
			t.StartedUnixMs = snap.Object(config.Key{Kind: config.KindTarget, Name: t.GetName()}).GetTarget().GetStartedUnixMs()
			if t.GetName() == target {
				t.StartedUnixMs++
			}
		}
	}
	d.Store.Set(config.NewSnapshot(snap.Version+1, objects))
	time.Sleep(10 * delay)
}

// Guards against a poison request that is never recognised because its caller leaves, or its deadline passes, before the target ends
// (review/1: it ended a target each time that it came).
func TestAbandonedPoisonIsRecognised(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome peerv1.ReleaseOutcome
		end     func(d *domain, is *is.I, target string)
	}{
		{"another request loses its connection", cancelled, func(d *domain, is *is.I, target string) { d.sendTo(is, d.Hosts()[1], target, lost) }},
		{"the target accepts no connection", cancelled, func(d *domain, is *is.I, target string) {
			d.sendTo(is, d.Hosts()[1], target, unreachable)
		}},
		{"the target has another process", cancelled, func(d *domain, _ *is.I, target string) { d.restart(target) }},
		{"at the deadline", timedOut, func(d *domain, is *is.I, target string) { d.sendTo(is, d.Hosts()[1], target, lost) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 1, 2, startedAt(7), func(d *domain, is *is.I) {
				for range 2 {
					target, err := d.abandon(d.Hosts()[0], 7, c.outcome)
					is.NoErr(err)
					c.end(d, is, target)
					time.Sleep(time.Second)
				}
				_, err := d.abandon(d.Hosts()[1], 7, c.outcome)
				is.Equal(reason(err), peerv1.RefusalReason_REFUSAL_REASON_POISON)
			})
		})
	}
}

// Guards against a poison request that is never recognised because the host that sent it is lost before the target ends.
func TestPoisonOfALostHostIsRecognised(t *testing.T) {
	run(t, 1, 4, startedAt(7), func(d *domain, is *is.I) {
		_, others := d.ownerAndOthers("lookup")
		for range 2 {
			req := d.request("lookup", 10*time.Second)
			req.Fingerprint = 7
			g, err := others[0].Acquire(context.Background(), req)
			is.NoErr(err)
			d.Kill(others[0])
			d.sendTo(is, others[1], g.Target, lost)
			others[0] = d.Add(others[0].Member.Host)
			others[0].Start()
			time.Sleep(3 * time.Second)
		}
		_, err := d.loseConnection(others[1], 7)
		is.Equal(reason(err), peerv1.RefusalReason_REFUSAL_REASON_POISON)
	})
}

// Guards against an innocent request that is refused as poison because targets ended some time after its caller had left, or for a reason
// that has nothing to do with it.
func TestAbandonedInnocentIsServed(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(d *domain, is *is.I, target string)
	}{
		{"the target was alive after the run", func(d *domain, is *is.I, target string) {
			time.Sleep(2 * runTimeout)
			d.sendTo(is, d.Hosts()[1], target, ok)
			d.sendTo(is, d.Hosts()[1], target, lost)
		}},
		{"another target has answered the request", func(d *domain, is *is.I, target string) {
			req := d.request("lookup", runTimeout)
			req.Fingerprint, req.ExcludeTargets = 7, []string{target}
			is.NoErr(d.serve(d.Hosts()[1], req, time.Millisecond))
			time.Sleep(10 * delay)
			d.sendTo(is, d.Hosts()[1], target, lost)
		}},
		{"only one host does not reach the target", func(d *domain, is *is.I, target string) {
			d.sendTo(is, d.Hosts()[1], target, unreachable)
			time.Sleep(100 * time.Millisecond) // it is probed then
			d.sendTo(is, d.Hosts()[0], target, ok)
		}},
		{"the target ends as planned", func(d *domain, is *is.I, target string) {
			objects := startedAt(7)
			for _, o := range objects {
				if o.GetTarget().GetName() == target {
					o.GetTarget().State = configv1.TargetState_TARGET_STATE_DRAINING
				}
			}
			version := d.Store.Current().Version
			d.Store.Set(config.NewSnapshot(version+1, objects))
			time.Sleep(10 * delay)
			d.Store.Set(config.NewSnapshot(version+2, startedAt(8+version)))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 1, 2, startedAt(7), func(d *domain, is *is.I) {
				for range 3 {
					target, err := d.abandon(d.Hosts()[0], 7, cancelled)
					is.NoErr(err)
					c.end(d, is, target)
					time.Sleep(time.Second)
				}
				_, err := d.abandon(d.Hosts()[0], 7, cancelled)
				is.NoErr(err)
			})
		})
	}
}

// Guards against a poison request that ends one more target with each copy that comes while an earlier one, whose caller has left, still
// runs.
func TestSuspectWaitsForItsAbandonedCopy(t *testing.T) {
	run(t, 1, 2, startedAt(7), func(d *domain, is *is.I) {
		h := d.Hosts()[0]
		_, err := d.loseConnection(h, 7)
		is.NoErr(err)
		start := time.Now()
		_, err = d.abandon(h, 7, cancelled)
		is.NoErr(err)
		req := d.request("lookup", 5*time.Second)
		req.Fingerprint = 7
		is.NoErr(d.serve(h, req, time.Millisecond))
		is.True(time.Since(start) > runTimeout)
	})
}

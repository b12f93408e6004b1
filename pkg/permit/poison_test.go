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

// loseConnection sends a request whose connection is lost, and returns the target that it was sent to.
func (d *domain) loseConnection(h *permittest.Host, fingerprint uint64, exclude ...string) (string, error) {
	req := d.request("lookup", time.Second)
	req.Fingerprint, req.Attempt, req.ExcludeTargets = fingerprint, len(exclude), exclude
	g, err := h.Acquire(context.Background(), req)
	if err != nil {
		return "", err
	}
	g.Release(permit.Observation{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST, Total: time.Millisecond})
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

package entry

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/pkg/entry/upstream"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// fixedPaths are paths in a state that a test sets.
type fixedPaths struct{ isolated, reaches bool }

func (p *fixedPaths) Isolated() bool                        { return p.isolated }
func (p *fixedPaths) Observe(context.Context, string, bool) {}

func (p *fixedPaths) ReachesTargets() bool { return p.reaches }

// silentConn is a connection whose reads time out, as the operating system ends them on a silent connection.
type silentConn struct{ net.Conn }

func (c silentConn) Read([]byte) (int, error) {
	return 0, os.NewSyscallError("read", syscall.ETIMEDOUT)
}

// Guards against a target, and a request, that are blamed for what an isolated host observes: its own links are the cause. Guards also
// against a poison request that goes unnoticed at an isolated host, although another host finds that the target has ended.
func TestIsolatedHostBlamesNoTarget(t *testing.T) {
	noPath := errors.Mark(errors.New("no gateway"), upstream.ErrNoPath)
	for _, c := range []struct {
		name    string
		probe   error
		outcome peerv1.ReleaseOutcome
	}{
		{"no gateway", noPath, outcomeCancelled},
		{"no answer from a gateway", context.DeadlineExceeded, outcomeCancelled},
		{"the target ended", errRefused, outcomeLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				var w *fixture
				w = newFixture(t, 1, func(o *Options) {
					o.Paths = &fixedPaths{isolated: true, reaches: true}
					o.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
						conn, err := w.net.dial(ctx, network, address)
						if errors.Is(err, errRefused) {
							err = c.probe
						}
						return conn, err
					}
				})
				w.endingTarget(t, "ending")
				is.Equal(w.do("GET", "/lookup/a", "").status, 200)
				synctest.Wait()
				w.checkReleased(is, c.outcome, outcomeOK)
				is.True(!w.permits.released[0].TargetAlive)
			})
		})
	}
}

// Guards against an innocent request that is taken for poison because a partition swallowed its connection, and against a target whose
// statistics suffer because the links of an isolated host are silent.
func TestSilentConnectionIsNoCrash(t *testing.T) {
	for _, c := range []struct {
		name     string
		isolated bool
		outcome  peerv1.ReleaseOutcome
	}{
		{"one connection", false, outcomeLost},
		{"isolated host", true, outcomeCancelled},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				silent := true
				var w *fixture
				w = newFixture(t, 2, func(o *Options) {
					o.Paths = &fixedPaths{isolated: c.isolated, reaches: true}
					o.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
						conn, err := w.net.dial(ctx, network, address)
						if err == nil && silent {
							silent = false
							w.net.remove("t0") // not even a new connection is accepted
							return silentConn{conn}, nil
						}
						return conn, err
					}
				})
				is.Equal(w.do("GET", "/lookup/a", "").status, 200)
				synctest.Wait()
				w.checkReleased(is, c.outcome, outcomeOK)
				is.Equal(w.permits.released[0].TargetAlive, !c.isolated)
			})
		})
	}
}

// Guards against a request that takes permits, and uses up its attempts, at a host that reaches no target.
func TestHostWithoutPathRefusesAtOnce(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 1, func(o *Options) { o.Paths = &fixedPaths{isolated: true} })
		got := w.do("GET", "/lookup/a", "")
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(got.header.Get("Rattanhitch-Outcome"), "not-run")
		is.Equal(got.header.Get("Rattanhitch-Reason"), "target-unreachable")
		is.Equal(len(w.permits.requests), 0)
	})
}

// Guards against a target that is marked as down because a host found no path to any target.
func TestNoPathIsNotBlamedOnTheTarget(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 1, func(o *Options) {
			o.Dial = func(context.Context, string, string) (net.Conn, error) {
				return nil, errors.Mark(errors.New("no gateway"), upstream.ErrNoPath)
			}
		})
		got := w.do("GET", "/lookup/a", "")
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(got.header.Get("Rattanhitch-Outcome"), "not-run")
		synctest.Wait()
		w.checkReleased(is, peerv1.ReleaseOutcome_RELEASE_OUTCOME_NOT_SENT)
	})
}

package peer_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// Guards against failing a call that was only queued on a session that ended, and against retrying a call that may have been
// written.
func TestOnlyUnwrittenCallsAreRetried(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		a := h.node(t, "a", 1, nil)
		release := make(chan struct{})
		rogue(t, h, func(c *peerv1.Envelope) []*peerv1.Envelope {
			if c.GetMethod() == "block" {
				<-release
			}
			return []*peerv1.Envelope{{Id: c.GetId(), Payload: c.GetPayload()}}
		})
		_, err := call(a, addrB, "echo", "x", time.Second)
		is.NoErr(err)

		type result struct {
			got string
			err error
		}
		start := func(method, key string) chan result {
			results := make(chan result, 1)
			go func() {
				got, err := call(a, addrB, method, key, time.Minute)
				results <- result{got, err}
			}()
			synctest.Wait()
			return results
		}
		written := start("block", "")
		partly := start("echo", strings.Repeat("x", 3<<20)) // blocks on the stream's receive window
		queued := start("echo", "queued")
		h.net.Kill("b")
		h.node(t, "b", 2, nil)
		for _, results := range []chan result{written, partly} {
			r := <-results
			is.True(errors.Is(r.err, peer.ErrSessionLost))
			is.True(!errors.Is(r.err, peer.ErrNotWritten))
		}
		r := <-queued
		is.NoErr(r.err)
		is.Equal(r.got, "queued")
		is.Equal(h.count("call_retries"), int64(1))
		close(release)
	})
}

// Guards against a session that stays open while its peer accepts no more bytes but would still answer pings.
func TestWritesThatDoNotAdvanceEndTheSession(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		net := newHarness().net
		listener, err := net.Host("b", "p").Listen("b:1")
		is.NoErr(err)
		near, err := net.Host("a", "p").Dial(t.Context(), listener.Addr().String())
		is.NoErr(err)
		start := time.Now()
		n, err := peer.TrackedWrite(near, make([]byte, 5<<20))
		is.True(err != nil)
		is.Equal(n, 4<<20) // the buffer size of the in-memory connection
		is.Equal(time.Since(start), 3*time.Second)
	})
}

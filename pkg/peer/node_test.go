package peer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/memnet"
	"github.com/rattanhitch/rattanhitch/internal/steperr"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// harness is an in-memory network and the metrics of all its nodes.
type harness struct {
	net   *memnet.Network
	scope tally.TestScope
}

func newHarness() *harness {
	return &harness{net: memnet.New(), scope: tally.NewTestScope("", nil)}
}

// node starts a node with a method "echo", which returns the key of the request, and a method "wait", which calls wait.
func (h *harness) node(t *testing.T, name string, incarnation uint64, wait peer.Handler) *peer.Node {
	t.Helper()
	host := h.net.Host(name, "place-"+name)
	listener, err := host.Listen(name + ":1")
	if err != nil {
		t.Fatal(err)
	}
	n := peer.New(peer.Options{
		Self:     peer.Identity{Host: name, Incarnation: incarnation, FailureDomain: "d", Region: "r"},
		Listener: listener, Dial: host.Dial, Scope: h.scope,
	})
	n.Handle("echo", func(_ context.Context, _ peer.Identity, payload []byte) (proto.Message, error) {
		m := &peerv1.OutcomeRequest{}
		return m, proto.Unmarshal(payload, m)
	})
	if wait != nil {
		n.Handle("wait", wait)
	}
	n.HandleForward(http.HandlerFunc(forwarded))
	if err := n.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return n
}

func forwarded(w http.ResponseWriter, r *http.Request) {
	from, _ := peer.SenderFrom(r.Context())
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s@%d %s", from.Host, from.Incarnation, body)
}

// count returns the value of a counter of the package.
func (h *harness) count(name string) int64 {
	for _, c := range h.scope.Snapshot().Counters() {
		if c.Name() == "peer."+name {
			return c.Value()
		}
	}
	return 0
}

// call sends a request with a key and returns the key in the answer.
func call(n *peer.Node, to peer.Address, method, key string, limit time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	resp := &peerv1.OutcomeRequest{}
	err := n.Call(ctx, to, method, &peerv1.OutcomeRequest{Key: key}, resp)
	return resp.GetKey(), err
}

var addrB = peer.Address{Host: "b", Addr: "b:1"}

// Guards against answers that are delivered to the wrong call when many calls are in flight.
func TestManyCallsInFlight(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		h.net.SetDelay("place-a", "place-b", 20*time.Millisecond)
		wait := func(ctx context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
			m := &peerv1.OutcomeRequest{}
			_ = proto.Unmarshal(payload, m)
			time.Sleep(time.Duration(len(m.GetKey())) * time.Millisecond)
			return m, nil
		}
		a := h.node(t, "a", 1, nil)
		h.node(t, "b", 2, wait)
		results := make(chan bool, 200)
		for i := range 200 {
			go func() {
				key := strings.Repeat("k", 200-i)
				got, err := call(a, addrB, "wait", key, time.Second)
				results <- err == nil && got == key
			}()
		}
		for range 200 {
			is.True(<-results)
		}
		is.Equal(h.count("dials"), int64(1))
	})
}

// Guards against a handler that continues after its client has cancelled the call or timed out.
func TestCancellationAndDeadlineReachTheHandler(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		ended := make(chan error, 2)
		var left atomic.Int64
		wait := func(ctx context.Context, _ peer.Identity, _ []byte) (proto.Message, error) {
			if deadline, ok := ctx.Deadline(); ok {
				left.Store(int64(time.Until(deadline)))
			}
			<-ctx.Done()
			ended <- ctx.Err()
			return nil, ctx.Err()
		}
		a := h.node(t, "a", 1, nil)
		h.node(t, "b", 2, wait)
		_, err := call(a, addrB, "wait", "", 300*time.Millisecond)
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(errors.Is(<-ended, context.DeadlineExceeded))
		is.Equal(time.Duration(left.Load()), 300*time.Millisecond)

		start := time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		err = a.Call(ctx, addrB, "wait", &peerv1.OutcomeRequest{}, &peerv1.OutcomeRequest{})
		is.True(errors.Is(err, context.Canceled))
		is.True(errors.Is(<-ended, context.Canceled))
		is.Equal(time.Since(start), 50*time.Millisecond) // the idle timeout of the session would cancel the call later
	})
}

// Guards against calls that hang on a connection that no longer carries data: they must fail with step and peer after the
// ping timeout, and the next call must use a new connection.
func TestFrozenSessionFailsItsCalls(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		wait := func(ctx context.Context, _ peer.Identity, _ []byte) (proto.Message, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		a := h.node(t, "a", 1, nil)
		h.node(t, "b", 2, wait)
		time.AfterFunc(time.Second, func() { h.net.Freeze("b") })
		start := time.Now()
		_, err := call(a, addrB, "wait", "", time.Minute)
		is.True(errors.Is(err, peer.ErrSessionLost))
		is.True(!errors.Is(err, peer.ErrNotWritten))
		is.Equal(steperr.Step(err), "call wait")
		is.Equal(steperr.Peer(err), "b")
		is.True(time.Since(start) >= 2*time.Second)
		is.True(time.Since(start) <= 2500*time.Millisecond)
		got, err := call(a, addrB, "echo", "x", time.Second)
		is.NoErr(err)
		is.Equal(got, "x")
	})
}

// Guards against a session that stays in use after a cut in one direction only, whichever it is.
func TestOneWayCutClosesSessions(t *testing.T) {
	for _, direction := range [][2]string{{"a", "b"}, {"b", "a"}} {
		bubble.Run(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			a := h.node(t, "a", 1, nil)
			h.node(t, "b", 2, nil)
			_, err := call(a, addrB, "echo", "x", time.Second)
			is.NoErr(err)
			h.net.Cut(direction[0], direction[1])
			_, err = call(a, addrB, "echo", "x", time.Minute)
			is.True(errors.Is(err, peer.ErrSessionLost))
			_, err = call(a, addrB, "echo", "x", time.Minute)
			is.True(errors.Is(err, peer.ErrNotWritten)) // the dial timed out
			h.net.HealAll()
			_, err = call(a, addrB, "echo", "x", time.Second)
			is.NoErr(err)
		})
	}
}

// Guards against a call that fails or runs twice because its session belongs to a process that has restarted.
func TestRestartedPeer(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		a := h.node(t, "a", 1, nil)
		h.node(t, "b", 2, nil)
		_, err := call(a, addrB, "echo", "x", time.Second)
		is.NoErr(err)
		h.net.Kill("b")
		synctest.Wait()
		_, err = call(a, addrB, "echo", "x", time.Second)
		is.True(errors.Is(err, peer.ErrNotWritten))
		h.node(t, "b", 3, nil)
		got, err := call(a, addrB, "echo", "x", time.Second)
		is.NoErr(err)
		is.Equal(got, "x")

		old := addrB
		old.Incarnation = 2
		_, err = call(a, old, "echo", "x", time.Second)
		is.True(errors.Is(err, peer.ErrWrongPeer))
		is.True(strings.Contains(err.Error(), "is incarnation 3, expected 2"))
		_, err = call(a, peer.Address{Host: "c", Addr: "b:1"}, "echo", "x", time.Second)
		is.True(errors.Is(err, peer.ErrWrongPeer))
		is.True(strings.Contains(err.Error(), "is host b, expected c"))
	})
}

// Guards against messages above the size limit, and against errors of a handler whose text does not reach the client.
func TestLimitsAndRemoteErrors(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		wait := func(_ context.Context, _ peer.Identity, payload []byte) (proto.Message, error) {
			if len(payload) == 0 {
				return nil, errors.New("no key given")
			}
			return &peerv1.OutcomeRequest{Key: strings.Repeat("x", 5<<20)}, nil
		}
		a := h.node(t, "a", 1, nil)
		h.node(t, "b", 2, wait)
		_, err := call(a, addrB, "echo", strings.Repeat("x", 5<<20), time.Second)
		is.True(errors.Is(err, peer.ErrTooLarge))
		_, err = call(a, addrB, "wait", "x", time.Second)
		is.True(errors.Is(err, peer.ErrRemote))
		is.True(strings.Contains(err.Error(), "above the limit of 4194304"))
		_, err = call(a, addrB, "wait", "", time.Second)
		is.True(strings.Contains(err.Error(), "no key given"))
		_, err = call(a, addrB, "absent", "x", time.Second)
		is.True(strings.Contains(err.Error(), "call absent (peer b): no method")) // the peer knows the hash of the name only
		big := strings.Repeat("x", 3<<20)
		got, err := call(a, addrB, "echo", big, time.Second)
		is.NoErr(err)
		is.Equal(len(got), len(big))
	})
}

// rogue accepts one control session as host b and replies to each call with the envelopes that answer returns.
func rogue(t *testing.T, h *harness, answer func(*peerv1.Envelope) []*peerv1.Envelope) {
	t.Helper()
	listener, err := h.net.Host("b", "place-b").Listen("b:1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		serveRogue(conn, answer)
	}()
}

// Guards against accepting an answer with another incarnation, an unknown ID or the ID of a completed call.
func TestCrossedAnswersAreDropped(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		a := h.node(t, "a", 7, nil)
		rogue(t, h, func(c *peerv1.Envelope) []*peerv1.Envelope {
			return []*peerv1.Envelope{
				{Id: c.GetId() + 100, Error: "unknown id"},
				{Id: c.GetId(), Incarnation: 6, Error: "earlier incarnation"},
				{Id: c.GetId(), Payload: c.GetPayload()},
				{Id: c.GetId(), Error: "second answer"},
			}
		})
		got, err := call(a, addrB, "echo", "mine", time.Second)
		is.NoErr(err)
		is.Equal(got, "mine")
		synctest.Wait()
		is.Equal(h.count("unmatched_answers"), int64(3))
	})
}

// Guards against a forwarded request that loses its sender or its body, or that hangs on a frozen session.
func TestForwarding(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		h.net.SetDelay("place-a", "place-b", 35*time.Millisecond)
		a := h.node(t, "a", 9, nil)
		h.node(t, "b", 2, nil)
		for _, class := range []peer.SessionClass{peer.SessionShort, peer.SessionLong} {
			client := http.Client{Transport: a.Transport(addrB, class)}
			resp, err := client.Post("http://b/x", "text/plain", strings.NewReader("hello"))
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(body), "a@9 hello")
		}
		client := http.Client{Transport: a.Transport(addrB, peer.SessionShort)}
		h.net.Freeze("b")
		_, err := client.Post("http://b/x", "text/plain", strings.NewReader("hello"))
		is.Equal(steperr.Peer(errors.Unwrap(err)), "b")
		resp, err := client.Post("http://b/x", "text/plain", strings.NewReader("hello"))
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		h.net.Kill("b")
		time.Sleep(100 * time.Millisecond) // until the reset has arrived
		_, err = client.Post("http://b/x", "text/plain", strings.NewReader("hello"))
		is.True(errors.Is(err, peer.ErrNotWritten))
	})
}

// Guards against a dial that hangs because the peer accepts the connection and never sends its Hello.
func TestDialTimeout(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		a := h.node(t, "a", 1, nil)
		listener, err := h.net.Host("b", "place-b").Listen("b:1")
		is.NoErr(err)
		defer func() { _ = listener.Close() }()
		start := time.Now()
		_, err = call(a, addrB, "echo", "x", time.Minute)
		is.True(errors.Is(err, peer.ErrNotWritten))
		is.Equal(time.Since(start), 1500*time.Millisecond)
		var conn net.Conn
		conn, err = listener.Accept()
		is.NoErr(err)
		_ = conn.Close()
	})
}

// Guards against a message that ends the whole process because its handler panics.
func TestPanickingHandlerEndsOnlyItsCall(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		a := h.node(t, "a", 1, nil)
		h.node(t, "b", 2, func(context.Context, peer.Identity, []byte) (proto.Message, error) {
			var none []int
			return nil, errors.Newf("%d", none[len(none)+1])
		})
		_, err := call(a, addrB, "wait", "x", time.Second)
		is.True(errors.Is(err, peer.ErrRemote))
		got, err := call(a, addrB, "echo", "still there", time.Second)
		is.NoErr(err)
		is.Equal(got, "still there")
	})
}

package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// Call implements Caller.
func (n *Node) Call(ctx context.Context, to Address, method string, req, resp proto.Message) error {
	n.metrics.calls.Inc(1)
	err := n.call(ctx, to, method, req, resp)
	if err != nil {
		n.metrics.callErrors.Inc(1)
	}
	return err
}

// call makes one RPC. Its errors carry the step "call METHOD" and the peer.
func (n *Node) call(ctx context.Context, to Address, method string, req, resp proto.Message) error {
	step := "call " + method
	payload, err := proto.Marshal(req)
	if err != nil {
		return steperr.Wrap(err, step, to.Name())
	}
	if len(payload) > maxMessage {
		err := steperr.New(step, to.Name(), "request of %d bytes is above the limit of %d", len(payload), maxMessage)
		return errors.Mark(errors.Mark(err, ErrTooLarge), ErrNotWritten)
	}
	answer, err := n.exchange(ctx, to, method, payload)
	if err != nil {
		return steperr.Wrap(err, step, to.Name())
	}
	if answer.GetError() != "" {
		return errors.Mark(steperr.New(step, to.Name(), "%s", answer.GetError()), ErrRemote)
	}
	return steperr.Wrap(proto.Unmarshal(answer.GetPayload(), resp), step, to.Name())
}

// exchange sends a request and returns the answer. It retries once, and only if the session existed before the call and
// ended before the request was written.
func (n *Node) exchange(ctx context.Context, to Address, method string, payload []byte) (*peerv1.Envelope, error) {
	for retried := false; ; retried = true {
		s, reused, err := n.link(to, SessionControl).session(ctx, to)
		if err != nil {
			return nil, err
		}
		answer, err := s.control.roundTrip(ctx, method, payload)
		stale := reused && !retried && errors.Is(err, ErrNotWritten) && errors.Is(err, ErrSessionLost)
		if !stale || ctx.Err() != nil {
			return answer, err
		}
		n.metrics.callRetries.Inc(1)
	}
}

// controlClient multiplexes RPCs on the single stream of a dialed control session.
type controlClient struct {
	node    *Node
	session *session
	// calls is unbuffered: a request that the writer has not received has not been written.
	calls   chan *peerv1.Envelope
	cancels chan uint64

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan *peerv1.Envelope
}

// cancelBacklog limits the cancellations that wait to be sent. Further ones are dropped: the server also ends the call at
// its deadline, which it got with the request.
const cancelBacklog = 256

// startControl opens the control stream of a dialed session and starts its reader and writer.
func (n *Node) startControl(s *session) error {
	stream, err := s.openStream()
	if err != nil {
		s.fail(err)
		return steperr.Wrap(err, "open control stream", s.remote.Host)
	}
	s.control = &controlClient{
		node: n, session: s, calls: make(chan *peerv1.Envelope), cancels: make(chan uint64, cancelBacklog),
		pending: map[uint64]chan *peerv1.Envelope{},
	}
	go s.control.write(stream)
	go s.control.read(stream)
	return nil
}

// roundTrip sends one request and waits for its answer. An error marked ErrNotWritten means that no byte of the request was
// sent.
func (c *controlClient) roundTrip(ctx context.Context, method string, payload []byte) (*peerv1.Envelope, error) {
	id, answers := c.register()
	defer c.unregister(id)
	call := &peerv1.Envelope{Id: id, Payload: payload, TimeoutMs: remainingMs(ctx)}
	if c.session.remote.knowsMethodHashes {
		call.MethodHash = methodHash(method)
	} else {
		call.Method = method
	}
	c.node.traffic.countMessage(method, call, c.session.remote)
	select {
	case c.calls <- call:
	case <-c.session.mux.CloseChan():
		return nil, errors.Mark(c.session.err(), ErrNotWritten)
	case <-ctx.Done():
		return nil, errors.Mark(context.Cause(ctx), ErrNotWritten)
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-c.session.mux.CloseChan():
		return nil, c.session.err()
	case <-ctx.Done():
		c.cancel(id)
		return nil, context.Cause(ctx)
	}
}

// remainingMs returns the time until ctx's deadline in milliseconds, at least 1; 0 means that ctx has no deadline.
func remainingMs(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	const maxTimeout = 24 * time.Hour
	return uint32(max(1, min(time.Until(deadline), maxTimeout).Milliseconds()))
}

// register allocates a call ID and the channel on which the answer arrives.
func (c *controlClient) register() (uint64, chan *peerv1.Envelope) {
	answers := make(chan *peerv1.Envelope, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	c.pending[c.lastID] = answers
	return c.lastID, answers
}

// unregister removes a call that no longer waits for an answer.
func (c *controlClient) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// inFlight returns the number of calls that wait for an answer.
func (c *controlClient) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// cancel queues the cancellation of a call at the server; see cancelBacklog.
func (c *controlClient) cancel(id uint64) {
	select {
	case c.cancels <- id:
	default:
	}
}

// write sends requests and cancellations until the session ends. It is the only writer of the stream.
func (c *controlClient) write(stream net.Conn) {
	w := bufio.NewWriter(stream)
	for {
		select {
		case <-c.session.mux.CloseChan():
			return
		case call := <-c.calls:
			if !c.send(w, call) {
				return
			}
		case id := <-c.cancels:
			if !c.send(w, &peerv1.Envelope{Id: id, Cancel: true}) {
				return
			}
		}
	}
}

// send writes one envelope. It ends the session and returns false on an error.
func (c *controlClient) send(w *bufio.Writer, e *peerv1.Envelope) bool {
	err := writeEnvelope(w, e)
	if err != nil {
		c.session.fail(steperr.Wrap(err, "write call", c.session.remote.Host))
	}
	return err == nil
}

// methodHash returns the hash by which hosts know a method: names are a third of a short message.
func methodHash(method string) uint32 { return uint32(xxhash.Sum64String(method)) }

func writeEnvelope(w *bufio.Writer, e *peerv1.Envelope) error {
	if _, err := protodelim.MarshalTo(w, e); err != nil {
		return err
	}
	return w.Flush()
}

// read delivers answers until the session ends.
func (c *controlClient) read(stream net.Conn) {
	r := bufio.NewReader(stream)
	for {
		answer := &peerv1.Envelope{}
		if err := readEnvelope(r, answer); err != nil {
			c.session.fail(steperr.Wrap(err, "read answer", c.session.remote.Host))
			return
		}
		c.deliver(answer)
	}
}

// envelopeOverhead is the maximum size of an Envelope without its payload, in bytes.
const envelopeOverhead = 64 << 10

func readEnvelope(r *bufio.Reader, e *peerv1.Envelope) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessage + envelopeOverhead}.UnmarshalFrom(r, e)
}

// deliver hands an answer to its call. It drops answers whose ID matches no pending call, and those that name an incarnation: calls name
// none, because the handshake of the session identifies both processes.
func (c *controlClient) deliver(answer *peerv1.Envelope) {
	c.mu.Lock()
	answers, ok := c.pending[answer.GetId()]
	matched := ok && answer.GetIncarnation() == 0
	if matched {
		delete(c.pending, answer.GetId())
	}
	c.mu.Unlock()
	if !matched {
		c.node.metrics.unmatchedAnswers.Inc(1)
		return
	}
	answers <- answer
}

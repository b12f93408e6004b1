package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc/panics"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/invariant"
	"github.com/rattanhitch/rattanhitch/internal/steperr"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// controlServer serves the calls on one control stream.
type controlServer struct {
	node    *Node
	session *session
	answers chan *peerv1.Envelope

	mu sync.Mutex
	// cancels holds the cancel functions of the calls in progress, by call ID.
	cancels map[uint64]context.CancelFunc
}

// serveControl serves each stream of an accepted control session.
func (n *Node) serveControl(s *session) {
	for {
		stream, err := s.acceptStream()
		if err != nil {
			return
		}
		c := &controlServer{
			node: n, session: s, answers: make(chan *peerv1.Envelope), cancels: map[uint64]context.CancelFunc{},
		}
		go c.write(stream)
		go c.read(stream)
	}
}

// read starts a goroutine for each call and cancels all calls when the session ends.
func (c *controlServer) read(stream net.Conn) {
	ctx, cancel := context.WithCancel(c.node.ctx)
	defer cancel()
	r := bufio.NewReader(stream)
	for {
		call := &peerv1.Envelope{}
		if err := readEnvelope(r, call); err != nil {
			c.session.fail(steperr.Wrap(err, "read call", c.session.remote.Host))
			return
		}
		if call.GetCancel() {
			c.cancel(call.GetId())
			continue
		}
		c.start(ctx, call)
	}
}

// start runs a call, or rejects it if the session already has maxCallsPerSession calls in progress.
func (c *controlServer) start(ctx context.Context, call *peerv1.Envelope) {
	ctx, cancel := callContext(ctx, call)
	c.mu.Lock()
	full := len(c.cancels) >= maxCallsPerSession
	if !full {
		c.cancels[call.GetId()] = cancel
	}
	c.mu.Unlock()
	if full {
		cancel()
		c.node.metrics.rejected.Inc(1)
		go c.answer(failure(call, fmt.Sprintf("more than %d calls in progress on this session", maxCallsPerSession)))
		return
	}
	go c.run(ctx, call)
}

// callContext applies the remaining time of the client, if it sent one.
func callContext(ctx context.Context, call *peerv1.Envelope) (context.Context, context.CancelFunc) {
	if call.GetTimeoutMs() == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(call.GetTimeoutMs())*time.Millisecond)
}

func (c *controlServer) run(ctx context.Context, call *peerv1.Envelope) {
	defer c.cancel(call.GetId())
	c.node.metrics.served.Inc(1)
	m := c.node.methodOf(call)
	answer := c.node.handle(ctx, m, c.session.remote, call)
	if ctx.Err() != nil {
		// The client has cancelled the call or its deadline has passed.
		return
	}
	c.node.traffic.countMessage(m.name, answer, c.session.remote)
	c.answer(answer)
}

// cancel ends a call, if it is still in progress, and removes it.
func (c *controlServer) cancel(id uint64) {
	c.mu.Lock()
	cancel := c.cancels[id]
	delete(c.cancels, id)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// answer passes an answer to the writer, unless the session has ended.
func (c *controlServer) answer(e *peerv1.Envelope) {
	select {
	case c.answers <- e:
	case <-c.session.mux.CloseChan():
	}
}

// write sends answers until the session ends. It is the only writer of the stream.
func (c *controlServer) write(stream net.Conn) {
	w := bufio.NewWriter(stream)
	for {
		select {
		case <-c.session.mux.CloseChan():
			return
		case e := <-c.answers:
			if err := writeEnvelope(w, e); err != nil {
				c.session.fail(steperr.Wrap(err, "write answer", c.session.remote.Host))
				return
			}
		}
	}
}

// methodOf returns the method that a call names by hash or, from a host of an earlier version, by name. It has no handler if it is unknown.
func (n *Node) methodOf(call *peerv1.Envelope) method {
	if hash := call.GetMethodHash(); hash != 0 {
		return n.methods[hash]
	}
	return n.methods[methodHash(call.GetMethod())]
}

// handle runs the handler of a call and returns its answer, which contains either a payload or an error text.
func (n *Node) handle(ctx context.Context, m method, from Identity, call *peerv1.Envelope) *peerv1.Envelope {
	if m.handler == nil {
		return failure(call, fmt.Sprintf("no method %q, hash %d", call.GetMethod(), call.GetMethodHash()))
	}
	message, err := n.runHandler(ctx, m, from, call)
	if err != nil {
		return failure(call, err.Error())
	}
	payload, err := proto.Marshal(message)
	if err != nil {
		return failure(call, err.Error())
	}
	if len(payload) > maxMessage {
		return failure(call, fmt.Sprintf("answer of %d bytes is above the limit of %d", len(payload), maxMessage))
	}
	return &peerv1.Envelope{Id: call.GetId(), Incarnation: call.GetIncarnation(), Payload: payload}
}

// runHandler runs a handler. A panic becomes an error: a message that a handler cannot cope with must not end the host.
func (n *Node) runHandler(ctx context.Context, m method, from Identity, call *peerv1.Envelope) (message proto.Message, err error) {
	panicked := panics.Try(func() { message, err = m.handler(ctx, from, call.GetPayload()) })
	if panicked == nil {
		return message, err
	}
	invariant.Rethrow(panicked.Value)
	n.metrics.panics.Inc(1)
	log.Error().Err(panicked.AsError()).Str("step", "serve call").Str("peer", from.Host).Str("method", m.name).Msg("handler panicked")
	return nil, errors.Newf("handler of %s panicked", m.name)
}

// maxErrorText is the length in bytes to which error texts are truncated, so that they fit into an Envelope.
const maxErrorText = 4 << 10

// failure returns an answer with an error text.
func failure(call *peerv1.Envelope, text string) *peerv1.Envelope {
	if text == "" {
		text = "unspecified error"
	}
	text = text[:min(len(text), maxErrorText)]
	return &peerv1.Envelope{Id: call.GetId(), Incarnation: call.GetIncarnation(), Error: text}
}

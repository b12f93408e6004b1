// Package upstream is an HTTP/1.1 client with a connection pool for targets. Unlike http.Transport it never retries a request,
// reports whether a request may have been sent, and can skip duplicate responses to an earlier request.
package upstream

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
)

var (
	// ErrNotSent marks the errors of requests of which no byte was written to a connection.
	ErrNotSent = errors.New("not sent")
	// ErrNoPath marks the errors of a DialFunc that tell nothing about the target, because the cause is on this host's side.
	ErrNoPath = errors.New("no path to targets")
)

const (
	// idlePerTarget limits this host's idle connections to one target, because all hosts share the connections that a target
	// accepts.
	idlePerTarget = 16
	// idleTimeout is the longest time that an idle connection is kept.
	idleTimeout = 8 * time.Second
	// idleMargin is subtracted from the keep-alive timeout that a target states, so that no request is sent while the target
	// closes the connection.
	idleMargin = time.Second
	// dialTimeout limits how long opening a connection may take, directly and then through another host.
	dialTimeout = 2500 * time.Millisecond
	// probeTimeout limits how long Probe waits.
	probeTimeout = 200 * time.Millisecond
	// sweepInterval is the minimum time between two searches for expired idle connections.
	sweepInterval = time.Second
)

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options are the options of one request.
type Options struct {
	// Address is the target's IP address and port.
	Address string
	// DedicatedConn selects a new connection for this request, which is closed afterwards.
	DedicatedConn bool
	// RequestID is the ID that the response states, if other requests may have the same one; empty if it is unique. A connection carries it
	// only once: a late copy of the response to the first request would match the second one.
	RequestID string
	// Matches reports whether a response belongs to the request. It must not read the body. Nil accepts any response.
	Matches func(*http.Response) Match
	// SkipMismatched is set if targets may send duplicate responses. A response that does not match is then skipped, because the
	// right one follows it.
	SkipMismatched bool
	// Reserve reserves memory in bytes for the head of the response, beyond that of an ordinary one, and reports whether there is any. The caller
	// returns it once it needs the response no longer. Nil means that there always is.
	Reserve func(n int64) bool
	// Trace, if set, is filled in while the request is sent and its response is awaited.
	Trace *Trace
}

// Trace describes how a request was sent and answered.
type Trace struct {
	// EarlierRequests is the number of requests that the connection had carried before.
	EarlierRequests int
	// Skipped is the number of responses to other requests that arrived before the response or the error.
	Skipped int
}

// Match is whether a response belongs to a request.
type Match int

const (
	// MatchID means that the response states the ID of the request.
	MatchID Match = iota
	// MatchNoID means that the response states no ID, MatchNoIDNotRun that it states none and that the target did not run the request.
	MatchNoID
	MatchNoIDNotRun
	// MatchOther means that the response states another ID.
	MatchOther
)

func (o Options) reserve(n int64) bool { return n == 0 || o.Reserve == nil || o.Reserve(n) }

func (o Options) match(resp *http.Response) Match {
	if o.Matches == nil {
		return MatchNoID
	}
	return o.Matches(resp)
}

// Client sends requests to targets and pools their connections.
type Client struct {
	dial DialFunc

	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used one last.
	idle      map[string][]*conn
	lastSweep time.Time
}

// New returns a client that opens connections with dial.
func New(dial DialFunc) *Client { return &Client{dial: dial, idle: map[string][]*conn{}} }

// RoundTrip sends a request and returns its response once the header has arrived. The caller must close the body. The end of the
// request's context closes the connection. Errors carry the step and the address (package steperr); errors of opening the
// connection are marked with ErrNotSent.
func (c *Client) RoundTrip(req *http.Request, o Options) (*http.Response, error) {
	ctx := req.Context()
	id := hashID(o.RequestID)
	cn, err := c.connect(ctx, o, id)
	if err != nil {
		return nil, errors.Mark(steperr.Wrap(err, "connect", o.Address), ErrNotSent)
	}
	cn.carried.add(id)
	cn.watchContext(ctx)
	if o.Trace == nil {
		o.Trace = &Trace{}
	}
	resp, err := cn.exchange(req, o)
	if err != nil {
		cn.reset()
		return nil, steperr.Wrap(err, "exchange", o.Address)
	}
	return resp, nil
}

// Probe opens a connection to a target, which is kept for the next request if it can be. It returns the error of the DialFunc, or
// context.DeadlineExceeded after probeTimeout.
func (c *Client) Probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	nc, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	cn := newConn(nc, c, Options{Address: address})
	if cn.dedicated {
		cn.close()
		return nil
	}
	cn.reusableUntil = time.Now().Add(idleTimeout)
	c.putIdle(cn)
	return nil
}

// CloseIdle closes the idle connections to a target, for example because another connection to it has failed.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	closeAll(list)
}

// CloseAllIdle closes the idle connections to all targets.
func (c *Client) CloseAllIdle() {
	c.mu.Lock()
	idle := c.idle
	c.idle = map[string][]*conn{}
	c.mu.Unlock()
	for _, list := range idle {
		closeAll(list)
	}
}

func closeAll(list []*conn) {
	for _, cn := range list {
		cn.close()
	}
}

// connect returns the most recently used idle connection that is still usable and has not carried the ID, or a new one. The options may exclude
// idle ones.
func (c *Client) connect(ctx context.Context, o Options, id idHash) (*conn, error) {
	if !o.DedicatedConn {
		for cn := c.takeIdle(o.Address, id); cn != nil; cn = c.takeIdle(o.Address, id) {
			if cn.usable() {
				return cn, nil
			}
			cn.close()
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := c.dial(dialCtx, "tcp", o.Address)
	if err != nil {
		return nil, err
	}
	return newConn(nc, c, o), nil
}

// takeIdle removes from the pool the most recently used connection to the address that has not carried the ID, and returns it, or nil if
// there is none.
func (c *Client) takeIdle(address string, id idHash) *conn {
	now := time.Now()
	c.mu.Lock()
	expired := c.removeExpired(now)
	var found *conn
	list := c.idle[address]
	for i, cn := range slices.Backward(list) {
		if !cn.carried.contains(id) {
			found = cn
			c.idle[address] = slices.Delete(list, i, i+1)
			break
		}
	}
	c.mu.Unlock()
	closeAll(expired)
	return found
}

// putIdle returns a connection to the pool, or closes it if the pool has idlePerTarget connections to its target.
func (c *Client) putIdle(cn *conn) {
	c.mu.Lock()
	list := c.idle[cn.address]
	full := len(list) >= idlePerTarget
	if !full {
		c.idle[cn.address] = append(list, cn)
	}
	c.mu.Unlock()
	if full {
		cn.close()
	}
}

// removeExpired removes from the pool the connections that their targets may close soon, and returns them. It does so at most
// once per sweepInterval. c.mu must be held.
func (c *Client) removeExpired(now time.Time) []*conn {
	if now.Sub(c.lastSweep) < sweepInterval {
		return nil
	}
	c.lastSweep = now
	var expired []*conn
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Before(cn.reusableUntil) {
				kept = append(kept, cn)
			} else {
				expired = append(expired, cn)
			}
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
	return expired
}

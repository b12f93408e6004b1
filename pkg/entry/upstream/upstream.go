// Package upstream sends requests to targets over kept connections. Unlike net/http's client it never sends a request
// twice, tells whether a request may have been sent, and skips responses that belong to an earlier request.
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
)

// ErrNotSent marks errors of requests of which no byte was given to a connection.
var ErrNotSent = errors.New("not sent")

const (
	// idlePerTarget bounds the idle connections to one target: all hosts together share what a target takes.
	idlePerTarget = 16
	// idleTimeout is how long a connection is kept if the target does not say how long it keeps it.
	idleTimeout = 8 * time.Second
	// idleMargin is taken off the time for which a target says that it keeps an idle connection: a request must not cross
	// the target's close.
	idleMargin = time.Second
	// dialTimeout finds a target that does not answer to a new connection.
	dialTimeout = time.Second
	// sweepInterval is how often connections that were idle for too long are closed.
	sweepInterval = time.Second
)

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options say how one request is sent.
type Options struct {
	// Address is the target's IP number and port.
	Address string
	// DedicatedConn asks for a newly dialled connection that is not kept.
	DedicatedConn bool
	// Matches reports whether a response, whose body it must not read, answers the request; nil accepts any.
	Matches func(*http.Response) bool
	// SkipMismatched is set if a response that does not belong may be a late one to an earlier request, so that the right one
	// follows it.
	SkipMismatched bool
}

// Client keeps connections to targets.
type Client struct {
	dial DialFunc

	mu sync.Mutex
	// idle holds the kept connections by address, the one used last at the end.
	idle      map[string][]*conn
	lastSweep time.Time
}

// New returns a client without connections.
func New(dial DialFunc) *Client { return &Client{dial: dial, idle: map[string][]*conn{}} }

// RoundTrip sends a request and returns the header of its response, with a body that must be closed. The request ends with
// its context. Errors carry the step and the peer; those before the first byte was sent are marked ErrNotSent.
func (c *Client) RoundTrip(req *http.Request, o Options) (*http.Response, error) {
	ctx := req.Context()
	cn, err := c.connect(ctx, o)
	if err != nil {
		return nil, errors.Mark(steperr.Wrap(err, "connect", o.Address), ErrNotSent)
	}
	cn.watchContext(ctx)
	resp, err := cn.exchange(req, o)
	if err != nil {
		cn.close()
		return nil, steperr.Wrap(err, "exchange", o.Address)
	}
	return resp, nil
}

// CloseIdle closes the connections to a target that are not in use, for example because one of them was found dead.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	closeAll(list)
}

// CloseAllIdle closes all connections that are not in use.
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

func (c *Client) connect(ctx context.Context, o Options) (*conn, error) {
	if !o.DedicatedConn {
		for cn := c.takeIdle(o.Address); cn != nil; cn = c.takeIdle(o.Address) {
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

// takeIdle returns the kept connection that was used last, or nil.
func (c *Client) takeIdle(address string) *conn {
	now := time.Now()
	c.mu.Lock()
	expired := c.removeExpired(now)
	var found *conn
	if list := c.idle[address]; len(list) > 0 {
		found = list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
	}
	c.mu.Unlock()
	closeAll(expired)
	return found
}

// putIdle puts a connection back unless there are many.
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

// removeExpired removes the connections that the target may close soon. c.mu must be held.
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

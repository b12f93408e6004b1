package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
)

type linkKey struct {
	addr  string
	class SessionClass
}

// link manages at most one dialed session of one class to an address.
type link struct {
	node *Node
	key  linkKey

	mu      sync.Mutex
	current *session
	dialing *dialAttempt
}

// dialAttempt is a dial in progress, shared by all goroutines that need the session.
type dialAttempt struct {
	done    chan struct{}
	session *session
	err     error
}

// session returns a live session to the expected host, and whether the session existed before the call. It dials if
// necessary.
func (l *link) session(ctx context.Context, to Address) (*session, bool, error) {
	s, attempt := l.liveOrDialing(to)
	if s != nil {
		return s, true, checkIdentity(s.remote, to)
	}
	select {
	case <-attempt.done:
	case <-ctx.Done():
		return nil, false, errors.Mark(steperr.Wrap(context.Cause(ctx), "open session", to.Name()), ErrNotWritten)
	}
	if attempt.err != nil {
		return nil, false, errors.Mark(attempt.err, ErrNotWritten)
	}
	return attempt.session, false, checkIdentity(attempt.session.remote, to)
}

// liveOrDialing returns the live session or, if there is none, the dial attempt in progress.
func (l *link) liveOrDialing(to Address) (*session, *dialAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.current; s != nil && !s.closed() {
		if to.Incarnation <= s.remote.Incarnation {
			s.touch()
			return s, nil
		}
		// The address names a newer incarnation, so the process at the other end of the session has been replaced.
		go s.fail(errors.New("replaced by a newer incarnation"))
	}
	l.current = nil
	if l.dialing == nil {
		l.dialing = &dialAttempt{done: make(chan struct{})}
		go l.dial(l.dialing, to)
	}
	return nil, l.dialing
}

func (l *link) dial(attempt *dialAttempt, to Address) {
	ctx, cancel := context.WithTimeout(l.node.ctx, dialTimeout)
	defer cancel()
	attempt.session, attempt.err = l.node.openSession(ctx, to, l.key.class)
	l.mu.Lock()
	l.current = attempt.session
	l.dialing = nil
	l.mu.Unlock()
	close(attempt.done)
}

// checkIdentity returns an error marked ErrWrongPeer if the peer is not the expected host or incarnation.
func checkIdentity(remote Identity, to Address) error {
	if to.Host != "" && to.Host != remote.Host {
		err := steperr.New("check peer", to.Name(), "the peer at %s is host %s, expected %s", to.Addr, remote.Host, to.Host)
		return errors.Mark(errors.Mark(err, ErrWrongPeer), ErrNotWritten)
	}
	if to.Incarnation != 0 && to.Incarnation != remote.Incarnation {
		err := steperr.New("check peer", to.Name(), "the peer at %s is incarnation %d, expected %d", to.Addr,
			remote.Incarnation, to.Incarnation)
		return errors.Mark(errors.Mark(err, ErrWrongPeer), ErrNotWritten)
	}
	return nil
}

// openSession dials, exchanges Hello messages and starts yamux.
func (n *Node) openSession(ctx context.Context, to Address, class SessionClass) (*session, error) {
	n.metrics.dials.Inc(1)
	conn, err := n.opts.Dial(ctx, to.Addr)
	if err != nil {
		n.metrics.dialErrors.Inc(1)
		return nil, steperr.Wrap(err, "dial "+to.Addr, to.Name())
	}
	secured, remote, err := n.clientHandshake(ctx, conn, to, class)
	if err != nil {
		n.metrics.handshakeErrors.Inc(1)
		_ = conn.Close()
		return nil, steperr.Wrap(err, "handshake with "+to.Addr, to.Name())
	}
	s, err := newSession(secured, remote, class, true, n.traffic)
	if err != nil {
		_ = conn.Close()
		return nil, steperr.Wrap(err, "start session", to.Name())
	}
	if !n.track(s) {
		s.fail(ErrClosed)
		return nil, ErrClosed
	}
	if class == SessionControl {
		err = n.startControl(s)
	}
	go n.superviseSession(s, true)
	return s, err
}

// superviseSession runs the keepalive of a session and removes the session from the node when it ends.
func (n *Node) superviseSession(s *session, dialed bool) {
	stop := make(chan struct{})
	if dialed {
		go closeWhenIdle(s, stop)
	}
	s.keepalive()
	close(stop)
	n.metrics.sessionsLost.Inc(1)
	n.untrack(s)
}

// closeWhenIdle closes a dialed session that has been idle for longer than the limit of its class. It returns when stop is
// closed.
func closeWhenIdle(s *session, stop <-chan struct{}) {
	limit := bulkIdleTimeout
	if s.class == SessionControl {
		limit = controlIdleTimeout
	}
	ticker := time.NewTicker(limit / 4)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			if now.Sub(s.usedAt()) > limit && !s.busy() {
				s.fail(errors.New("closed while idle"))
				return
			}
		}
	}
}

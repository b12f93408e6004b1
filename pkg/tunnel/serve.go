package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
)

// copyBufferBytes is the size of the buffer for the bytes from a target.
const copyBufferBytes = 16 << 10

// Serving returns the number of connections that are open for other hosts.
func (d *Dialer) Serving() int { return int(d.serving.Load()) }

// Handler returns a handler for requests from other hosts. It serves tunnels, and passes all other requests to next.
func (d *Dialer) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if address := r.Header.Get(HeaderTarget); address != "" {
			d.serve(w, r, address)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serve opens a connection to a target and copies its bytes. It answers with status 404 for an address that is no target's, 503 if this
// host is isolated itself or the target wants no requests from it, and 502 if only this target accepts no connection.
func (d *Dialer) serve(w http.ResponseWriter, r *http.Request, address string) {
	d.serving.Add(1)
	defer d.serving.Add(-1)
	// Without full duplex, net/http would wait for the end of the request before it sends a response.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !slices.ContainsFunc(d.opts.Targets(), func(t Target) bool { return t.Address == address }) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if d.Isolated() || d.opts.Forbids(address) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	target, err := d.dialForGateway(r.Context(), address)
	if err != nil {
		status := http.StatusBadGateway
		if d.isolation.check(r.Context(), address) {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		return
	}
	d.metrics.served.Inc(1)
	defer reset(target)
	if err := splice(w, r, target); err != nil {
		log.Debug().Err(err).Str("step", "serve tunnel").Str("peer", address).Msg("tunnel broke off")
		panic(http.ErrAbortHandler) // the other host must not take the end of the bytes for the end of the connection
	}
}

func (d *Dialer) dialForGateway(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, gatewayDialTimeout)
	defer cancel()
	return d.opts.Dial(ctx, "tcp", address)
}

// splice copies bytes in both directions until the target or the other host closes the connection. It returns nil if the target closed
// it in an orderly way.
func splice(w http.ResponseWriter, r *http.Request, target net.Conn) error {
	control := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	if err := control.Flush(); err != nil {
		return err
	}
	out := &targetWriter{target: target}
	go func() {
		// The copy ends when the other host closes its side: after the end of the response, or because it gives the request up. The second may look
		// like an orderly end, too.
		_, _ = io.Copy(out, r.Body)
		reset(target)
	}()
	if err := copyAndFlush(w, control, target); err != nil {
		return err
	}
	return out.finish()
}

// reset ends the connection to a target whose request the other host has given up, or that has ended already. After a plain close the kernel would go on
// sending the request, and the target might run it long after its caller had the answer.
func reset(target net.Conn) {
	if l, ok := target.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0) // it fails only on a closed connection
	}
	_ = target.Close()
}

// targetWriter writes to a target and keeps the first error. The kernel tells a reset once: if the writer learns of it, the reader sees a plain
// end.
type targetWriter struct {
	target net.Conn
	// mu is held during a write, so that finish knows the result of a write that has taken the reset.
	mu  sync.Mutex
	err error
}

// pastDeadline makes pending and later writes time out at once.
var pastDeadline = time.Unix(1, 0)

func (t *targetWriter) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, err := t.target.Write(p)
	if t.err == nil {
		t.err = err
	}
	return n, err
}

// finish returns the error of the first write that failed. Call it after the end of the bytes from the target: a write that is in progress
// then fails too, because the target does not read it.
func (t *targetWriter) finish() error {
	_ = t.target.SetWriteDeadline(pastDeadline) // it fails only on a closed connection
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

// copyAndFlush copies the bytes from a target without delay until the target closes the connection.
func copyAndFlush(w io.Writer, control *http.ResponseController, target io.Reader) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := target.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if err := control.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

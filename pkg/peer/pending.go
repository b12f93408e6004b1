package peer

import (
	"net"
	"slices"
	"sync"
)

// handshakes holds the accepted connections whose peer has not stated who it is, the oldest first. Anybody can open them.
type handshakes struct {
	limit int

	mu    sync.Mutex
	conns []net.Conn
}

// add adds a connection. If there are more than the limit, it closes the oldest one: a host sends its Hello at once.
func (h *handshakes) add(conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.conns) >= h.limit {
		_ = h.conns[0].Close() // its handshake fails
		h.conns = slices.Delete(h.conns, 0, 1)
	}
	h.conns = append(h.conns, conn)
}

// remove removes a connection whose handshake has ended.
func (h *handshakes) remove(conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.conns, conn); i >= 0 {
		h.conns = slices.Delete(h.conns, i, i+1)
	}
}

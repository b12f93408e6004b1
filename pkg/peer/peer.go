// Package peer connects hosts by yamux sessions. It provides RPCs with protobuf messages, called control calls, and HTTP
// forwarding, which has separate sessions for short and for long responses.
package peer

import (
	"cmp"
	"context"
	"net/http"

	"google.golang.org/protobuf/proto"
)

// Identity is what a host states about itself in the Hello of a session.
type Identity struct {
	Host string
	// Incarnation is the start time of the host's process, in microseconds since the Unix epoch.
	Incarnation uint64
	// FailureDomain is the dispatch domain of the host; Place is the failure domain in which it physically is.
	FailureDomain string
	Place         string
	Region        string
	// knowsMethodHashes is set if the host knows methods by their hashes. It is part of the Hello.
	knowsMethodHashes bool
}

// Address is the peer address of a host. Host is empty if only the address is known, as for a seed.
type Address struct {
	Host string
	Addr string
	// Incarnation is the expected incarnation of the host; 0 accepts any.
	Incarnation uint64
}

// Name returns the name of the host, or its address if only that is known.
func (a Address) Name() string { return cmp.Or(a.Host, a.Addr) }

// SessionClass is the kind of traffic on a session.
type SessionClass string

// Session classes. Each has a TCP connection of its own per peer, to avoid head-of-line blocking between the classes.
const (
	SessionControl SessionClass = "control"
	SessionShort   SessionClass = "short"
	SessionLong    SessionClass = "long"
)

// Handler serves a control call. payload is the encoded request. The text of a returned error is sent to the calling host.
type Handler func(ctx context.Context, from Identity, payload []byte) (proto.Message, error)

// Caller makes control calls to other hosts.
type Caller interface {
	// Call sends req to a host and decodes the answer into resp. It returns at the latest when ctx ends. Errors carry the
	// step and the peer.
	Call(ctx context.Context, to Address, method string, req, resp proto.Message) error
}

// Registrar registers handlers for control calls. Handle must be called before the node starts.
type Registrar interface {
	Handle(method string, h Handler)
}

// Forwarder provides HTTP transports to other hosts.
type Forwarder interface {
	// Transport returns a transport that sends each request on a stream of the session of the given class.
	Transport(to Address, class SessionClass) http.RoundTripper
}

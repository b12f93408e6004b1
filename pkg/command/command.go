// Package command executes non-idempotent requests, called commands, at most once. Commands are deduplicated by the
// caller's Idempotency-Key: one host owns each key, executes its command and keeps the result for repeated sends.
package command

import (
	"context"
	"net/http"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// Command is one send of a non-idempotent request: the first send of its key or a retry by the caller.
type Command struct {
	Service string
	// Key is the value of the Idempotency-Key header: a ticket issued by a host, or a key that the caller chose.
	Key string
	// ContentHash is a hash of service, method, path, query and body.
	ContentHash uint64
	Deadline    time.Time
	// FirstSend is set if the caller declared that it has not sent this key before.
	FirstSend bool
	// Relayed is set if another host relayed the command to this host as the owner of its key. Such a command is not relayed
	// again.
	Relayed bool
}

// Response is a target's complete response to a command.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is the answer to one send of a command. Exactly one field is set.
type Result struct {
	Response *Response
	Refusal  *reply.Refusal
}

// Sender delivers one command, either to targets or to the host that owns its key.
type Sender interface {
	// Run sends the command to targets of its service. A refusal with the outcome not-run guarantees that no target executed
	// the command. A response larger than maxResponseBytes makes the outcome unknown.
	Run(ctx context.Context, maxResponseBytes int) Result
	// Relay forwards the command to the owner of its key. The result is valid only with the status RelayAnswered.
	Relay(ctx context.Context, owner peer.Address, maxResponseBytes int) (Result, RelayStatus)
}

// RelayStatus tells whether a relayed command reached the owner of its key.
type RelayStatus int

const (
	// RelayAnswered means that the result comes from the owner itself.
	RelayAnswered RelayStatus = iota
	// RelayNotSent means that the owner did not receive this send.
	RelayNotSent
	// RelayOutcomeUnknown means that the owner may have received and executed this send.
	RelayOutcomeUnknown
)

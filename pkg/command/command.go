// Package command executes commands (non-idempotent requests) at most once.
package command

import (
	"context"
	"net/http"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// Command is one send of a non-idempotent request.
type Command struct {
	Service string
	// Key is the caller's Idempotency-Key: a ticket or a key of the caller's own.
	Key string
	// ContentHash is a hash of method, path and body.
	ContentHash uint64
	Deadline    time.Time
	// FirstSend is the caller's statement that it never sent this key before.
	FirstSend bool
	// Relayed is set if another host passed the command on to this one, the owner of its key.
	Relayed bool
}

// Response is a target's complete answer to a command.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is what one send of a command is answered with: exactly one field is set.
type Result struct {
	Response *Response
	Refusal  *reply.Refusal
}

// Sender sends the command that it was made for.
type Sender interface {
	// Run sends the command to targets. It returns a refusal with the outcome not-run only if no target can have executed
	// it.
	Run(ctx context.Context, maxResponseBytes int) Result
	// Relay passes the command on to the owner of its key.
	Relay(ctx context.Context, owner peer.Address, maxResponseBytes int) (Result, RelayStatus)
}

// RelayStatus says how a relay went.
type RelayStatus int

// RelayAnswered means that the result is the owner's own statement. RelayNotSent means that the owner provably did not
// get this send, RelayOutcomeUnknown that it may have got it.
const (
	RelayAnswered RelayStatus = iota
	RelayNotSent
	RelayOutcomeUnknown
)

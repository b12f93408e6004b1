// Package steperr provides errors that name the failed step and the peer involved.
package steperr

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error adds the failed step and the peer to a cause.
type Error struct {
	// Step is the operation that failed, for example "acquire permit".
	Step string
	// Peer is the remote host, target or service; empty for a local step.
	Peer string
	// Err is the cause.
	Err error
}

// Wrap returns an Error with err as its cause and a stack trace, or nil if err is nil.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return errors.WithStackDepth(&Error{Step: step, Peer: peer, Err: err}, 1)
}

// New returns an Error whose cause has the formatted message.
func New(step, peer, format string, args ...any) error {
	return &Error{Step: step, Peer: peer, Err: errors.Newf(format, args...)}
}

// Error returns the step, the peer if there is one, and the message of the cause.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s (peer %s): %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Peer returns the peer of the outermost Error in err's chain, or an empty string.
func Peer(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Peer
	}
	return ""
}

// Step returns the step of the outermost Error in err's chain, or an empty string.
func Step(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Step
	}
	return ""
}

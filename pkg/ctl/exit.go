package ctl

import (
	"net"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// Exit codes of the program; exitHelp describes them.
const (
	ExitOK             = 0
	ExitFailure        = 1
	ExitUsage          = 2
	ExitInvalid        = 3
	ExitConflict       = 4
	ExitUnavailable    = 5
	ExitOutcomeUnknown = 6
	ExitNotFound       = 7
	ExitUnauthorized   = 8
	ExitIncomplete     = 9
)

// exitHelp documents the exit codes in the program's help.
const exitHelp = `Exit codes:
  0  success
  1  other failure
  2  wrong usage
  3  the server refused the request as invalid
  4  an object has changed in the meantime; nothing was written
  5  server or platform unavailable; nothing was written
  6  outcome unknown; repeat with the same --request-id
  7  no such object
  8  not authenticated
  9  the answer lacks the figures of some hosts`

// Marks that are set on errors with errors.Mark and select the exit code in ExitCode.
var (
	errUsage          = errors.New("usage")
	errIncomplete     = errors.New("some hosts did not answer")
	errOutcomeUnknown = errors.New("outcome of the change is unknown")
)

// usagef returns an error about an invalid command line, for which the exit code is ExitUsage.
func usagef(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errUsage)
}

// markUnknownOutcome adds the request ID to the error of a change that may have been committed, and marks it errOutcomeUnknown.
// That is the case if the server answered with CodeUnknown, or if the call ended without an answer after a connection had
// been opened. Other errors, and those that the client itself gave CodeInvalidArgument or CodeResourceExhausted, are returned
// unchanged.
func markUnknownOutcome(err error, requestID string) error {
	var dial *net.OpError
	notSent := errors.As(err, &dial) && dial.Op == "dial"
	code := connect.CodeOf(err)
	lost := !connect.IsWireError(err) && !notSent && code != connect.CodeInvalidArgument && code != connect.CodeResourceExhausted
	if err != nil && (lost || code == connect.CodeUnknown) {
		return errors.Mark(errors.Wrapf(err, "outcome unknown; repeat with --request-id=%s", requestID), errOutcomeUnknown)
	}
	return err
}

// ExitCode returns the exit code for the error of a command; nil gives ExitOK.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errIncomplete):
		return ExitIncomplete
	case errors.Is(err, errOutcomeUnknown):
		return ExitOutcomeUnknown
	}
	var remote *connect.Error
	if !errors.As(err, &remote) {
		return ExitFailure
	}
	switch remote.Code() {
	case connect.CodeInvalidArgument, connect.CodeResourceExhausted:
		return ExitInvalid
	case connect.CodeAborted:
		return ExitConflict
	case connect.CodeUnavailable:
		return ExitUnavailable
	case connect.CodeUnknown, connect.CodeDeadlineExceeded:
		return ExitOutcomeUnknown
	case connect.CodeNotFound:
		return ExitNotFound
	case connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return ExitUnauthorized
	}
	return ExitFailure
}

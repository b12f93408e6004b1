package operator

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

var (
	errUnauthenticated = errors.New("a bearer token or a client certificate is required")
	errNotLoaded       = errors.New("this host has not loaded any configuration yet")
)

// commitError converts the error of a commit to a connect error with the code that the schema documents. ErrUnknownOutcome is
// checked first, because such an error may also match ErrUnavailable, whose code guarantees that nothing was written.
func commitError(err error) error {
	var invalid *config.ValidationError
	var conflict *config.VersionConflict
	switch {
	case errors.Is(err, store.ErrUnknownOutcome):
		return connect.NewError(connect.CodeUnknown, errors.Wrap(err, "the change may have been committed; repeat it with the same request_id"))
	case errors.As(err, &invalid), errors.Is(err, config.ErrRequestIDReused):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.Is(err, config.ErrReadOnly):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.As(err, &conflict):
		return connect.NewError(connect.CodeAborted, err)
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "nothing was written"))
	}
	return connect.NewError(connect.CodeInternal, errors.Wrap(err, "nothing was written"))
}

package httpkv

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// sentTracker records whether a request was assigned a connection. Otherwise it can't have reached the platform.
type sentTracker struct{ gotConn atomic.Bool }

func (s *sentTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.gotConn.Store(true) },
	})
}

func (s *sentTracker) connected() bool { return s.gotConn.Load() }

// transportError marks the error of a call without a complete response. A read, or a write that got no connection, fails with
// store.ErrUnavailable; any other write may have reached the platform and fails with store.ErrUnknownOutcome.
func transportError(err error, method string, connected bool) error {
	if method == http.MethodGet || !connected {
		return errors.Mark(errors.Wrap(err, "platform"), store.ErrUnavailable)
	}
	return errors.Mark(errors.Wrap(err, "platform"), store.ErrUnknownOutcome)
}

// responseError returns the error of a response with a status other than 2xx. Only an error code of the protocol proves that
// nothing was written. A write with a 5xx status and no code has an unknown outcome, because the response may come from a proxy
// between host and platform.
func responseError(status int, body []byte, method string) error {
	var failure Failure
	_ = json.Unmarshal(body, &failure)
	err := errors.Newf("platform answered %d %s: %s", status, failure.Code, failure.Message)
	switch failure.Code {
	case CodeNotFound:
		return errors.Mark(err, store.ErrNotFound)
	case CodeConflict:
		return errors.Mark(err, store.ErrConflict)
	case CodeUnavailable:
		return errors.Mark(err, store.ErrUnavailable)
	case CodeInvalid:
		return err
	}
	if method == http.MethodGet {
		return errors.Mark(err, store.ErrUnavailable)
	}
	return errors.Mark(err, store.ErrUnknownOutcome)
}

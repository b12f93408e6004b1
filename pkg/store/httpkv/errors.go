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

// sentTracker records whether a request got a connection. Without one it can't have reached the platform.
type sentTracker struct{ gotConn atomic.Bool }

func (s *sentTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.gotConn.Store(true) },
	})
}

func (s *sentTracker) connected() bool { return s.gotConn.Load() }

// transportError maps a call without a complete answer: a write that may have been sent has an unknown outcome.
func transportError(err error, method string, connected bool) error {
	if method == http.MethodGet || !connected {
		return errors.Mark(errors.Wrap(err, "platform"), store.ErrUnavailable)
	}
	return errors.Mark(errors.Wrap(err, "platform"), store.ErrUnknownOutcome)
}

// responseError maps an answer with an error status. Only a code of the protocol proves that nothing was written: a 5xx status
// without one may come from something between host and platform.
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

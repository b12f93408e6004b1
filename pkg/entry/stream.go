package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// errCallerWrite marks errors of writing to the caller.
var errCallerWrite = errors.New("write to the caller")

// stream writes a response to the caller and finishes its attempt. If the response breaks off, the caller's connection is
// aborted, so that a truncated response cannot look complete.
func (h *Handler) stream(w http.ResponseWriter, rq *request, ans *answer) {
	defer ans.assertFinished()
	defer ans.resp.Body.Close()
	header := w.Header()
	for name, values := range endToEndHeader(ans.resp.Header) {
		header[name] = values
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // prevents content sniffing by net/http
	}
	for name := range ans.resp.Trailer {
		header.Add("Trailer", name)
	}
	h.setConnection(rq, header)
	if ans.fullBody != nil && len(ans.resp.Trailer) == 0 && rq.in.Method != http.MethodHead {
		header["Content-Length"] = []string{strconv.Itoa(len(ans.fullBody))}
	}
	w.WriteHeader(ans.resp.StatusCode)
	latency := time.Since(rq.start)
	if err := h.copyBody(w, rq, ans); err != nil {
		ans.silent = isSilence(err)
		ans.finish(streamOutcome(rq, ans, err))
		h.recordResponse(rq, false, callerDisconnected(rq, err), latency)
		h.log.answered(rq, ans, false, err)
		panic(http.ErrAbortHandler)
	}
	for name, values := range ans.resp.Trailer {
		header[name] = values
	}
	ans.finish(statusOutcome(ans.resp.StatusCode))
	h.recordResponse(rq, ans.resp.StatusCode < http.StatusInternalServerError, false, latency)
	h.log.answered(rq, ans, ans.resp.StatusCode < http.StatusBadRequest, nil)
}

// statusOutcome returns the release outcome of a complete response with the given status.
func statusOutcome(status int) peerv1.ReleaseOutcome {
	if status >= http.StatusInternalServerError {
		return peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR
	}
	return peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK
}

// callerDisconnected reports whether err comes from the caller: a failed write to it, or its disconnect.
func callerDisconnected(rq *request, err error) bool {
	return errors.Is(err, errCallerWrite) || errors.Is(rq.ctx.Err(), context.Canceled)
}

// streamOutcome returns the release outcome of a response that broke off with err.
func streamOutcome(rq *request, ans *answer, err error) peerv1.ReleaseOutcome {
	switch {
	case callerDisconnected(rq, err):
		return peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED
	case ans.ctx.Err() != nil:
		return peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR
	}
	return peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST
}

// copyBody copies the body through a single buffer, so that a slow caller applies backpressure to the target. It returns an
// error if the response makes no progress for StallTimeout.
func (h *Handler) copyBody(w http.ResponseWriter, rq *request, ans *answer) error {
	if ans.resp.Body == http.NoBody {
		return nil
	}
	if ans.fullBody != nil {
		return h.writePrefetched(w, rq, ans, ans.fullBody)
	}
	if err := h.writePrefetched(w, rq, ans, ans.bodyPrefix); err != nil {
		return err
	}
	ans.bodyPrefix = nil
	ans.reserved.Release()
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	out := &callerWriter{w: w, control: http.NewResponseController(w)}
	watchdog := time.AfterFunc(h.opts.Limits.StallTimeout, func() {
		ans.cancel(errStalled)
		out.interrupt()
	})
	defer watchdog.Stop()
	for {
		n, err := ans.resp.Body.Read(*buf)
		if n > 0 {
			ans.bytes += uint64(n)
			if err := h.writeStreamed(rq, ans, out, (*buf)[:n], watchdog); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			if !watchdog.Stop() {
				return errStalled // the watchdog has fired and interrupts out, so the caller's connection is unusable
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writePrefetched writes the part of the body that was prefetched before the header was sent to the caller.
func (h *Handler) writePrefetched(w http.ResponseWriter, rq *request, ans *answer, part []byte) error {
	if len(part) == 0 {
		return nil
	}
	if rq.forwarded && h.opts.Pacer != nil {
		if err := h.opts.Pacer.Pace(ans.ctx, rq.fromHost, len(part)); err != nil {
			return err
		}
	}
	out := &callerWriter{w: w, control: http.NewResponseController(w)}
	watchdog := time.AfterFunc(h.opts.Limits.StallTimeout, out.interrupt)
	defer watchdog.Stop()
	return out.write(part)
}

// writeStreamed writes a part of the body and resets the watchdog. A part that does not fill the buffer is flushed unless it is
// the last one, because the target may take long to send the next one.
func (h *Handler) writeStreamed(rq *request, ans *answer, out *callerWriter, part []byte, watchdog *time.Timer) error {
	if rq.forwarded && h.opts.Pacer != nil {
		watchdog.Stop() // a wait for the link's rate limit is not a stall
		if err := h.opts.Pacer.Pace(ans.ctx, rq.fromHost, len(part)); err != nil {
			return err
		}
	}
	watchdog.Reset(h.opts.Limits.StallTimeout)
	if err := out.write(part); err != nil {
		return err
	}
	watchdog.Reset(h.opts.Limits.StallTimeout)
	last := ans.resp.ContentLength >= 0 && int64(ans.bytes) >= ans.resp.ContentLength
	if len(part) < copyBufferBytes && !last {
		return out.flush()
	}
	return nil
}

// callerWriter writes to the caller and marks its errors with errCallerWrite.
type callerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

// interrupt ends a write that blocks because the caller does not read. The caller's connection is unusable afterwards.
func (c *callerWriter) interrupt() { c.control.SetWriteDeadline(time.Now()) }

func (c *callerWriter) write(part []byte) error {
	if _, err := c.w.Write(part); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	return nil
}

func (c *callerWriter) flush() error {
	err := c.control.Flush()
	if err == nil || errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return errors.Mark(err, errCallerWrite)
}

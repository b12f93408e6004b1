package entry

import (
	"bytes"
	"io"
	"math"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/quota"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	"github.com/rattanhitch/rattanhitch/pkg/intake"
)

const (
	// maxReplayBytes is the largest body that is kept in memory for further attempts. The rest of a longer one is streamed and
	// can be sent only once.
	maxReplayBytes = 64 << 10
	// maxCommandBytes limits the body of a command, which is read completely before the command runs.
	maxCommandBytes = 1 << 20
	// freeBodyBytes is the part of a body that each request may keep in memory without a reservation.
	freeBodyBytes = 8 << 10
)

// body is the body of a request: a part in memory (head) and, for a long body, a stream that can be read once (rest).
type body struct {
	head   []byte
	rest   io.Reader
	length int64
	// restConsumed is set once an attempt has started to read rest.
	restConsumed atomic.Bool
	// complete is set when the whole body has been read from the caller.
	complete atomic.Bool
	// tooLarge is set when the stream exceeds the size limit, timedOut when it did not arrive by the deadline, and incomplete
	// when the caller stopped sending it.
	tooLarge, timedOut, incomplete atomic.Bool
	control                        *http.ResponseController
	// reserved is the memory for head beyond freeBodyBytes, size that of the buffer for it.
	reserved quota.Reservation
	size     int
	released sync.Once
	// deadline ends reads from the caller, and stall those without progress.
	deadline time.Time
	stall    time.Duration
}

// grow makes room for n more bytes in memory and reports whether there is any.
func (b *body) grow(n int) bool {
	b.size += n
	missing := int64(b.size-freeBodyBytes) - b.reserved.Held()
	return missing <= 0 || b.reserved.Grow(missing)
}

// release returns the memory for head. Call it when no attempt needs it any more.
func (b *body) release() { b.released.Do(b.reserved.Release) }

// callerReader reads the body from the caller. Each read must make progress within the stall timeout.
type callerReader struct {
	io.Reader
	body *body
}

func (r *callerReader) Read(p []byte) (int, error) {
	until := time.Now().Add(r.body.stall)
	if r.body.deadline.Before(until) {
		until = r.body.deadline
	}
	r.body.control.SetReadDeadline(until)
	return r.Reader.Read(p)
}

// releasingReader returns the memory for the start of a body when the rest is read: the start has been sent then, and is not sent again.
type releasingReader struct {
	io.Reader
	body *body
}

func (r *releasingReader) Read(p []byte) (int, error) {
	r.body.release()
	return r.Reader.Read(p)
}

// markComplete records that the caller has sent the whole body, and removes the read deadline. From now on net/http reads in the
// background to detect that the caller disconnects, and would take an expired deadline for a disconnect.
func (b *body) markComplete() {
	b.complete.Store(true)
	b.control.SetReadDeadline(time.Time{})
}

// setConnection sets Connection: close if this host is leaving, or if part of the body was not read. In the second case net/http would
// otherwise read the rest before it sends the response, which delays the response until the caller has sent everything. Call it when
// the response is written: the host may have begun to leave since the request arrived.
func (h *Handler) setConnection(rq *request, header http.Header) {
	unread := rq.body == nil && rq.in.ContentLength != 0 || rq.body != nil && !rq.body.complete.Load()
	if unread || h.leaving.Load() && !rq.forwarded {
		header.Set("Connection", "close")
	}
}

// readBody reads the body into memory: completely for a recorded command, and up to maxReplayBytes for other requests.
func (h *Handler) readBody(w http.ResponseWriter, rq *request) *reply.Refusal {
	rq.body = &body{length: rq.in.ContentLength}
	if rq.in.Body == nil || rq.in.Body == http.NoBody || rq.in.ContentLength == 0 {
		rq.body.length = 0
		rq.body.complete.Store(true)
		return nil
	}
	limit := h.bodyLimit(rq)
	if rq.in.ContentLength > limit {
		return refusal(http.StatusRequestEntityTooLarge, reply.ReasonBodyTooLarge, "the limit is smaller than Content-Length")
	}
	b := rq.body
	b.control, b.deadline, b.stall = http.NewResponseController(w), rq.deadline, h.opts.Limits.StallTimeout
	b.reserved.From = h.opts.Bodies
	// The read deadline ends a request whose caller does not send its body. The context alone does not: http.Transport returns
	// only once it has stopped reading the body.
	limited := &callerReader{http.MaxBytesReader(w, rq.in.Body, limit), b}
	keep := int64(maxReplayBytes)
	if rq.isRecordedCommand() {
		keep = limit
	}
	// The additional byte distinguishes a body of that size from a longer one.
	head, err := readPart(limited, int(keep)+1, firstBodyBytes(rq.in.ContentLength), b.grow)
	b.head = head
	switch {
	case errors.Is(err, io.EOF) && int64(len(head)) <= keep:
		b.length = int64(len(head))
		b.markComplete()
	case err == nil || errors.Is(err, io.EOF):
		b.rest = &releasingReader{limited, b}
	case errors.Is(err, errNoMemory):
		intake.FromContext(rq.in.Context()).Reclaim()
		return noMemory("the body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal(http.StatusRequestTimeout, reply.ReasonDeadline, "the body did not arrive in time")
	case errors.HasType(err, (*http.MaxBytesError)(nil)):
		return refusal(http.StatusRequestEntityTooLarge, reply.ReasonBodyTooLarge, "the body is longer than allowed")
	default:
		return refusal(http.StatusBadRequest, reply.ReasonBadBody, "the body ended early")
	}
	intake.FromContext(rq.in.Context()).MarkServing()
	return nil
}

// firstBodyBytes returns the size of the first buffer for a body. More is reserved only once bytes have arrived.
func firstBodyBytes(contentLength int64) int {
	if contentLength < 0 {
		return freeBodyBytes
	}
	return int(min(contentLength+1, freeBodyBytes))
}

// bodyLimit returns the maximum size of the body. For a recorded command it is at most maxCommandBytes. The first host applies the
// limits of the configuration; the host that it forwards the request to may have an older one, and applies none.
func (h *Handler) bodyLimit(rq *request) int64 {
	limit := int64(math.MaxInt64)
	if !rq.forwarded {
		limit = h.configuredBodyLimit(rq)
	}
	if rq.isRecordedCommand() {
		limit = min(limit, maxCommandBytes)
	}
	return limit
}

// configuredBodyLimit returns the limit of the service, else of the configuration, else of this host.
func (h *Handler) configuredBodyLimit(rq *request) int64 {
	limit := int64(rq.service.GetMaxBodyBytes())
	if limit <= 0 {
		limit = int64(h.opts.Store.Current().RequestLimits().GetMaxBodyBytes())
	}
	if limit <= 0 {
		limit = h.opts.Limits.MaxBodyBytes
	}
	return limit
}

// reader returns the body for one attempt; ok is false if the body cannot be read again. The reader is never http.NoBody and the
// request has no GetBody, which prevents http.Transport from replaying the request by itself. A replay could execute the request
// twice under one permit and would hide that the connection broke the first time.
func (b *body) reader() (r io.ReadCloser, ok bool) {
	if b.length == 0 {
		return emptyBody{}, true
	}
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.head)), true
	}
	if b.restConsumed.Swap(true) {
		return nil, false
	}
	head := b.head
	b.head = nil // it is not sent again
	return &streamBody{Reader: io.MultiReader(bytes.NewReader(head), b.rest), body: b}, true
}

// readFailure returns the failure of an attempt whose body could not be read from the caller, or nil if there was no such error.
func (b *body) readFailure() *failure {
	switch {
	case b.tooLarge.Load():
		return &failure{status: http.StatusRequestEntityTooLarge, reason: reply.ReasonBodyTooLarge, retryScope: retryNone}
	case b.timedOut.Load():
		return &failure{status: http.StatusGatewayTimeout, reason: reply.ReasonDeadline, retryScope: retryNone}
	case b.incomplete.Load():
		return &failure{status: http.StatusBadRequest, reason: reply.ReasonBadBody, retryScope: retryNone}
	}
	return nil
}

// replayable reports whether a further attempt can send the body.
func (b *body) replayable() bool { return b.rest == nil || !b.restConsumed.Load() }

func (b *body) empty() bool { return b.length == 0 }

type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// streamBody records why a body could not be read from the caller, so that the error is not attributed to the target.
type streamBody struct {
	io.Reader
	body *body
}

func (s *streamBody) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		s.body.markComplete()
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.body.timedOut.Store(true)
	case errors.HasType(err, (*http.MaxBytesError)(nil)):
		s.body.tooLarge.Store(true)
	default:
		s.body.incomplete.Store(true)
	}
	return n, err
}

func (s *streamBody) Close() error { return nil }

// computeFingerprint returns a hash of the service, method, path, query and the part of the body that is in memory, which is the
// whole body for a recorded command. For a request that matches a rule, the virtual host stands for the service, because a rule may
// distribute copies of one request among several services.
func (rq *request) computeFingerprint() uint64 {
	// The escaped path is the same at the host that relays a command and at the one that it is relayed to.
	path := url.URL{Path: rq.path, RawPath: rq.rawPath}
	var d xxhash.Digest
	d.Reset()
	service := rq.name
	if rq.rule != nil {
		service = strings.ToLower(hostOnly(rq.in.Host))
	}
	for _, part := range [...]string{service, rq.in.Method, path.EscapedPath(), rq.in.URL.RawQuery} {
		d.WriteString(part)
		d.Write(fingerprintSeparator)
	}
	d.Write(rq.body.head)
	return d.Sum64()
}

var fingerprintSeparator = []byte{0}

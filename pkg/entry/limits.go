package entry

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/httphead"
	"github.com/rattanhitch/rattanhitch/internal/quota"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	"github.com/rattanhitch/rattanhitch/pkg/intake"
)

// headMargin, in bytes, is read of a head beyond the limit of its fields: for the request line, and so that a request slightly above the limit is
// refused by this package.
const headMargin = 4 << 10

// maxFieldBytes returns the limit for the fields of a head: that of the configuration, if it states one, and that of this host.
func (h *Handler) maxFieldBytes() int {
	limit := h.opts.Limits.MaxHeaderBytes
	if stated := h.opts.Store.Current().RequestLimits().GetMaxHeaderBytes(); stated > 0 {
		limit = min(limit, int(stated))
	}
	return limit
}

// MaxHeadBytes returns the longest head of a request, in bytes, that a listener for this handler reads.
func (h *Handler) MaxHeadBytes() int { return h.maxFieldBytes() + headMargin }

// noMemoryRetryAfter is the Retry-After of refusals for want of memory. A client that makes no progress is given up within about that time.
const noMemoryRetryAfter = time.Second

// noMemory returns the refusal of a request for a part of which there is no memory.
func noMemory(part string) *reply.Refusal {
	f := refusal(http.StatusServiceUnavailable, reply.ReasonNoMemory, "no memory for "+part)
	f.RetryAfter = noMemoryRetryAfter
	return f
}

// RefusalFor returns the refusal of a client that the listener refuses.
func RefusalFor(r intake.Reason) *reply.Refusal {
	switch r {
	case intake.ReasonHeadTooLarge:
		return refusal(http.StatusRequestHeaderFieldsTooLarge, reply.ReasonHeaderTooLarge, "the head is longer than allowed")
	case intake.ReasonNoMemory:
		return noMemory("the head")
	}
	f := refusal(http.StatusServiceUnavailable, reply.ReasonConnections, "too many connections")
	f.RetryAfter = noMemoryRetryAfter
	return f
}

// EncodeRefusal returns the bytes of a refusal for a client whose request has not reached the handler. The connection must be closed after it.
func (h *Handler) EncodeRefusal(f *reply.Refusal) []byte {
	f.Outcome = reply.Unknown
	if h.opts.Dialect.PromisesNotRun(http.StatusServiceUnavailable) {
		f.Outcome = reply.NotRun // callers have no keys, of which an earlier request may have run
	}
	w := &encodedResponse{header: http.Header{"Connection": {"close"}}}
	h.opts.Dialect.WriteRefusal(w, f)
	h.metrics.countRefusal(f.Reason)
	return w.data.Bytes()
}

// encodedResponse is an http.ResponseWriter that keeps the bytes of the response.
type encodedResponse struct {
	header http.Header
	data   bytes.Buffer
}

func (w *encodedResponse) Header() http.Header { return w.header }

func (w *encodedResponse) WriteHeader(status int) {
	fmt.Fprintf(&w.data, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = w.header.Write(&w.data) // a buffer takes all bytes
	w.data.WriteString("\r\n")
}

func (w *encodedResponse) Write(p []byte) (int, error) { return w.data.Write(p) }

// reserveHead reserves memory for the parsed head of a request that another host has forwarded, and reports whether there was enough.
func reserveHead(r *http.Request, reserved *quota.Reservation) bool {
	lines := 0
	for _, values := range r.Header {
		lines += len(values)
	}
	return reserved.Grow(httphead.Memory(headerBytes(r), lines))
}

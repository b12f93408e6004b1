package target

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/sleep"
)

// bodyBlockBytes is the size of the block that bodies with a chosen size repeat.
const bodyBlockBytes = 32 << 10

// serveWork executes a request. Query parameters: work is the service time, size the number of bytes of the response body, and
// crash=1 ends the process after the service time, even if the request is cancelled before.
func (t *Target) serveWork(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withRequestTimeout(r)
	defer cancel()
	if !t.acquireSlot() {
		writeNotRun(w, r)
		return
	}
	defer t.releaseSlot()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	faults := t.Faults()
	if faults.Freeze {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	t.recordExecution(r.Header.Get(headerIdempotencyKey))
	query := r.URL.Query()
	work, _ := time.ParseDuration(query.Get("work"))
	if query.Get("crash") == "1" {
		time.Sleep(work)
		t.opts.Exit(1)
		panic(http.ErrAbortHandler)
	}
	if !sleep.For(ctx, time.Duration(float64(work)*t.slowdown())) {
		http.Error(w, "deadline exceeded or request cancelled", http.StatusGatewayTimeout)
		return
	}
	if faults.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	size, _ := strconv.Atoi(query.Get("size"))
	t.writeResponse(w, r, size, faults)
}

// writeResponse sends the request ID in the header and, repeated up to size bytes, in the body. A response with a chosen size
// sends the checksum as a trailer.
func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, size int, faults Faults) {
	id, attempt := r.Header.Get(HeaderRequestID), r.Header.Get(headerAttemptID)
	if faults.WrongID {
		id, attempt = id+"-other", attempt+"-other"
	}
	h := w.Header()
	h.Set(HeaderRequestID, id)
	h.Set(headerAttemptID, attempt)
	h.Set(HeaderTarget, t.opts.Name)
	if faults.RateLimit > 0 {
		h.Set(headerRateLimit, strconv.FormatFloat(faults.RateLimit, 'f', -1, 64))
	}
	h.Set("Content-Type", "text/plain")
	if size <= 0 {
		body := Body(id, 0)
		sum := sha256.Sum256(body)
		h.Set(HeaderBodySHA256, hex.EncodeToString(sum[:]))
		h.Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body)
		return
	}
	h.Set("Trailer", HeaderBodySHA256)
	sum := sha256.New()
	out := io.MultiWriter(w, sum)
	block := Body(id, bodyBlockBytes)
	for left := size; left > 0; left -= len(block) {
		if faults.Truncate && left <= size/2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := out.Write(block[:min(left, len(block))]); err != nil {
			return
		}
	}
	h.Set(HeaderBodySHA256, hex.EncodeToString(sum.Sum(nil)))
}

// Body returns the response body for a request ID: the ID and a line feed, once if size is 0, otherwise repeated up to size bytes
// and restarted every bodyBlockBytes.
func Body(id string, size int) []byte {
	line := id + "\n"
	if size <= 0 {
		return []byte(line)
	}
	body := make([]byte, size)
	for n := 0; n < min(size, bodyBlockBytes); {
		n += copy(body[n:min(size, bodyBlockBytes)], line)
	}
	for n := bodyBlockBytes; n < size; {
		n += copy(body[n:], body[:bodyBlockBytes])
	}
	return body
}

// withRequestTimeout returns the request's context with the deadline of its Request-Timeout header, if there is one.
func withRequestTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	seconds, err := strconv.ParseFloat(r.Header.Get(HeaderRequestTimeout), 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(seconds*float64(time.Second)))
}

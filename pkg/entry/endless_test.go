package entry

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/quota"
)

// Guards against a request that is not retried before its deadline because a target announces a body with its refusal and never
// completes it.
func TestRefusalWithABodyWithoutEndIsRetriedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name    string
		status  int
		endless bool
	}{
		{"not run, silent", 503, false}, {"not run, endless", 503, true}, {"failed, silent", 500, false}, {"failed, endless", 500, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				w := newRuleFixture(t, 2, nil)
				released := make(chan struct{})
				w.net.serve(t, "t0", refuseWithoutEnd(c.status, c.endless, released))
				start := time.Now()
				got := w.do("GET", "/r/a", "")
				is.NoErr(got.err)
				is.Equal(got.status, 200)
				is.True(time.Since(start) < 500*time.Millisecond) // the latency objective of the rule
				<-released                                        // the connection to the first target is closed
				synctest.Wait()
				is.Equal(w.permits.open, 0)
			})
		})
	}
}

// refuseWithoutEnd returns a target that sends the header of a refusal and then a body without end: a byte every 10 ms, or nothing. It
// closes released when its connection ends.
func refuseWithoutEnd(status int, endless bool, released chan<- struct{}) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		defer close(released)
		control := http.NewResponseController(out)
		if status == http.StatusServiceUnavailable {
			out.Header().Set("Rattanhitch-Outcome", "not-run")
		}
		out.WriteHeader(status)
		err := control.Flush()
		for endless && err == nil {
			time.Sleep(10 * time.Millisecond)
			if _, err = io.WriteString(out, "x"); err == nil {
				err = control.Flush()
			}
		}
		<-r.Context().Done()
	}
}

// Guards against a response without end that is kept in memory, that outlasts the timeout of its rule, or that looks complete when it
// is cut off.
func TestResponseWithoutEndIsCutOffAtTheTimeout(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newRuleFixture(t, 1, nil)
		sent := 0
		released := make(chan struct{})
		w.net.serve(t, "t0", http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
			defer close(released)
			block := make([]byte, copyBufferBytes)
			for {
				n, err := out.Write(block)
				sent += n
				if err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}))
		start := time.Now()
		resp, err := w.client.Get("http://entry/r/a")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
		time.Sleep(time.Second) // the caller does not read yet
		n, err := io.Copy(io.Discard, resp.Body)
		is.True(err != nil) // without the end of a chunked body
		is.True(time.Since(start) < 2100*time.Millisecond)
		<-released
		synctest.Wait()
		is.True(sent-int(n) < 4*prefetchBytes) // bytes that were read from the target but not written to the caller
		is.Equal(w.permits.open, 0)
	})
}

// Guards against a host that runs out of memory, and ends the requests of all its callers, because targets send bodies without end to many requests:
// the limit of what is read ahead for each of them bounds nothing.
func TestBodiesWithoutEndDoNotFillTheMemory(t *testing.T) {
	const callers = 8
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newRuleFixture(t, 1, func(o *Options) { o.Answers = quota.New(2 * prefetchBytes) })
		var sent atomic.Int64
		w.net.serve(t, "t0", http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/r/endless" {
				w.targets[0].ServeHTTP(out, r)
				return
			}
			for block := make([]byte, copyBufferBytes); ; time.Sleep(time.Millisecond) {
				n, err := out.Write(block)
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		}))
		var bodies []io.ReadCloser
		for range callers {
			resp, err := w.client.Get("http://entry/r/endless")
			is.NoErr(err)
			bodies = append(bodies, resp.Body)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(sent.Load() < 2*prefetchBytes+callers*2*copyBufferBytes) // besides, each connection has buffers
		got := w.do("GET", "/r/a?size=100000", "")
		is.NoErr(got.err)
		is.Equal(len(got.body), 100000)
		for _, body := range bodies {
			_ = body.Close()
		}
		synctest.Wait()
		is.Equal(w.handler.opts.Answers.Free(), int64(2*prefetchBytes)) // nothing stays reserved
	})
}

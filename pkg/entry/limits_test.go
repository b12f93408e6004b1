package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/quota"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/intake"
)

// limitedStore returns the configuration of testStore with a limit for headers.
func limitedStore(maxHeaderBytes uint32) *config.Store {
	store := config.NewStore()
	store.Set(config.NewSnapshot(1, []*configv1.Object{
		{Kind: &configv1.Object_Service{Service: &configv1.Service{Name: "lookup", DefaultTimeoutMs: 5000}}},
		{Kind: &configv1.Object_RequestLimits{RequestLimits: &configv1.RequestLimits{Name: "requests", MaxHeaderBytes: maxHeaderBytes}}},
	}))
	return store
}

// Guards against a limit of the configuration that nobody applies, and against one that the request line uses up.
func TestHeaderLimitOfTheConfiguration(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 1, func(o *Options) { o.Store = limitedStore(4000) })
		is.Equal(w.handler.MaxHeadBytes(), 4000+headMargin)
		is.Equal(w.do("GET", "/lookup/"+strings.Repeat("x", 3000), "", "X-A", strings.Repeat("a", 3000)).status, 200)
		got := w.do("GET", "/lookup/a", "", "X-A", strings.Repeat("a", 4001))
		is.Equal(got.status, 431)
		is.Equal(got.header.Get("Rattanhitch-Outcome"), "not-run")
	})
}

// Guards against heads of forwarded requests that take memory without a bound, and against a refusal that the other host takes for a broken answer.
func TestForwardedHeadsShareTheBound(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		first, second := twoDomains(t, fixedPlaces{atSecond})
		second.handler.opts.Heads = quota.New(1000)
		var large []string
		for i := range 200 {
			large = append(large, fmt.Sprintf("X-%d", i), "a")
		}
		is.Equal(first.do("GET", "/lookup/a", "").status, 200)
		got := first.do("GET", "/lookup/a", "", large...)
		is.Equal(got.status, 503)
		is.Equal(got.header.Get("Rattanhitch-Reason"), "no-memory")
		is.Equal(got.header.Get("Rattanhitch-Outcome"), "not-run")
		is.Equal(second.handler.opts.Heads.Free(), int64(1000))
		second.handler.opts.Heads = quota.New(1 << 20)
		is.Equal(first.do("GET", "/lookup/a", "", large...).status, 200)
		is.Equal(second.handler.opts.Heads.Free(), int64(1<<20))
	})
}

// Guards against refusals of the listener that clients cannot read, or that promise what is not known: an earlier request with the same key may have
// run.
func TestEncodedRefusals(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 0, nil)
		for reason, status := range map[intake.Reason]int{
			intake.ReasonHeadTooLarge: 431, intake.ReasonNoMemory: 503, intake.ReasonConnections: 503,
		} {
			data := w.handler.EncodeRefusal(RefusalFor(reason))
			resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, status)
			is.True(resp.Close)
			refused, ok := reply.FromResponse(resp)
			is.True(ok)
			is.Equal(refused.Outcome, reply.Unknown)
			is.Equal(refused.RetryAfter > 0, status == 503)
		}
	})
}

// Guards against bodies whose sum fills the memory, against small bodies that find no memory beside them, and against memory that is not returned.
func TestBodiesShareABound(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		const limit = 2 * maxReplayBytes
		bodies := quota.New(limit)
		w := newFixture(t, 1, func(o *Options) { o.Bodies = bodies })
		var crowd []*io.PipeWriter
		for bodies.Free() > 0 {
			source := w.upload(t)
			_, err := source.Write(make([]byte, freeBodyBytes+1))
			is.NoErr(err)
			crowd = append(crowd, source)
			synctest.Wait()
			is.True(bodies.Free() < limit)
		}
		got := w.do("PUT", "/lookup/a", strings.Repeat("x", 2*freeBodyBytes))
		is.Equal(got.status, 503)
		is.Equal(got.header.Get("Rattanhitch-Reason"), "no-memory")
		is.Equal(got.header.Get("Rattanhitch-Outcome"), "not-run")
		is.Equal(w.do("PUT", "/lookup/a", strings.Repeat("x", freeBodyBytes-1)).status, 200)
		for _, source := range crowd {
			_ = source.CloseWithError(io.ErrUnexpectedEOF)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(bodies.Free(), int64(limit))
		is.Equal(w.do("PUT", "/lookup/a", strings.Repeat("x", 4*maxReplayBytes)).status, 200)
		is.Equal(bodies.Free(), int64(limit))
	})
}

// upload begins a request whose body the test writes.
func (w *fixture) upload(t *testing.T) *io.PipeWriter {
	body, source := io.Pipe()
	r, err := http.NewRequest(http.MethodPut, "http://entry/lookup/a", body)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if resp, err := w.client.Do(r); err == nil {
			_ = resp.Body.Close()
		}
	}()
	return source
}

// Guards against a start of a body that stays reserved while the rest is streamed, for as long as the caller likes.
func TestStreamedBodyReturnsTheMemoryOfItsStart(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		bodies := quota.New(1 << 20)
		w := newFixture(t, 1, func(o *Options) { o.Bodies = bodies })
		source := w.upload(t)
		_, err := source.Write(make([]byte, 2*maxReplayBytes))
		is.NoErr(err)
		synctest.Wait()
		is.Equal(bodies.Free(), int64(1<<20))
		_ = source.Close()
	})
}

// Guards against clients that hold the slots of targets, and memory, for as long as the deadline of their request by sending nothing more.
func TestBodyWithoutProgressIsGivenUp(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 1, func(o *Options) { o.Limits.StallTimeout = time.Second })
		for _, size := range []int{1, 2 * maxReplayBytes} {
			body, source := io.Pipe()
			defer source.Close()
			go func() { _, _ = source.Write(make([]byte, size)) }()
			r, err := http.NewRequest(http.MethodPut, "http://entry/lookup/a", body)
			is.NoErr(err)
			r.Header.Set("Request-Timeout", "600")
			start := time.Now()
			resp, err := w.client.Do(r)
			is.NoErr(err)
			_ = resp.Body.Close()
			is.Equal(resp.StatusCode, map[bool]int{true: 408, false: 504}[size == 1])
			is.True(time.Since(start) < 5*time.Second)
			synctest.Wait()
			is.Equal(w.permits.open, 0)
		}
	})
}

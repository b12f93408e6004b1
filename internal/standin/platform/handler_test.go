package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/store"
	"github.com/rattanhitch/rattanhitch/pkg/store/httpkv"
	"github.com/rattanhitch/rattanhitch/pkg/store/memory"
)

func startPlatform(t *testing.T) (*Handler, *httptest.Server, *httpkv.Client) {
	t.Helper()
	h := NewHandler()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	client, err := httpkv.New(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	return h, server, client
}

func putTxn(key, value string, version uint64) store.Txn {
	return store.Txn{
		Conditions: []store.Condition{{Key: key, Version: version}},
		Writes:     []store.Write{{Key: key, Value: []byte(value)}},
	}
}

// Guards against an HTTP mapping between driver and platform that loses rows, their order, or the conditions of a transaction.
func TestDriverRoundTrip(t *testing.T) {
	is := is.New(t)
	_, _, c := startPlatform(t)
	ctx := t.Context()
	is.NoErr(c.Commit(ctx, putTxn("a/2", "two", 0)))
	is.NoErr(c.Commit(ctx, putTxn("a/1", "one", 0)))
	is.True(errors.Is(c.Commit(ctx, putTxn("a/1", "again", 0)), store.ErrConflict))
	rows, err := c.Scan(ctx, "a/", "", 10)
	is.NoErr(err)
	is.Equal(len(rows), 2)
	is.Equal(string(rows[0].Value), "one")
	_, err = c.Get(ctx, "b")
	is.True(errors.Is(err, store.ErrNotFound))
	is.NoErr(c.PutObject(ctx, "x/y", []byte{0, 1}))
	data, err := c.GetObject(ctx, "x/y")
	is.NoErr(err)
	is.Equal(data, []byte{0, 1})
	is.NoErr(c.DeleteObject(ctx, "x/y"))
	_, err = c.GetObject(ctx, "x/y")
	is.True(errors.Is(err, store.ErrNotFound))
	is.NoErr(c.Announce(ctx, store.HostEntry{Host: "h1", Leaving: true}))
	hosts, err := c.Hosts(ctx)
	is.NoErr(err)
	is.Equal(hosts, []store.HostEntry{{Host: "h1", Leaving: true}})
}

// Guards against a write with an unknown outcome that the driver reports as not written, and the reverse.
func TestDriverMapsFailuresOfWrites(t *testing.T) {
	is := is.New(t)
	h, server, c := startPlatform(t)
	ctx := t.Context()
	h.Memory.SetFaults(memory.Faults{Outage: true})
	is.True(errors.Is(c.Commit(ctx, putTxn("k", "v", 0)), store.ErrUnavailable))
	h.Memory.SetFaults(memory.Faults{LostResponses: 1})
	is.True(errors.Is(c.Commit(ctx, putTxn("k", "v", 0)), store.ErrUnknownOutcome))
	row, err := c.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(string(row.Value), "v") // the write with the lost response took effect
	server.Close()
	newClient, err := httpkv.New(server.URL) // c may reuse an idle connection that the server has closed
	is.NoErr(err)
	is.True(errors.Is(newClient.Commit(ctx, putTxn("k", "w", row.Version)), store.ErrUnavailable)) // refused connection: not sent
}

// Guards against a driver that takes a 5xx status of a proxy as proof that the platform wrote nothing.
func TestUnexpectedStatusOfWriteIsUnknown(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadGateway)
	}))
	defer server.Close()
	c, err := httpkv.New(server.URL)
	is.NoErr(err)
	is.True(errors.Is(c.Commit(t.Context(), putTxn("k", "v", 0)), store.ErrUnknownOutcome))
	_, err = c.Get(t.Context(), "k")
	is.True(errors.Is(err, store.ErrUnavailable))
}

// Guards against a POST /faults that does not apply its faults, or that accepts an unknown field.
func TestFaultsAreSwitchedByHTTP(t *testing.T) {
	is := is.New(t)
	h, server, _ := startPlatform(t)
	body := strings.NewReader(`{"outage":true,"late_writes":2,"late_by_ms":1500}`)
	resp, err := http.Post(server.URL+"/faults", "application/json", body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(h.Memory.Faults(), memory.Faults{Outage: true, LateWrites: 2, LateBy: 1500 * time.Millisecond})
	resp, err = http.Post(server.URL+"/faults", "application/json", strings.NewReader(`{"outrage":true}`))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusBadRequest)
}

package port_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/port"
	"github.com/rattanhitch/rattanhitch/pkg/intake"
)

func budget() *intake.Budget {
	return intake.NewBudget(intake.Limits{MemoryBytes: 64 << 20, Descriptors: 1000})
}

// Guards against a listener that stays open after Close, with or without a preceding Start.
func TestPortIsClosed(t *testing.T) {
	is := is.New(t)
	hello := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") })
	for _, started := range []bool{true, false} {
		p, err := port.Listen("tests", "127.0.0.1:0", hello, budget(), 10)
		is.NoErr(err)
		if started {
			p.Start()
			resp, err := http.Get("http://" + p.Address())
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(string(body), "hello")
		}
		is.NoErr(p.Close())
		again, err := net.Listen("tcp", p.Address()) // fails if the listener is still open
		is.NoErr(err)
		is.NoErr(again.Close())
	}
}

// Guards against an error of Listen that names neither the purpose nor the address of the listener.
func TestListenNamesThePort(t *testing.T) {
	is := is.New(t)
	first, err := port.Listen("metrics", "127.0.0.1:0", http.NotFoundHandler(), budget(), 10)
	is.NoErr(err)
	defer func() { is.NoErr(first.Close()) }()
	_, err = port.Listen("metrics", first.Address(), nil, budget(), 10)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "listen for metrics"))
	is.True(strings.Contains(err.Error(), first.Address()))
}

package port_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/port"
)

// Guards against a port that stays open when the daemon stops after or before it has started.
func TestPortIsClosed(t *testing.T) {
	is := is.New(t)
	hello := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") })
	for _, started := range []bool{true, false} {
		p, err := port.Listen("tests", "127.0.0.1:0", hello)
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
		again, err := net.Listen("tcp", p.Address()) // the address is free again
		is.NoErr(err)
		is.NoErr(again.Close())
	}
}

// Guards against an error that does not say which port could not be opened.
func TestListenNamesThePort(t *testing.T) {
	is := is.New(t)
	first, err := port.Listen("metrics", "127.0.0.1:0", nil)
	is.NoErr(err)
	defer func() { is.NoErr(first.Close()) }()
	_, err = port.Listen("metrics", first.Address(), nil)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "listen for metrics"))
	is.True(strings.Contains(err.Error(), first.Address()))
}

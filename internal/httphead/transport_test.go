package httphead_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/httphead"
)

// fetch returns the response of a server that answers each request with the given bytes and closes the connection.
func fetch(t *testing.T, raw string) (*http.Response, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, raw)
			_ = conn.Close()
		}
	}()
	client := &http.Client{Transport: httphead.Transport{Base: &http.Transport{DisableKeepAlives: true}}}
	return client.Get("http://" + listener.Addr().String())
}

// Guards against answers of the platform or of another host that are used although their status is none of HTTP.
func TestTransportRefusesStatusesThatAreNone(t *testing.T) {
	for _, status := range []string{"000", "042", "600", "999", "101"} {
		resp, err := fetch(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nok")
		if err == nil {
			t.Errorf("status %s gives an answer with status %d", status, resp.StatusCode)
			_ = resp.Body.Close()
		}
	}
}

// Guards against valid answers that the transport refuses.
func TestTransportReturnsValidAnswers(t *testing.T) {
	is := is.New(t)
	resp, err := fetch(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "ok")
	is.NoErr(resp.Body.Close())
}

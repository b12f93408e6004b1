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

// Guards against answers of the platform or of another host that are used although a field name of their head or trailer is malformed.
func TestTransportRefusesMalformedNames(t *testing.T) {
	const end = "\r\n\r\n2\r\nok\r\n0\r\n"
	for name, raw := range map[string]string{
		"blank in a name":          "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 2\r\n\r\nok",
		"blank before the colon":   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked" + end + "\r\n",
		"trailer, blank in a name": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked" + end + "A : b\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			resp, err := fetch(t, raw)
			if err != nil {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			if body, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("an answer with body %q", body)
			}
		})
	}
}

// Guards against a part of an answer of the platform that is used as the whole: a body without a length ends with its connection, also when the
// sender has died.
func TestTransportRefusesBodiesWithoutEnd(t *testing.T) {
	resp, err := fetch(t, "HTTP/1.1 200 OK\r\n\r\npart")
	if err == nil {
		t.Errorf("an answer with status %d", resp.StatusCode)
		_ = resp.Body.Close()
	}
}

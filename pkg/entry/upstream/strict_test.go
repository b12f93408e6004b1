package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// answerWith returns what the client returns for a request that is answered with the given bytes, after which the connection is closed.
func answerWith(t *testing.T, raw string) (status int, body string, err error) {
	t.Helper()
	tg := listen(t, func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, raw)
		_ = conn.Close()
	})
	resp, err := newClient().RoundTrip(request(t.Context(), "a"), tg.options())
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// Guards against an answer of a target in trouble that reaches a caller although its status is none of HTTP. A status below 100 was skipped like
// an informational response, and the body that followed was read as the next answer.
func TestAnswerWithoutAValidStatusIsNoAnswer(t *testing.T) {
	body := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake"
	for _, line := range []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 042 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 +20 OK", "HTTP/1.1 600 Trouble",
		"HTTP/1.1 999 Trouble", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK",
		"HTTP/1.1 200\tOK", "HTTP/1.1  200 OK", "HTTP/1.1", "HTTP/3.7 200 OK", "HTTP/2 200 OK", "http/1.1 200 OK", "ICY 200 OK", "",
	} {
		t.Run(line, func(t *testing.T) {
			status, got, err := answerWith(t, fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body))
			if err == nil {
				t.Errorf("an answer with status %d and body %q", status, got)
			}
		})
	}
}

// Guards against valid answers that are refused by the checks of their heads.
func TestValidHeadsAreAnswers(t *testing.T) {
	long := "X-Long: " + strings.Repeat("x", 3*readBufferBytes) + "\r\n"
	for name, raw := range map[string]string{
		"plain":                  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"lowest protocol":        "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"no reason":              "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
		"empty reason":           "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok",
		"reason in another code": "HTTP/1.1 200 tr\xe8s bien\r\nContent-Length: 2\r\n\r\nok",
		"line feeds":             "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"no fields":              "HTTP/1.1 200 OK\r\n\r\nok",
		"long head":              "HTTP/1.1 200 OK\r\n" + long + "Content-Length: 2\r\n\r\nok",
		"long informational":     "HTTP/1.1 103 Early Hints\r\n" + long + "\r\nHTTP/1.1 200 OK\r\n" + long + "Content-Length: 2\r\n\r\nok",
		"chunks":                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"trailer":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n",
		"values":                 "HTTP/1.1 200 OK\r\nX: \t a\tb \xff;\"c\" \r\nY:\r\nContent-Length:2 \r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, got, err := answerWith(t, raw)
			is.NoErr(err)
			is.Equal(status, 200)
			is.Equal(got, "ok")
		})
	}
}

// Guards against a connection whose reader loses bytes, or the bounds of responses, after a head that is longer than its buffer.
func TestLongHeadsKeepTheConnection(t *testing.T) {
	is := is.New(t)
	tg := listen(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			long := "X-Long: " + strings.Repeat("x", 2*readBufferBytes) + "\r\n"
			_, _ = io.WriteString(conn, strings.Replace(answer(q.Header.Get("Id"), strings.Repeat("b", 9000)), "\r\n\r\n", "\r\n"+long+"\r\n", 1))
		}
	})
	c := newClient()
	for _, id := range []string{"a", "b", "c"} {
		got, err := roundTrip(t, c, tg.options(), id)
		is.NoErr(err)
		is.Equal(len(got), 9000)
	}
	is.Equal(tg.connections.Load(), int32(1))
}

// Guards against an answer of a target in trouble that reaches a caller although its head or trailer is malformed: with a line passed on that is no
// field, or with a body that is not the target's.
func TestAnswerWithAMalformedHeadIsNoAnswer(t *testing.T) {
	const plain, chunked = "Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	for name, raw := range map[string]string{
		"blank in a name":                 "HTTP/1.1 200 OK\r\nA B: c\r\n" + plain,
		"blank before the colon":          "HTTP/1.1 200 OK\r\nA : c\r\n" + plain,
		"tab in a name":                   "HTTP/1.1 200 OK\r\nA\tB: c\r\n" + plain,
		"control byte in a name":          "HTTP/1.1 200 OK\r\nA\x01B: c\r\n" + plain,
		"delimiter in a name":             "HTTP/1.1 200 OK\r\nA(B): c\r\n" + plain,
		"byte of another code in a name":  "HTTP/1.1 200 OK\r\nA\xe8: c\r\n" + plain,
		"no name":                         "HTTP/1.1 200 OK\r\n: c\r\n" + plain,
		"no colon":                        "HTTP/1.1 200 OK\r\nA\r\n" + plain,
		"control byte in a value":         "HTTP/1.1 200 OK\r\nA: b\x00c\r\n" + plain,
		"carriage return in a value":      "HTTP/1.1 200 OK\r\nA: b\rc\r\n" + plain,
		"delete in a value":               "HTTP/1.1 200 OK\r\nA: b\x7fc\r\n" + plain,
		"control byte in the reason":      "HTTP/1.1 200 O\x01K\r\n" + plain,
		"folded line":                     "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n" + plain,
		"folded first line":               "HTTP/1.1 200 OK\r\n A: b\r\n" + plain,
		"blank before the chunks' colon":  "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"blank before the length's colon": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok and more",
		"length and chunks":               "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + chunked,
		"chunks of the oldest protocol":   "HTTP/1.0 200 OK\r\n" + chunked,
		"two lengths":                     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + plain,
		"length with a sign":              "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
		"informational, blank in a name":  "HTTP/1.1 103 Early Hints\r\nA B: c\r\n\r\nHTTP/1.1 200 OK\r\n" + plain,
		"trailer, blank in a name":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA : b\r\n\r\n",
		"trailer, control byte":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: \x01\r\n\r\n",
		"long head, blank in a name":      "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*readBufferBytes) + "\r\nA B: c\r\n" + plain,
	} {
		t.Run(name, func(t *testing.T) {
			if status, got, err := answerWith(t, raw); err == nil {
				t.Errorf("an answer with status %d and body %q", status, got)
			}
		})
	}
}

// Guards against heads of responses that take memory without a bound: there is a limit for each, and their sum is reserved.
func TestHeadsOfResponsesReserveMemory(t *testing.T) {
	is := is.New(t)
	lines := strings.Repeat("a:\r\n", 2000)
	raw := "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 2\r\n\r\nok"
	tg := listen(t, func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, raw)
	})
	reserved, limit := int64(0), int64(1<<20)
	o := tg.options()
	o.Reserve = func(n int64) bool {
		reserved += n
		return reserved <= limit
	}
	resp, err := newClient().RoundTrip(request(t.Context(), "a"), o)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.True(reserved > 2000*100) // the parsed lines
	limit = reserved
	_, err = newClient().RoundTrip(request(t.Context(), "a"), o)
	is.True(err != nil)
	raw = answer("a", "ok")
	limit = 0
	resp, err = newClient().RoundTrip(request(t.Context(), "a"), o) // an ordinary head needs nothing
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
}

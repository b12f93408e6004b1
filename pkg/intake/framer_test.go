package intake

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// ends returns the ends of the requests in data as the framer finds them when it gets the bytes in parts of random size, and whether it is broken.
func ends(data string, rnd *rand.Rand) (list []int, broken bool) {
	f := newFramer()
	for at := 0; at < len(data); {
		part := data[at:min(len(data), at+1+rnd.IntN(9))]
		used := f.scan([]byte(part))
		at += used
		if f.complete {
			list = append(list, at)
		}
		if f.phase == phaseBroken {
			return list, true
		}
	}
	return list, false
}

// Guards against a framer that sees the end of a request elsewhere than net/http does: bytes of a head would then count as a body, which has no limit
// for its lines.
func TestFramerFindsTheEndsOfRequests(t *testing.T) {
	requests := []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\nHost: a\n\n",
		"\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 200) + "\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde",
		"POST / HTTP/1.1\r\nHost: a\r\ncontent-length:5 \r\nContent-Length: 5\r\n\r\n\r\n\r\n\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\nC: d\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nX: y\r\n folded\r\nContent-Length: 2\r\n\r\nab",
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		var data strings.Builder
		var want []int
		for range 1 + rnd.IntN(4) {
			data.WriteString(requests[rnd.IntN(len(requests))])
			want = append(want, data.Len())
		}
		got, broken := ends(data.String(), rnd)
		if broken || fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("%q: ends %v, broken %v, want %v", data.String(), got, broken, want)
		}
	}
}

// Guards against requests whose end net/http may see elsewhere, and after which further bytes are accepted.
func TestFramerAcceptsNothingAfterAnUnknownEnd(t *testing.T) {
	for _, fields := range []string{
		"Transfer-Encoding: gzip", "Transfer-Encoding: chunked, chunked", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
		"Transfer-Encoding:", "Transfer-Encoding:\r\n chunked", "Transfer-Encoding: chunked\r\nContent-Length: 3", "Content-Length: 3\r\nContent-Length: 4",
		"Content-Length: +3", "Content-Length: 3, 3", "Content-Length: 3\r\n 4", "Content-Length:" + strings.Repeat(" ", 80) + "3",
		"Content-Length: 99999999999999999999", "Content-Length:",
	} {
		_, broken := ends("POST / HTTP/1.1\r\nHost: a\r\n"+fields+"\r\n\r\nabc", rand.New(rand.NewPCG(1, 1)))
		if !broken {
			t.Errorf("%q is accepted", fields)
		}
	}
	for _, body := range []string{"\r\n", "x\r\n", "-1\r\n", "1 2\r\n", "GET / HTTP/1.1\r\n", "fffffffffffffffff\r\n"} {
		if _, broken := ends("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+body, rand.New(rand.NewPCG(1, 1))); !broken {
			t.Errorf("chunk size %q is accepted", body)
		}
	}
}

// Guards against lines of a head or a trailer that are not counted.
func TestFramerCountsHeadsAndTrailers(t *testing.T) {
	is := is.New(t)
	const head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	const trailer = "A: b\r\nC: d\r\n\r\n"
	f := newFramer()
	is.Equal(f.scan([]byte(head+"3\r\nabc\r\n0\r\n"+trailer+"GET")), len(head)+len("3\r\nabc\r\n0\r\n")+len(trailer))
	is.True(f.complete)
	is.Equal(f.headBytes, len(head)+len(trailer))
	is.Equal(f.lines, 7)
	is.Equal(f.scan([]byte("GET")), 3)
	is.True(f.inHead())
	is.Equal(f.headBytes, 3)
}

// FuzzFramer compares the framer with net/http: it must not see the end of a request later than net/http does.
func FuzzFramer(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("\r\nPOST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\nConnection: keep-alive\r\n\r\nA;\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		fr := newFramer()
		used := fr.scan(data)
		source := bytes.NewReader(bytes.TrimLeft(data, "\r\n"))
		in := bufio.NewReader(source)
		r, err := http.ReadRequest(in)
		if err != nil || r.ProtoMajor != 1 || r.ProtoMinor != 1 {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		end := len(data) - source.Len() - in.Buffered()
		if fr.phase != phaseBroken && (!fr.complete || used > end) {
			t.Errorf("net/http sees the end at %d, the framer at %d (complete %v)", end, used, fr.complete)
		}
	})
}

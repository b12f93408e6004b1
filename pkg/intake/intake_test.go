package intake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/httphead"
)

const waitLimit = 10 * time.Second

// testPort is a server behind a Listener. Its handler reads the body of a request and answers "ok".
type testPort struct {
	*Listener
	t       *testing.T
	address string
	// serving gets a value when the handler has a request with the path /held, and ends it when it can send to it again.
	serving chan struct{}
}

func newTestPort(t *testing.T, b *Budget, p Port) *testPort {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if p.MaxHeadBytes == nil {
		p.MaxHeadBytes = func() int { return 16 << 10 }
	}
	tp := &testPort{Listener: b.Listen(inner, p), t: t, address: inner.Addr().String(), serving: make(chan struct{})}
	server := &http.Server{Handler: b.LimitBodies(http.HandlerFunc(tp.serve))}
	tp.Attach(server)
	go func() { _ = server.Serve(tp.Listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return tp
}

func (p *testPort) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/held" {
		p.serving <- struct{}{}
		p.serving <- struct{}{}
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusRequestTimeout)
		return
	}
	_, _ = io.WriteString(w, "ok")
}

// client is a connection to a testPort.
type client struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

func (p *testPort) dial() *client {
	p.t.Helper()
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	return &client{conn, p.t, bufio.NewReader(conn)}
}

func (c *client) send(text string) *client {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
	return c
}

// status returns the status of the next response, 0 if the connection ends before.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (p *testPort) waitFor(what string, ready func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(waitLimit); !ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func (p *testPort) waitOpen(n int) {
	p.t.Helper()
	p.waitFor(fmt.Sprintf("%d open connections", n), func() bool { return p.Open() == n })
}

// waitReading waits until the requests of n connections have begun and are not complete.
func (p *testPort) waitReading(n int) {
	p.t.Helper()
	p.waitFor(fmt.Sprintf("%d requests that arrive", n), func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.reading.Len() == n
	})
}

func newTestBudget() *Budget { return NewBudget(Limits{MemoryBytes: 64 << 20, Descriptors: 1000}) }

// lines returns n short field lines.
func lines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "a%d:\r\n", i)
	}
	return b.String()
}

const (
	get  = "GET / HTTP/1.1\r\nHost: a\r\n"
	post = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
)

// Guards against a longest head that is refused in calm, and against heads above the limit that are read.
func TestHeadLimit(t *testing.T) {
	is := is.New(t)
	p := newTestPort(t, newTestBudget(), Port{Name: "test", Connections: 10})
	longest := get + "X: " + strings.Repeat("x", 16<<10-len(get)-len("X: \r\n\r\n")) + "\r\n\r\n"
	is.Equal(p.dial().send(longest).status(), 200)
	is.Equal(p.dial().send(get+lines(2000)+"\r\n").status(), 200)
	is.Equal(p.dial().send(get+"X: "+strings.Repeat("x", 17<<10)).status(), 431)
	is.Equal(p.dial().send("GET /"+strings.Repeat("x", 17<<10)).status(), 431)
	is.Equal(p.dial().send(strings.Repeat("\r\n", 9<<10)).status(), 400) // at the first line
	is.Equal(p.dial().send(get+"\r\n").status(), 200)
}

// Guards against heads whose sum has no bound, against memory that is not returned, and against ordinary requests that find no room beside such heads.
func TestHeadsShareABound(t *testing.T) {
	is := is.New(t)
	b := newTestBudget()
	p := newTestPort(t, b, Port{Name: "test", Connections: 100})
	total := b.Heads.Free()
	size := httphead.Memory(len(get)+len(lines(2000)), 2002)
	var crowd []*client
	for range total / size {
		crowd = append(crowd, p.dial().send(get+lines(2000)))
	}
	p.waitFor("the heads", func() bool { return b.Heads.Free() < size })
	is.Equal(p.dial().send(get+lines(2000)).status(), 503)        // at once, before it is complete
	is.Equal(p.dial().send(get+lines(20)+"\r\n").status(), 200)   // an ordinary request
	is.Equal(crowd[0].send("\r\n").status(), 200)                 // a head that is in time
	is.Equal(p.dial().send(get+lines(2000)+"\r\n").status(), 200) // in its place
	for _, c := range crowd {
		_ = c.Close()
	}
	p.waitFor("the memory", func() bool { return b.Heads.Free() == total })
}

// Guards against heads and trailers that are not counted because they arrive with the request before them.
func TestPipelinedHeadsAreMeasured(t *testing.T) {
	is := is.New(t)
	b := newTestBudget()
	total := b.Heads.Free()
	p := newTestPort(t, b, Port{Name: "test", Connections: 100})
	c := p.dial().send(post + "\r\n0\r\n\r\n\r\n\r\n" + get + lines(1000))
	is.Equal(c.status(), 200)
	p.waitFor("the second head", func() bool { return b.Heads.Free() < total })
	is.Equal(c.send("\r\n").status(), 200)
	p.waitFor("the memory", func() bool { return b.Heads.Free() == total })
	c.send(post + "\r\n1\r\na\r\n0\r\n" + lines(400))
	p.waitFor("the trailer", func() bool { return b.Heads.Free() < total })
	is.Equal(c.send("\r\n").status(), 200)
	is.Equal(c.send(strings.Repeat(get+"\r\n", 3)).status(), 200)
	is.Equal(c.status(), 200)
	is.Equal(c.status(), 200)
	p.waitFor("the memory", func() bool { return b.Heads.Free() == total })
}

// Guards against a request that is served although its end is not known, and whose connection goes on.
func TestConnectionEndsAfterAnUnknownEnd(t *testing.T) {
	is := is.New(t)
	p := newTestPort(t, newTestBudget(), Port{Name: "test", Connections: 10})
	c := p.dial().send(get + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get + "\r\n")
	is.Equal(c.status(), 408) // the handler finds no end of the body
	is.Equal(c.status(), 0)
	c = p.dial().send(get + "Content-Length: +3\r\nX: y\r\n\r\nabc" + get + "\r\n")
	is.Equal(c.status(), 400)
	is.Equal(c.status(), 0)
}

// Guards against a Conn that handlers of other ports cannot use.
func TestNoConn(t *testing.T) {
	c := FromContext(context.Background())
	c.MarkServing()
	c.Reclaim()
}

// Guards against connections that take all descriptors: beyond the limit, the connection that has been idle for the longest time makes room, and never one
// whose request is served.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	p := newTestPort(t, newTestBudget(), Port{Name: "test", Connections: 4})
	held := p.dial().send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-p.serving
	served := p.dial().send(get + "\r\n")
	is.Equal(served.status(), 200)
	fresh := []*client{p.dial(), p.dial()}
	p.waitOpen(4)
	time.Sleep(idleGrace)
	is.Equal(p.dial().send(get+"\r\n").status(), 200)
	is.Equal(served.status(), 0) // idle for longer than the fresh ones
	is.Equal(fresh[1].send(get+"\r\n").status(), 200)
	<-p.serving
	is.Equal(held.status(), 200)
	p.waitFor("the limit", func() bool { return p.Open() <= 4 })
}

// Guards against requests that never arrive as a whole and keep others out, and against requests in progress that are cut off for others.
func TestStalledRequestsMakeRoom(t *testing.T) {
	is := is.New(t)
	p := newTestPort(t, newTestBudget(), Port{Name: "test", Connections: 3})
	head := p.dial().send(get)
	p.waitReading(1) // it is the first that makes no progress
	body := p.dial().send(post + "\r\n5\r\nab")
	p.waitReading(2)
	moving := p.dial().send(post + "\r\n100000\r\n")
	p.waitReading(3)
	is.Equal(p.dial().send(get+"\r\n").status(), 503) // all of them make progress, as far as is known
	for end := time.Now().Add(stallGrace + 100*time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		moving.send(strings.Repeat("x", progressBytes))
	}
	is.Equal(p.dial().send(get+"\r\n").status(), 200)
	is.Equal(head.status(), 0)
	time.Sleep(idleGrace)
	arriving := p.dial().send(get) // in place of the one that is idle now
	p.waitFor("the request", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.idle.Len() == 0
	})
	is.Equal(p.dial().send(get+"\r\n").status(), 200)
	is.Equal(body.status(), 408) // it is told that its request did not run
	is.Equal(arriving.send("\r\n").status(), 200)
	moving.send(strings.Repeat("x", progressBytes)) // still open
}

// Guards against a listener that leaves connections open on which no request has begun, so that a stop waits for them.
func TestCloseIdle(t *testing.T) {
	is := is.New(t)
	p := newTestPort(t, newTestBudget(), Port{Name: "test", Connections: 10})
	idle, served, held := p.dial(), p.dial().send(get+"\r\n"), p.dial().send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	is.Equal(served.status(), 200)
	<-p.serving
	p.waitOpen(3)
	p.waitFor("the idle ones", func() bool { p.CloseIdle(0); return p.Open() == 1 })
	is.Equal(idle.status(), 0)
	is.Equal(served.status(), 0)
	<-p.serving
	is.Equal(held.status(), 200)
}

// Guards against bodies that handlers read into memory without a bound for their sum, and against memory that is not returned.
func TestBodiesShareABound(t *testing.T) {
	is := is.New(t)
	b := newTestBudget()
	total := b.Bodies.Free()
	p := newTestPort(t, b, Port{Name: "test", Connections: 100})
	size := int(total/copiesOfBody) + freeBody
	body := func(n int) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", strings.Replace(get, "GET", "POST", 1), n)
	}
	is.Equal(p.dial().send(body(size)+strings.Repeat("x", size)).status(), 200)
	p.waitFor("the memory", func() bool { return b.Bodies.Free() == total })
	stalled := p.dial().send(body(size) + strings.Repeat("x", size-1))
	p.waitFor("the body", func() bool { return b.Bodies.Free() < copiesOfBody })
	is.Equal(p.dial().send(body(100)+strings.Repeat("x", 100)).status(), 200)
	is.Equal(p.dial().send(body(2*freeBody)+strings.Repeat("x", 2*freeBody)).status(), 503)
	time.Sleep(stallGrace)
	is.Equal(p.dial().send(body(2*freeBody)+strings.Repeat("x", 2*freeBody)).status(), 503)
	is.Equal(stalled.status(), 408) // given up for the next one
	p.waitFor("the memory", func() bool { return b.Bodies.Free() == total })
}

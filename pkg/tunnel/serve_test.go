package tunnel

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// writerToldConn is a connection to a target that has reset it, as the kernel shows it if the writer asks first: the write fails, and the
// reader finds the bytes that arrived before and then a plain end.
type writerToldConn struct {
	net.Conn
	answer io.Reader
	failed chan struct{}
}

func (c *writerToldConn) Write([]byte) (int, error) {
	defer close(c.failed)
	return 0, syscall.ECONNRESET
}

func (c *writerToldConn) Read(p []byte) (int, error) {
	<-c.failed
	return c.answer.Read(p)
}

func (c *writerToldConn) SetWriteDeadline(time.Time) error { return nil }
func (c *writerToldConn) Close() error                     { return nil }

// Guards against a gateway that hands on a reset as an orderly end, so that a part of a response counts as complete at the other host: the
// kernel tells the reset once, here to the goroutine that writes to the target.
func TestResetThatTheGatewaysWriterLearnsOfIsNoEnd(t *testing.T) {
	is := is.New(t)
	result := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		result <- splice(w, r, &writerToldConn{answer: strings.NewReader("part"), failed: make(chan struct{})})
	}))
	defer server.Close()
	resp, err := http.Post(server.URL, "", strings.NewReader("upload"))
	is.NoErr(err)
	_ = resp.Body.Close()
	is.True(<-result != nil)
}

// Guards against the same on connections of the kernel, where the reset comes at a random moment of the upload.
func TestResetDuringAnUploadThroughAGatewayIsNoEnd(t *testing.T) {
	const tries = 100
	d := newDomain(t, 3, func(conn net.Conn) {
		_, _ = io.ReadFull(conn, make([]byte, 1))
		_, _ = io.WriteString(conn, "part")
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}, "a", "b")
	d.setCut("a", true)
	complete := 0
	for range tries {
		conn, err := d.dial("a")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for err := error(nil); err == nil; {
				_, err = conn.Write(make([]byte, 16<<10))
			}
		}()
		if _, err := io.ReadAll(conn); err == nil {
			complete++
		}
		_ = conn.Close()
	}
	is.New(t).Equal(complete, 0) // parts of responses that count as complete
}

// Guards against a request that a host gives up and that its gateway's kernel delivers later, for example after a partition: the gateway must reset the
// connection to the target, as the host does with its own.
func TestGatewayResetsWhatIsGivenUp(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	d := newDomain(t, 3, func(conn net.Conn) {
		_, _ = io.ReadFull(conn, make([]byte, 1))
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	}, "a", "b")
	d.setCut("a", true)
	conn, err := d.dial("a")
	is.NoErr(err)
	_, err = conn.Write([]byte("?"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // the target has read it
	is.NoErr(conn.Close())
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}

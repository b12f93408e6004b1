package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The smallest hosts of the deployments have this much memory (136 MB) and so many descriptors.
const (
	smallHostMiB         = 129
	smallHostDescriptors = 2870
)

// smallHost is a host process with the memory and the descriptors of the smallest hosts, and one target.
type smallHost struct{ *processFleet }

// newSmallHost starts a host that knows its limits by its settings. The limit of descriptors is also the kernel's.
func newSmallHost(t *testing.T, descriptors int) *smallHost {
	t.Helper()
	t.Setenv("RATTANHITCH_MEMORY_LIMIT_MIB", strconv.Itoa(smallHostMiB))
	p := newProcessFleet(t)
	p.descriptors = descriptors
	// The heap target and the threads are those of the smallest hosts.
	p.hostFlags = []string{"--heap-target-mib", "6", "--max-procs", "1", "--metrics-listen", p.network + "10:8083"}
	p.addHosts(processHost{domain: "d1", region: "r1"})
	p.apply(place("d1", "r1"), service("tides"), p.startTarget(1, "tides", "d1", 4))
	s := &smallHost{p}
	s.waitServing()
	return s
}

func (s *smallHost) waitServing() {
	s.t.Helper()
	s.waitFor("service", func() bool { return s.allRespond(s.callerURLs("/tides/x")) })
}

// restart replaces the process for a part of the test, so that its highest use of memory starts anew.
func (s *smallHost) restart(t *testing.T) {
	s.t = t
	t.Helper()
	s.kill("h1")
	s.startHost(s.hosts[0])
	s.waitServing()
}

// peakMiB returns the highest resident memory of the process in MiB.
func (s *smallHost) peakMiB() int {
	s.t.Helper()
	data, err := os.ReadFile(s.proc("status"))
	if err != nil {
		s.t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			if err != nil {
				s.t.Fatal(err)
			}
			return kib >> 10
		}
	}
	s.t.Fatal("no VmHWM in the status of the process")
	return 0
}

// openFiles returns the number of descriptors that the process has open.
func (s *smallHost) openFiles() int {
	s.t.Helper()
	files, err := os.ReadDir(s.proc("fd"))
	if err != nil {
		s.t.Fatal(err)
	}
	return len(files)
}

func (s *smallHost) proc(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return filepath.Join("/proc", strconv.Itoa(s.running["h1"].cmd.Process.Pid), name)
}

func (s *smallHost) lives() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.running["h1"].done:
		return false
	default:
		return true
	}
}

// crowd is a number of clients that send the same bytes, each on a connection that then stays open.
type crowd struct {
	size    int
	address string
	payload string
	// trickle is set for clients that go on with a byte every 0.3 s, and persist for clients that come back when their connection ends.
	trickle, persist bool
}

const (
	// crowdWrite limits the time for sending the payload: a host may stop reading.
	crowdWrite = 5 * time.Second
	// crowdPause is the time after which a client comes back.
	crowdPause = 500 * time.Millisecond
	// crowdStay is how long the clients stay before the host is checked.
	crowdStay = 2 * time.Second
)

// join lets the crowd send its bytes. Its connections stay open until the end of the present part of the test.
func (s *smallHost) join(c crowd) {
	s.t.Helper()
	ctx := s.t.Context()
	var sent sync.WaitGroup
	dialing := make(chan struct{}, 64)
	for range c.size {
		sent.Go(func() {
			conn := c.open(ctx, dialing)
			if c.persist {
				go c.comeBack(ctx, conn, dialing)
			}
		})
	}
	sent.Wait()
	time.Sleep(crowdStay)
}

// open opens a connection, which ends with ctx, and sends the payload on it. It returns nil if the host refuses the connection.
func (c crowd) open(ctx context.Context, dialing chan struct{}) net.Conn {
	dialing <- struct{}{}
	conn, err := net.DialTimeout("tcp", c.address, crowdWrite)
	<-dialing
	if err != nil {
		return nil
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	_ = conn.SetWriteDeadline(time.Now().Add(crowdWrite))
	_, err = io.WriteString(conn, c.payload)
	for end := time.Now().Add(crowdStay); c.trickle && err == nil && time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		_, err = io.WriteString(conn, "x")
	}
	return conn
}

// comeBack opens a connection again whenever the host has closed it, until ctx ends.
func (c crowd) comeBack(ctx context.Context, conn net.Conn, dialing chan struct{}) {
	for ctx.Err() == nil {
		if conn != nil {
			_, _ = io.Copy(io.Discard, conn)
		}
		time.Sleep(crowdPause)
		conn = c.open(ctx, dialing)
	}
}

// check checks, beside the crowd, that the process lives within its limits and answers an ordinary request.
func (s *smallHost) check(name string) {
	s.t.Helper()
	is := is.New(s.t)
	if !s.lives() {
		s.t.Fatalf("%s: the process has ended", name)
	}
	peak, files := s.peakMiB(), s.openFiles()
	s.t.Logf("%s: %d MiB, %d descriptors", name, peak, files)
	is.True(peak <= smallHostMiB)   // memory
	is.True(files <= s.descriptors) // descriptors
	s.waitFor("an ordinary request", func() bool { return s.answersOnNewConnection() })
	is.True(s.lives())
}

// answersOnNewConnection reports whether the host answers an ordinary request on a connection of its own.
func (s *smallHost) answersOnNewConnection() bool {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(s.hosts[0].caller() + "/tides/x")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

func (s *smallHost) callers() string   { return s.hosts[0].ip + ":8080" }
func (s *smallHost) operators() string { return s.hosts[0].ip + ":8081" }
func (s *smallHost) metrics() string   { return s.hosts[0].ip + ":8083" }

// shortLines returns field lines with different short names and no values, of about the given number of bytes.
func shortLines(bytes int) string {
	var b strings.Builder
	for n := 0; b.Len() < bytes; n++ {
		fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(n), 36))
	}
	return b.String()
}

// Starts of requests. The body of a post has chunks.
const (
	getHead  = "GET /tides/x HTTP/1.1\r\nHost: tides\r\n"
	postHead = "POST /tides/x HTTP/1.1\r\nHost: tides\r\nTransfer-Encoding: chunked\r\n"
	// cutBody is a body in chunks that stops short.
	cutBody = "\r\n5\r\nab"
)

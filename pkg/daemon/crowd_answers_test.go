package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rattanhitch/rattanhitch/internal/standin/target"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// Guards against targets in trouble that end a host by the memory for heads of answers: short lines take twenty times their bytes once they are parsed.
func TestHeadsOfTargetsStayInMemory(t *testing.T) {
	s := newSmallHost(t, smallHostDescriptors)
	address := s.network + "150:9000"
	serveCutAnswers(t, address, "HTTP/1.1 200 OK\r\n"+shortLines(60_000)+"Content-Length: 5\r\n\r\nab")
	err := applyAt(t.Context(), s.hosts[0], "broken", []*configv1.Object{service("broken"), {Kind: &configv1.Object_Target{Target: &configv1.Target{
		Name: "broken-1", Service: "broken", FailureDomain: "d1", Address: address, Slots: 1000, MaxConnections: 2000,
		State: configv1.TargetState_TARGET_STATE_ACTIVE,
	}}}})
	if err != nil {
		t.Fatal(err)
	}
	s.waitFor("the target", func() bool {
		resp, err := http.Get(s.hosts[0].caller() + "/broken/x")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	s.join(crowd{size: 400, address: s.callers(), payload: "GET /broken/x HTTP/1.1\r\nHost: h\r\n" + target.HeaderRequestTimeout + ": 20\r\n\r\n"})
	s.check("answers with heads of short lines")
}

// serveCutAnswers answers each request at an address with the same part of an answer, and leaves the connection open.
func serveCutAnswers(t *testing.T, address, answer string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
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
			t.Cleanup(func() { _ = conn.Close() })
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer)
			}()
		}
	}()
}

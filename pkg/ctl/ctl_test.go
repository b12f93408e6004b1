package ctl

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/pkg/burn"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	operatorv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1"
	"github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1/operatorv1connect"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/operator"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store/memory"
)

// singleHostView is the membership view of a host that can reach no other host. others are members that do not answer.
type singleHostView struct{ others []membership.Member }

var self = membership.Member{Host: "h1", FailureDomain: "a"}

func (s *singleHostView) Self() membership.Member           { return self }
func (s *singleHostView) Domain(string) []membership.Member { return []membership.Member{self} }
func (s *singleHostView) All() []membership.Member {
	return append([]membership.Member{self}, s.others...)
}
func (s *singleHostView) Lookup(string) (membership.Member, bool) { return membership.Member{}, false }
func (s *singleHostView) Changed() <-chan struct{}                { return nil }
func (s *singleHostView) Handle(string, peer.Handler)             {}
func (s *singleHostView) Call(context.Context, peer.Address, string, proto.Message, proto.Message) error {
	return errors.New("no connection")
}

// startServer runs an operator server with an in-memory platform and returns its URL and the platform.
func startServer(t *testing.T, view *singleHostView) (string, *memory.Platform) {
	t.Helper()
	p, store := memory.New(), config.NewStore()
	manager := config.NewManager(p, store, view, view, view, config.Options{Seed: 1})
	recorder := burn.NewRecorder(func(name string) *configv1.Service { return store.Current().Service(name) })
	server := operator.New(operator.Options{Config: manager, View: view, Caller: view, Registrar: view, Burn: recorder})
	mux := http.NewServeMux()
	server.Register(mux)
	listener := httptest.NewServer(mux)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); manager.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-stopped; listener.Close() })
	<-manager.Ready()
	return listener.URL, p
}

func run(t *testing.T, url, in string, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	code := Run(t.Context(), append(args, "--server", url), strings.NewReader(in), &out, &out)
	return code, out.String()
}

const setupObjects = `
{"service": {"name": "s", "defaultTimeoutMs": 1000}}
[{"place": {"name": "a", "region": "r-a"}}, {"place": {"name": "b", "region": "r-b"}},
 {"target": {"name": "t", "service": "s", "failureDomain": "a", "address": "127.0.0.1:9", "slots": 4}}]`

// Guards against commands whose requests, output or exit codes do not match the behaviour of a real operator server.
func TestCommandsEndToEnd(t *testing.T) {
	is := is.New(t)
	url, _ := startServer(t, &singleHostView{})
	page := filepath.Join(t.TempDir(), "burn.html")
	steps := []struct {
		in   string
		args []string
		code int
		want string
	}{
		{setupObjects, []string{"apply", "-f", "-"}, ExitOK, "committed as version 1"},
		{"", []string{"get", "target", "t"}, ExitOK, `127.0.0.1:9`},
		{"", []string{"get", "target", "x"}, ExitNotFound, `there is no target "x"`},
		{"", []string{"list", "place", "-o", "json"}, ExitOK, `"r-b"`},
		{"", []string{"list", "nothing"}, ExitInvalid, "must be one of"},
		{`{"service": {"name": "s", "defaultTimeoutMs": 2000}, "version": "9"}`, []string{"apply", "-f", "-"}, ExitConflict, "based on version 9, but version 1 is in force"},
		{`{"target": {"name": "u"}}`, []string{"apply", "-f", "-"}, ExitInvalid, "target u: slots = \"0\""},
		{`{"target": {"nam": "u"}}`, []string{"apply", "-f", "-"}, ExitUsage, "nam"},
		{"", []string{"drain", "start", "d", "target/t", "--watch", "--request-id=r1"}, ExitOK, "drain d: complete, 0 in flight"},
		{"", []string{"drain", "start", "d", "target/t", "--request-id=r1"}, ExitOK, "committed as version 2"},
		{"", []string{"drain", "start", "d", "target/t"}, ExitConflict, "drain d"},
		{"", []string{"drain", "cancel", "d"}, ExitOK, "committed as version 3"},
		{"", []string{"drain", "watch", "d", "-o", "json"}, ExitOK, `"cancelled":true`},
		{"", []string{"move", "start", "m", "--service=s", "--from=r-a", "--to=r-b", "--percent=20", "--watch"}, ExitOK, "move m: complete, 20.0%"},
		{"", []string{"delete", "move", "m", "--request-id=r2"}, ExitOK, "committed as version 5"},
		{"", []string{"delete", "move", "m", "--request-id=r2"}, ExitOK, "committed as version 5"},
		{"", []string{"delete", "move", "m"}, ExitNotFound, "m"},
		{"", []string{"hosts"}, ExitOK, "h1"},
		{"", []string{"burn"}, ExitOK, "5m0s"},
		{"", []string{"burn", "--html", page}, ExitOK, ""},
		{"", []string{"drain", "stop"}, ExitUsage, "needs start"},
		{"", []string{"frobnicate"}, ExitUsage, "unknown command"},
		{"", []string{"list", "--output=xml"}, ExitUsage, "must be table or json"},
		{"", []string{"completion", "bash"}, ExitOK, "rattanhitchctl"},
	}
	for _, step := range steps {
		code, out := run(t, url, step.in, step.args...)
		if code != step.code || !strings.Contains(out, step.want) {
			t.Errorf("%v: exit code %d, want %d and output with %q; got %s", step.args, code, step.code, step.want, out)
		}
	}
	html, err := os.ReadFile(page)
	is.NoErr(err)
	is.True(bytes.Contains(html, []byte("<svg")))
}

// Guards against exit codes by which a script cannot tell an answer that lacks hosts from a complete one, or an unavailable
// platform or server from other failures.
func TestExitCodesOfFaults(t *testing.T) {
	is := is.New(t)
	url, p := startServer(t, &singleHostView{others: []membership.Member{{Host: "h2"}}})
	code, out := run(t, url, "", "hosts")
	is.Equal(code, ExitIncomplete)
	is.True(strings.Contains(out, "h2"))
	p.SetFaults(memory.Faults{Outage: true})
	code, _ = run(t, url, setupObjects, "apply", "-f", "-")
	is.Equal(code, ExitUnavailable)
	code, _ = run(t, "http://127.0.0.1:1", "", "drain", "start", "d", "host/h") // no server listens on this port
	is.Equal(code, ExitUnavailable)
}

// abortingServer receives a change and closes the connection without an answer.
type abortingServer struct {
	operatorv1connect.UnimplementedOperatorServiceHandler
}

func (abortingServer) Apply(context.Context, *connect.Request[operatorv1.ApplyRequest]) (*connect.Response[operatorv1.ApplyResponse], error) {
	panic(http.ErrAbortHandler)
}

// Guards against a change that is reported as not written when the connection broke after the request had been sent, so that
// the server may have committed it.
func TestBrokenConnectionLeavesOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	_, handler := operatorv1connect.NewOperatorServiceHandler(abortingServer{})
	server := httptest.NewServer(handler)
	defer server.Close()
	code, out := run(t, server.URL, "", "drain", "start", "d", "host/h", "--request-id=r9")
	is.Equal(code, ExitOutcomeUnknown)
	is.True(strings.Contains(out, "--request-id=r9"))
}

// Guards against flags that environment variables do not set, and against a token that is not sent to the server.
func TestFlagsFromEnvironment(t *testing.T) {
	is := is.New(t)
	var got string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Get("Authorization")
		w.WriteHeader(http.StatusUnauthorized)
	}))
	defer server.Close()
	t.Setenv("RATTANHITCH_SERVER", server.URL)
	t.Setenv("RATTANHITCH_TOKEN", "secret")
	var out bytes.Buffer
	is.Equal(Run(t.Context(), []string{"list"}, nil, &out, &out), ExitUnauthorized)
	is.Equal(got, "Bearer secret")
	t.Setenv("RATTANHITCH_TIMEOUT", "soon")
	is.Equal(Run(t.Context(), []string{"list"}, nil, &out, &out), ExitUsage)
}

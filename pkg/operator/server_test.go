package operator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
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
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store"
	"github.com/rattanhitch/rattanhitch/pkg/store/memory"
)

// fleet is a view of three hosts: h1 is the server under test, h2 responds to calls with prepared messages, and calls to h3
// fail.
type fleet struct {
	mu          sync.Mutex
	h2          *peerv1.StatusResponse
	h2Burn      *peerv1.BurnResponse
	heldPermits []*peerv1.HeldPermits
	h3Left      bool // h3 has left the fleet
}

var members = []membership.Member{
	{Host: "h1", FailureDomain: "a"}, {Host: "h2", FailureDomain: "a"}, {Host: "h3", FailureDomain: "b"},
}

func (f *fleet) Self() membership.Member           { return members[0] }
func (f *fleet) Domain(string) []membership.Member { return members[:1] }
func (f *fleet) Changed() <-chan struct{}          { return nil }
func (f *fleet) Handle(string, peer.Handler)       {}
func (f *fleet) held() []*peerv1.HeldPermits       { f.mu.Lock(); defer f.mu.Unlock(); return f.heldPermits }
func (f *fleet) setHeld(list []*peerv1.HeldPermits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heldPermits = list
}
func (f *fleet) All() []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.h3Left {
		return members[:2]
	}
	return members
}

func (f *fleet) Lookup(string) (membership.Member, bool) {
	return membership.Member{}, false
}

func (f *fleet) Call(_ context.Context, to peer.Address, method string, _, resp proto.Message) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case to.Host == "h2" && method == methodStatus:
		proto.Merge(resp, f.h2)
	case to.Host == "h2" && method == methodBurn:
		proto.Merge(resp, f.h2Burn)
	default:
		return errors.New("no connection")
	}
	return nil
}

type fixture struct {
	*fleet
	platform *memory.Platform
	client   operatorv1connect.OperatorServiceClient
	url      string
	recorder *burn.Recorder
}

// start serves h1. If run is false, the configuration manager does not run and never loads a configuration.
func start(t *testing.T, run bool) *fixture {
	t.Helper()
	f := &fixture{fleet: &fleet{h2: &peerv1.StatusResponse{}, h2Burn: &peerv1.BurnResponse{}}, platform: memory.New()}
	store := config.NewStore()
	manager := config.NewManager(f.platform, store, f, f, f, config.Options{Seed: 1})
	f.recorder = burn.NewRecorder(func(name string) *configv1.Service { return store.Current().Service(name) })
	server := New(Options{Config: manager, View: f, Caller: f, Registrar: f, Burn: f.recorder, HeldPermits: f.held})
	mux := http.NewServeMux()
	server.Register(mux)
	listener := httptest.NewServer(mux)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if run {
			manager.Run(ctx)
		}
	}()
	t.Cleanup(func() { cancel(); <-stopped; listener.Close() })
	if run {
		<-manager.Ready()
	}
	f.url = listener.URL
	f.client = operatorv1connect.NewOperatorServiceClient(http.DefaultClient, listener.URL)
	return f
}

func (f *fixture) apply(id string, objects ...*configv1.Object) error {
	req := &operatorv1.ApplyRequest{RequestId: id}
	for _, o := range objects {
		req.Mutations = append(req.Mutations, &configv1.Mutation{Action: &configv1.Mutation_Put{Put: o}})
	}
	_, err := f.client.Apply(context.Background(), connect.NewRequest(req))
	return err
}

func service(name string) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Service{Service: &configv1.Service{Name: name, DefaultTimeoutMs: 1}}}
}

func place(name string) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Place{Place: &configv1.Place{Name: name, Region: "r-" + name}}}
}

func target(name, domain string) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Target{Target: &configv1.Target{
		Name: name, Service: "s", FailureDomain: domain, Address: "127.0.0.1:9", Slots: 1}}}
}

// Guards against an error code that misleads an operator about whether a change was committed or may be repeated.
func TestApplyCodes(t *testing.T) {
	is := is.New(t)
	f := start(t, true)
	is.NoErr(f.apply("a", service("s")))
	is.Equal(connect.CodeOf(f.apply("b", service("s"))), connect.CodeAborted)
	err := f.apply("c", target("t", "nowhere"))
	is.Equal(connect.CodeOf(err), connect.CodeInvalidArgument)
	is.True(strings.Contains(err.Error(), `target t: failure_domain = "nowhere": must name an existing place`))
	f.platform.SetFaults(memory.Faults{Outage: true})
	is.Equal(connect.CodeOf(f.apply("d", service("u"))), connect.CodeUnavailable)
	is.Equal(connect.CodeOf(commitError(errors.Mark(errors.Wrap(store.ErrUnavailable, "x"), store.ErrUnknownOutcome))), connect.CodeUnknown)
}

// Guards against a host that has not loaded a configuration yet and responds as if the configuration were empty.
func TestFailedReadIsNotAnEmptyList(t *testing.T) {
	is := is.New(t)
	f := start(t, false)
	_, err := f.client.List(t.Context(), connect.NewRequest(&operatorv1.ListRequest{}))
	is.Equal(connect.CodeOf(err), connect.CodeUnavailable)
	_, err = f.client.Get(t.Context(), connect.NewRequest(&operatorv1.GetRequest{Key: &configv1.ObjectKey{Kind: "service", Name: "s"}}))
	is.Equal(connect.CodeOf(err), connect.CodeUnavailable)
	_, err = f.client.BurnReport(t.Context(), connect.NewRequest(&operatorv1.BurnReportRequest{}))
	is.Equal(connect.CodeOf(err), connect.CodeUnavailable)
	_, err = f.client.List(t.Context(), connect.NewRequest(&operatorv1.ListRequest{Kind: "servce"}))
	is.Equal(connect.CodeOf(err), connect.CodeInvalidArgument)
}

// Guards against request messages of unlimited size, which would exhaust the memory of the host.
func TestLargeMessageIsRefusedWithItsLimit(t *testing.T) {
	is := is.New(t)
	f := start(t, true)
	err := f.apply(strings.Repeat("x", 2*maxMessageBytes), service("s"))
	is.Equal(connect.CodeOf(err), connect.CodeResourceExhausted)
	is.True(strings.Contains(err.Error(), "1048576"))
}

// Guards against reports that silently omit hosts that did not respond.
func TestReportsNameMissingHosts(t *testing.T) {
	is := is.New(t)
	f := start(t, true)
	is.NoErr(f.apply("s", service("s")))
	f.h2.ConfigVersion, f.h2.ConfigError = 7, "bad change"
	f.recorder.Record("s", burn.Failed, 0)
	hosts, err := f.client.HostStatus(t.Context(), connect.NewRequest(&operatorv1.HostStatusRequest{}))
	is.NoErr(err)
	is.Equal(hosts.Msg.GetMissingHosts(), []string{"h3"})
	is.Equal(len(hosts.Msg.GetHosts()), 2)
	is.Equal(hosts.Msg.GetHosts()[1].GetConfigError(), "bad change")
	report, err := f.client.BurnReport(t.Context(), connect.NewRequest(&operatorv1.BurnReportRequest{}))
	is.NoErr(err)
	is.Equal(report.Msg.GetMissingHosts(), []string{"h3"})
	is.Equal(report.Msg.GetServices()[0].GetShortWindow().GetFailed(), uint64(1))
	page, err := http.Get(f.url + "/burn")
	is.NoErr(err)
	is.NoErr(page.Body.Close())
	is.Equal(page.StatusCode, http.StatusOK)
}

// Guards against a drain that is reported complete while requests are in flight on its subject, or while a host with an older
// configuration may still send new ones.
func TestDrainIsCompleteOnlyWhenAllHostsAgree(t *testing.T) {
	is := is.New(t)
	f := start(t, true)
	drain := &configv1.Object{Kind: &configv1.Object_Drain{Drain: &configv1.Drain{Name: "d", Subject: &configv1.Drain_Target{Target: "t"}}}}
	is.NoErr(f.apply("setup", service("s"), place("a"), target("t", "a"), drain))
	f.setHeld([]*peerv1.HeldPermits{{Target: "t", Count: 2}, {Target: "other", Count: 5}})
	f.mu.Lock()
	f.h3Left = true
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stream, err := f.client.WatchDrain(ctx, connect.NewRequest(&operatorv1.WatchDrainRequest{Name: "d"}))
	is.NoErr(err)
	is.True(stream.Receive())
	is.Equal(stream.Msg().GetInFlight(), uint32(2))
	is.Equal(stream.Msg().GetMissingHosts(), []string{"h2"}) // h2 still has configuration version 0
	is.True(!stream.Msg().GetComplete())
	f.setHeld(nil)
	f.mu.Lock()
	f.h2.ConfigVersion = 1
	f.mu.Unlock()
	for stream.Receive() && !stream.Msg().GetComplete() {
	}
	is.True(stream.Msg().GetComplete())
	is.True(!stream.Receive()) // the stream ends
	is.NoErr(stream.Err())
}

// Guards against a move that is reported complete before its ramp has ended, and against a watch of an unknown move that does
// not fail.
func TestWatchMove(t *testing.T) {
	is := is.New(t)
	f := start(t, true)
	move := &configv1.Move{Name: "m", Service: "s", FromRegion: "r-a", ToRegion: "r-b", Percent: 50, RampSeconds: 3600}
	object := &configv1.Object{Kind: &configv1.Object_Move{Move: move}}
	is.NoErr(f.apply("setup", service("s"), place("a"), place("b"), object))
	stream, err := f.client.WatchMove(t.Context(), connect.NewRequest(&operatorv1.WatchMoveRequest{Name: "m"}))
	is.NoErr(err)
	is.True(stream.Receive())
	is.True(!stream.Msg().GetComplete())
	is.True(stream.Msg().GetPercent() < 50)
	missing, err := f.client.WatchMove(t.Context(), connect.NewRequest(&operatorv1.WatchMoveRequest{Name: "x"}))
	is.NoErr(err)
	is.True(!missing.Receive())
	is.Equal(connect.CodeOf(missing.Err()), connect.CodeNotFound)
}

// Guards against a cancelled move whose progress still reports its percentage, although no request is moved any more.
func TestWatchCancelledMove(t *testing.T) {
	is := is.New(t)
	f := start(t, true)
	move := &configv1.Move{Name: "m", Service: "s", FromRegion: "r-a", ToRegion: "r-b", Percent: 50, Cancelled: true}
	object := &configv1.Object{Kind: &configv1.Object_Move{Move: move}}
	is.NoErr(f.apply("setup", service("s"), place("a"), place("b"), object))
	stream, err := f.client.WatchMove(t.Context(), connect.NewRequest(&operatorv1.WatchMoveRequest{Name: "m"}))
	is.NoErr(err)
	is.True(stream.Receive())
	is.True(stream.Msg().GetCancelled())
	is.Equal(stream.Msg().GetPercent(), 0.0)
	is.True(!stream.Receive()) // the stream ends
	is.NoErr(stream.Err())
}

// Guards against an operator port off loopback that serves requests without authentication.
func TestAuthenticate(t *testing.T) {
	is := is.New(t)
	next := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	status := func(listen, token, authorization string) int {
		r := httptest.NewRequest(http.MethodGet, "/burn", nil)
		r.Header.Set("Authorization", authorization)
		w := httptest.NewRecorder()
		Authenticate(listen, token, next).ServeHTTP(w, r)
		return w.Code
	}
	is.Equal(status("127.0.0.1:1", "secret", ""), http.StatusOK)
	is.Equal(status("0.0.0.0:1", "secret", "Bearer secret"), http.StatusOK)
	is.Equal(status("0.0.0.0:1", "secret", "Bearer secre"), http.StatusUnauthorized)
	is.Equal(status("0.0.0.0:1", "secret", ""), http.StatusUnauthorized)
	is.Equal(status("0.0.0.0:1", "", "Bearer "), http.StatusUnauthorized) // an unset token must not match an empty one

	certificate := func(state *tls.ConnectionState) int {
		r := httptest.NewRequest(http.MethodGet, "/burn", nil)
		r.TLS = state
		w := httptest.NewRecorder()
		Authenticate("0.0.0.0:1", "secret", next).ServeHTTP(w, r)
		return w.Code
	}
	shown := []*x509.Certificate{{}}
	is.Equal(certificate(&tls.ConnectionState{PeerCertificates: shown}), http.StatusUnauthorized) // presented but not verified
	is.Equal(certificate(&tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{shown}}), http.StatusOK)
}

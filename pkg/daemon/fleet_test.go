package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/rattanhitch/rattanhitch/internal/standin/platform"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/internal/testcert"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	"github.com/rattanhitch/rattanhitch/pkg/frontend"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/settings"
)

// waitLimit is the longest wait for an expected state; a longer one fails the test.
const waitLimit = 30 * time.Second

// fleet runs hosts, targets and the stand-in platform on loopback addresses of this test process.
type fleet struct {
	t        *testing.T
	platform *http.Server
	hosts    map[string]*kernel.App
	next     int
	// authority, if set, signs certificates for the operator and peer ports.
	authority *testcert.Authority
	// links, if set, carries the connections from hosts to targets.
	links   *targetLinks
	targets map[string]*target.Target
	// announceFor and drainTimeout limit the stops of hosts.
	announceFor, drainTimeout time.Duration
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	log.DefaultLogger.SetLevel(log.PanicLevel)
	f := &fleet{
		t: t, hosts: map[string]*kernel.App{}, targets: map[string]*target.Target{}, announceFor: 500 * time.Millisecond, drainTimeout: waitLimit,
	}
	f.platform = f.serve(f.platformAddress(), platform.NewHandler())
	t.Cleanup(f.stopAll)
	return f
}

func (f *fleet) platformAddress() string { return f.ip(1) + ":8080" }

// ip returns a loopback address derived from the process ID, so that concurrent test processes can use the same ports.
func (f *fleet) ip(last int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&0x3f, pid&0xff, last)
}

func (f *fleet) serve(address string, h http.Handler) *http.Server {
	f.t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
	return server
}

// startHost starts a host in a failure domain and region.
func (f *fleet) startHost(name, domain, region string) *kernel.App {
	f.t.Helper()
	f.next++
	ip := f.ip(10 + f.next)
	s := settings.Settings{
		Host: name, FailureDomain: domain, Region: region, CallerListen: ip + ":8080", OperatorListen: ip + ":8081",
		PeerListen: ip + ":8082", PlatformDriver: "httpkv", PlatformURL: "http://" + f.platformAddress(),
		AnnounceFor: f.announceFor, DrainTimeout: f.drainTimeout, LookupTTL: time.Second, MaxHeaderBytes: 64 << 10,
		LogLevel: "error",
	}
	if f.authority != nil {
		s.TLSCert, s.TLSKey = f.authority.Issue(f.t, name)
		s.TLSCA = f.authority.CAFile
	}
	app, err := kernel.NewApp(s)
	if err != nil {
		f.t.Fatal(err)
	}
	if f.links != nil {
		f.links.attach(f.t, app)
	}
	if err := app.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	f.hosts[name] = app
	return app
}

// stopHost stops a host gracefully and returns the error of the stop.
func (f *fleet) stopHost(name string) error {
	app := f.hosts[name]
	delete(f.hosts, name)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	return app.Stop(ctx)
}

func (f *fleet) stopAll() {
	var stopping sync.WaitGroup
	for _, app := range f.hosts {
		stopping.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = app.Stop(ctx)
		})
	}
	stopping.Wait()
}

// startTarget starts a target and returns its configuration.
func (f *fleet) startTarget(name, service, domain string, slots int) *configv1.Object {
	f.t.Helper()
	return f.startTargetWithExit(name, service, domain, slots, nil)
}

// startTargetWithExit starts a target that closes its listener and its connections on a request with crash=1, after a call of exit.
func (f *fleet) startTargetWithExit(name, service, domain string, slots int, exit func()) *configv1.Object {
	f.t.Helper()
	f.next++
	address := f.ip(10+f.next) + ":9000"
	var server atomic.Pointer[http.Server]
	var once sync.Once
	f.targets[name] = target.New(target.Options{Name: name, Slots: slots, Exit: func(int) {
		once.Do(func() {
			if exit != nil {
				exit()
			}
			_ = server.Load().Close()
		})
	}})
	server.Store(f.serve(address, f.targets[name]))
	return &configv1.Object{Kind: &configv1.Object_Target{Target: &configv1.Target{
		Name: name, Service: service, FailureDomain: domain, Address: address, Slots: uint32(slots), MaxConnections: 800,
		State: configv1.TargetState_TARGET_STATE_ACTIVE,
	}}}
}

func service(name string) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Service{Service: &configv1.Service{
		Name: name, DefaultTimeoutMs: 10_000, MaxBodyBytes: 1 << 20,
	}}}
}

func place(name, region string) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Place{Place: &configv1.Place{Name: name, Region: region}}}
}

// commit creates or replaces objects through a host and waits until all hosts have the new configuration in force.
func (f *fleet) commit(host string, objects ...*configv1.Object) {
	f.t.Helper()
	mutations := make([]*configv1.Mutation, len(objects))
	for i, o := range objects {
		mutations[i] = &configv1.Mutation{Action: &configv1.Mutation_Put{Put: o}, BaseVersion: o.GetVersion()}
	}
	f.t.Logf("commit of %d objects through %s", len(objects), host)
	version, err := f.config(host).Manager.Commit(f.t.Context(), fmt.Sprintf("%s-%d", f.t.Name(), time.Now().UnixNano()), mutations)
	if err != nil {
		f.t.Fatal(err)
	}
	f.waitFor("configuration in force", func() bool {
		for name := range f.hosts {
			if f.config(name).Store.Current().Version < version {
				return false
			}
		}
		return true
	})
}

func (f *fleet) config(host string) *config.Module {
	f.t.Helper()
	m, err := kernel.Get[*config.Module](f.hosts[host], config.ModuleID)
	if err != nil {
		f.t.Fatal(err)
	}
	return m
}

func (f *fleet) members(host string) *membership.Tracker {
	f.t.Helper()
	m, err := kernel.Get[*membership.Module](f.hosts[host], membership.ModuleID)
	if err != nil {
		f.t.Fatal(err)
	}
	return m.Tracker
}

// waitMembers waits until the membership table of each host contains all hosts.
func (f *fleet) waitMembers() {
	f.t.Helper()
	f.waitFor("full view of the fleet", func() bool {
		for name := range f.hosts {
			if len(f.members(name).All()) != len(f.hosts) {
				return false
			}
		}
		return true
	})
}

// waitReads waits until a read of the service tides succeeds through each host.
func (f *fleet) waitReads() {
	f.t.Helper()
	for name := range f.hosts {
		f.waitRead(name)
	}
}

// waitRead waits until a read of the service tides succeeds through a host.
func (f *fleet) waitRead(host string) {
	f.t.Helper()
	f.waitFor("a read through "+host, func() bool { return f.request(host, http.MethodGet, "/tides/x").status == http.StatusOK })
}

// waitFor polls ready until it returns true, and fails the test after waitLimit.
func (f *fleet) waitFor(what string, ready func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitLimit); !ready(); {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for %s (%s)", what, waitLimit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// fault sets the injected faults of the platform. The body is the JSON form of memory.Faults.
func (f *fleet) fault(body string) {
	f.t.Helper()
	resp, err := http.Post("http://"+f.platformAddress()+"/faults", "application/json", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		f.t.Fatalf("set faults of the platform: HTTP status %s", resp.Status)
	}
}

// outcome is the result of a request as seen by the caller.
type outcome struct {
	status int
	// closing is true if the response has the header Connection: close.
	closing bool
	target  string
	ticket  string
	outcome reply.Outcome
	reason  string
	// retryAfter is the value of the header Retry-After.
	retryAfter string
	body       string
	err        error
}

// request sends a request through a host. header alternates between header names and values.
func (f *fleet) request(host, method, path string, header ...string) outcome {
	return f.requestTo(f.hosts[host], method, path, header...)
}

func (f *fleet) requestTo(app *kernel.App, method, path string, header ...string) outcome {
	req, err := http.NewRequest(method, "http://"+app.Settings.CallerListen+path, nil)
	if err != nil {
		return outcome{err: err}
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return perform(http.DefaultClient, req)
}

// notConnected reports whether no connection to the host could be opened.
func (o outcome) notConnected() bool {
	var op *net.OpError
	return errors.As(o.err, &op) && op.Op == "dial"
}

func perform(client *http.Client, req *http.Request) outcome {
	resp, err := client.Do(req)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return outcome{
		status: resp.StatusCode, closing: resp.Close, target: resp.Header.Get(target.HeaderTarget), ticket: resp.Header.Get(reply.HeaderTicket),
		outcome: reply.Outcome(resp.Header.Get(reply.HeaderOutcome)), reason: resp.Header.Get(reply.HeaderReason),
		body: string(body), retryAfter: resp.Header.Get(reply.HeaderRetryAfter), err: err,
	}
}

// inFlight returns the number of requests that a host is serving.
func (f *fleet) inFlight(app *kernel.App) int {
	m, err := kernel.Get[*frontend.Module](app, frontend.ModuleID)
	if err != nil {
		f.t.Fatal(err)
	}
	return m.Entry.InFlight()
}

// executions counts how often the targets executed a command.
func (f *fleet) executions(key string) int {
	f.t.Helper()
	total := 0
	for _, t := range f.targets {
		answer := httptest.NewRecorder()
		t.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/executions", nil))
		var report target.ExecutionReport
		if err := json.Unmarshal(answer.Body.Bytes(), &report); err != nil {
			f.t.Fatal(err)
		}
		total += report.Keys[key]
	}
	return total
}

package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/entry"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	operatorv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1"
	"github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1/operatorv1connect"
)

// processFleet runs the real programs as processFleet on loopback addresses of this test.
type processFleet struct {
	t       *testing.T
	bin     string
	network string

	mu      sync.Mutex
	running map[string]*exec.Cmd
	hosts   []processHost
	targets []string
}

type processHost struct {
	name, domain, region, ip string
}

func (h processHost) caller() string   { return "http://" + h.ip + ":8080" }
func (h processHost) operator() string { return "http://" + h.ip + ":8081" }

func newProcessFleet(t *testing.T) *processFleet {
	t.Helper()
	p := &processFleet{t: t, bin: t.TempDir(), running: map[string]*exec.Cmd{}}
	// The second byte differs from those of fleet.ip, so that both can run at the same time.
	p.network = fmt.Sprintf("127.%d.%d.", 128+os.Getpid()>>8&0x3f, os.Getpid()&0xff)
	build := exec.Command("go", "build", "-o", p.bin, "../../cmd/rattanhitchd", "../../cmd/rattanhitch-standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	t.Cleanup(p.stopAll)
	p.start("platform", "rattanhitch-standin", "platform", "--listen", p.network+"1:8080")
	return p
}

func (p *processFleet) start(name, program string, args ...string) {
	p.t.Helper()
	cmd := exec.Command(filepath.Join(p.bin, program), args...)
	var stderr bytes.Buffer
	cmd.Stderr, cmd.Stdout = &stderr, &stderr
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.mu.Lock()
	p.running[name] = cmd
	p.mu.Unlock()
	p.t.Cleanup(func() {
		if p.t.Failed() {
			p.t.Logf("%s:\n%s", name, lastLines(stderr.String(), 10))
		}
	})
}

func lastLines(s string, n int) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

func (p *processFleet) startHost(h processHost) {
	p.start(h.name, "rattanhitchd", "--host", h.name, "--failure-domain", h.domain, "--region", h.region,
		"--caller-listen", h.ip+":8080", "--operator-listen", h.ip+":8081", "--peer-listen", h.ip+":8082",
		"--platform-url", "http://"+p.network+"1:8080", "--announce-for", "1s", "--log-level", "warn")
}

func (p *processFleet) signal(name string, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.running[name].Process.Signal(s)
}

// terminate sends a process a signal that ends it and waits for its terminate.
func (p *processFleet) terminate(name string, s syscall.Signal) error {
	p.signal(name, s)
	p.mu.Lock()
	cmd := p.running[name]
	delete(p.running, name)
	p.mu.Unlock()
	return cmd.Wait()
}

// kill ends a process without a graceful stop.
func (p *processFleet) kill(name string) { _ = p.terminate(name, syscall.SIGKILL) }

func (p *processFleet) stopAll() {
	p.mu.Lock()
	var names []string
	for name := range p.running {
		names = append(names, name)
	}
	p.mu.Unlock()
	for _, name := range names {
		p.kill(name)
	}
}

func (p *processFleet) waitFor(what string, ready func() bool) {
	p.t.Helper()
	f := fleet{t: p.t}
	f.waitFor(what, ready)
}

func (p *processFleet) startTarget(index int, service, domain string, slots int) *configv1.Object {
	address := fmt.Sprintf("%s%d:9000", p.network, 100+index)
	name := fmt.Sprintf("t%d", index)
	p.start(name, "rattanhitch-standin", "target", "--name", name, "--listen", address, "--slots", fmt.Sprint(slots))
	p.targets = append(p.targets, address)
	return &configv1.Object{Kind: &configv1.Object_Target{Target: &configv1.Target{
		Name: name, Service: service, FailureDomain: domain, Address: address, Slots: uint32(slots), MaxConnections: 800,
		State: configv1.TargetState_TARGET_STATE_ACTIVE,
	}}}
}

// apply creates objects through the operators' interface.
func (p *processFleet) apply(objects ...*configv1.Object) {
	p.t.Helper()
	client := operatorv1connect.NewOperatorServiceClient(http.DefaultClient, p.hosts[0].operator())
	request := &operatorv1.ApplyRequest{RequestId: "create"}
	for _, o := range objects {
		request.Mutations = append(request.Mutations, &configv1.Mutation{Action: &configv1.Mutation_Put{Put: o}})
	}
	if _, err := client.Apply(p.t.Context(), connect.NewRequest(request)); err != nil {
		p.t.Fatal(err)
	}
}

// executions adds up what the targets executed.
func (p *processFleet) executions() target.ExecutionReport {
	p.t.Helper()
	sum := target.ExecutionReport{Keys: map[string]int{}}
	for _, address := range p.targets {
		resp, err := http.Get("http://" + address + "/executions")
		if err != nil {
			p.t.Fatal(err)
		}
		var r target.ExecutionReport
		err = json.NewDecoder(resp.Body).Decode(&r)
		_ = resp.Body.Close()
		if err != nil {
			p.t.Fatal(err)
		}
		for key, n := range r.Keys {
			sum.Keys[key] += n
		}
		sum.Total += r.Total
		sum.Shed += r.Shed
	}
	return sum
}

// callerLoad sends reads and commands through random hosts until its context ends, and checks each answer.
type callerLoad struct {
	p      *processFleet
	client *http.Client
	mu     sync.Mutex
	// completed holds the keys of commands that were completed by a target; notRun those of which each send was refused with
	// not-run.
	completed map[string]bool
	notRun    map[string]bool
	reads     int
	wrong     []string
	// failures counts reads without an answer, by the reason that the host gave.
	failures map[string]int
}

func (l *callerLoad) run(ctx context.Context, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("c%d-%d", seed, n)
		if n%4 == 0 {
			l.command(id, rnd)
		} else {
			l.read(id, rnd)
		}
	}
}

func (l *callerLoad) host(rnd *rand.Rand) processHost { return l.p.hosts[rnd.IntN(len(l.p.hosts))] }

func (l *callerLoad) send(method, url, id, key string) outcome {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return outcome{err: err}
	}
	req.Header.Set(target.HeaderRequestID, id)
	req.Header.Set(reply.HeaderTimeout, "2")
	if key != "" {
		req.Header.Set(reply.HeaderKey, key)
	}
	return perform(l.client, req)
}

func (l *callerLoad) read(id string, rnd *rand.Rand) {
	got := l.send(http.MethodGet, l.host(rnd).caller()+"/tides/x?work=5ms&size=3000", id, "")
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case got.err != nil:
		l.failures["no response"]++
	case got.status != http.StatusOK:
		l.failures[got.reason]++
	case got.body != string(target.Body(id, 3000)):
		l.wrong = append(l.wrong, id)
	default:
		l.reads++
	}
}

// command sends a command up to three times, each time through a random host.
func (l *callerLoad) command(id string, rnd *rand.Rand) {
	key := "own-" + id
	if rnd.IntN(2) == 0 {
		key = l.send(http.MethodPost, l.host(rnd).caller()+entry.TicketPath, id, "").ticket
	}
	if key == "" {
		return
	}
	allNotRun := true
	for range 3 {
		got := l.send(http.MethodPost, l.host(rnd).caller()+"/tides/book?work=5ms", id, key)
		l.mu.Lock()
		if got.err == nil && got.status == http.StatusOK {
			l.completed[key] = true
			allNotRun = false
		}
		if got.outcome != reply.NotRun {
			allNotRun = false
		}
		l.mu.Unlock()
		if rnd.IntN(2) == 0 {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if allNotRun {
		l.notRun[key] = true
	}
}

// Guards against commands that run twice, answers that belong to others or look whole when cut, and a service that does
// not come back, when hosts are killed, paused and restarted and the platform fails under load.
func TestProcessesUnderFaults(t *testing.T) {
	is := is.New(t)
	p := newProcessFleet(t)
	for i, d := range []string{"d1", "d1", "d1", "d2", "d2"} {
		h := processHost{fmt.Sprintf("h%d", i+1), d, "r1", fmt.Sprintf("%s%d", p.network, 10+i)}
		p.hosts = append(p.hosts, h)
		p.startHost(h)
	}
	p.waitFor("hosts", func() bool { return p.allRespond(p.operatorURLs("/readyz")) })
	p.apply(place("d1", "r1"), place("d2", "r1"), service("tides"),
		p.startTarget(1, "tides", "d1", 4), p.startTarget(2, "tides", "d1", 4), p.startTarget(3, "tides", "d2", 4))
	p.waitFor("service", func() bool { return p.allRespond(p.callerURLs("/tides/x")) })

	load := &callerLoad{
		p: p, client: &http.Client{Timeout: 10 * time.Second}, completed: map[string]bool{}, notRun: map[string]bool{},
		failures: map[string]int{},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() { load.run(ctx, uint64(i)) })
	}
	rounds, seed := soakParameter(t, "RATTANHITCH_SOAK_ROUNDS", len(faultKinds)), soakParameter(t, "RATTANHITCH_SOAK_SEED", 7)
	t.Logf("%d rounds of faults, seed %d", rounds, seed)
	p.injectFaults(rand.New(rand.NewPCG(uint64(seed), 1)), rounds)
	p.waitFor("service after the faults", func() bool { return p.allRespond(p.callerURLs("/tides/x")) })
	cancel()
	callers.Wait()
	p.check(is, load)
}

// soakParameter reads a number for a longer run from the environment; see make soak.
func soakParameter(t *testing.T, variable string, defaultValue int) int {
	text := os.Getenv(variable)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("%s=%q: must be a number of at least 1", variable, text)
	}
	return n
}

// fault is something that happens to a process from outside, and ends.
type fault func(p *processFleet, rnd *rand.Rand)

// faultKinds come in this order, and at random once all have come. Targets are not killed: their counts of executions would be
// lost, by which the test tells whether a command ran twice.
var faultKinds = []fault{
	killHost, pauseHost, pausePlatform, killHost, pauseHost, pausePlatform, pauseTarget, stopHost, killDomain,
}

// injectFaults causes one fault after the other.
func (p *processFleet) injectFaults(rnd *rand.Rand, rounds int) {
	for round := range rounds {
		kind := round
		if kind >= len(faultKinds) {
			kind = rnd.IntN(len(faultKinds))
		}
		faultKinds[kind](p, rnd)
		time.Sleep(time.Second)
	}
}

func (p *processFleet) randomHost(rnd *rand.Rand) processHost { return p.hosts[rnd.IntN(len(p.hosts))] }

// faultDuration returns the length of a fault, from half a second up to a number of milliseconds beyond it.
func faultDuration(rnd *rand.Rand, spread int) time.Duration {
	return time.Duration(500+rnd.IntN(spread)) * time.Millisecond
}

func killHost(p *processFleet, rnd *rand.Rand) {
	h := p.randomHost(rnd)
	p.kill(h.name)
	time.Sleep(faultDuration(rnd, 2500))
	p.startHost(h)
}

func (p *processFleet) pause(name string, length time.Duration) {
	p.signal(name, syscall.SIGSTOP)
	time.Sleep(length)
	p.signal(name, syscall.SIGCONT)
}

func pauseHost(p *processFleet, rnd *rand.Rand) {
	p.pause(p.randomHost(rnd).name, faultDuration(rnd, 3500))
}

func pausePlatform(p *processFleet, rnd *rand.Rand) { p.pause("platform", faultDuration(rnd, 2500)) }

func pauseTarget(p *processFleet, rnd *rand.Rand) {
	p.pause(fmt.Sprintf("t%d", 1+rnd.IntN(len(p.targets))), faultDuration(rnd, 2500))
}

// stopHost stops a host in order and starts it again.
func stopHost(p *processFleet, rnd *rand.Rand) {
	h := p.randomHost(rnd)
	if err := p.terminate(h.name, syscall.SIGTERM); err != nil {
		p.t.Errorf("host %s did not stop in order: %v", h.name, err)
	}
	p.startHost(h)
}

// killDomain kills all hosts of a failure domain at the same moment.
func killDomain(p *processFleet, rnd *rand.Rand) {
	domain := p.randomHost(rnd).domain
	var killed []processHost
	for _, h := range p.hosts {
		if h.domain == domain {
			p.kill(h.name)
			killed = append(killed, h)
		}
	}
	time.Sleep(faultDuration(rnd, 1500))
	for _, h := range killed {
		p.startHost(h)
	}
}

func (p *processFleet) check(is *is.I, load *callerLoad) {
	p.t.Helper()
	report := p.executions()
	p.t.Logf("reads %d, commands answered %d, refused as not-run %d, failed reads %v, executed %d, shed by targets %d",
		load.reads, len(load.completed), len(load.notRun), load.failures, report.Total, report.Shed)
	is.Equal(len(load.wrong), 0) // answers that were not the caller's own or not whole
	for key, n := range report.Keys {
		if n > 1 {
			p.t.Errorf("command %s ran %d times", key, n)
		}
		if load.notRun[key] {
			p.t.Errorf("command %s ran, but each send was refused as not-run", key)
		}
	}
	for key := range load.completed {
		is.Equal(report.Keys[key], 1) // an answered command ran
	}
	is.True(load.reads > 0)
	is.True(len(load.completed) > 0)
}

func (p *processFleet) callerURLs(path string) []string {
	var urls []string
	for _, h := range p.hosts {
		urls = append(urls, h.caller()+path)
	}
	return urls
}

func (p *processFleet) operatorURLs(path string) []string {
	var urls []string
	for _, h := range p.hosts {
		urls = append(urls, h.operator()+path)
	}
	return urls
}

func (p *processFleet) allRespond(urls []string) bool {
	client := &http.Client{Timeout: 3 * time.Second}
	for _, url := range urls {
		resp, err := client.Get(url)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

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
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	operatorv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1"
	"github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1/operatorv1connect"
)

// processFleet runs the daemon, the targets and the platform as separate processes on loopback addresses of this test.
type processFleet struct {
	t       *testing.T
	bin     string
	network string

	mu      sync.Mutex
	running map[string]*process
	// previous is the path of the daemon of another version, with which each host starts for the first time; empty for none.
	previous string
	started  map[string]bool
	// hostFlags are further flags of all hosts.
	hostFlags []string
	// descriptors is the number of descriptors that each host may open; 0 leaves the limit of the test.
	descriptors int
	hosts       []processHost
	targets     []string
}

// process is a running program. done is closed when it has exited, and err is the result then.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

type processHost struct {
	name, domain, region, ip string
}

func (h processHost) caller() string   { return "http://" + h.ip + ":8080" }
func (h processHost) operator() string { return "http://" + h.ip + ":8081" }

func newProcessFleet(t *testing.T) *processFleet {
	t.Helper()
	p := &processFleet{
		t: t, bin: t.TempDir(), running: map[string]*process{},
		previous: os.Getenv("RATTANHITCH_SOAK_PREVIOUS"), started: map[string]bool{},
	}
	// The second byte differs from that of fleet.ip, so that both kinds of fleet can run at the same time.
	p.network = fmt.Sprintf("127.%d.%d.", 128+os.Getpid()>>8&0x3f, os.Getpid()&0xff)
	build := exec.Command("go", "build", "-o", p.bin, "../../cmd/rattanhitchd", "../../cmd/rattanhitch-standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	t.Cleanup(p.stopAll)
	p.start("platform", p.standin(), "platform", "--listen", p.network+"1:8080")
	return p
}

func (p *processFleet) standin() string { return filepath.Join(p.bin, "rattanhitch-standin") }

// start starts the program at a path.
func (p *processFleet) start(name, path string, args ...string) {
	p.t.Helper()
	cmd := exec.Command(path, args...)
	output := &lockedBuffer{}
	cmd.Stderr, cmd.Stdout = output, output
	if err := cmd.Start(); err != nil {
		p.t.Error(err)
		return
	}
	started := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		started.err = cmd.Wait()
		close(started.done)
	}()
	p.mu.Lock()
	p.running[name] = started
	p.mu.Unlock()
	p.t.Cleanup(func() {
		if p.t.Failed() {
			p.t.Logf("%s:\n%s", name, lastLines(output.String(), 10))
		}
	})
}

// lockedBuffer collects the output of a process, which may still write when a failed test reads it.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func lastLines(s string, n int) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

func (p *processFleet) startHost(h processHost) {
	flags := []string{
		"--host", h.name, "--failure-domain", h.domain, "--region", h.region,
		"--caller-listen", h.ip + ":8080", "--operator-listen", h.ip + ":8081", "--peer-listen", h.ip + ":8082",
		"--platform-url", "http://" + p.network + "1:8080", "--announce-for", "1s", "--log-level", "warn",
	}
	flags = append(flags, p.hostFlags...)
	if p.descriptors == 0 {
		p.start(h.name, p.daemonOf(h), flags...)
		return
	}
	limited := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.descriptors)
	p.start(h.name, "/bin/sh", append([]string{"-c", limited, p.daemonOf(h)}, flags...)...)
}

// daemonOf returns the program to start a host with: the previous version for its first start, if there is one.
func (p *processFleet) daemonOf(h processHost) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.previous != "" && !p.started[h.name] {
		p.started[h.name] = true
		return p.previous
	}
	return filepath.Join(p.bin, "rattanhitchd")
}

// addHosts starts hosts, which get their names and addresses here, and waits until they are ready.
func (p *processFleet) addHosts(hosts ...processHost) {
	p.t.Helper()
	for i, h := range hosts {
		h.name, h.ip = fmt.Sprintf("h%d", i+1), fmt.Sprintf("%s%d", p.network, 10+i)
		p.hosts = append(p.hosts, h)
		p.startHost(h)
	}
	p.waitFor("hosts", func() bool { return p.allRespond(p.operatorURLs("/readyz")) })
}

func (p *processFleet) signal(name string, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.running[name].cmd.Process.Signal(s)
}

// terminate sends a process a signal that ends it, and waits until it has exited.
func (p *processFleet) terminate(name string, s syscall.Signal) error {
	p.signal(name, s)
	p.mu.Lock()
	stopped := p.running[name]
	delete(p.running, name)
	p.mu.Unlock()
	<-stopped.done
	return stopped.err
}

// kill ends a process with SIGKILL, without a graceful stop.
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
	name, address := p.targetName(index)
	p.runTarget(index, slots)
	p.targets = append(p.targets, address)
	return &configv1.Object{Kind: &configv1.Object_Target{Target: &configv1.Target{
		Name: name, Service: service, FailureDomain: domain, Address: address, Slots: uint32(slots), MaxConnections: 800,
		State: configv1.TargetState_TARGET_STATE_ACTIVE,
	}}}
}

// runTarget starts the process of a target, also again.
func (p *processFleet) runTarget(index, slots int) {
	name, address := p.targetName(index)
	p.start(name, p.standin(), "target", "--name", name, "--listen", address, "--slots", fmt.Sprint(slots))
}

func (p *processFleet) targetName(index int) (name, address string) {
	return fmt.Sprintf("t%d", index), fmt.Sprintf("%s%d:9000", p.network, 100+index)
}

// apply creates objects through the operators' interface.
func (p *processFleet) apply(objects ...*configv1.Object) {
	p.t.Helper()
	if err := applyAt(p.t.Context(), p.hosts[0], "create", objects); err != nil {
		p.t.Fatal(err)
	}
}

// applyAtRandomHost commits a change through a random host and reports whether that succeeded. If that host stops, the change can be
// repeated with the same ID.
func (p *processFleet) applyAtRandomHost(rnd *rand.Rand, id string, objects []*configv1.Object) bool {
	ctx, cancel := context.WithTimeout(p.t.Context(), readTimeout)
	defer cancel()
	return applyAt(ctx, p.randomHost(rnd), id, objects) == nil
}

func applyAt(ctx context.Context, h processHost, id string, objects []*configv1.Object) error {
	client := operatorv1connect.NewOperatorServiceClient(http.DefaultClient, h.operator())
	request := &operatorv1.ApplyRequest{RequestId: id}
	for _, o := range objects {
		request.Mutations = append(request.Mutations, &configv1.Mutation{Action: &configv1.Mutation_Put{Put: o}})
	}
	_, err := client.Apply(ctx, connect.NewRequest(request))
	return err
}

// countedRequest returns a POST request of which targets count the executions by its ID.
func countedRequest(url, id string, timeout time.Duration) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(id))
	if err != nil {
		return nil, err
	}
	req.Header.Set(target.HeaderRequestID, id)
	// Targets count by this header. In its canonical form it would make net/http repeat the request.
	req.Header[strings.ToLower(reply.HeaderKey)] = []string{id}
	req.Header.Set(reply.HeaderTimeout, fmt.Sprint(timeout.Seconds()))
	return req, nil
}

// executions returns the sum of the execution reports of all targets.
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

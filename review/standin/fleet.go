package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// rack is the loopback address of workers, store and clients of this run; hosts have addresses of their own beside it.
var rack = fmt.Sprintf("127.%d.%d.1", 10+os.Getpid()%200, 1+os.Getpid()/200%250)

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		cleanUp()
		os.Exit(2)
	}
}

var (
	cleanMu sync.Mutex
	cleaned []func()
	closing bool
)

// onExit registers what must happen before the program ends.
func onExit(f func()) {
	cleanMu.Lock()
	defer cleanMu.Unlock()
	if closing {
		f()
		return
	}
	cleaned = append(cleaned, f)
}

// cleanUp ends all processes. Every caller waits until that is done.
func cleanUp() {
	cleanMu.Lock()
	defer cleanMu.Unlock()
	closing = true
	for i := len(cleaned) - 1; i >= 0; i-- {
		cleaned[i]()
	}
	cleaned = nil
}

// Record is the file record.txt of a case.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) *Record {
	f, err := os.Create(path)
	must(err)
	return &Record{file: f, started: time.Now()}
}

// Stamp is a time in seconds since the start of the case.
func (r *Record) Stamp(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(r.started).Seconds()) }

func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%s "+format+"\n", append([]any{r.Stamp(time.Now())}, args...)...)
}

// Event is a line that is also shown on the terminal.
func (r *Record) Event(format string, args ...any) {
	r.Line("* "+format, args...)
	fmt.Printf("%s %s\n", r.Stamp(time.Now()), fmt.Sprintf(format, args...))
}

// Host is one process of the project with the command of the deploy file.
type Host struct {
	Name, Zone, Region, IP            string
	Frontend, Ready, Peers, Directory string

	fleet    *Fleet
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
}

// Fleet is a small deployment.
type Fleet struct {
	Store   *Store
	Rec     *Record
	Regions map[string]string // region by zone
	Bounds  []string
	Hosts   []*Host
	Workers []*Worker
	root    string
	dir     string
}

func newFleet(rec *Record, regions map[string]string, bounds []string) *Fleet {
	root, err := filepath.Abs(".")
	must(err)
	if _, err := os.Stat(filepath.Join(root, "target/rattanhitchd")); err != nil {
		must(fmt.Errorf("target/rattanhitchd is missing: run the build of deploy/system.toml, in the repository: %w", err))
	}
	dir, err := os.MkdirTemp("", "rattanhitch-review-")
	must(err)
	onExit(func() { _ = os.RemoveAll(dir) })
	return &Fleet{Store: NewStore(rack), Rec: rec, Regions: regions, Bounds: bounds, root: root, dir: dir}
}

func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// AddHost prepares a host; Start runs it.
func (f *Fleet) AddHost(name, zone string) *Host {
	var a, b, c, d int
	_, err := fmt.Sscanf(rack, "%d.%d.%d.%d", &a, &b, &c, &d)
	must(err)
	ip := fmt.Sprintf("%d.%d.%d.%d", a, b, c, 2+len(f.Hosts))
	h := &Host{
		Name: name, Zone: zone, Region: f.Regions[zone], IP: ip, fleet: f,
		Frontend: freePort(ip), Ready: freePort(ip), Peers: freePort(ip), Directory: freePort(ip),
	}
	f.Hosts = append(f.Hosts, h)
	return h
}

// Start starts the process of a host.
func (h *Host) Start() {
	f := h.fleet
	seeds := []string{}
	for _, o := range f.Hosts[:min(3, len(f.Hosts))] {
		seeds = append(seeds, o.Peers)
	}
	_, port, err := net.SplitHostPort(freePort("127.0.0.1"))
	must(err)
	var first int
	_, err = fmt.Sscan(port, &first)
	must(err)
	settings := map[string]any{
		"node_name": h.Name, "role": "entry", "machine_class": "frontend", "serves": []string{"frontend", "control_plane", "directory"},
		"ip_address": h.IP, "zone": h.Zone, "region": h.Region, "zones": f.Regions,
		"listen_addresses": map[string]string{
			"frontend_address": h.Frontend, "ready": h.Ready, "control_plane": h.Peers, "directory": h.Directory,
		},
		"internal_port_range": []int{first, first + 15}, "seeds": seeds, "bootstrap": true, "counted_in_tolerance": false,
		"limits":         map[string]any{"cpu_share": 0.224, "cpu_cores": 1, "memory_mb": 206, "file_descriptors": 2870, "link_mbps": 700.0, "disk_mb": 0},
		"data_directory": nil, "discovery": "platform", "entry": "directory", "heartbeat_interval": "1500ms",
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "places", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 1},
		"bounds":          f.Bounds,
		"platform": map[string]any{
			"address": f.Store.address, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "transaction": "5ms",
			"part_writes_per_s": 200, "row_bytes": 65536, "across": false, "history": "20s", "blob_bytes": 8388608, "blob": "25ms",
			"blob_mb_per_s": 80.0,
		},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	must(err)
	h.settings = filepath.Join(f.dir, h.Name+".json")
	must(os.WriteFile(h.settings, data, 0o600))
	logFile, err := os.OpenFile(filepath.Join(f.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command("target/rattanhitchd", "--settings-source", "deployment")
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "RATTANHITCH_SETTINGS=" + h.settings}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	must(cmd.Start())
	h.cmd, h.done = cmd, make(chan struct{})
	done := h.done
	go func() {
		_ = cmd.Wait()
		_ = logFile.Close()
		close(done)
	}()
	onExit(func() { _ = cmd.Process.Kill(); <-done })
	f.Rec.Event("host %s (zone %s, clients at %s) starts", h.Name, h.Zone, h.Frontend)
}

// Signal sends a signal to the process of a host.
func (h *Host) Signal(s syscall.Signal) {
	h.fleet.Rec.Event("host %s gets signal %v", h.Name, s)
	_ = h.cmd.Process.Signal(s)
}

// Kill kills the process of a host and waits for its end.
func (h *Host) Kill() {
	h.Signal(syscall.SIGKILL)
	<-h.done
}

// Ended reports whether the process of a host has ended.
func (h *Host) Ended() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// IsReady asks a host whether it is ready.
func (h *Host) IsReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + h.Ready + "/rattanhitch/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until all hosts are ready.
func (f *Fleet) WaitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, h := range f.Hosts {
		for !h.IsReady() {
			if time.Now().After(end) {
				must(fmt.Errorf("host %s is not ready after %v", h.Name, limit))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.Rec.Event("all hosts are ready")
}

// AddWorker starts a warm worker.
func (f *Fleet) AddWorker(w *Worker) *Worker {
	w.store, w.rec = f.Store, f.Rec
	f.Workers = append(f.Workers, w)
	w.Start(0)
	return w
}

// Rule is a route of the manifest.
type Rule struct {
	Name, Kind, Prefix, Service, Latency, Timeout string
	Attempts                                      int
	Homes                                         []string
}

// Manifest writes op/config.
func (f *Fleet) Manifest(version int, host string, coldPerSecond float64, rules []Rule) {
	list, clusters, seen := []any{}, []any{}, map[string]bool{}
	for _, r := range rules {
		list = append(list, map[string]any{
			"name": r.Name, "kind": r.Kind, "target_latency": r.Latency, "priority": 1, "sticky_sessions": false,
			"match":  map[string]any{"path_prefix": r.Prefix},
			"action": map[string]any{"service": r.Service, "timeout": r.Timeout, "attempts": r.Attempts, "home_regions": append([]string{}, r.Homes...)},
		})
		if !seen[r.Service] {
			seen[r.Service] = true
			clusters = append(clusters, map[string]any{
				"name": r.Service, "health_check_path": "/health", "connection_limit": 815, "protocol": "h1", "tls": false, "cold_start": "3s",
				"cold_per_s": coldPerSecond,
			})
		}
	}
	f.Store.Put("op", "config", map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"listeners": []any{map[string]any{"host": host, "rules": list}}, "clusters": clusters,
	})
	f.Rec.Event("the operator writes manifest %08x", version)
}

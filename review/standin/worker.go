package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const heartbeat = 1500 * time.Millisecond

// Arrival is a request that reached a worker.
type Arrival struct {
	At               time.Time
	Worker, ID, Path string
	Ran              bool
	Cold             bool
	Answer           string
}

// Worker is a stand-in for a worker of the users: slots, a queue, a cold start, an entry in the store.
type Worker struct {
	ID, Service, Zone, Address string
	Slots, Queue               int
	// Work is how long a request takes while the worker is warm.
	Work func(path string) time.Duration

	store *Store
	rec   *Record

	mu        sync.Mutex
	state     string
	sequence  int
	born      int64
	coldUntil time.Time
	running   int
	waiting   int
	slots     chan struct{}
	server    *http.Server
	conns     map[net.Conn]bool
	stop      chan struct{}
	arrivals  []Arrival
}

// Start begins a lifetime of the worker: it listens, and writes its entry at once and with each heartbeat.
func (w *Worker) Start(cold time.Duration) {
	w.mu.Lock()
	w.state, w.sequence, w.born = "ready", 0, time.Now().UnixMilli()
	w.coldUntil = time.Now().Add(cold)
	w.running, w.waiting = 0, 0
	w.slots = make(chan struct{}, w.Slots)
	w.conns = map[net.Conn]bool{}
	w.stop = make(chan struct{})
	stop := w.stop
	w.mu.Unlock()
	if w.Address == "" {
		w.Address = freePort(rack)
	}
	w.WriteEntry()
	l, err := net.Listen("tcp", w.Address)
	must(err)
	server := &http.Server{Handler: w, IdleTimeout: 10 * time.Second, ConnState: w.track}
	w.server = server
	go func() { _ = server.Serve(l) }()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				w.WriteEntry()
			}
		}
	}()
	w.rec.Event("worker %s (%s, %s, zone %s) starts, cold for %v", w.ID, w.Service, w.Address, w.Zone, cold)
}

func (w *Worker) track(c net.Conn, s http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch s {
	case http.StateNew:
		w.conns[c] = true
	case http.StateClosed:
		delete(w.conns, c)
	}
}

// WriteEntry writes the worker's entry to the store.
func (w *Worker) WriteEntry() {
	w.mu.Lock()
	w.sequence++
	e := map[string]any{
		"service": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1", "slots": w.Slots, "state": w.state,
		"cold_remaining": fmt.Sprintf("%dms", max(0, time.Until(w.coldUntil).Milliseconds())), "sequence": w.sequence, "born": w.born,
	}
	w.mu.Unlock()
	w.store.Put("servers", w.ID, e)
}

// SetState changes the state in the entry.
func (w *Worker) SetState(state string) {
	w.mu.Lock()
	w.state = state
	w.mu.Unlock()
	w.WriteEntry()
}

// TurnCold makes the worker cold and writes that into its entry at once.
func (w *Worker) TurnCold(cold time.Duration) {
	w.mu.Lock()
	w.coldUntil = time.Now().Add(cold)
	w.mu.Unlock()
	w.WriteEntry()
	w.rec.Event("worker %s is cold for %v, its entry says so", w.ID, cold)
}

// Crash ends the worker: its listener is closed and its connections are reset. Its entry stays. It reports whether the worker ran.
func (w *Worker) Crash() bool {
	w.mu.Lock()
	select {
	case <-w.stop:
		w.mu.Unlock()
		return false
	default:
		close(w.stop)
	}
	conns := make([]net.Conn, 0, len(w.conns))
	for c := range w.conns {
		conns = append(conns, c)
	}
	server := w.server
	w.mu.Unlock()
	for _, c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	_ = server.Close()
	w.rec.Event("worker %s crashes", w.ID)
	return true
}

// Lifetime identifies the present lifetime of the worker.
func (w *Worker) Lifetime() chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stop
}

func (w *Worker) note(a Arrival) {
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
	w.rec.Line("%s reached %s (%s) at %s: cold %v, ran %v, %s", a.ID, w.ID, w.Service, w.rec.Stamp(a.At), a.Cold, a.Ran, a.Answer)
}

func (w *Worker) isCold() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.coldUntil)
}

func (w *Worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", w.running, w.waiting, w.Slots)
}

func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Rattanhitch-Attempt-Id")
	h := out.Header()
	h.Set("X-Rattanhitch-Server-Load", w.load())
	if r.URL.Path == "/health" && id == "" {
		h.Set("X-Rattanhitch-Instance-Id", w.ID)
		w.mu.Lock()
		h.Set("X-Rattanhitch-Cold-Milliseconds", strconv.FormatInt(max(0, time.Until(w.coldUntil).Milliseconds()), 10))
		w.mu.Unlock()
		return
	}
	a := Arrival{At: time.Now(), Worker: w.ID, ID: id, Path: r.URL.Path, Cold: w.isCold()}
	refuse := func(status int, why string) {
		h.Set("X-Rattanhitch-Not-Executed", "1")
		out.WriteHeader(status)
		a.Answer = why
		w.note(a)
	}
	if id == "" {
		refuse(http.StatusBadRequest, "400 no id")
		return
	}
	h.Set("X-Rattanhitch-Attempt-Id", id)
	if expected := r.Header.Get("X-Rattanhitch-Expected-Instance"); expected != "" && expected != w.ID {
		h.Set("X-Rattanhitch-Instance-Id", w.ID)
		refuse(http.StatusMisdirectedRequest, "421 other instance")
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("X-Rattanhitch-Deadline-Milliseconds")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if !w.enter(ctx) {
		refuse(http.StatusServiceUnavailable, "503 full or too late")
		return
	}
	defer w.leave()
	a.Ran = true
	work := w.Work(r.URL.Path)
	if a.Cold {
		work *= 2
	}
	select {
	case <-time.After(work):
		a.Answer = "200"
		w.note(a)
	case <-ctx.Done():
		a.Answer = "504 or dropped"
		w.note(a)
		out.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	h.Set("X-Rattanhitch-Response-Signature", "sig."+id+"."+w.ID)
	_, _ = io.WriteString(out, "answer to "+id+"\n")
}

// enter waits for a slot; it fails if the queue is full or the deadline passes.
func (w *Worker) enter(ctx context.Context) bool {
	w.mu.Lock()
	slots := w.slots
	select {
	case slots <- struct{}{}:
		w.running++
		w.mu.Unlock()
		return true
	default:
	}
	if w.waiting >= w.Queue {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	w.mu.Unlock()
	ok := false
	select {
	case slots <- struct{}{}:
		ok = true
	case <-ctx.Done():
	}
	w.mu.Lock()
	w.waiting--
	if ok {
		w.running++
	}
	w.mu.Unlock()
	return ok
}

func (w *Worker) leave() {
	w.mu.Lock()
	w.running--
	slots := w.slots
	w.mu.Unlock()
	select {
	case <-slots:
	default:
	}
}

// Arrivals returns the requests that reached the worker so far.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeat = 1500 * time.Millisecond

// worker is a stand-in for a worker as PROTOCOL.md describes it.
type worker struct {
	lab           *lab
	id, service   string
	zone, address string
	slots         int
	work          time.Duration
	born          int64

	busy, waiting atomic.Int32
	slot          chan struct{}
	server        *http.Server
	// handle, if it is set, answers in place of the usual answer, after the request has been accepted and its run recorded.
	handle func(w http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	sequence int
	stop     chan struct{}
	// removedAt is when the store confirmed that the entry is gone.
	removedAt time.Time
}

// addWorker starts a worker and registers it.
func (l *lab) addWorker(service, zone string, slots int, work time.Duration) *worker {
	l.mu.Lock()
	l.nextID++
	n := l.nextID
	l.mu.Unlock()
	w := &worker{
		lab: l, id: fmt.Sprintf("i-%04x%s", n, strings.ReplaceAll(service, "-", "")[:4]), service: service, zone: zone, slots: slots, work: work, born: time.Now().UnixMilli(),
		slot: make(chan struct{}, slots), stop: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", l.network, 150+n%100))
	if err != nil {
		fail("%v", err)
	}
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	w.register("ready")
	go w.heartbeats()
	return w
}

// register writes the worker's entry.
func (w *worker) register(state string) {
	w.mu.Lock()
	w.sequence++
	n := w.sequence
	w.mu.Unlock()
	w.lab.store.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state, "cold_remaining": "0ms",
		"sequence": n, "born": w.born,
	})
}

func (w *worker) heartbeats() {
	for {
		select {
		case <-time.After(heartbeat):
			w.mu.Lock()
			gone := !w.removedAt.IsZero()
			w.mu.Unlock()
			if gone {
				return
			}
			w.register("ready")
		case <-w.stop:
			return
		}
	}
}

// remove takes the worker's entry away, without a report that it drains, as some workers do. It goes on serving.
func (w *worker) remove() {
	w.mu.Lock()
	w.removedAt = time.Now()
	w.mu.Unlock()
	version := w.lab.store.remove("servers", w.id)
	w.lab.note("the store has removed the entry of worker %s (%s), version %d; it goes on serving", w.id, w.service, version)
}

// end ends the worker's process.
func (w *worker) end() {
	close(w.stop)
	_ = w.server.Close()
	w.lab.note("worker %s has ended", w.id)
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("X-Rattanhitch-Server-Load", fmt.Sprintf("%d,%d,%d,100", w.busy.Load(), w.waiting.Load(), w.slots))
	if r.URL.Path == "/health" {
		out.Header().Set("X-Rattanhitch-Instance-Id", w.id)
		return
	}
	id := r.Header.Get("X-Rattanhitch-Attempt-Id")
	out.Header().Set("X-Rattanhitch-Attempt-Id", id)
	refuse := func(status int) {
		out.Header().Set("X-Rattanhitch-Not-Executed", "1")
		out.WriteHeader(status)
	}
	if id == "" {
		refuse(400)
		return
	}
	if want := r.Header.Get("X-Rattanhitch-Expected-Instance"); want != "" && want != w.id {
		out.Header().Set("X-Rattanhitch-Instance-Id", w.id)
		refuse(421)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if w.waiting.Add(1) > int32(3*w.slots) {
		w.waiting.Add(-1)
		refuse(503)
		return
	}
	select {
	case w.slot <- struct{}{}:
		w.waiting.Add(-1)
	case <-r.Context().Done():
		w.waiting.Add(-1)
		return
	}
	defer func() { <-w.slot }()
	w.busy.Add(1)
	defer w.busy.Add(-1)
	w.lab.ran(id, w.id)
	if w.handle != nil {
		w.handle(out, r, body)
		return
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	out.Header().Set("X-Rattanhitch-Response-Signature", "sig."+id+"."+w.id)
	_, _ = io.WriteString(out, "answer to "+id+"\n")
}

// ran records a run.
func (l *lab) ran(id, worker string) {
	now := time.Now()
	l.mu.Lock()
	l.runs[id] = append(l.runs[id], run{worker, now})
	l.mu.Unlock()
	l.note("worker %s runs %s", worker, id)
}

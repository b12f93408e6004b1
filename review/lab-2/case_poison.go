package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["poison"] = poisonCase }

// fragile is a worker that crashes when it begins to run the deadly request, and is back after some seconds.
type fragile struct {
	*worker
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	crashed  func(id string)
}

const (
	deadlyPath = "deadly"
	runsFor    = 60 * time.Millisecond
	backAfter  = 2 * time.Second
)

func (l *lab) addFragile(s service, zone string, n int, crashed func(id string)) *fragile {
	f := &fragile{crashed: crashed, conns: map[net.Conn]bool{}, worker: &worker{
		lab: l, id: fmt.Sprintf("i-f%02d", n), service: s.name, zone: zone, slots: 4, stop: make(chan struct{}),
		address: fmt.Sprintf("%s%d:%d", l.network, 150+n, 9000),
	}}
	f.up()
	go f.heartbeats()
	return f
}

func (f *fragile) up() {
	listener, err := net.Listen("tcp", f.address)
	if err != nil {
		f.lab.abort(err.Error())
	}
	f.mu.Lock()
	f.listener, f.born = listener, time.Now().UnixMilli()
	f.mu.Unlock()
	f.register("ready")
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns[conn] = true
			f.mu.Unlock()
			go f.serve(conn)
		}
	}()
}

func (f *fragile) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Rattanhitch-Attempt-Id")
		head := "HTTP/1.1 200 OK\r\nX-Rattanhitch-Attempt-Id: " + id + "\r\n"
		if req.URL.Path == "/health" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rattanhitch-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", f.id)
			continue
		}
		if want := req.Header.Get("X-Rattanhitch-Expected-Instance"); want != f.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Rattanhitch-Attempt-Id: %s\r\nX-Rattanhitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		f.lab.ran(id, f.id)
		if req.URL.Path == services[0].prefix+deadlyPath {
			time.Sleep(runsFor)
			f.crash(id)
			return
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintf(conn, "%sX-Rattanhitch-Response-Signature: s.%s\r\nContent-Length: 2\r\n\r\nok", head, id)
	}
}

func (f *fragile) crash(id string) {
	f.mu.Lock()
	_ = f.listener.Close()
	for c := range f.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	f.conns = map[net.Conn]bool{}
	f.mu.Unlock()
	f.lab.note("worker %s crashes with %s", f.id, id)
	f.crashed(id)
	time.AfterFunc(backAfter, f.up)
}

// poisonCase sends a request that crashes the workers that run it, ends all hosts while the platform's store is down, and sends it again.
func poisonCase(l *lab) {
	var hosts []*host
	for _, zone := range []string{"conwy", "aberaeron", "tenby", "conwy", "aberaeron", "tenby"} {
		hosts = append(hosts, l.addHost(zone))
	}
	l.store.put("op", "config", manifest(7, services))
	var mu sync.Mutex
	var crashes []time.Time
	crashed := func(string) {
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
	}
	for n := range 18 {
		l.addFragile(services[0], hosts[n%3].zone, n, crashed)
	}
	for _, h := range hosts {
		h.startHost()
	}
	l.waitReady()
	stop := make(chan struct{})
	go l.traffic(hosts, services[:1], 60, stop)
	time.Sleep(5 * time.Second)
	storeDown := func(down bool) {
		l.note("store down: %v", down)
		for _, h := range hosts {
			h.door.turnAway.Store(down)
		}
	}
	if l.trouble {
		storeDown(true)
	}
	time.Sleep(500 * time.Millisecond)
	deadly := map[string]bool{}
	round := func() {
		for i := range 3 {
			go func() {
				rep := l.send(hosts[i], services[0], deadlyPath, "", 2*time.Second)
				mu.Lock()
				deadly[rep.id] = true
				mu.Unlock()
			}()
		}
	}
	round()
	time.Sleep(1200 * time.Millisecond)
	if l.trouble {
		for _, h := range hosts {
			h.signalKill()
		}
		time.Sleep(restartDelay)
		for _, h := range hosts {
			h.startHost()
		}
	} else {
		time.Sleep(restartDelay)
	}
	time.Sleep(2300 * time.Millisecond)
	if l.trouble {
		storeDown(false)
	}
	time.Sleep(stabilityWindow + 700*time.Millisecond)
	l.waitReady()
	mu.Lock()
	if len(crashes) < 3 {
		mu.Unlock()
		fail("only %d crashes", len(crashes))
	}
	third := crashes[2]
	mu.Unlock()
	round()
	for n := range 30 {
		time.Sleep(time.Second)
		go func() {
			rep := l.send(hosts[n%len(hosts)], services[0], deadlyPath, "", 2*time.Second)
			mu.Lock()
			deadly[rep.id] = true
			mu.Unlock()
		}()
	}
	time.Sleep(3 * time.Second)
	close(stop)
	mu.Lock()
	defer mu.Unlock()
	l.mu.Lock()
	late := 0
	for id := range deadly {
		for _, r := range l.runs[id] {
			if r.at.After(third.Add(stabilityWindow)) {
				late++
			}
		}
	}
	l.mu.Unlock()
	l.note("%d crashes, %d late arrivals", len(crashes), late)
	fmt.Println(len(crashes), "crashes,", late, "late arrivals")
	if late > 3 {
		l.broken("BUDGET: the deadly request reached workers in %d retries later than %v after it had crashed the third", late, stabilityWindow)
	}
}

func (h *host) signalKill() {
	h.lab.note("kill %s", h.name)
	_ = h.cmd.Process.Kill()
	<-h.done
}

package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["early"] = earlyCase }

// upload is what is known of one upload.
type upload struct {
	status   int
	received int
	whole    bool
	ran      bool
}

// earlyCase sends long bodies to workers that answer before they have read them, keep the connection and read on.
func earlyCase(l *lab) {
	const (
		uploads   = 20
		bodyBytes = 600_000
		pieces    = 12
		pieceGap  = 40 * time.Millisecond
	)
	hosts := []*host{l.addHost("conwy"), l.addHost("beaumaris")}
	list := []service{services[0], {"bookings", "hulo84.example", "/xapu221/", "non_idempotent", 2 * time.Second, "POST"}}
	l.store.put("op", "config", manifest(7, list))
	body := make([]byte, bodyBytes)
	for i := range body {
		body[i] = byte('a' + i%23)
	}
	sum := sha256.Sum256(body)
	var mu sync.Mutex
	seen := map[string]*upload{}
	for i := range 4 {
		w := &worker{
			lab: l, id: fmt.Sprintf("i-e%d", i), service: "bookings", zone: hosts[i%2].zone, slots: 4, born: time.Now().UnixMilli(), stop: make(chan struct{}),
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", l.network, 150+i))
		if err != nil {
			fail("%v", err)
		}
		w.address = listener.Addr().String()
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go w.serveEarly(conn, l.trouble, func(id string, received int, whole bool) {
					mu.Lock()
					defer mu.Unlock()
					u := seen[id]
					if u == nil {
						u = &upload{}
						seen[id] = u
					}
					u.ran, u.received, u.whole = true, received, whole
				}, sum)
			}
		}()
		w.register("ready")
		go w.heartbeats()
	}
	for _, h := range hosts {
		h.startHost()
	}
	l.waitReady()
	time.Sleep(2 * time.Second)
	for n := range uploads {
		id := fmt.Sprintf("%08x%08x", l.start.UnixNano()&0xffffffff, n+1)
		status := l.upload(hosts[n%2], list[1], id, body, pieces, pieceGap)
		mu.Lock()
		if seen[id] == nil {
			seen[id] = &upload{}
		}
		seen[id].status = status
		mu.Unlock()
	}
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for id, u := range seen {
		l.note("upload %s: status %d, the worker has read %d of %d bytes, unchanged %v", id, u.status, u.received, bodyBytes, u.whole)
		if u.status == 200 && u.ran && !u.whole {
			lost++
		}
	}
	if lost > 0 {
		l.broken("UNASKED: %d of %d uploads were run and answered 200, but the worker's body was cut off", lost, uploads)
	}
}

// serveEarly serves a connection: it answers each request at once, if early, and reads the body then.
func (w *worker) serveEarly(conn net.Conn, early bool, report func(id string, received int, whole bool), sum [32]byte) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Rattanhitch-Attempt-Id")
		answer := func() {
			text := "accepted\n"
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rattanhitch-Attempt-Id: %s\r\nX-Rattanhitch-Response-Signature: sig.%s\r\nContent-Length: %d\r\n\r\n%s",
				id, id, len(text), text)
		}
		if req.URL.Path == "/health" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rattanhitch-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		}
		w.lab.ran(id, w.id)
		if early {
			answer()
		}
		data, err := io.ReadAll(req.Body)
		report(id, len(data), err == nil && sha256.Sum256(data) == sum)
		w.lab.note("worker %s has read %d bytes of %s, error %v", w.id, len(data), id, err)
		if err != nil {
			return
		}
		if !early {
			answer()
		}
	}
}

// upload sends a body in pieces on a connection of its own, for as long as the host takes it, and returns the status of the answer.
func (l *lab) upload(h *host, s service, id string, body []byte, pieces int, gap time.Duration) int {
	conn, err := net.DialTimeout("tcp", h.ip+":"+callerPort, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	status := make(chan int, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			l.note("client gets for %s: %v", id, err)
			status <- 0
			return
		}
		text, err := io.ReadAll(resp.Body)
		l.note("client gets for %s: status %d, signed %v, body %q, error %v", id, resp.StatusCode,
			resp.Header.Get("X-Rattanhitch-Response-Signature") != "", strings.TrimSpace(string(text)), err)
		status <- resp.StatusCode
	}()
	l.note("client sends %s (POST %s, %d bytes) to %s", id, s.name, len(body), h.name)
	_, err = fmt.Fprintf(conn, "POST %supload HTTP/1.1\r\nHost: %s\r\nX-Rattanhitch-Attempt-Id: %s\r\nX-Rattanhitch-Deadline-Milliseconds: 4000\r\nContent-Length: %d\r\n\r\n",
		s.prefix, s.host, id, len(body))
	size := len(body) / pieces
	for i := 0; i < pieces && err == nil; i++ {
		_, err = conn.Write(body[i*size : (i+1)*size])
		time.Sleep(gap)
	}
	if err != nil {
		l.note("client could not send all of %s: %v", id, err)
	}
	return <-status
}

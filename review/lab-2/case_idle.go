package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["idle"] = idleCase }

// idleCase opens connections to one host, each for one request, and leaves them idle for longer than the manifest's idle_timeout.
func idleCase(l *lab) {
	const (
		perSecond   = 33
		connections = 3000
		idleTimeout = 15 * time.Second // of the manifest
		seekers     = 8
	)
	h := l.addHost("conwy")
	h.descriptors = descriptors - 200
	other := l.addHost("beaumaris")
	l.store.put("op", "config", manifest(7, services))
	for range 6 {
		for _, s := range services {
			l.addWorker(s.name, "conwy", 4, 20*time.Millisecond)
		}
	}
	h.startHost()
	other.startHost()
	l.waitReady()
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var readyNow atomic.Bool
	go func() {
		for ok := true; ; {
			if now := h.ready(); now != ok {
				ok = now
				l.note("%s says ready: %v", h.name, ok)
			}
			readyNow.Store(ok)
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	var mu sync.Mutex
	lastTaken, tries := time.Now(), map[int]int{}
	for n := range seekers {
		go func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
				taken := l.tryOnce(h, fmt.Sprintf("s%d-%d", n, i), time.Second)
				mu.Lock()
				tries[n]++
				if taken {
					lastTaken, tries = time.Now(), map[int]int{}
				}
				mu.Unlock()
			}
		}()
	}
	ticker := time.NewTicker(time.Second / perSecond)
	broken := false
	var opened, answered atomic.Int64
	for n := 0; n < connections && !broken; n++ {
		<-ticker.C
		go func() {
			opened.Add(1)
			conn := l.openAndAsk(h, n)
			if conn == nil {
				return
			}
			answered.Add(1)
			if !l.trouble {
				time.Sleep(idleTimeout * 4 / 5)
				_ = conn.Close()
				return
			}
			// The client has lost its signal: it neither sends nor closes. If the host closes the connection, it is gone.
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}()
		if n%200 == 0 {
			l.note("%d connections opened, %d answered", opened.Load(), answered.Load())
		}
		mu.Lock()
		silent, all := time.Since(lastTaken), len(tries)
		mu.Unlock()
		if silent > stabilityWindow+time.Second && all >= 7 && readyNow.Load() {
			l.broken("RECOVER: %s says that it is ready and has taken no new connection for %v, while %d clients tried; %d connections were opened to it",
				h.name, silent.Round(time.Millisecond), all, opened.Load())
			broken = true
		}
	}
	close(stop)
}

// openAndAsk opens a connection, sends a request and returns the connection after the answer, or nil.
func (l *lab) openAndAsk(h *host, n int) net.Conn {
	conn, err := net.DialTimeout("tcp", h.ip+":"+callerPort, time.Second)
	if err != nil {
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	s := services[0]
	id := fmt.Sprintf("%08x%08x", l.start.UnixNano()&0xffffffff, attempts.Add(1))
	fmt.Fprintf(conn, "GET %sidle%d HTTP/1.1\r\nHost: %s\r\nX-Rattanhitch-Attempt-Id: %s\r\nX-Rattanhitch-Deadline-Milliseconds: 2000\r\n\r\n", s.prefix, n, s.host, id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		_ = conn.Close()
		return nil
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = conn.SetDeadline(time.Time{})
	return conn
}

// tryOnce sends a request on a new connection and reports whether the host has answered it at all.
func (l *lab) tryOnce(h *host, path string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s := services[0]
	r, _ := http.NewRequestWithContext(ctx, s.method, "http://"+h.ip+":"+callerPort+s.prefix+path, nil)
	r.Host = s.host
	r.Close = true
	r.Header.Set("X-Rattanhitch-Attempt-Id", fmt.Sprintf("%08x%08x", l.start.UnixNano()&0xffffffff, attempts.Add(1)))
	r.Header.Set("X-Rattanhitch-Deadline-Milliseconds", "2000")
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		l.note("a new connection to %s is not taken: %v", h.name, err)
		return false
	}
	_ = resp.Body.Close()
	return true
}

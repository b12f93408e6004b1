package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// service is a service with one route.
type service struct {
	name, host, prefix, kind string
	timeout                  time.Duration
	method                   string
}

var services = []service{
	{"lookup", "jepu9.example", "/lepu270/", "idempotent", 800 * time.Millisecond, "GET"},
	{"bookings", "hulo84.example", "/xapu221/", "non_idempotent", 800 * time.Millisecond, "POST"},
	{"guides", "jepu9.example", "/fiti832/", "download", 800 * time.Millisecond, "GET"},
}

// manifest returns the operator's manifest with the routes of the services.
func manifest(version int, list []service) map[string]any {
	byHost := map[string][]any{}
	var clusters []any
	for i, s := range list {
		byHost[s.host] = append(byHost[s.host], map[string]any{
			"name": fmt.Sprintf("r-%d", i), "kind": s.kind, "target_latency": "250ms", "priority": 1, "sticky_sessions": false,
			"match":  map[string]any{"path_prefix": s.prefix},
			"action": map[string]any{"service": s.name, "timeout": s.timeout.String(), "attempts": 2, "home_regions": []string{}},
		})
		clusters = append(clusters, map[string]any{
			"name": s.name, "health_check_path": "/health", "connection_limit": 815, "protocol": "h1", "tls": false, "cold_start": "3s", "cold_per_s": 9.5,
		})
	}
	var listeners []any
	for host, rules := range byHost {
		listeners = append(listeners, map[string]any{"host": host, "rules": rules})
	}
	return map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"listeners": listeners, "clusters": clusters,
	}
}

var attempts atomic.Int64

// reply is what a client saw of one attempt.
type reply struct {
	id     string
	status int
	signed bool
	body   string
	err    error
}

// send sends one attempt with a new ID to a host.
func (l *lab) send(h *host, s service, path, body string, deadline time.Duration) reply {
	id := fmt.Sprintf("%08x%08x", l.start.UnixNano()&0xffffffff, attempts.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, s.method, "http://"+h.ip+":"+callerPort+s.prefix+path, strings.NewReader(body))
	r.Host = s.host
	r.Header.Set("X-Rattanhitch-Attempt-Id", id)
	r.Header.Set("X-Rattanhitch-Deadline-Milliseconds", fmt.Sprint(deadline.Milliseconds()))
	l.note("client sends %s (%s %s) to %s", id, s.method, s.name, h.name)
	out := reply{id: id}
	resp, err := l.client.Do(r)
	if err == nil {
		out.status = resp.StatusCode
		out.signed = resp.Header.Get("X-Rattanhitch-Response-Signature") != ""
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		out.body = string(data)
	}
	out.err = err
	l.note("client gets for %s: status %d, signed %v, error %v", id, out.status, out.signed, err)
	return out
}

// traffic sends requests of all services to the hosts in turn until stop is closed.
func (l *lab) traffic(among []*host, list []service, perSecond int, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		h, s := among[n%len(among)], list[(n/len(among))%len(list)]
		go l.send(h, s, fmt.Sprint("t", n), "", 2*time.Second)
	}
}

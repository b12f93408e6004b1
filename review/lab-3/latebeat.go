package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// lateBeat: the store gives no answer to one status report each of two workers, and performs these reports 4.7 s later, as the pages allow.
// Meanwhile both workers leave, which the store confirms: one reports draining, the entry of the other one is removed. The rule DRAIN: no
// request reaches them later than drain after that.
func lateBeat(f *fleet, trouble bool) int {
	f.store.put("op", "config", manifest(3, "lookup"))
	f.addHost("conwy", 1)
	f.addHost("conwy", 2)
	f.addHost("beaumaris", 1)
	f.addHost("beaumaris", 2)
	for i, zone := range []string{"conwy", "beaumaris", "conwy", "beaumaris", "conwy", "beaumaris"} {
		f.addWorker(fmt.Sprintf("i-%d", i+1), "lookup", zone, 4)
	}
	drains, removed := f.workers["i-1"], f.workers["i-2"]
	leaving := []*worker{drains, removed}
	const (
		heartbeat = 1500 * time.Millisecond
		lostAt    = 2 * time.Second
		lateBy    = 4700 * time.Millisecond        // the bench's platform_lost with late: 1 to 6 s
		leaveAt   = lostAt + 3050*time.Millisecond // stability_window after the lost answers
		drain     = 2500 * time.Millisecond
		exitAt    = 14 * time.Second
		endAt     = 16 * time.Second
	)
	for _, w := range f.workers {
		if w != drains && w != removed {
			go w.beatLoop()
		}
	}
	drains.beat()
	removed.beat()
	for _, h := range f.hosts {
		h.start(true)
	}
	if !f.waitReady(15 * time.Second) {
		fmt.Fprintln(os.Stderr, "the hosts aren't ready")
		return 2
	}
	time.Sleep(2 * time.Second)
	f.rec.start = time.Now()
	start := f.rec.start
	var mu sync.Mutex
	var confirmed time.Time
	broken := map[string]int{}
	served := 0
	for _, w := range leaving {
		w.onRun = func(attempt string, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if since := time.Since(confirmed); !confirmed.IsZero() && since > drain {
				broken[w.id]++
				f.rec.line("DRAIN broken: %s reaches %s %.3f s after its leaving was confirmed", attempt, w.id, since.Seconds())
			}
		}
	}
	done := make(chan struct{})
	go f.traffic(60, "GET", "jepu9.example", "/lepu270/", 2*time.Second, done, func(r result) {
		mu.Lock()
		defer mu.Unlock()
		if r.status == 200 {
			served++
		}
	})
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	at(500 * time.Millisecond)
	drains.beat()
	removed.beat()
	at(lostAt)
	for _, w := range leaving {
		w.mu.Lock()
		lost := w.entry()
		w.mu.Unlock()
		if !trouble {
			f.store.put("servers", w.id, lost)
			continue
		}
		f.rec.line("the store gives no answer to the status report %v of %s: %v", lost["sequence"], w.id, lost["state"])
		time.AfterFunc(lateBy, func() {
			v := f.store.put("servers", w.id, lost)
			f.rec.line("the store performs the status report %v of %s as record version %d", lost["sequence"], w.id, v)
		})
	}
	at(lostAt + heartbeat)
	for _, w := range leaving {
		w.beat()
		f.rec.line("the store accepts the status report %d of %s: %s", w.sequence, w.id, w.state)
	}
	at(leaveAt)
	removed.mu.Lock()
	removed.state = ""
	removed.mu.Unlock()
	f.store.remove("servers", removed.id)
	drains.mu.Lock()
	drains.state = "draining"
	drains.mu.Unlock()
	drains.beat()
	mu.Lock()
	confirmed = time.Now()
	mu.Unlock()
	f.rec.line("the store accepts the status report %d of %s: draining; the entry of %s is removed", drains.sequence, drains.id, removed.id)
	for t := leaveAt + heartbeat; t < exitAt; t += heartbeat {
		at(t)
		drains.beat()
		f.rec.line("the store accepts the status report %d of %s: draining", drains.sequence, drains.id)
	}
	at(exitAt)
	for _, w := range leaving {
		w.server.Close()
		f.rec.line("%s exits", w.id)
	}
	at(endAt)
	close(done)
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	result := fmt.Sprintf("served %d; requests that break DRAIN: %d at %s, %d at %s", served, broken[drains.id], drains.id, broken[removed.id], removed.id)
	f.rec.line("%s", result)
	fmt.Println(result)
	if served < 300 {
		return 2
	}
	if broken[drains.id]+broken[removed.id] > 0 {
		return 1
	}
	return 0
}

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"
)

// directoryClient is a client that asks the directory where to connect, as PROTOCOL.md says: up to three nodes, nearest first, one second for
// each, and the answer is kept for its ttl.
type directoryClient struct {
	clients      *Clients
	zone, region string
	nodes        []*Host // nearest first
	byAddress    map[string]*Host

	addresses []string
	until     time.Time
}

func (d *directoryClient) ask() {
	http := http.Client{Timeout: time.Second}
	for _, node := range d.nodes[:min(3, len(d.nodes))] {
		q := url.Values{"name": {d.clients.host}, "region": {d.region}, "zone": {d.zone}}
		resp, err := http.Get("http://" + node.Directory + "/rattanhitch/resolution?" + q.Encode())
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       string   `json:"ttl"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		ttl, ttlErr := time.ParseDuration(answer.TTL)
		if err != nil || ttlErr != nil || len(answer.Addresses) == 0 {
			continue
		}
		d.addresses, d.until = answer.Addresses, time.Now().Add(min(ttl, 5*time.Second))
		names := []string{}
		for _, a := range answer.Addresses {
			names = append(names, d.byAddress[a].Name)
		}
		d.clients.fleet.Rec.Line("directory of %s names %v to a client in %s", node.Name, names, d.zone)
		return
	}
}

// pick returns a host at random among those of the directory's answer.
func (d *directoryClient) pick() *Host {
	if time.Now().After(d.until) {
		d.ask()
	}
	if len(d.addresses) == 0 {
		return nil
	}
	return d.byAddress[d.addresses[rand.IntN(len(d.addresses))]]
}

// calm is longer than the time for which HOME excuses what follows a disturbance (15 s).
const calm = 16 * time.Second

func init() {
	// The two hosts of a region are stopped and started in turn. The requests of its clients may be served in this region only.
	cases["homes-at-restart"] = func(rec *Record, trouble bool) string {
		regions := map[string]string{"conwy": "gogledd", "aberaeron": "canolbarth", "tenby": "de"}
		f := newFleet(rec, regions, pryceBounds)
		zones := []string{"conwy", "aberaeron", "tenby"}
		byAddress := map[string]*Host{}
		for i := range 6 {
			h := f.AddHost(fmt.Sprintf("frontend-%s-%d", zones[i%3], 1+i/3), zones[i%3])
			byAddress[h.Frontend] = h
		}
		for i := range 6 {
			f.AddWorker(&Worker{
				ID: fmt.Sprintf("i-%d", i+1), Service: "bookings", Zone: zones[i%3], Slots: 4, Queue: 12,
				Work: func(string) time.Duration { return 50 * time.Millisecond },
			})
		}
		f.Manifest(1, "kiosk.example", 9.5, []Rule{{
			Name: "hire-pay", Kind: "non_idempotent", Prefix: "/pay/", Service: "bookings", Latency: "400ms", Timeout: "800ms", Attempts: 2,
			Homes: []string{"gogledd"},
		}})
		for _, h := range f.Hosts {
			h.Start()
		}
		f.WaitReady(10 * time.Second)
		time.Sleep(calm)
		conwy := []*Host{f.Hosts[0], f.Hosts[3]}
		end := time.Now().Add(60 * time.Second)
		var all sync.WaitGroup
		all.Go(func() {
			for _, h := range conwy {
				time.Sleep(calm)
				if trouble {
					h.Signal(syscall.SIGTERM)
					select {
					case <-h.done:
					case <-time.After(6 * time.Second): // the grace period
						h.Kill()
					}
					time.Sleep(500 * time.Millisecond)
					h.Start()
				}
			}
		})
		var mu sync.Mutex
		sent, away := 0, 0
		var clients []*Clients
		for i := range 10 {
			c := newClients(f, "kiosk.example", 2500*time.Millisecond)
			c.sequence.Store(int64(i) << 32)
			clients = append(clients, c)
			d := &directoryClient{clients: c, zone: "conwy", region: "gogledd", nodes: append(append([]*Host{}, conwy...), f.Hosts[1]), byAddress: byAddress}
			all.Go(func() {
				for time.Now().Before(end) {
					if h := d.pick(); h != nil {
						mu.Lock()
						sent++
						if h.Region != "gogledd" {
							away++
						}
						mu.Unlock()
						c.Send(h, "POST", fmt.Sprintf("/pay/%d", rand.IntN(80)))
					}
					time.Sleep(150 * time.Millisecond)
				}
			})
		}
		all.Wait()
		for _, c := range clients {
			c.Wait()
		}
		rec.Event("%d of %d requests with the home gogledd, of clients there, were sent to hosts of other regions that the directory named", away, sent)
		if away*20 > sent {
			return "HOME"
		}
		return ""
	}
}

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Clients send requests to hosts and record the answers.
type Clients struct {
	fleet    *Fleet
	host     string
	deadline time.Duration
	client   *http.Client
	// leave is when a client leaves, before its deadline; 0 if it stays.
	leave    time.Duration
	sequence atomic.Int64
	pending  sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int
}

func newClients(f *Fleet, host string, deadline time.Duration) *Clients {
	return &Clients{
		fleet: f, host: host, deadline: deadline, counts: map[string]int{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true}},
	}
}

// Send sends one request to a host and waits for its answer.
func (c *Clients) Send(to *Host, method, path string) {
	id := fmt.Sprintf("%016x", c.sequence.Add(1))
	patience := c.deadline
	if c.leave > 0 {
		patience = c.leave
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.Frontend+path, nil)
	must(err)
	req.Host = c.host
	req.Header.Set("X-Rattanhitch-Attempt-Id", id)
	req.Header.Set("X-Rattanhitch-Deadline-Milliseconds", fmt.Sprint(c.deadline.Milliseconds()))
	began := time.Now()
	result := ""
	resp, err := c.client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		result = fmt.Sprint(resp.StatusCode)
		if err == nil && resp.StatusCode == http.StatusOK && string(body) != "answer to "+id+"\n" {
			result = "200 with a foreign body"
		}
	}
	if err != nil {
		result = "no whole answer: " + lastPart(err.Error())
	}
	c.fleet.Rec.Line("%s %s %s sent to %s at %s, answered %s", id, method, path, to.Name, c.fleet.Rec.Stamp(began), result)
	c.mu.Lock()
	c.counts[result]++
	c.mu.Unlock()
}

func lastPart(s string) string {
	if i := strings.LastIndex(s, ": "); i >= 0 {
		return s[i+2:]
	}
	return s
}

// Run sends perSecond requests a second, to the hosts that pick returns, until the end.
func (c *Clients) Run(end time.Time, perSecond float64, pick func(n int) (*Host, string, string)) {
	gap := time.Duration(float64(time.Second) / perSecond)
	next := time.Now()
	for n := 0; time.Now().Before(end); n++ {
		to, method, path := pick(n)
		c.pending.Go(func() { c.Send(to, method, path) })
		next = next.Add(gap)
		time.Sleep(time.Until(next))
	}
}

// Wait waits for the answers and writes a summary.
func (c *Clients) Wait() {
	c.pending.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for result, n := range c.counts {
		c.fleet.Rec.Event("%d requests answered %s", n, result)
	}
}

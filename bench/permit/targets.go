package main

import (
	"context"
	"sync"
	"time"
)

// reportInterval is the interval between load reports, and so the largest age of a report.
const reportInterval = 200 * time.Millisecond

// simTarget is a simulated target. It serves as many requests at once as it has slots and queues the rest internally.
type simTarget struct {
	name  string
	slots chan struct{}
	// slowdown returns the service time multiplier at a time; nil means 1.
	slowdown func(now time.Time) float64

	mu           sync.Mutex
	inFlight     int
	reported     int
	overCapacity int
}

func newSimTarget(name string, slots int) *simTarget {
	return &simTarget{name: name, slots: make(chan struct{}, slots)}
}

// run serves one request and reports whether it finished before ctx was done.
func (b *simTarget) run(ctx context.Context, work time.Duration) bool {
	b.arrive()
	defer b.depart()
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-b.slots }()
	if b.slowdown != nil {
		work = time.Duration(float64(work) * b.slowdown(time.Now()))
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *simTarget) arrive() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight++
	if b.inFlight > cap(b.slots) {
		b.overCapacity++
	}
}

func (b *simTarget) depart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

// publishLoad makes the current load the reported load.
func (b *simTarget) publishLoad() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reported = b.inFlight
}

func (b *simTarget) reportedLoad() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reported
}

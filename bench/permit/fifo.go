package main

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// fifo is a baseline: one queue per failure domain that grants slots in order of arrival, without request classes. It has the
// same slots and the same network delay as the dispatcher.
type fifo struct {
	delay time.Duration
	slots chan string
}

// newFIFO returns a constructor that gives all hosts of an environment the same queue.
func newFIFO() func(e *environment) permit.Acquirer {
	var once sync.Once
	var f *fifo
	return func(e *environment) permit.Acquirer {
		once.Do(func() {
			f = &fifo{delay: e.scenario.delay, slots: make(chan string, e.scenario.service.Targets*e.scenario.service.Slots)}
			for range e.scenario.service.Slots {
				for name := range e.targets {
					f.slots <- name
				}
			}
		})
		return f
	}
}

// Acquire waits for a free slot until ctx is done.
func (f *fifo) Acquire(ctx context.Context, req permit.Request) (*permit.Grant, error) {
	time.Sleep(f.delay)
	var target string
	select {
	case target = <-f.slots:
	case <-ctx.Done():
		return nil, &permit.RefusedError{Reason: peerv1.RefusalReason_REFUSAL_REASON_DEADLINE}
	}
	time.Sleep(f.delay)
	release := sync.OnceFunc(func() { time.AfterFunc(f.delay, func() { f.slots <- target }) })
	return &permit.Grant{Target: target, Deadline: req.Deadline, Release: func(permit.Observation) { release() }}, nil
}

package soak

import (
	"net/http"
	"sync"
)

// AllowedRuns returns how often a command may have run, at least and at most, of which each send was answered with one of the statuses: it has run
// if the status is a success, and may have run unless the status promises that it has not.
func AllowedRuns(statuses []int, promises func(status int) bool) (least, most int) {
	for _, status := range statuses {
		if status == http.StatusOK {
			least++
		}
		if !promises(status) {
			most++
		}
	}
	return least, most
}

// RunCounter counts the runs of requests by ID. Its zero value is ready for use.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// Add counts a run.
func (c *RunCounter) Add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = map[string]int{}
	}
	c.runs[id]++
}

// Of returns how often a request has run.
func (c *RunCounter) Of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

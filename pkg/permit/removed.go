package permit

import (
	"sync"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/config"
)

// removalRetention is how long a host remembers that a target was removed. Dispatchers have the same configuration long before that.
const removalRetention = time.Minute

// removals holds the targets that were removed from the configuration of this host.
type removals struct {
	mu sync.Mutex
	// last is the last configuration, and removed holds the targets that are missing since, by name.
	last    *config.Snapshot
	removed map[string]removal
}

type removal struct {
	service string
	at      time.Time
}

func newRemovals() *removals {
	return &removals{last: config.NewSnapshot(0, nil), removed: map[string]removal{}}
}

// update records the targets that a configuration lacks and the last one had.
func (r *removals) update(snap *config.Snapshot, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if snap != r.last {
		r.addMissing(snap, now)
	}
	for name, gone := range r.removed {
		if configOf(snap, name) != nil || now.Sub(gone.at) > removalRetention {
			delete(r.removed, name)
		}
	}
}

// addMissing adds the targets that a configuration lacks. r.mu must be held.
func (r *removals) addMissing(snap *config.Snapshot, now time.Time) {
	for _, o := range r.last.List(config.KindTarget) {
		if t := o.GetTarget(); configOf(snap, t.GetName()) == nil {
			r.removed[t.GetName()] = removal{t.GetService(), now}
		}
	}
	r.last = snap
}

// has reports whether a target was removed.
func (r *removals) has(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.removed[target]
	return ok
}

// of returns the targets of a service that were removed.
func (r *removals) of(service string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for name, gone := range r.removed {
		if gone.service == service {
			list = append(list, name)
		}
	}
	return list
}

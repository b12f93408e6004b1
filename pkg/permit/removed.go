package permit

import (
	"sync"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// removalRetention is how long a host remembers that a target was removed. Dispatchers have the same configuration long before that.
const removalRetention = time.Minute

// removals holds the targets that were removed from the configuration of this host.
type removals struct {
	mu sync.Mutex
	// present holds the targets of the last configuration by name, and removed those that are missing since.
	present map[string]*configv1.Target
	removed map[string]removal
}

type removal struct {
	service string
	at      time.Time
}

func newRemovals() *removals {
	return &removals{present: map[string]*configv1.Target{}, removed: map[string]removal{}}
}

// update records the targets that a configuration lacks and the last one had.
func (r *removals) update(snap *config.Snapshot, now time.Time) {
	present := map[string]*configv1.Target{}
	for _, o := range snap.List(config.KindTarget) {
		present[o.GetTarget().GetName()] = o.GetTarget()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, t := range r.present {
		if present[name] == nil {
			r.removed[name] = removal{t.GetService(), now}
		}
	}
	for name, gone := range r.removed {
		if present[name] != nil || now.Sub(gone.at) > removalRetention {
			delete(r.removed, name)
		}
	}
	r.present = present
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

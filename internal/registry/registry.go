// Package registry keeps what plug-ins register under their names in init.
package registry

import (
	"maps"
	"slices"
	"sync"
)

// Registry maps names to plug-ins of one kind.
type Registry[T any] struct {
	kind string

	mu      sync.Mutex
	entries map[string]T
}

// New returns an empty registry. kind names it in the panic of a duplicate, for example "platform driver".
func New[T any](kind string) *Registry[T] { return &Registry[T]{kind: kind, entries: map[string]T{}} }

// Register adds an entry. It panics on a duplicate name, which is a programming error.
func (r *Registry[T]) Register(name string, entry T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.entries[name]; ok {
		panic(r.kind + " registered twice: " + name)
	}
	r.entries[name] = entry
}

// Get returns an entry; ok is false if there is none.
func (r *Registry[T]) Get(name string) (entry T, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok = r.entries[name]
	return entry, ok
}

// Names returns the names of the entries, sorted.
func (r *Registry[T]) Names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.entries))
}

// Package registry maps names to plug-ins, which register themselves in init functions.
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

// New returns an empty registry. kind, for example "platform driver", is part of the message when Register panics.
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

// Get returns the entry with the name; ok is false if there is none.
func (r *Registry[T]) Get(name string) (entry T, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok = r.entries[name]
	return entry, ok
}

// Names returns the sorted names of all entries.
func (r *Registry[T]) Names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.entries))
}

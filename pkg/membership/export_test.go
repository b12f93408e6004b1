package membership

import (
	"maps"
	"slices"
)

// SetGate installs a function that all loops and handlers call; it blocks while the host is paused. Call it before Start.
func (t *Tracker) SetGate(gate func()) { t.gate = gate }

// Neighbours returns the successors and the predecessors of a host in the heartbeat ring of hosts with the given places.
func Neighbours(places map[string]string, host string) (targets, sources []string) {
	r := newRing(slices.Collect(maps.Keys(places)), func(host string) string { return places[host] })
	return r.successors(host), r.predecessors(host)
}

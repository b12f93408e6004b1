package membership

// SetGate installs a function that all loops and handlers call; it blocks while the host is paused. Call it before Start.
func (t *Tracker) SetGate(gate func()) { t.gate = gate }

// Neighbours returns the successors and the predecessors of a host in the heartbeat ring. It sorts hosts.
func Neighbours(hosts []string, host string) (targets, sources []string) {
	sortRing(hosts)
	return successors(hosts, host), predecessors(hosts, host)
}

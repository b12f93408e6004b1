package permit

import "time"

// ID exports dispatcherID to the tests.
type ID = dispatcherID

// Key exports permitKey to the tests.
type Key = permitKey

// Newer reports whether a is a newer dispatcher than b.
func Newer(a, b ID) bool { return b.olderThan(a) }

// DispatcherState is a snapshot of the permits and the recovery state of a dispatcher.
type DispatcherState struct {
	ID     ID
	Active bool
	// Permits maps the granted and recovered permits to the names of their targets.
	Permits map[Key]string
	// Reserved is the number of reserved slots by host and target.
	Reserved map[[2]string]int
	// Answered holds the hosts that follow the dispatcher, Attempted those whose first recover call has ended. The values are
	// the incarnations of the hosts.
	Answered, Attempted map[string]uint64
	// ReservedAt is when slots were last reserved from a host's heartbeat, by host.
	ReservedAt map[string]time.Time
}

// inspect is the event that requests a DispatcherState.
type inspect struct{ reply chan DispatcherState }

func (q inspect) apply(d *dispatcher, _ time.Time) {
	a := DispatcherState{
		ID: d.id, Active: d.active && !d.superseded, Permits: map[Key]string{}, Reserved: map[[2]string]int{},
		Answered: map[string]uint64{}, Attempted: map[string]uint64{}, ReservedAt: map[string]time.Time{},
	}
	for key, p := range d.slots.permits {
		if key.dispatcher.term == 0 {
			a.Reserved[[2]string{p.holder.host, p.target.name}]++
			continue
		}
		a.Permits[key] = p.target.name
	}
	for host, f := range d.followers {
		a.ReservedAt[host] = f.reservedAt
		if f.attempted {
			a.Attempted[host] = f.holder.incarnation
		}
		if f.answered {
			a.Answered[host] = f.holder.incarnation
		}
	}
	q.reply <- a
}

// DispatcherStates returns the states of the dispatchers that run on this host.
func (m *Manager) DispatcherStates() []DispatcherState {
	var list []DispatcherState
	for _, d := range m.running() {
		reply := make(chan DispatcherState, 1)
		if !d.send(inspect{reply}) {
			continue
		}
		select {
		case a := <-reply:
			list = append(list, a)
		case <-d.done:
		}
	}
	return list
}

// PermitsInUse returns the dispatcher that this host follows and the permits that it uses, with their targets.
func (m *Manager) PermitsInUse(service string) (follows ID, uses map[Key]string) {
	s := m.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	uses = map[Key]string{}
	for _, h := range s.inUse(time.Now()) {
		uses[h.key] = h.target
	}
	return s.fence, uses
}

// panicEvent makes a dispatcher panic.
type panicEvent struct{}

func (panicEvent) apply(*dispatcher, time.Time) {
	panic("a message that the dispatcher cannot cope with")
}

// BreakDispatcher makes this host's dispatcher of a service panic.
func (m *Manager) BreakDispatcher(service string) { m.dispatcher(service).send(panicEvent{}) }

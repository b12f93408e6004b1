package memory

import "time"

// Faults configures fault injection. The zero value injects no faults.
type Faults struct {
	// Outage makes each call fail with store.ErrUnavailable; nothing is written.
	Outage bool
	// Delay is added to each call: one half before it takes effect, the other half before it returns.
	Delay time.Duration
	// LostResponses is the number of subsequent writes that take effect but return store.ErrUnknownOutcome.
	LostResponses int
	// LateWrites is the number of subsequent writes that return store.ErrUnknownOutcome immediately and take effect after
	// LateBy, if their conditions hold then.
	LateWrites int
	LateBy     time.Duration
	// HostListLag makes Hosts return the host list as it was that long ago.
	HostListLag time.Duration
}

// writeFault is the fault that is injected into one write.
type writeFault int

const (
	writeNormal writeFault = iota
	writeResponseLost
	writeLate
)

// faultPlan is the combination of the faults that a client and the platform behind it inject into one call.
type faultPlan struct {
	outage bool
	delay  time.Duration
	write  writeFault
	lateBy time.Duration
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.faultsMu.Lock()
	defer p.faultsMu.Unlock()
	p.faults = f
}

// Faults returns the faults that are still to be injected.
func (p *Platform) Faults() Faults {
	p.faultsMu.Lock()
	defer p.faultsMu.Unlock()
	return p.faults
}

// planFaults returns the faults of one call and decrements the counters of those that are limited in number.
func (p *Platform) planFaults(write bool) faultPlan {
	var merged faultPlan
	for q := p; q != nil; q = q.parent {
		q.mergeFaults(&merged, write)
	}
	return merged
}

// mergeFaults adds the faults of p to a plan.
func (p *Platform) mergeFaults(merged *faultPlan, write bool) {
	p.faultsMu.Lock()
	defer p.faultsMu.Unlock()
	merged.outage = merged.outage || p.faults.Outage
	merged.delay = max(merged.delay, p.faults.Delay)
	if !write || merged.outage || merged.write != writeNormal {
		return
	}
	switch {
	case p.faults.LostResponses > 0:
		p.faults.LostResponses--
		merged.write = writeResponseLost
	case p.faults.LateWrites > 0:
		p.faults.LateWrites--
		merged.write, merged.lateBy = writeLate, p.faults.LateBy
	}
}

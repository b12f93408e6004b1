package memory

import "time"

// Faults are the faults that a Platform injects. The zero value injects none.
type Faults struct {
	// Outage lets each call fail with platform.ErrUnavailable; nothing is written.
	Outage bool
	// Delay is added to each call: one half before it takes effect, the other half before the answer.
	Delay time.Duration
	// LostResponses is the number of coming writes that take effect and then report platform.ErrUnknownOutcome.
	LostResponses int
	// LateWrites is the number of coming writes that report platform.ErrUnknownOutcome at once and take effect, if their
	// conditions still hold, after LateBy.
	LateWrites int
	LateBy     time.Duration
	// HostListLag is the age of the host list that Hosts returns.
	HostListLag time.Duration
}

// writeFault says what happens to one write.
type writeFault int

const (
	writeNormal writeFault = iota
	writeResponseLost
	writeLate
)

// faultPlan is the combination of the faults of a client and of the platform behind it for one call.
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

// Faults returns the faults that remain to be injected.
func (p *Platform) Faults() Faults {
	p.faultsMu.Lock()
	defer p.faultsMu.Unlock()
	return p.faults
}

// planFaults decides the faults of one call and uses up the counted ones.
func (p *Platform) planFaults(write bool) faultPlan {
	var merged faultPlan
	for q := p; q != nil; q = q.parent {
		q.mergeFaults(&merged, write)
	}
	return merged
}

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

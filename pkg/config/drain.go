package config

// DrainedHosts returns the hosts and failure domains with a drain that is not cancelled. The ramp of the drain does not matter,
// because callers are directed to other hosts from the start of a drain.
func (s *Snapshot) DrainedHosts() (hosts, failureDomains map[string]bool) {
	hosts, failureDomains = map[string]bool{}, map[string]bool{}
	for _, o := range s.List(KindDrain) {
		d := o.GetDrain()
		if d.GetCancelled() {
			continue
		}
		if d.GetHost() != "" {
			hosts[d.GetHost()] = true
		}
		if d.GetFailureDomain() != "" {
			failureDomains[d.GetFailureDomain()] = true
		}
	}
	return hosts, failureDomains
}

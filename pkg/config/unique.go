package config

// checkUnique checks the rules that concern several objects of one kind.
func (p *problems) checkUnique(s *Snapshot) {
	p.checkUniqueAddresses(s)
	p.checkUniquePolicies(s)
	p.checkUniqueLinks(s)
	p.checkMoveTotals(s)
}

// checkUniqueAddresses checks that all targets have different addresses. Slots are counted per target, so that two targets with
// the same address would overload it.
func (p *problems) checkUniqueAddresses(s *Snapshot) {
	owners := map[string]string{}
	for _, o := range s.List(KindTarget) {
		t := o.GetTarget()
		other, taken := owners[t.GetAddress()]
		p.check(!taken, "target "+t.GetName()+": address", t.GetAddress(), "must differ from that of target "+other)
		owners[t.GetAddress()] = t.GetName()
	}
}

// checkUniquePolicies checks that a service has at most one policy.
func (p *problems) checkUniquePolicies(s *Snapshot) {
	owners := map[string]string{}
	for _, o := range s.List(KindPolicy) {
		v := o.GetPolicy()
		other, taken := owners[v.GetService()]
		p.check(!taken, "policy "+v.GetName()+": service", v.GetService(), "must have one policy, and has "+other)
		owners[v.GetService()] = v.GetName()
	}
}

// checkUniqueLinks checks that there is at most one link from one region to another.
func (p *problems) checkUniqueLinks(s *Snapshot) {
	owners := map[[2]string]string{}
	for _, o := range s.List(KindLink) {
		v := o.GetLink()
		pair := [2]string{v.GetFromRegion(), v.GetToRegion()}
		other, taken := owners[pair]
		p.check(!taken, "link "+v.GetName()+": to_region", v.GetToRegion(), "must have one link from from_region, and has "+other)
		owners[pair] = v.GetName()
	}
}

// checkMoveTotals checks that the moves of a service out of one region together move at most 100 percent of its requests.
func (p *problems) checkMoveTotals(s *Snapshot) {
	sums := map[[2]string]uint64{}
	for _, o := range s.List(KindMove) {
		v := o.GetMove()
		if v.GetCancelled() {
			continue
		}
		pair := [2]string{v.GetService(), v.GetFromRegion()}
		sums[pair] += uint64(v.GetPercent())
		p.check(sums[pair] <= 100, "move "+v.GetName()+": percent", v.GetPercent(),
			"must be at most 100 together with the other moves of the service from that region")
	}
}

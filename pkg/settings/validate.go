package settings

import (
	"fmt"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Validate checks all settings and returns one joined error for all invalid ones, each with the flag, the value and the rule.
func (s *Settings) Validate() error {
	var p problems
	s.validateNames(&p)
	s.validateAddresses(&p)
	s.validateRetriesAndShifts(&p)
	s.validateTimes(&p)
	s.validateSizes(&p)
	s.validateSecurity(&p)
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		p.add("log-level", s.LogLevel, "must be debug, info, warn or error")
	}
	return errors.Join(p...)
}

// problems collects the errors of all settings, so that an operator sees them at once.
type problems []error

func (p *problems) add(flag string, value any, allowed string) {
	*p = append(*p, fmt.Errorf("--%s=%v: %s", flag, value, allowed))
}

// check adds a problem unless ok is set.
func (p *problems) check(ok bool, flag string, value any, allowed string) {
	if !ok {
		p.add(flag, value, allowed)
	}
}

func (s *Settings) validateNames(p *problems) {
	const allowed = "1 to 63 letters, digits, dots, dashes or underscores"
	for _, n := range []struct{ flag, value string }{
		{"host", s.Host}, {"failure-domain", s.FailureDomain}, {"region", s.Region},
	} {
		p.check(ValidName(n.value), n.flag, n.value, "must be "+allowed)
	}
	p.check(s.DispatchDomain == "" || ValidName(s.DispatchDomain), "dispatch-domain", s.DispatchDomain, "must be empty or "+allowed)
	p.check(s.MinDomainHosts >= 1 && s.MinDomainHosts <= maxDomainHosts, "min-domain-hosts", s.MinDomainHosts, "must be from 1 to 1000")
}

func (s *Settings) validateAddresses(p *problems) {
	valid := func(address string) bool {
		_, err := netip.ParseAddrPort(address)
		return err == nil
	}
	for _, a := range []struct{ flag, value string }{
		{"caller-listen", s.CallerListen}, {"operator-listen", s.OperatorListen}, {"peer-listen", s.PeerListen},
	} {
		p.check(valid(a.value), a.flag, a.value, "must be an IP number and a port, such as 127.0.0.1:8080")
	}
	p.check(s.MetricsListen == "" || valid(s.MetricsListen), "metrics-listen", s.MetricsListen, "must be empty or an IP number and a port")
	for _, seed := range s.Seeds {
		p.check(valid(seed), "seeds", seed, "must be an IP number and a port")
	}
}

func (s *Settings) validateRetriesAndShifts(p *problems) {
	p.check(s.RetryPercent >= 0 && s.RetryPercent <= 100, "retry-percent", s.RetryPercent, "must be from 0 to 100")
	p.check(s.RetryBurst >= 0, "retry-burst", s.RetryBurst, "must be at least 0")
	p.check(s.ShiftPercent > 0 && s.ShiftPercent <= 100, "shift-percent", s.ShiftPercent, "must be above 0 and at most 100")
	p.check(s.ShiftWindow >= minShiftWindow, "shift-window", s.ShiftWindow, "must be at least 100ms")
}

func (s *Settings) validateTimes(p *problems) {
	p.check(s.AnnounceFor >= 0 && s.AnnounceFor <= maxAnnounceFor, "announce-for", s.AnnounceFor, "must be from 0s to 1m")
	p.check(s.DrainTimeout >= minDrainTimeout, "drain-timeout", s.DrainTimeout, "must be at least 1s")
	p.check(s.LookupTTL >= minLookupTTL && s.LookupTTL <= maxLookupTTL, "lookup-ttl", s.LookupTTL, "must be from 1s to 1h")
}

func (s *Settings) validateSizes(p *problems) {
	const most = 1 << 20
	p.check(s.MaxHeaderBytes >= minHeaderBytes && s.MaxHeaderBytes <= maxHeaderBytes, "max-header-bytes", s.MaxHeaderBytes,
		"must be from 4096 to 1048576")
	p.check(s.HeapTargetMiB >= 1 && s.HeapTargetMiB <= most, "heap-target-mib", s.HeapTargetMiB, "must be from 1 to 1048576")
	p.check(s.MemoryLimitMiB == 0 || s.MemoryLimitMiB >= minMemoryMiB && s.MemoryLimitMiB <= most, "memory-limit-mib", s.MemoryLimitMiB,
		"must be 0 or from 64 to 1048576")
	p.check(s.DescriptorLimit == 0 || s.DescriptorLimit >= minDescriptors, "descriptor-limit", s.DescriptorLimit, "must be 0 or at least 64")
	p.check(s.Capacity >= 1 && s.Capacity <= most, "capacity", s.Capacity, "must be from 1 to 1048576")
	p.check(s.MaxProcs >= 0 && s.MaxProcs <= 1024, "max-procs", s.MaxProcs, "must be from 0 to 1024")
}

func (s *Settings) validateSecurity(p *problems) {
	p.check((s.TLSCert == "") == (s.TLSKey == ""), "tls-cert", s.TLSCert, "--tls-cert and --tls-key go together")
	p.check(s.OperatorToken != "" || s.TLSCA != "" || IsLoopback(s.OperatorListen), "operator-listen", s.OperatorListen,
		"needs --operator-token or --tls-ca unless bound to loopback")
}

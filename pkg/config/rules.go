package config

import (
	"fmt"
	"math"
	"net/netip"
	"strings"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/settings"
)

const (
	maxTimeoutMS    = 3_600_000
	maxSlots        = 100_000
	maxRampSeconds  = 86_400
	maxHedgePercent = 5

	ruleRegion  = "must name the region of a place"
	ruleService = "must name an existing service"
	ruleDomain  = "must name an existing place"
	ruleDiffer  = "must be another region than from_region"
	ruleShare   = "must be at least 0 and below 1"
	ruleRate    = "must be greater than 0"
)

var (
	ruleRamp = fmt.Sprintf("must be at most %d", maxRampSeconds)
)

// references looks up the objects and regions to which the objects of a snapshot refer.
type references struct {
	snapshot *Snapshot
	regions  map[string]bool
}

func newReferences(s *Snapshot) references {
	r := references{snapshot: s, regions: map[string]bool{}}
	for _, o := range s.List(KindPlace) {
		r.regions[o.GetPlace().GetRegion()] = true
	}
	return r
}

func (r references) exists(kind, name string) bool { return r.snapshot.Object(Key{kind, name}) != nil }

// objectChecker collects the problems of one object. prefix identifies the object and precedes each field name.
type objectChecker struct {
	*problems
	prefix string
}

func (c objectChecker) check(ok bool, field string, value any, rule string) {
	c.problems.check(ok, c.prefix+field, value, rule)
}

// checkObject checks the fields and references of one object.
func (p *problems) checkObject(r references, o *configv1.Object) {
	key := KeyOf(o)
	c := objectChecker{p, key.Kind + " " + key.Name + ": "}
	c.check(settings.ValidName(key.Name), "name", key.Name, ruleName)
	switch kind := o.GetKind().(type) {
	case *configv1.Object_Service:
		c.service(kind.Service)
	case *configv1.Object_Place:
		c.check(settings.ValidName(kind.Place.GetRegion()), "region", kind.Place.GetRegion(), ruleName)
	case *configv1.Object_Target:
		c.target(r, kind.Target)
	case *configv1.Object_Policy:
		c.policy(r, kind.Policy)
	case *configv1.Object_Link:
		c.regionPair(r, kind.Link.GetFromRegion(), kind.Link.GetToRegion())
		c.check(positive(kind.Link.GetMbitPerSecond()), "mbit_per_second", kind.Link.GetMbitPerSecond(), ruleRate)
	case *configv1.Object_Drain:
		c.drain(r, kind.Drain)
	case *configv1.Object_Move:
		c.move(r, kind.Move)
	case *configv1.Object_VirtualHost:
		c.virtualHost(r, kind.VirtualHost)
	}
}

func (c objectChecker) virtualHost(r references, v *configv1.VirtualHost) {
	c.check(v.GetName() == strings.ToLower(v.GetName()), "name", v.GetName(), "must be in lower case")
	seen := map[string]bool{}
	for i, rule := range v.GetRules() {
		inner := objectChecker{c.problems, fmt.Sprintf("%srules[%d].", c.prefix, i)}
		inner.rule(r, rule)
		inner.check(!seen[rule.GetPathPrefix()], "path_prefix", rule.GetPathPrefix(), "must appear once in a virtual host")
		seen[rule.GetPathPrefix()] = true
	}
}

func (c objectChecker) rule(r references, v *configv1.Rule) {
	prefix := v.GetPathPrefix()
	c.check(strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/"), "path_prefix", prefix, "must begin and end with a slash")
	c.check(v.GetTimeoutMs() >= 1 && v.GetTimeoutMs() <= maxTimeoutMS, "timeout_ms", v.GetTimeoutMs(),
		fmt.Sprintf("must be from 1 to %d", maxTimeoutMS))
	c.check(v.GetAttempts() >= 1, "attempts", v.GetAttempts(), "must be at least 1")
	c.check(v.GetRepeat() != configv1.Repeat_REPEAT_UNSPECIFIED && configv1.Repeat_name[int32(v.GetRepeat())] != "",
		"repeat", v.GetRepeat(), "must say whether a request may run again")
	weight := uint64(0)
	for i, d := range v.GetDestinations() {
		c.check(r.exists(KindService, d.GetService()), fmt.Sprintf("destinations[%d].service", i), d.GetService(), ruleService)
		weight += uint64(d.GetWeight())
	}
	c.check(weight > 0, "destinations", len(v.GetDestinations()), "must have a weight above 0")
	for i, region := range v.GetHomeRegions() {
		c.check(r.regions[region], fmt.Sprintf("home_regions[%d]", i), region, ruleRegion)
	}
}

func (c objectChecker) service(v *configv1.Service) {
	timeout := v.GetDefaultTimeoutMs()
	c.check(timeout >= 1 && timeout <= maxTimeoutMS, "default_timeout_ms", timeout,
		fmt.Sprintf("must be from 1 to %d", maxTimeoutMS))
	seen := map[string]bool{}
	for i, route := range v.GetRoutes() {
		field := fmt.Sprintf("routes[%d].", i)
		prefix := route.GetPathPrefix()
		c.check(strings.HasPrefix(prefix, "/"), field+"path_prefix", prefix, "must start with a slash")
		c.check(!seen[prefix], field+"path_prefix", prefix, "must appear once in a service")
		seen[prefix] = true
		c.check(configv1.RequestClass_name[int32(route.GetClass())] != "", field+"class", route.GetClass(), "must be a known class")
		c.check(!route.GetCommand() || !route.GetIdempotent(), field+"idempotent", true, "must be false on a command route")
	}
	objective := v.GetObjective()
	c.check(share(objective.GetAvailability()), "objective.availability", objective.GetAvailability(), ruleShare)
	c.check(share(objective.GetLatencyShare()), "objective.latency_share", objective.GetLatencyShare(), ruleShare)
	c.check(objective.GetLatencyShare() == 0 || objective.GetLatencyMs() > 0, "objective.latency_ms",
		objective.GetLatencyMs(), "must be greater than 0 when latency_share is set")
}

func (c objectChecker) target(r references, v *configv1.Target) {
	c.check(r.exists(KindService, v.GetService()), "service", v.GetService(), ruleService)
	c.check(r.exists(KindPlace, v.GetFailureDomain()), "failure_domain", v.GetFailureDomain(), ruleDomain)
	address, err := netip.ParseAddrPort(v.GetAddress())
	c.check(err == nil && address.Port() != 0, "address", v.GetAddress(),
		"must be an IP number and a port, such as 127.0.0.1:9000")
	slots := v.GetSlots()
	c.check(slots >= 1 && slots <= maxSlots, "slots", slots, fmt.Sprintf("must be from 1 to %d", maxSlots))
	connections := v.GetMaxConnections()
	c.check(connections == 0 || connections >= slots, "max_connections", connections, "must be 0 or at least slots")
	c.check(configv1.TargetState_name[int32(v.GetState())] != "", "state", v.GetState(), "must be a known state")
}

func (c objectChecker) policy(r references, v *configv1.Policy) {
	c.check(r.exists(KindService, v.GetService()), "service", v.GetService(), ruleService)
	seen := map[string]bool{}
	for i, region := range v.GetOverflowRegions() {
		field := fmt.Sprintf("overflow_regions[%d]", i)
		c.check(r.regions[region], field, region, ruleRegion)
		c.check(!seen[region], field, region, "must appear once")
		seen[region] = true
	}
	pairs := map[[2]string]bool{}
	for i, limit := range v.GetShiftCaps() {
		inner := objectChecker{c.problems, fmt.Sprintf("%sshift_caps[%d].", c.prefix, i)}
		inner.regionPair(r, limit.GetFromRegion(), limit.GetToRegion())
		inner.check(positive(limit.GetRequestsPerSecond()), "requests_per_second", limit.GetRequestsPerSecond(), ruleRate)
		pair := [2]string{limit.GetFromRegion(), limit.GetToRegion()}
		inner.check(!pairs[pair], "to_region", limit.GetToRegion(), "must have one cap per pair of regions")
		pairs[pair] = true
	}
	c.check(v.GetLongSharePercent() <= 100, "long_share_percent", v.GetLongSharePercent(), "must be at most 100")
	c.check(v.GetHedgePercent() <= maxHedgePercent, "hedge_percent", v.GetHedgePercent(),
		fmt.Sprintf("must be at most %d", maxHedgePercent))
}

func (c objectChecker) drain(r references, v *configv1.Drain) {
	c.check(v.GetRampSeconds() <= maxRampSeconds, "ramp_seconds", v.GetRampSeconds(), ruleRamp)
	switch subject := v.GetSubject().(type) {
	case *configv1.Drain_Target:
		// The target or the place of a cancelled drain may be deleted.
		c.check(v.GetCancelled() || r.exists(KindTarget, subject.Target), "target", subject.Target, "must name an existing target")
	case *configv1.Drain_FailureDomain:
		c.check(v.GetCancelled() || r.exists(KindPlace, subject.FailureDomain), "failure_domain", subject.FailureDomain, ruleDomain)
	case *configv1.Drain_Host:
		c.check(settings.ValidName(subject.Host), "host", subject.Host, ruleName)
	default:
		c.check(false, "subject", "", "must be a target, a host or a failure_domain")
	}
}

func (c objectChecker) move(r references, v *configv1.Move) {
	c.check(v.GetRampSeconds() <= maxRampSeconds, "ramp_seconds", v.GetRampSeconds(), ruleRamp)
	c.check(v.GetPercent() >= 1 && v.GetPercent() <= 100, "percent", v.GetPercent(), "must be from 1 to 100")
	if v.GetCancelled() {
		return
	}
	c.check(r.exists(KindService, v.GetService()), "service", v.GetService(), ruleService)
	c.regionPair(r, v.GetFromRegion(), v.GetToRegion())
}

func (c objectChecker) regionPair(r references, from, to string) {
	c.check(r.regions[from], "from_region", from, ruleRegion)
	c.check(r.regions[to], "to_region", to, ruleRegion)
	c.check(from != to, "to_region", to, ruleDiffer)
}

func positive(v float64) bool { return v > 0 && !math.IsInf(v, 0) }

func share(v float64) bool { return v >= 0 && v < 1 }

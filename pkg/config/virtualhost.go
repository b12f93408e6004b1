package config

import (
	"slices"
	"strings"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// ruleIndex holds the rules of virtual hosts, keyed by host name and path prefix.
type ruleIndex map[string]map[string]*configv1.Rule

// homeIndex holds the home regions of virtual hosts, keyed by host name.
type homeIndex map[string][]string

// Rule returns the rule of a virtual host with the longest matching path prefix, or nil. The host name must be in lower case.
// known is false if there is no virtual host of that name.
func (s *Snapshot) Rule(host, path string) (rule *configv1.Rule, known bool) {
	s.rulesOnce.Do(s.indexRules)
	byPrefix, known := s.rules[host]
	if !known {
		return nil, false
	}
	// All path prefixes end with a slash, so that only the parts of the path up to a slash are looked up.
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if rule := byPrefix[path[:end+1]]; rule != nil {
			return rule, true
		}
	}
	return nil, true
}

// HomeRegions returns the regions in which the requests to a virtual host may be served, or nil if its rules have no
// homes. The host name must be in lower case. If the rules have different homes, the result is what these have in common, or all of them if
// that is nothing. Rules without homes do not count.
func (s *Snapshot) HomeRegions(host string) []string {
	s.rulesOnce.Do(s.indexRules)
	return s.homes[host]
}

// HasVirtualHosts reports whether the configuration has virtual hosts, which then select the service of a request.
func (s *Snapshot) HasVirtualHosts() bool { return len(s.List(KindVirtualHost)) > 0 }

// RequestLimits returns the limits that apply to the requests of all callers, or nil.
func (s *Snapshot) RequestLimits() *configv1.RequestLimits {
	for _, o := range s.List(KindRequestLimits) {
		return o.GetRequestLimits()
	}
	return nil
}

func (s *Snapshot) indexRules() {
	s.rules, s.homes = ruleIndex{}, homeIndex{}
	for _, o := range s.List(KindVirtualHost) {
		host := o.GetVirtualHost()
		byPrefix := make(map[string]*configv1.Rule, len(host.GetRules()))
		for _, rule := range host.GetRules() {
			byPrefix[rule.GetPathPrefix()] = rule
		}
		s.rules[host.GetName()] = byPrefix
		s.homes[host.GetName()] = commonHomes(host.GetRules())
	}
}

// commonHomes returns the home regions that all rules with homes have in common, or all of them if there is no such region.
func commonHomes(rules []*configv1.Rule) []string {
	var common, all []string
	for _, rule := range rules {
		homes := rule.GetHomeRegions()
		switch {
		case len(homes) == 0:
			continue
		case all == nil:
			common = slices.Clone(homes)
		default:
			common = slices.DeleteFunc(common, func(region string) bool { return !slices.Contains(homes, region) })
		}
		all = append(all, homes...)
	}
	if len(common) > 0 {
		return common
	}
	slices.Sort(all)
	return slices.Compact(all)
}

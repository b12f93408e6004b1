package config

import (
	"strings"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// ruleIndex finds rules by host name and path prefix.
type ruleIndex map[string]map[string]*configv1.Rule

// Rule returns the rule with the longest path prefix for a host name in lower case, or nil. known is false if no virtual
// host has that name.
func (s *Snapshot) Rule(host, path string) (rule *configv1.Rule, known bool) {
	s.rulesOnce.Do(s.indexRules)
	byPrefix, known := s.rules[host]
	if !known {
		return nil, false
	}
	// Prefixes end with a slash, so only the parts of the path that do can be one.
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if rule := byPrefix[path[:end+1]]; rule != nil {
			return rule, true
		}
	}
	return nil, true
}

// HasVirtualHosts reports whether requests are told apart by virtual hosts.
func (s *Snapshot) HasVirtualHosts() bool { return len(s.List(KindVirtualHost)) > 0 }

// RequestLimits returns the limits of all callers' requests, or nil.
func (s *Snapshot) RequestLimits() *configv1.RequestLimits {
	for _, o := range s.List(KindRequestLimits) {
		return o.GetRequestLimits()
	}
	return nil
}

func (s *Snapshot) indexRules() {
	s.rules = ruleIndex{}
	for _, o := range s.List(KindVirtualHost) {
		host := o.GetVirtualHost()
		byPrefix := make(map[string]*configv1.Rule, len(host.GetRules()))
		for _, rule := range host.GetRules() {
			byPrefix[rule.GetPathPrefix()] = rule
		}
		s.rules[host.GetName()] = byPrefix
	}
}

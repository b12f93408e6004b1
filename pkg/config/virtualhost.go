package config

import (
	"strings"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// ruleIndex holds the rules of virtual hosts, keyed by host name and path prefix.
type ruleIndex map[string]map[string]*configv1.Rule

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

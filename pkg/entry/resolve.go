package entry

import (
	"math/rand/v2"
	"net/url"
	"strings"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// resolveService sets the service and the route, and reports whether there is such a service. A service named by the first path
// segment has precedence over one named by the Host header.
func (rq *request) resolveService(s *config.Snapshot, from *origin) bool {
	u := rq.in.URL
	rq.path, rq.rawPath = u.Path, u.RawPath
	if s.HasVirtualHosts() || from != nil && from.rule != nil {
		return rq.resolveRule(s, from)
	}
	if from != nil {
		return rq.setForwardedService(s, from)
	}
	segment, rest := splitSegment(u.Path)
	if rq.setService(s, segment); rq.service != nil {
		rq.path = rest
		if u.RawPath != "" {
			_, rq.rawPath = splitSegment(u.RawPath)
		}
		rq.route = findRoute(rq.service, rq.path)
		return true
	}
	host := strings.ToLower(hostOnly(rq.in.Host))
	if rq.setService(s, host); rq.service != nil {
		return true
	}
	label, _, _ := strings.Cut(host, ".")
	rq.setService(s, label)
	return rq.service != nil
}

// resolveRule sets the virtual host's rule that matches the request and the service of one of its destinations. A forwarded
// request keeps the rule and the destination of the first host, because this host may have an older or a newer configuration.
func (rq *request) resolveRule(s *config.Snapshot, from *origin) bool {
	if from != nil && from.rule != nil {
		rq.rule = from.rule
	} else {
		rq.rule, _ = s.Rule(strings.ToLower(hostOnly(rq.in.Host)), rq.path)
	}
	if rq.rule == nil {
		return false
	}
	if from != nil {
		return rq.setForwardedService(s, from)
	}
	rq.setService(s, pickDestination(rq.rule.GetDestinations()))
	return rq.service != nil
}

// setForwardedService sets the service and the route of a forwarded request and reports whether there is such a service. The route
// is the one of the first host, unless that is too old to send it.
func (rq *request) setForwardedService(s *config.Snapshot, from *origin) bool {
	rq.setService(s, from.service)
	if from.route != nil {
		rq.route = from.route
	}
	return rq.service != nil
}

// pickDestination returns the service of a destination picked at random, with probabilities proportional to the weights. It
// returns an empty name if all weights are 0.
func pickDestination(destinations []*configv1.Destination) string {
	if len(destinations) == 1 {
		return destinations[0].GetService()
	}
	sum := uint64(0)
	for _, d := range destinations {
		sum += uint64(d.GetWeight())
	}
	if sum == 0 {
		return ""
	}
	draw := rand.Uint64N(sum)
	for _, d := range destinations {
		if draw < uint64(d.GetWeight()) {
			return d.GetService()
		}
		draw -= uint64(d.GetWeight())
	}
	return ""
}

// setService sets the named service and its route. The service is nil if the configuration has none of this name.
func (rq *request) setService(s *config.Snapshot, name string) {
	if rq.service = s.Service(name); rq.service != nil {
		rq.name = name
		rq.route = findRoute(rq.service, rq.path)
	}
}

func splitSegment(path string) (segment, rest string) {
	segment, rest, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return segment, "/" + rest
}

func hostOnly(hostport string) string {
	u := url.URL{Host: hostport}
	return u.Hostname()
}

// findRoute returns the route with the longest matching path prefix, or nil.
func findRoute(service *configv1.Service, path string) *configv1.Route {
	var best *configv1.Route
	for _, route := range service.GetRoutes() {
		matches := strings.HasPrefix(path, route.GetPathPrefix())
		if matches && (best == nil || len(route.GetPathPrefix()) > len(best.GetPathPrefix())) {
			best = route
		}
	}
	return best
}

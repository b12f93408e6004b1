package steering

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/entry"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

// AdmitFunc takes the budget for one request of a service that moves to another region.
type AdmitFunc func(ctx context.Context, service, toRegion string) error

// Steerer turns candidates into places: for each other failure domain it picks one of the hosts there.
type Steerer struct {
	planner *Planner
	view    membership.View
	admit   AdmitFunc
}

var _ entry.Steerer = (*Steerer)(nil)

// NewSteerer returns a steerer. admit may be nil, which means that there is no cap.
func NewSteerer(planner *Planner, view membership.View, admit AdmitFunc) *Steerer {
	return &Steerer{planner: planner, view: view, admit: admit}
}

// Places implements entry.Steerer. Failure domains without a known host are left out.
func (s *Steerer) Places(req entry.SteerRequest) []entry.Place {
	// A source per call keeps callers from contending for one lock; the planner draws a few numbers only.
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	candidates := s.planner.Plan(req.Service, time.Now(), rnd)
	places := make([]entry.Place, 0, len(candidates))
	for _, c := range candidates {
		if c.FailureDomain == s.planner.domain {
			places = append(places, entry.Place{FailureDomain: c.FailureDomain})
			continue
		}
		if place, ok := s.remote(c, req.Service, rnd); ok {
			places = append(places, place)
		}
	}
	return places
}

func (s *Steerer) remote(c Candidate, service string, rnd *rand.Rand) (entry.Place, bool) {
	hosts := alive(s.view.Domain(c.FailureDomain))
	if len(hosts) == 0 {
		return entry.Place{}, false
	}
	place := entry.Place{
		FailureDomain: c.FailureDomain, Host: hosts[rnd.IntN(len(hosts))].Address(), Shifted: c.Shifted,
	}
	if c.Shifted && s.admit != nil {
		place.Admit = func(ctx context.Context) error { return s.admit(ctx, service, c.Region) }
	}
	return place, true
}

// Find returns a place in a failure domain, or in any other one than the own if the name is empty. Its region is one of homes
// unless that is empty.
func (s *Steerer) Find(failureDomain string, homes []string) (entry.Place, bool) {
	var members []membership.Member
	for _, m := range s.view.All() {
		wanted := m.FailureDomain == failureDomain || failureDomain == "" && m.FailureDomain != s.planner.domain
		home := len(homes) == 0 || slices.Contains(homes, m.Region)
		if wanted && home && m.State != membership.StateLeaving {
			members = append(members, m)
		}
	}
	if members = alive(members); len(members) == 0 {
		return entry.Place{}, false
	}
	host := members[rand.IntN(len(members))]
	return entry.Place{FailureDomain: host.FailureDomain, Host: host.Address(), Shifted: host.Region != s.planner.region}, true
}

// alive returns the members that are not suspect, or all if each is.
func alive(members []membership.Member) []membership.Member {
	var list []membership.Member
	for _, m := range members {
		if m.State == membership.StateAlive {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return members
	}
	return list
}

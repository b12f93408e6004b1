package steering

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/entry"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

// AdmitFunc consumes budget from the cap on shifts for one request of a service that is sent to another region. It returns an
// error if the cap has no budget left.
type AdmitFunc func(ctx context.Context, service, toRegion string) error

// Steerer resolves the planner's candidates to places. For each remote failure domain it picks one of a few of its hosts at random.
type Steerer struct {
	planner *Planner
	view    membership.View
	admit   AdmitFunc
}

var _ entry.Steerer = (*Steerer)(nil)

// NewSteerer returns a Steerer. A nil admit means that shifts to other regions are not capped.
func NewSteerer(planner *Planner, view membership.View, admit AdmitFunc) *Steerer {
	return &Steerer{planner: planner, view: view, admit: admit}
}

// Places implements entry.Steerer. It omits remote failure domains in which no host is known.
func (s *Steerer) Places(req entry.SteerRequest) []entry.Place {
	// A random source per call avoids lock contention on a shared one; the planner draws only a few numbers.
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	candidates := s.planner.Plan(req.Service, time.Now(), rnd)
	places := make([]entry.Place, 0, len(candidates))
	for _, c := range candidates {
		if c.FailureDomain == s.planner.domain {
			places = append(places, entry.Place{FailureDomain: c.FailureDomain})
			continue
		}
		if place, ok := s.remotePlace(c, req.Service, rnd); ok {
			places = append(places, place)
		}
	}
	return places
}

func (s *Steerer) remotePlace(c Candidate, service string, rnd *rand.Rand) (entry.Place, bool) {
	hosts := preferUsable(s.view.Domain(c.FailureDomain))
	if len(hosts) == 0 {
		return entry.Place{}, false
	}
	place := entry.Place{
		FailureDomain: c.FailureDomain, Host: s.pickHost(hosts, rnd.IntN).Address(), Shifted: c.Shifted,
	}
	if c.Shifted && s.admit != nil {
		place.Admit = func(ctx context.Context) error { return s.admit(ctx, service, c.Region) }
	}
	return place, true
}

// forwardingFanout is the number of hosts of one failure domain to which a host forwards requests. Each pair of hosts needs a session that
// is kept alive, so that sessions would grow with the square of the hosts otherwise.
const forwardingFanout = 3

// pickHost returns a random one of the forwardingFanout hosts that this host prefers. Rendezvous hashing, weighted by processor time, spreads
// the preferences of different hosts.
func (s *Steerer) pickHost(members []membership.Member, intN func(int) int) membership.Member {
	if len(members) <= forwardingFanout {
		return members[intN(len(members))]
	}
	return membership.Rank(s.view.Self().Host, members, membership.Member.ProcessorTime)[intN(forwardingFanout)]
}

// Find returns a random host in failureDomain, or in any remote failure domain if the name is empty. If homes is not empty,
// only hosts in those regions qualify. Find returns false if no host qualifies.
func (s *Steerer) Find(failureDomain string, homes []string) (entry.Place, bool) {
	var members []membership.Member
	for _, m := range s.view.All() {
		wanted := m.FailureDomain == failureDomain || failureDomain == "" && m.FailureDomain != s.planner.domain
		home := len(homes) == 0 || slices.Contains(homes, m.Region)
		if wanted && home && m.State != membership.StateLeaving {
			members = append(members, m)
		}
	}
	if members = preferUsable(members); len(members) == 0 {
		return entry.Place{}, false
	}
	host := s.pickHost(members, rand.IntN)
	return entry.Place{FailureDomain: host.FailureDomain, Host: host.Address(), Shifted: host.Region != s.planner.region}, true
}

// preferUsable returns the alive members that reach targets. If there are none it returns the alive ones, or else all members.
func preferUsable(members []membership.Member) []membership.Member {
	var alive, usable []membership.Member
	for _, m := range members {
		if m.State == membership.StateAlive {
			alive = append(alive, m)
		}
		if m.IsUsable() {
			usable = append(usable, m)
		}
	}
	switch {
	case len(usable) > 0:
		return usable
	case len(alive) > 0:
		return alive
	}
	return members
}

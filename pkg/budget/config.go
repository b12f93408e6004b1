package budget

import (
	"slices"

	"github.com/rattanhitch/rattanhitch/pkg/config"
)

// ShiftCapName returns the name of the cap on requests of a service that are shifted from one region to another.
func ShiftCapName(service, fromRegion, toRegion string) string {
	return "shift/" + service + "/" + fromRegion + "/" + toRegion
}

// LinkCapName returns the name of the cap on the bandwidth that responses use on a link.
func LinkCapName(link string) string { return "link/" + link }

// CapsFromSnapshot returns the caps of a configuration snapshot by name.
func CapsFromSnapshot(s *config.Snapshot) map[string]Cap {
	domains := map[string][]string{}
	for _, o := range s.List(config.KindPlace) {
		p := o.GetPlace()
		domains[p.GetRegion()] = append(domains[p.GetRegion()], p.GetName())
	}
	for _, list := range domains {
		slices.Sort(list)
	}
	caps := map[string]Cap{}
	for _, o := range s.List(config.KindPolicy) {
		for _, c := range o.GetPolicy().GetShiftCaps() {
			name := ShiftCapName(o.GetPolicy().GetService(), c.GetFromRegion(), c.GetToRegion())
			caps[name] = Cap{name, c.GetFromRegion(), UnitRequests, c.GetRequestsPerSecond(), domains[c.GetFromRegion()]}
		}
	}
	for _, o := range s.List(config.KindLink) {
		l := o.GetLink()
		name := LinkCapName(l.GetName())
		caps[name] = Cap{name, l.GetFromRegion(), UnitMegabits, l.GetMbitPerSecond(), domains[l.GetFromRegion()]}
	}
	return caps
}

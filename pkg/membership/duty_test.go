package membership

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// membersOfPlaces returns members of two places with 20 small hosts and two large ones each.
func membersOfPlaces() []Member {
	var list []Member
	for _, place := range []string{"a", "b"} {
		for i := range 22 {
			m := Member{Host: fmt.Sprintf("%s-%d", place, i), Place: place, Capacity: 112}
			if i >= 20 {
				m.Capacity = 800
			}
			list = append(list, m)
		}
	}
	return list
}

// Guards against duties of a whole failure domain at a host with a fraction of the others' processor time: it is short of it even when no
// request comes, and all that depends on it is late.
func TestDutiesGoToStrongHosts(t *testing.T) {
	is := is.New(t)
	members := membersOfPlaces()
	owners := map[string]bool{}
	for i := range 100 {
		ranked := RankForDuty(fmt.Sprint("duty ", i), members)
		is.Equal(len(ranked), len(members))
		for place, m := range ranked {
			is.Equal(m.Capacity == 800, place < 4)
		}
		owners[ranked[0].Host] = true
	}
	is.Equal(len(owners), 4) // different duties, different hosts
}

// Guards against all duties at the one host that has slightly more processor time than the others.
func TestDutiesAreSharedByHostsOfSimilarStrength(t *testing.T) {
	is := is.New(t)
	owners := map[string]bool{}
	for i := range 100 {
		owners[RankForDuty(fmt.Sprint("duty ", i), []Member{{Host: "a", Capacity: 800}, {Host: "b", Capacity: 820}})[0].Host] = true
	}
	is.Equal(len(owners), 2)
}

// Guards against a host that reads for all others while another one of its own place passes messages on there: they would go to and fro.
func TestOwnerOfAllIsTheOwnerOfItsPlace(t *testing.T) {
	is := is.New(t)
	members := membersOfPlaces()
	for i := range members {
		members[i].Capacity = uint32(i*37%900 + 100)
	}
	for i := range 100 {
		key := fmt.Sprint("duty ", i)
		first := RankForDuty(key, members)[0]
		var place []Member
		for _, m := range members {
			if m.Place == first.Place {
				place = append(place, m)
			}
		}
		is.Equal(RankForDuty(key, place)[0].Host, first.Host)
	}
}

// Guards against relays with little processor time: the first one sends the summaries of all other failure domains to each host of its own, and
// those that were starved by it were behind with their configuration as well.
func TestRelaysAreStrongHosts(t *testing.T) {
	is := is.New(t)
	members := membersOfPlaces()
	for _, domain := range []string{"d", "e", "f"} {
		for i := range members {
			members[i].FailureDomain = domain
		}
		relays := Relays(members, domain)
		is.Equal(len(relays), relaysPerDomain)
		for _, m := range relays {
			is.Equal(m.Capacity, uint32(800))
		}
		is.Equal(len(Relays(members, "another")), 0)
	}
}

// Guards against a duty that stays at a host without processor time while others have some.
func TestDutiesLeaveOverloadedHosts(t *testing.T) {
	is := is.New(t)
	members := membersOfPlaces()
	for range 4 {
		owner := RankForDuty("duty", members)[0]
		is.Equal(owner.Capacity, uint32(800))
		for i := range members {
			members[i].Overloaded = members[i].Overloaded || members[i].Host == owner.Host
		}
	}
	owner := RankForDuty("duty", members)[0]
	is.Equal(owner.Capacity, uint32(112))
	is.True(!owner.Overloaded)
}

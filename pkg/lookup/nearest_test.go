package lookup

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

func testHosts(place, region string, n int, state membership.State) []membership.Member {
	var list []membership.Member
	for i := range n {
		list = append(list, membership.Member{Host: fmt.Sprintf("%s-%d-%d", place, state, i), Place: place, Region: region, State: state})
	}
	return list
}

// Guards against leaving or dead hosts in the result, remote hosts while there are enough nearby ones, and a single
// host without an alternative.
func TestNearestHosts(t *testing.T) {
	is := is.New(t)
	all := append(testHosts("a", "north", 3, membership.StateAlive), testHosts("b", "north", 3, membership.StateAlive)...)
	all = append(all, testHosts("c", "south", 3, membership.StateAlive)...)
	all = append(all, testHosts("a", "north", 2, membership.StateLeaving)...)
	countByPlace := func(list []membership.Member) map[string]int {
		counts := map[string]int{}
		for _, m := range list {
			counts[m.Place]++
			is.Equal(m.State, membership.StateAlive)
		}
		return counts
	}
	is.Equal(countByPlace(Nearest(all, Caller{Place: "a", Region: "north"}, 10)), map[string]int{"a": 3})
	is.Equal(countByPlace(Nearest(all, Caller{Place: "unknown", Region: "north"}, 10)), map[string]int{"a": 3, "b": 3})
	is.Equal(countByPlace(Nearest(all, Caller{Place: "unknown", Region: "unknown"}, 10)), map[string]int{"a": 3, "b": 3, "c": 3})
	one := append(testHosts("a", "north", 1, membership.StateAlive), testHosts("b", "north", 3, membership.StateAlive)...)
	is.Equal(len(Nearest(one, Caller{Place: "a", Region: "north"}, 10)), 4)
	is.Equal(len(Nearest(all, Caller{Place: "c", Region: "south"}, 2)), 2)
	is.Equal(len(Nearest(testHosts("a", "north", 2, membership.StateDead), Caller{Place: "a", Region: "north"}, 10)), 0)
	is.Equal(len(Nearest(testHosts("a", "north", 2, membership.StateSuspect), Caller{Place: "a", Region: "north"}, 10)), 2)
}

// Guards against callers that send most of their requests out of their home region, or any of them, while one of its two hosts restarts
// (review/5: one in nine requests of the run).
func TestCallersWithHomesStayInTheirRegion(t *testing.T) {
	others := append(testHosts("b", "south", 2, membership.StateAlive), testHosts("c", "west", 2, membership.StateAlive)...)
	for _, c := range []struct {
		name  string
		hosts []membership.Member
		homes []string
		want  map[string]int
	}{
		{"two hosts", testHosts("a", "north", 2, membership.StateAlive), []string{"north"}, map[string]int{"north": 2}},
		{"one host", testHosts("a", "north", 1, membership.StateAlive), []string{"north"}, map[string]int{"north": 1}},
		{"one host, homes elsewhere", testHosts("a", "north", 1, membership.StateAlive), []string{"south"}, map[string]int{"north": 1}},
		{"no host, homes elsewhere", nil, []string{"north", "west"}, map[string]int{"west": 2}},
		{"no host in any home", nil, []string{"north"}, map[string]int{"south": 2, "west": 2}},
		{"one host, no homes", testHosts("a", "north", 1, membership.StateAlive), nil, map[string]int{"north": 1, "other": 1}},
		{"no host, no homes", nil, nil, map[string]int{"south": 2, "west": 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			members := append(append(c.hosts, testHosts("a", "north", 1, membership.StateLeaving)...), others...)
			got := map[string]int{}
			for _, m := range Nearest(members, Caller{Place: "a", Region: "north", Homes: c.homes}, 10) {
				region := m.Region
				if c.want["other"] > 0 && region != "north" {
					region = "other"
				}
				got[region]++
			}
			is.Equal(got, c.want)
		})
	}
}

// Guards against an empty result, which callers take for a failed lookup, while a single host is alive: after all others were lost, or
// while they are suspect.
func TestSingleAliveHostIsFound(t *testing.T) {
	is := is.New(t)
	alive := testHosts("a", "north", 1, membership.StateAlive)
	is.Equal(len(Nearest(alive, Caller{Place: "a", Region: "north"}, 10)), 1)
	is.Equal(len(Nearest(alive, Caller{Place: "c", Region: "south"}, 10)), 1)
	one := append(testHosts("b", "north", 1, membership.StateSuspect), alive...)
	is.Equal(len(Nearest(one, Caller{Place: "a", Region: "north"}, 10)), 2)
	is.Equal(len(Nearest(append(testHosts("b", "north", 3, membership.StateDead), alive...), Caller{Place: "a", Region: "north"}, 10)), 1)
}

// Guards against a selection that ignores Capacity, so that small hosts get as many callers as large ones.
func TestLargeHostsGetMoreCallers(t *testing.T) {
	is := is.New(t)
	list := testHosts("a", "north", 10, membership.StateAlive)
	for i := range list {
		list[i].Capacity = 100
	}
	list[0].Capacity = 800
	named := map[string]int{}
	for range 2000 {
		for _, m := range Nearest(list, Caller{Place: "a", Region: "north"}, 3) {
			named[m.Host]++
		}
	}
	is.True(named[list[0].Host] > 2*named[list[1].Host])
}

// Guards against callers that are sent to hosts which reach no target while others do, and against an empty result if none does.
func TestHostsThatReachNoTargetComeLast(t *testing.T) {
	is := is.New(t)
	cutOff := testHosts("a", "north", 3, membership.StateAlive)
	for i := range cutOff {
		cutOff[i].TargetsUnreachable = true
	}
	is.Equal(len(Nearest(cutOff, Caller{Place: "a", Region: "north"}, 10)), 3)
	all := append(cutOff, testHosts("b", "north", 2, membership.StateAlive)...)
	for _, m := range Nearest(all, Caller{Place: "a", Region: "north"}, 10) {
		is.Equal(m.Place, "b")
	}
}

// overloaded returns hosts of a failure domain without processor time for requests.
func overloaded(place, region string, n int) []membership.Member {
	list := testHosts(place, region, n, membership.StateAlive)
	for i := range list {
		list[i].Overloaded = true
	}
	return list
}

// Guards against callers that are sent to hosts which refuse their requests for want of processor time while others of the region have it, against
// all callers of an overloaded failure domain at a few hosts that are overloaded next, against lookups that shift callers to other regions without a
// limit, and against an empty result if all are overloaded.
func TestOverloadedHostsAreRelieved(t *testing.T) {
	idle := func(place, region string, n int) []membership.Member {
		return testHosts(place, region, n, membership.StateAlive)
	}
	for _, c := range []struct {
		name  string
		hosts [][]membership.Member
		homes []string
		// want is the number of hosts by failure domain that are named.
		want map[string]int
	}{
		{"half of the failure domain", [][]membership.Member{overloaded("a", "north", 2), idle("a", "north", 3)[2:], idle("b", "north", 4)}, nil,
			map[string]int{"a": 1, "b": 4}},
		{"few of the failure domain", [][]membership.Member{overloaded("a", "north", 1), idle("a", "north", 4)[1:], idle("b", "north", 4)}, nil, map[string]int{"a": 3}},
		{"the failure domain", [][]membership.Member{overloaded("a", "north", 4), idle("b", "north", 4), idle("c", "south", 4)}, nil, map[string]int{"b": 4}},
		{"most of the region", [][]membership.Member{overloaded("a", "north", 4), idle("b", "north", 2), idle("c", "south", 9)}, nil, map[string]int{"a": 4, "b": 2}},
		{"the region", [][]membership.Member{overloaded("a", "north", 4), idle("c", "south", 9)}, nil, map[string]int{"a": 4}},
		{"the only host of the region", [][]membership.Member{overloaded("a", "north", 1), idle("c", "south", 9)}, nil, map[string]int{"a": 1, "c": 1}},
		{"the region, with homes", [][]membership.Member{overloaded("a", "north", 2), idle("c", "south", 4)}, []string{"north"}, map[string]int{"a": 2}},
		{"the region, with homes elsewhere", [][]membership.Member{overloaded("a", "north", 2), idle("c", "south", 4), idle("d", "west", 4)}, []string{"south"},
			map[string]int{"a": 2}},
		{"another region, with homes there", [][]membership.Member{overloaded("c", "south", 4), idle("d", "west", 4)}, []string{"south"}, map[string]int{"c": 4}},
		{"all", [][]membership.Member{overloaded("a", "north", 2), overloaded("c", "south", 2)}, nil, map[string]int{"a": 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := map[string]int{}
			for _, m := range Nearest(slices.Concat(c.hosts...), Caller{Place: "a", Region: "north", Homes: c.homes}, 20) {
				got[m.Place]++
			}
			is.Equal(got, c.want)
		})
	}
}

package lookup

import (
	"fmt"
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
	is.Equal(countByPlace(Nearest(all, "a", "north", 10)), map[string]int{"a": 3})
	is.Equal(countByPlace(Nearest(all, "unknown", "north", 10)), map[string]int{"a": 3, "b": 3})
	is.Equal(countByPlace(Nearest(all, "unknown", "unknown", 10)), map[string]int{"a": 3, "b": 3, "c": 3})
	one := append(testHosts("a", "north", 1, membership.StateAlive), testHosts("b", "north", 3, membership.StateAlive)...)
	is.Equal(len(Nearest(one, "a", "north", 10)), 4)
	is.Equal(len(Nearest(all, "c", "south", 2)), 2)
	is.Equal(len(Nearest(testHosts("a", "north", 2, membership.StateDead), "a", "north", 10)), 0)
	is.Equal(len(Nearest(testHosts("a", "north", 2, membership.StateSuspect), "a", "north", 10)), 2)
}

// Guards against an empty result, which callers take for a failed lookup, while a single host is alive: after all others were lost, or
// while they are suspect.
func TestSingleAliveHostIsFound(t *testing.T) {
	is := is.New(t)
	alive := testHosts("a", "north", 1, membership.StateAlive)
	is.Equal(len(Nearest(alive, "a", "north", 10)), 1)
	is.Equal(len(Nearest(alive, "c", "south", 10)), 1)
	one := append(testHosts("b", "north", 1, membership.StateSuspect), alive...)
	is.Equal(len(Nearest(one, "a", "north", 10)), 2)
	is.Equal(len(Nearest(append(testHosts("b", "north", 3, membership.StateDead), alive...), "a", "north", 10)), 1)
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
		for _, m := range Nearest(list, "a", "north", 3) {
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
	is.Equal(len(Nearest(cutOff, "a", "north", 10)), 3)
	all := append(cutOff, testHosts("b", "north", 2, membership.StateAlive)...)
	for _, m := range Nearest(all, "a", "north", 10) {
		is.Equal(m.Place, "b")
	}
}

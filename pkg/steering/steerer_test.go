package steering

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

// Guards against requests that are forwarded to a host which reaches no target, or refuses them for want of processor time, while another one
// does neither.
func TestHostsThatReachTargetsArePreferred(t *testing.T) {
	is := is.New(t)
	cutOff := membership.Member{Host: "cut-off", TargetsUnreachable: true}
	suspect := membership.Member{Host: "suspect", State: membership.StateSuspect}
	usable := membership.Member{Host: "usable"}
	is.Equal(preferUsable([]membership.Member{cutOff, suspect, usable}), []membership.Member{usable})
	is.Equal(preferUsable([]membership.Member{cutOff, suspect}), []membership.Member{cutOff})
	is.Equal(preferUsable([]membership.Member{suspect}), []membership.Member{suspect})
	overloaded := membership.Member{Host: "overloaded", Overloaded: true}
	is.Equal(preferUsable([]membership.Member{overloaded, usable}), []membership.Member{usable})
}

// selfView is a membership view that knows only this host.
type selfView struct {
	membership.View
	host string
}

func (v selfView) Self() membership.Member { return membership.Member{Host: v.host} }

// Guards against a session between each pair of hosts of different regions, and against hosts that get far more forwarded requests
// than others.
func TestRequestsAreForwardedToFewHosts(t *testing.T) {
	is := is.New(t)
	var members []membership.Member
	for i := range 48 {
		members = append(members, membership.Member{Host: fmt.Sprintf("there-%d", i)})
	}
	load := map[string]int{}
	for i := range 96 {
		s := &Steerer{view: selfView{host: fmt.Sprintf("here-%d", i)}}
		used := map[string]bool{}
		for n := range 300 {
			host := s.pickHost(members, func(of int) int { return n % of }).Host
			used[host] = true
			load[host]++
		}
		is.Equal(len(used), forwardingFanout)
	}
	mean := 96 * 300 / len(members)
	for _, n := range load {
		is.True(n < 3*mean)
	}
	only := &Steerer{view: selfView{host: "here"}}
	is.Equal(only.pickHost(members[:1], rand.IntN).Host, "there-0")
}

package steering

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

// Guards against requests that are forwarded to a host which reaches no target while another one does.
func TestHostsThatReachTargetsArePreferred(t *testing.T) {
	is := is.New(t)
	cutOff := membership.Member{Host: "cut-off", TargetsUnreachable: true}
	suspect := membership.Member{Host: "suspect", State: membership.StateSuspect}
	usable := membership.Member{Host: "usable"}
	is.Equal(preferUsable([]membership.Member{cutOff, suspect, usable}), []membership.Member{usable})
	is.Equal(preferUsable([]membership.Member{cutOff, suspect}), []membership.Member{cutOff})
	is.Equal(preferUsable([]membership.Member{suspect}), []membership.Member{suspect})
}

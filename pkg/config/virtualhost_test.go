package config

import (
	"testing"

	"github.com/matryer/is"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// Guards against lookups that name hosts out of the home regions of a virtual host, because only some of its rules have homes or because
// they have different ones.
func TestHomeRegionsOfVirtualHosts(t *testing.T) {
	for _, c := range []struct {
		name  string
		homes [][]string // of each rule
		want  []string
	}{
		{"no rule", nil, nil},
		{"no homes", [][]string{nil, {}}, nil},
		{"one rule has homes", [][]string{nil, {"north", "south"}, nil}, []string{"north", "south"}},
		{"common homes", [][]string{{"north", "south"}, {"south", "west"}}, []string{"south"}},
		{"nothing in common", [][]string{{"north"}, {"south", "west"}, {"west"}}, []string{"north", "south", "west"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			host := &configv1.VirtualHost{Name: "a.example"}
			for _, homes := range c.homes {
				host.Rules = append(host.Rules, &configv1.Rule{HomeRegions: homes})
			}
			snap := NewSnapshot(1, []*configv1.Object{{Kind: &configv1.Object_VirtualHost{VirtualHost: host}}})
			is.Equal(snap.HomeRegions("a.example"), c.want)
			is.Equal(snap.HomeRegions("b.example"), nil)
		})
	}
}

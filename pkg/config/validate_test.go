package config

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

func service(name string) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Service{Service: &configv1.Service{Name: name, DefaultTimeoutMs: 1000}}}
}

func target(t *configv1.Target) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Target{Target: t}}
}

func policy(p *configv1.Policy) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Policy{Policy: p}}
}

func drain(d *configv1.Drain) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Drain{Drain: d}}
}

func move(v *configv1.Move) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Move{Move: v}}
}

func link(v *configv1.Link) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Link{Link: v}}
}

func validSnapshot() *Snapshot {
	return NewSnapshot(1, []*configv1.Object{
		service("s"), place("a"), place("b"),
		target(&configv1.Target{Name: "t", Service: "s", FailureDomain: "a", Address: "127.0.0.1:1", Slots: 4}),
		policy(&configv1.Policy{Name: "p", Service: "s"}),
	})
}

// Guards against a validation rule that is not enforced, and against a problem that does not name the field, the value and the
// rule.
func TestValidateNamesFieldValueAndRule(t *testing.T) {
	inf := 1 / zero()
	cases := []struct {
		object             *configv1.Object
		field, value, rule string
	}{
		{place("a b"), "mutations[0].name", "a b", "letters"},
		{service("x/y"), "mutations[0].name", "x/y", "letters"},
		{&configv1.Object{Kind: &configv1.Object_Service{Service: &configv1.Service{Name: "z"}}}, "default_timeout_ms", "0", "from 1"},
		{target(&configv1.Target{Name: "t", Service: "none"}), "target t: service", "none", "existing service"},
		{target(&configv1.Target{Name: "t", FailureDomain: "none"}), "target t: failure_domain", "none", "existing place"},
		{target(&configv1.Target{Name: "t", Address: "localhost:1"}), "target t: address", "localhost:1", "IP number"},
		{target(&configv1.Target{Name: "t", Address: "127.0.0.1"}), "target t: address", "127.0.0.1", "port"},
		{target(&configv1.Target{Name: "u", Address: "127.0.0.1:1"}), "target u: address", "127.0.0.1:1", "differ"},
		{target(&configv1.Target{Name: "t"}), "target t: slots", "0", "from 1"},
		{target(&configv1.Target{Name: "t", Slots: 4, MaxConnections: 3}), "target t: max_connections", "3", "slots"},
		{target(&configv1.Target{Name: "t", State: 9}), "target t: state", "9", "known state"},
		{policy(&configv1.Policy{Name: "p", Service: "s", HedgePercent: 6}), "policy p: hedge_percent", "6", "at most 5"},
		{policy(&configv1.Policy{Name: "p", LongSharePercent: 101}), "policy p: long_share_percent", "101", "at most 100"},
		{policy(&configv1.Policy{Name: "q", Service: "s"}), "policy q: service", "s", "one policy"},
		{policy(&configv1.Policy{Name: "p", OverflowRegions: []string{"no"}}), "overflow_regions[0]", "no", "region"},
		{policy(&configv1.Policy{Name: "p", ShiftCaps: []*configv1.ShiftCap{{FromRegion: "r-a", ToRegion: "r-b"}}}),
			"shift_caps[0].requests_per_second", "0", "greater than 0"},
		{policy(&configv1.Policy{Name: "p", ShiftCaps: []*configv1.ShiftCap{{FromRegion: "r-a", ToRegion: "r-b", RequestsPerSecond: inf}}}),
			"shift_caps[0].requests_per_second", "+Inf", "greater than 0"},
		{link(&configv1.Link{Name: "l", FromRegion: "r-a", ToRegion: "r-a"}), "link l: to_region", "r-a", "another region"},
		{link(&configv1.Link{Name: "l", FromRegion: "r-a", ToRegion: "r-b"}), "link l: mbit_per_second", "0", "greater than 0"},
		{drain(&configv1.Drain{Name: "d"}), "drain d: subject", "", "must be a target"},
		{drain(&configv1.Drain{Name: "d", Subject: &configv1.Drain_Target{Target: "x"}}), "drain d: target", "x", "existing target"},
		{move(&configv1.Move{Name: "m", Percent: 101}), "move m: percent", "101", "from 1 to 100"},
		{move(&configv1.Move{Name: "m", Service: "s", FromRegion: "r-a", ToRegion: "no"}), "move m: to_region", "no", "region"},
	}
	for _, c := range cases {
		is := is.New(t)
		err := Validate(validSnapshot(), &configv1.Change{Version: 2, RequestId: "id", Mutations: putAt(c.object, 0)})
		var invalid *ValidationError
		is.True(errors.As(err, &invalid))
		found := false
		for _, p := range invalid.Problems {
			found = found || strings.HasSuffix(p.Field, c.field) && p.Value == c.value && strings.Contains(p.Rule, c.rule)
		}
		if !found {
			t.Errorf("no problem with field %q, value %q, rule %q in: %v", c.field, c.value, c.rule, err)
		}
	}
}

func zero() float64 { return 0 }

// Guards against deleting an object to which others refer, and against refusing the deletion if the same change deletes those
// others too.
func TestDeletionNeedsNoReferences(t *testing.T) {
	is := is.New(t)
	remove := func(keys ...Key) error {
		change := &configv1.Change{Version: 2, RequestId: "id"}
		for _, k := range keys {
			change.Mutations = append(change.Mutations, &configv1.Mutation{Action: &configv1.Mutation_Delete{
				Delete: &configv1.ObjectKey{Kind: k.Kind, Name: k.Name}}})
		}
		return Validate(validSnapshot(), change)
	}
	s, tg, p := Key{KindService, "s"}, Key{KindTarget, "t"}, Key{KindPolicy, "p"}
	is.True(remove(s) != nil)
	is.True(remove(s, tg) != nil)
	is.NoErr(remove(s, tg, p))
	is.True(remove(Key{KindPlace, "a"}) != nil)
	is.NoErr(remove(Key{KindPlace, "b"}))
}

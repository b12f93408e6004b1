package config

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

const (
	snapshotRuns    = 8
	snapshotChanges = 300
)

// randomObject returns an object with few possible names and values, so that changes often concern the same index entries and
// violate rules.
func randomObject(rng *rand.Rand) *configv1.Object {
	name := func(prefix string, n int) string { return fmt.Sprint(prefix, rng.IntN(n)) }
	switch rng.IntN(10) {
	case 0:
		return service(name("s", 3))
	case 1:
		o := place(name("d", 4))
		o.GetPlace().Region = name("r", 3)
		return o
	case 2:
		return policy(&configv1.Policy{Name: name("p", 3), Service: name("s", 3), OverflowRegions: []string{name("r", 3)}})
	case 3:
		return link(&configv1.Link{Name: name("l", 3), FromRegion: name("r", 3), ToRegion: name("r", 3), MbitPerSecond: 1})
	case 4:
		subject := &configv1.Drain_Target{Target: name("t", 30)}
		return drain(&configv1.Drain{Name: name("x", 3), Subject: subject, Cancelled: rng.IntN(2) == 0})
	case 5:
		return move(&configv1.Move{
			Name: name("m", 3), Service: name("s", 3), FromRegion: name("r", 3), ToRegion: name("r", 3),
			Percent: uint32(rng.IntN(80)), Cancelled: rng.IntN(2) == 0,
		})
	}
	return target(&configv1.Target{
		Name: name("t", 30), Service: name("s", 3), FailureDomain: name("d", 4),
		Address: fmt.Sprint("127.0.0.1:", 1+rng.IntN(100)), Slots: 1,
	})
}

func randomChange(rng *rand.Rand, s *Snapshot) *configv1.Change {
	change := &configv1.Change{Version: s.Version + 1, RequestId: "id"}
	seen := map[Key]bool{}
	for range 1 + rng.IntN(3) {
		o := randomObject(rng)
		k := KeyOf(o)
		if seen[k] {
			continue
		}
		seen[k] = true
		m := &configv1.Mutation{Action: &configv1.Mutation_Put{Put: o}}
		if rng.IntN(5) == 0 {
			m.Action = &configv1.Mutation_Delete{Delete: &configv1.ObjectKey{Kind: k.Kind, Name: k.Name}}
		}
		change.Mutations = append(change.Mutations, m)
	}
	return change
}

// Guards against errors of the copy-on-write update and the incremental validation: indexes that do not match the objects after a
// change, a change that modifies an older snapshot through shared data, and a validation of the changed objects whose result
// differs from that of all objects.
func TestWithEqualsSnapshotOfAllObjects(t *testing.T) {
	accepted, refused := 0, 0
	for seed := range uint64(snapshotRuns) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(seed, 1))
			s := baseSnapshot()
			is.NoErr(ValidateSnapshot(s))
			valid := s
			for range snapshotChanges {
				change := randomChange(rng, s)
				before := NewSnapshot(s.Version, s.List(""))
				naive := NewSnapshot(change.GetVersion(), objectsAfter(s, change))
				next, err := s.With(change)
				is.NoErr(err)
				checkSameSnapshot(is, s, before)
				checkSameSnapshot(is, next, naive)

				got, want := validateNext(s, next, change), ValidateSnapshot(naive)
				is.Equal(fmt.Sprint(got), fmt.Sprint(want))
				switch {
				case want == nil:
					accepted++
					s, valid = next, next
				case rng.IntN(4) == 0:
					// Later changes are applied to the invalid configuration, as on a host that has read it.
					refused++
					s = next
				default:
					refused++
					s = valid
				}
			}
		})
	}
	t.Logf("%d changes accepted, %d refused", accepted, refused)
	is.New(t).True(accepted > 200 && refused > 200) // both results of the validation occur often
}

func baseSnapshot() *Snapshot {
	var objects []*configv1.Object
	for i := range 4 {
		o := place(fmt.Sprint("d", i))
		o.GetPlace().Region = fmt.Sprint("r", i%3)
		objects = append(objects, o, service(fmt.Sprint("s", i%3)))
	}
	return NewSnapshot(0, objects)
}

// objectsAfter returns the objects of s after a change, computed without With.
func objectsAfter(s *Snapshot, change *configv1.Change) []*configv1.Object {
	objects := map[Key]*configv1.Object{}
	for _, o := range s.List("") {
		objects[KeyOf(o)] = o
	}
	for _, m := range change.GetMutations() {
		delete(objects, mutationKey(m))
		if put := m.GetPut(); put != nil {
			o := proto.CloneOf(put)
			o.Version = change.GetVersion()
			objects[KeyOf(o)] = o
		}
	}
	return slices.Collect(maps.Values(objects))
}

// checkSameSnapshot asserts that all lookups in two snapshots return the same.
func checkSameSnapshot(is *is.I, got, want *Snapshot) {
	is.Helper()
	is.Equal(got.Version, want.Version)
	for _, kind := range append(Kinds, "") {
		is.True(slices.EqualFunc(got.List(kind), want.List(kind), func(a, b *configv1.Object) bool { return proto.Equal(a, b) }))
	}
	is.True(slices.IsSortedFunc(got.List(""), func(a, b *configv1.Object) int {
		ka, kb := KeyOf(a), KeyOf(b)
		return cmp.Or(cmp.Compare(ka.Kind, kb.Kind), cmp.Compare(ka.Name, kb.Name))
	}))
	for _, o := range want.List("") {
		is.True(proto.Equal(got.Object(KeyOf(o)), o))
	}
	for i := range 4 {
		domain := fmt.Sprint("d", i)
		is.Equal(got.Region(domain), want.Region(domain))
		for j := range 3 {
			svc := fmt.Sprint("s", j)
			is.True(proto.Equal(got.Policy(svc), want.Policy(svc)))
			is.True(proto.Equal(got.Service(svc), want.Service(svc)))
			is.True(slices.EqualFunc(got.Targets(svc, domain), want.Targets(svc, domain),
				func(a, b *configv1.Target) bool { return proto.Equal(a, b) }))
		}
	}
	for port := range 100 {
		address := fmt.Sprint("127.0.0.1:", 1+port)
		is.Equal(got.addresses.get(address), want.addresses.get(address))
	}
}

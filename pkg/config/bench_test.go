package config

import (
	"fmt"
	"testing"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// largeSnapshot returns a snapshot of n objects: 58 places in 28 regions, 20 services, and targets.
func largeSnapshot(n int) *Snapshot {
	var objects []*configv1.Object
	for i := range 58 {
		objects = append(objects, &configv1.Object{Kind: &configv1.Object_Place{Place: &configv1.Place{
			Name: fmt.Sprint("d", i), Region: fmt.Sprint("r", i%28),
		}}})
	}
	for i := range 20 {
		objects = append(objects, &configv1.Object{Kind: &configv1.Object_Service{Service: &configv1.Service{
			Name: fmt.Sprint("s", i), DefaultTimeoutMs: 1000,
		}}})
	}
	for i := 0; len(objects) < n; i++ {
		objects = append(objects, largeTarget(i))
	}
	return NewSnapshot(1, objects)
}

// largeTarget returns target i of largeSnapshot.
func largeTarget(i int) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Target{Target: &configv1.Target{
		Name: fmt.Sprint("t", i), Service: fmt.Sprint("s", i%20), FailureDomain: fmt.Sprint("d", i/20%58),
		Address: fmt.Sprintf("127.%d.%d.1:9000", i>>8, i&255), Slots: 4,
	}}}
}

// BenchmarkWith measures applying a change of one target.
func BenchmarkWith(b *testing.B) {
	forSizes(b, func(b *testing.B, s *Snapshot, change *configv1.Change) {
		for b.Loop() {
			if _, err := s.With(change); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkValidate measures validating a change of one target.
func BenchmarkValidate(b *testing.B) {
	forSizes(b, func(b *testing.B, s *Snapshot, change *configv1.Change) {
		if err := ValidateSnapshot(s); err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			if err := Validate(s, change); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func forSizes(b *testing.B, measure func(b *testing.B, s *Snapshot, change *configv1.Change)) {
	for _, n := range []int{2000, 4000, 8000, 16_000} {
		b.Run(fmt.Sprint("objects=", n), func(b *testing.B) {
			o := largeTarget(100)
			o.GetTarget().Slots = 8
			change := &configv1.Change{Version: 2, RequestId: "id", Mutations: putAt(o, 0)}
			s := largeSnapshot(n)
			b.ReportAllocs()
			measure(b, s, change)
		})
	}
}

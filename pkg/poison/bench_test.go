package poison

import (
	"testing"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// loneHost is a view with one host, which also serves as its registrar.
type loneHost struct{ membership.View }

func (loneHost) Self() membership.Member     { return membership.Member{Host: "h", FailureDomain: "d"} }
func (loneHost) Handle(string, peer.Handler) {}

func fullRegistry() *Registry {
	r := New(Options{View: loneHost{}, Registrar: loneHost{}})
	now := time.Now()
	for i := range uint64(maxRecords) {
		r.Crashed(i+1, Crash{Target: "target-000001", Started: now.Add(-time.Second), Ended: now})
	}
	return r
}

// BenchmarkRefusedFor measures what each request costs: without records, and with as many as a host keeps.
func BenchmarkRefusedFor(b *testing.B) {
	now := time.Now()
	for name, r := range map[string]*Registry{"none": New(Options{View: loneHost{}, Registrar: loneHost{}}), "full": fullRegistry()} {
		b.Run(name, func(b *testing.B) {
			for i := range b.N {
				r.RefusedFor(uint64(i)|1<<40, now)
			}
		})
	}
}

// BenchmarkFullRegistry measures the memory of a full registry.
func BenchmarkFullRegistry(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		fullRegistry()
	}
}

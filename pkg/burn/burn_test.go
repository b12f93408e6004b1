package burn

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	operatorv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

var testService = &configv1.Service{Name: "lookup", Objective: &configv1.Objective{Availability: 0.99, LatencyMs: 100, LatencyShare: 0.9}}

func findService(name string) *configv1.Service {
	if name == "lookup" {
		return testService
	}
	return nil
}

// Guards against requests that are not counted because another goroutine replaces the expired bucket at the same time.
func TestRecordLosesNothing(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		r := NewRecorder(findService)
		const workers, each = 8, 500
		var group conc.WaitGroup
		for range workers {
			group.Go(func() {
				for i := range each {
					r.Record("lookup", Outcome(i%2), 200*time.Millisecond)
					time.Sleep(time.Second)
				}
			})
		}
		group.Wait()
		r.Record("none", Failed, 0)
		is.Equal(len(r.Counts().GetServices()), 1) // no series for a service that does not exist
		long := Report([]*configv1.Service{testService}, []*peerv1.BurnResponse{r.Counts()}, time.Now())[0].GetLongWindow()
		is.Equal([]uint64{long.GetRequests(), long.GetFailed(), long.GetSlow()}, []uint64{workers * each, workers * each / 2, workers * each / 2})
		time.Sleep(2 * time.Hour)
		r.Record("lookup", OK, 0)
		long = Report([]*configv1.Service{testService}, []*peerv1.BurnResponse{r.Counts()}, time.Now())[0].GetLongWindow()
		is.Equal(long.GetRequests(), uint64(1)) // buckets older than the long window are not counted
	})
}

// Guards against a burn rate that ignores one of the two objectives, and against a short window that counts the buckets of the
// long one.
func TestReportMergesHostsAndWindows(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_020, 0)
	host := func(age time.Duration, requests, failed, slow uint64) *peerv1.BurnResponse {
		start := now.Add(-age).Unix()
		b := &peerv1.BurnBucket{UnixSeconds: start - start%bucketSeconds, Seconds: bucketSeconds, Requests: requests, Failed: failed, Slow: slow}
		return &peerv1.BurnResponse{Services: []*peerv1.BurnCounts{{Service: "lookup", Buckets: []*peerv1.BurnBucket{b}}}}
	}
	hosts := []*peerv1.BurnResponse{host(time.Minute, 60, 1, 0), host(time.Minute, 40, 0, 0), host(30*time.Minute, 100, 0, 50)}
	got := Report([]*configv1.Service{testService}, hosts, now)[0]
	is.Equal(got.GetShortWindow().GetRequests(), uint64(100))
	is.True(approxEqual(got.GetShortWindow().GetBurnRate(), 1)) // 1% failed of 1% allowed
	is.Equal(got.GetLongWindow().GetRequests(), uint64(200))
	is.True(approxEqual(got.GetLongWindow().GetBurnRate(), 2.5)) // 25% slow of 10% allowed
	is.True(approxEqual(got.GetBudgetLeft(), -1.5))
	is.Equal(len(got.GetHistory()), 2)
}

func approxEqual(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }

// Guards against a page that loads other files, that does not escape service names, or that omits the hosts without figures.
func TestPageIsSelfContained(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_020, 0)
	report := &operatorv1.BurnReportResponse{MissingHosts: []string{"h9"}, Services: []*operatorv1.ServiceBurn{
		{Service: "<script>", History: []*operatorv1.BurnPoint{{UnixSeconds: now.Unix() - 60, BurnRate: 3}}},
	}}
	var page strings.Builder
	is.NoErr(WriteHTML(&page, report, now))
	is.True(strings.Contains(page.String(), "<polyline points=\"600.0,30.0\""))
	is.True(strings.Contains(page.String(), "h9"))
	for _, forbidden := range []string{"<script>", "src=", "href=", "http:"} {
		is.True(!strings.Contains(page.String(), forbidden))
	}
}

func BenchmarkRecord(b *testing.B) {
	r := NewRecorder(findService)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record("lookup", OK, time.Millisecond)
		}
	})
}

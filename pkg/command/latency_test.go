package command

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
)

// Measures in virtual time the latency that the claim of a caller-supplied key adds to a command. Guards against more
// transactions than one per commitInterval, which the platform's table cannot sustain from all hosts.
func TestClaimLatency(t *testing.T) {
	const span = 20 * time.Second
	for _, roundTrip := range []time.Duration{2 * time.Millisecond, 40 * time.Millisecond, 70 * time.Millisecond} {
		for _, rate := range []int{5, 25, 100, 500} {
			bubble.Run(t, func(t *testing.T) {
				e, table := newExecutor(Limits{})
				defer e.Close()
				table.latency = roundTrip
				hist := hdrhistogram.New(1, 10_000_000, 3)
				var mu sync.Mutex
				var wg sync.WaitGroup
				for i := range rate * int(span/time.Second) {
					time.Sleep(time.Second / time.Duration(rate))
					wg.Go(func() {
						start := time.Now()
						e.Execute(t.Context(), cmd(fmt.Sprint("k", i)), &countingSender{})
						mu.Lock()
						defer mu.Unlock()
						hist.RecordValue(max(1, time.Since(start).Microseconds()))
					})
				}
				wg.Wait()
				t.Logf("round trip %s, %d commands/s: p50 %.1f ms, p99 %.1f ms, max %.1f ms, %.1f transactions/s", roundTrip, rate,
					float64(hist.ValueAtQuantile(50))/1000, float64(hist.ValueAtQuantile(99))/1000, float64(hist.Max())/1000,
					float64(table.commits)/span.Seconds())
				if table.commits > int(span/commitInterval)+2 {
					t.Errorf("%d transactions in %s", table.commits, span)
				}
			})
		}
	}
}

// BenchmarkTicket measures the CPU time of executing a command with a ticket, without the request to the target.
func BenchmarkTicket(b *testing.B) {
	e, _ := newExecutor(Limits{MaxRecords: 1 << 30, MaxBytes: 1 << 60})
	b.ReportAllocs()
	for b.Loop() {
		e.Execute(b.Context(), cmd(e.Ticket()), &countingSender{})
	}
}

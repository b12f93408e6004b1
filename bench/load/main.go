// Command load is a closed-loop load generator for entry hosts. It prints the throughput, latency percentiles, failures by reason
// and the longest time without a successful request.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
)

const (
	// highestLatency is the largest latency that the histogram can record, in microseconds.
	highestLatency = int64(time.Minute / time.Microsecond)
	// significantDigits is the precision of the histogram, in decimal digits.
	significantDigits = 3
	// requestTimeout is the time limit of a request, including its response body.
	requestTimeout = 10 * time.Second
)

// options holds the values of the command-line flags.
type options struct {
	hosts    []string
	path     string
	callers  int
	duration time.Duration
}

// result aggregates the outcomes of all requests.
type result struct {
	mu sync.Mutex
	// latency holds the latencies of successful requests, in microseconds.
	latency *hdrhistogram.Histogram
	// failures holds the number of failed requests by reason.
	failures    map[string]int
	lastSuccess time.Time
	longestGap  time.Duration
}

func main() {
	var o options
	cmd := &cobra.Command{Use: "load", Args: cobra.NoArgs, SilenceUsage: true, RunE: func(cmd *cobra.Command, _ []string) error {
		return run(cmd.Context(), o)
	}}
	cmd.Flags().StringSliceVar(&o.hosts, "hosts", nil, "addresses; each caller uses them in turn")
	cmd.Flags().StringVar(&o.path, "path", "/tides/x?work=5ms&size=1000", "path and query of the requests")
	cmd.Flags().IntVar(&o.callers, "callers", 10, "requests at the same time")
	cmd.Flags().DurationVar(&o.duration, "duration", 10*time.Second, "how long to send")
	if err := cmd.Execute(); err != nil {
		os.Exit(1)
	}
}

// run sends requests with o.callers concurrent callers for o.duration. Each caller sends its next request after the response to
// its last one, to the hosts in turn.
func run(ctx context.Context, o options) error {
	ctx, cancel := context.WithTimeout(ctx, o.duration)
	defer cancel()
	r := &result{
		latency: hdrhistogram.New(1, highestLatency, significantDigits), failures: map[string]int{}, lastSuccess: time.Now(),
	}
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: o.callers}}
	var callers sync.WaitGroup
	for c := range o.callers {
		callers.Go(func() {
			for n := c; ctx.Err() == nil; n++ {
				r.send(client, "http://"+o.hosts[n%len(o.hosts)]+o.path, fmt.Sprintf("%d-%d", c, n))
			}
		})
	}
	callers.Wait()
	r.printSummary(o.duration)
	return nil
}

// send sends one request and records its outcome.
func (r *result) send(client *http.Client, url, id string) {
	started := time.Now()
	reason := sendRequest(client, url, id)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason != "" {
		r.failures[reason]++
		return
	}
	r.longestGap = max(r.longestGap, now.Sub(r.lastSuccess))
	r.lastSuccess = now
	_ = r.latency.RecordValue(now.Sub(started).Microseconds())
}

// sendRequest sends one request and returns the reason of its failure, or an empty string on success.
func sendRequest(client *http.Client, url, id string) string {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err.Error()
	}
	req.Header.Set(target.HeaderRequestID, id)
	resp, err := client.Do(req)
	if err != nil {
		return "no response"
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "broken response"
	}
	switch {
	case resp.StatusCode != http.StatusOK:
		return resp.Header.Get(reply.HeaderReason)
	case resp.Header.Get(target.HeaderRequestID) != id:
		return "response of another request"
	}
	return ""
}

func (r *result) printSummary(took time.Duration) {
	count := r.latency.TotalCount()
	fmt.Printf("%d requests, %.0f/s; p50 %s, p99 %s, p99.9 %s, max %s; longest time without a success %s; failures:%s\n",
		count, float64(count)/took.Seconds(), r.quantile(50), r.quantile(99), r.quantile(99.9), r.quantile(100),
		r.longestGap.Round(time.Millisecond), r.reasons())
}

// quantile returns a latency percentile; percentile is from 0 to 100.
func (r *result) quantile(percentile float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(percentile)) * time.Microsecond
}

func (r *result) reasons() string {
	if len(r.failures) == 0 {
		return " none"
	}
	var list []string
	for reason, n := range r.failures {
		list = append(list, fmt.Sprintf(" %s %d", reason, n))
	}
	slices.Sort(list)
	return strings.Join(list, ",")
}

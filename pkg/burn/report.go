package burn

import (
	"maps"
	"slices"
	"time"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	operatorv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// historyStep is the time between two points in the history of a report.
const historyStep = time.Minute

// requestCounts are request counts summed over buckets.
type requestCounts struct{ requests, failed, slow uint64 }

func (c *requestCounts) add(b *peerv1.BurnBucket) {
	c.requests += b.GetRequests()
	c.failed += b.GetFailed()
	c.slow += b.GetSlow()
}

// Merge sums the counts of several hosts. The keys of the result are the service and the start of the bucket in Unix seconds.
func Merge(hosts []*peerv1.BurnResponse) map[string]map[int64]*peerv1.BurnBucket {
	merged := map[string]map[int64]*peerv1.BurnBucket{}
	for _, host := range hosts {
		for _, service := range host.GetServices() {
			if merged[service.GetService()] == nil {
				merged[service.GetService()] = map[int64]*peerv1.BurnBucket{}
			}
			for _, b := range service.GetBuckets() {
				addBucket(merged[service.GetService()], b)
			}
		}
	}
	return merged
}

func addBucket(buckets map[int64]*peerv1.BurnBucket, b *peerv1.BurnBucket) {
	sum := buckets[b.GetUnixSeconds()]
	if sum == nil {
		sum = &peerv1.BurnBucket{UnixSeconds: b.GetUnixSeconds(), Seconds: b.GetSeconds()}
		buckets[b.GetUnixSeconds()] = sum
	}
	sum.Requests += b.GetRequests()
	sum.Failed += b.GetFailed()
	sum.Slow += b.GetSlow()
}

// Report computes the burn rates of the given services at time now from the counts of all hosts.
func Report(services []*configv1.Service, hosts []*peerv1.BurnResponse, now time.Time) []*operatorv1.ServiceBurn {
	merged := Merge(hosts)
	report := make([]*operatorv1.ServiceBurn, 0, len(services))
	for _, service := range services {
		report = append(report, newServiceBurn(service, merged[service.GetName()], now))
	}
	return report
}

func newServiceBurn(service *configv1.Service, buckets map[int64]*peerv1.BurnBucket, now time.Time) *operatorv1.ServiceBurn {
	objective := service.GetObjective()
	long := newBurnWindow(objective, buckets, LongWindow, now)
	return &operatorv1.ServiceBurn{
		Service:     service.GetName(),
		Objective:   objective,
		BudgetLeft:  1 - long.GetBurnRate(),
		ShortWindow: newBurnWindow(objective, buckets, ShortWindow, now),
		LongWindow:  long,
		History:     burnHistory(objective, buckets, now),
	}
}

// newBurnWindow returns the counts and the burn rate over the given length of time up to now.
func newBurnWindow(o *configv1.Objective, buckets map[int64]*peerv1.BurnBucket, length time.Duration, now time.Time) *operatorv1.BurnWindow {
	sum := sumBuckets(buckets, now.Add(-length).Unix(), now.Unix())
	return &operatorv1.BurnWindow{
		WindowSeconds: uint64(length / time.Second),
		Requests:      sum.requests,
		Failed:        sum.failed,
		Slow:          sum.slow,
		BurnRate:      Rate(o, sum.requests, sum.failed, sum.slow),
	}
}

// sumBuckets sums the buckets that overlap the interval (from, to], in Unix seconds.
func sumBuckets(buckets map[int64]*peerv1.BurnBucket, from, to int64) requestCounts {
	var sum requestCounts
	for start, b := range buckets {
		if start+int64(b.GetSeconds()) > from && start <= to {
			sum.add(b)
		}
	}
	return sum
}

// burnHistory returns the burn rate in each historyStep of the long window, in ascending order of time. Steps without requests
// have no point.
func burnHistory(o *configv1.Objective, buckets map[int64]*peerv1.BurnBucket, now time.Time) []*operatorv1.BurnPoint {
	step := int64(historyStep / time.Second)
	sums := map[int64]*requestCounts{}
	for start, b := range buckets {
		if start <= now.Add(-LongWindow).Unix() || start > now.Unix() {
			continue
		}
		point := start - start%step
		if sums[point] == nil {
			sums[point] = &requestCounts{}
		}
		sums[point].add(b)
	}
	points := make([]*operatorv1.BurnPoint, 0, len(sums))
	for _, at := range slices.Sorted(maps.Keys(sums)) {
		c := sums[at]
		points = append(points, &operatorv1.BurnPoint{UnixSeconds: at, BurnRate: Rate(o, c.requests, c.failed, c.slow)})
	}
	return points
}

// Rate returns the burn rate of the error budget: the observed share of bad requests divided by the share that the objective
// allows. At 1 the budget lasts exactly for the period of the objective. Availability and latency share have separate
// budgets, and the higher of the two rates is returned. Without a latency share, slow requests count as failed. Without an
// objective the rate is 0.
func Rate(o *configv1.Objective, requests, failed, slow uint64) float64 {
	if requests == 0 {
		return 0
	}
	if o.GetLatencyShare() == 0 {
		return burnRate(o.GetAvailability(), requests, failed+slow)
	}
	return max(burnRate(o.GetAvailability(), requests, failed), burnRate(o.GetLatencyShare(), requests, slow))
}

// burnRate returns the burn rate of one budget. share is the share of good requests that the objective demands; the rate is 0
// if it is not between 0 and 1.
func burnRate(share float64, requests, bad uint64) float64 {
	if share <= 0 || share >= 1 {
		return 0
	}
	return float64(bad) / float64(requests) / (1 - share)
}

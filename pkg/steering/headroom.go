package steering

import (
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// SummarySource provides the latest headroom reports of other failure domains.
type SummarySource interface {
	// ServiceHeadrooms returns the reports in the last summary of the failure domain, one per service and dispatcher, or nil if
	// no summary has arrived.
	// The messages are shared: callers must not modify them.
	ServiceHeadrooms(failureDomain string) []*peerv1.ServiceHeadroom
}

// headroomSource takes the headroom of the local failure domain from the wait tracker, and that of other failure domains from
// their summaries.
type headroomSource struct {
	localDomain string
	waitTracker *WaitTracker
	summaries   SummarySource
}

// NewHeadroom returns a HeadroomSource for a host in failureDomain.
func NewHeadroom(failureDomain string, waitTracker *WaitTracker, summaries SummarySource) HeadroomSource {
	return &headroomSource{localDomain: failureDomain, waitTracker: waitTracker, summaries: summaries}
}

// Headroom implements HeadroomSource.
func (s *headroomSource) Headroom(failureDomain, service string) (Headroom, bool) {
	if failureDomain == s.localDomain {
		return s.waitTracker.Headroom(service)
	}
	report := permit.HeadroomOf(service, s.summaries.ServiceHeadrooms(failureDomain))
	if report == nil {
		return Headroom{}, false
	}
	return Headroom{
		FreeSlots: int(report.GetFreeSlots()), TotalSlots: int(report.GetTotalSlots()),
		QueueDelay: time.Duration(report.GetQueueDelayMs()) * time.Millisecond,
	}, true
}

// headroomCache caches the headroom reports of one service while one plan is computed, because a plan reads the same report
// several times. It is not safe for concurrent use.
type headroomCache struct {
	source  HeadroomSource
	service string
	entries []cachedHeadroom
}

type cachedHeadroom struct {
	failureDomain string
	headroom      Headroom
	known         bool
}

// get returns the report of a failure domain, or false if there is none.
func (h *headroomCache) get(failureDomain string) (Headroom, bool) {
	for _, r := range h.entries {
		if r.failureDomain == failureDomain {
			return r.headroom, r.known
		}
	}
	headroom, known := h.source.Headroom(failureDomain, h.service)
	h.entries = append(h.entries, cachedHeadroom{failureDomain, headroom, known})
	return headroom, known
}

package steering

import (
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// SummarySource returns the headroom of services that another failure domain last reported. The messages are not changed.
type SummarySource interface {
	ServiceHeadrooms(failureDomain string) []*peerv1.ServiceHeadroom
}

// reported reads headroom from the summaries of other failure domains, and that of the own one from the waits for permits.
type reported struct {
	own       string
	waits     *WaitTracker
	summaries SummarySource
}

// NewHeadroom returns a source for a host in a failure domain.
func NewHeadroom(failureDomain string, waits *WaitTracker, summaries SummarySource) HeadroomSource {
	return &reported{own: failureDomain, waits: waits, summaries: summaries}
}

// Headroom implements HeadroomSource.
func (r *reported) Headroom(failureDomain, service string) (Headroom, bool) {
	if failureDomain == r.own {
		return r.waits.Headroom(service)
	}
	report := permit.HeadroomOf(service, r.summaries.ServiceHeadrooms(failureDomain))
	if report == nil {
		return Headroom{}, false
	}
	return Headroom{
		FreeSlots: int(report.GetFreeSlots()), TotalSlots: int(report.GetTotalSlots()),
		QueueDelay: time.Duration(report.GetQueueDelayMs()) * time.Millisecond,
	}, true
}

// planHeadroom keeps the reports of one service for one plan, because a plan asks for the same report several times. One
// goroutine uses it.
type planHeadroom struct {
	source  HeadroomSource
	service string
	reports []domainReport
}

type domainReport struct {
	failureDomain string
	headroom      Headroom
	known         bool
}

// of returns the report of a failure domain, or false if there is none.
func (p *planHeadroom) of(failureDomain string) (Headroom, bool) {
	for _, r := range p.reports {
		if r.failureDomain == failureDomain {
			return r.headroom, r.known
		}
	}
	h, known := p.source.Headroom(failureDomain, p.service)
	p.reports = append(p.reports, domainReport{failureDomain, h, known})
	return h, known
}

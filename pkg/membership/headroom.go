package membership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// headroomReport is the last headroom report of a host in the local failure domain.
type headroomReport struct {
	services []*peerv1.ServiceHeadroom
	at       time.Time
}

// reportHeadroom sends the headroom of the services that this host dispatches to the relays of its failure domain.
func (t *Tracker) reportHeadroom() {
	services := t.opts.Headroom()
	v := t.view.Load()
	for _, m := range v.relays(v.self.FailureDomain) {
		if m.Host == v.self.Host {
			t.storeHeadroom(m.Host, services)
			continue
		}
		if len(services) == 0 {
			continue
		}
		t.spawn(func() {
			ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
			defer cancel()
			_ = t.opts.Caller.Call(ctx, m.Address(), methodHeadroom, &peerv1.HeadroomReport{Services: services},
				&peerv1.HeadroomReportResponse{})
		})
	}
}

func (t *Tracker) onHeadroom(from peer.Identity, r *peerv1.HeadroomReport) (proto.Message, error) {
	t.storeHeadroom(from.Host, r.GetServices())
	return &peerv1.HeadroomReportResponse{}, nil
}

func (t *Tracker) storeHeadroom(host string, services []*peerv1.ServiceHeadroom) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.headroom[host] = headroomReport{services, time.Now()}
}

// latestHeadroom returns the latest headroom of each service and discards reports that are older than headroomValid. t.mu must be
// held.
func (t *Tracker) latestHeadroom(now time.Time) []*peerv1.ServiceHeadroom {
	newest := map[string]time.Time{}
	services := map[string]*peerv1.ServiceHeadroom{}
	for host, report := range t.headroom {
		if now.Sub(report.at) > headroomValid {
			delete(t.headroom, host)
			continue
		}
		for _, s := range report.services {
			if report.at.After(newest[s.GetService()]) {
				newest[s.GetService()], services[s.GetService()] = report.at, s
			}
		}
	}
	list := make([]*peerv1.ServiceHeadroom, 0, len(services))
	for _, s := range services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *peerv1.ServiceHeadroom) int { return cmp.Compare(a.GetService(), b.GetService()) })
	return list
}

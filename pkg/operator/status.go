package operator

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanhitch/rattanhitch/pkg/burn"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	operatorv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// HostStatus returns the configuration version, the state and the requests in flight of each host, and the names of the hosts
// that did not respond.
func (s *Server) HostStatus(ctx context.Context, _ *connect.Request[operatorv1.HostStatusRequest]) (*connect.Response[operatorv1.HostStatusResponse], error) {
	gathered := s.gatherStatus(ctx)
	resp := &operatorv1.HostStatusResponse{MissingHosts: gathered.missing}
	for _, host := range gathered.hosts() {
		status := gathered.byHost[host]
		resp.Hosts = append(resp.Hosts, &operatorv1.HostStatus{
			Host:          host,
			FailureDomain: status.GetMember().GetFailureDomain(),
			Incarnation:   status.GetMember().GetIncarnation(),
			ConfigVersion: status.GetConfigVersion(),
			ConfigError:   status.GetConfigError(),
			Leaving:       status.GetMember().GetLeaving(),
			InFlight:      status.GetInFlight(),
		})
	}
	return connect.NewResponse(resp), nil
}

// BurnReport returns the error budget burn rates of all services, summed over the hosts that responded.
func (s *Server) BurnReport(ctx context.Context, _ *connect.Request[operatorv1.BurnReportRequest]) (*connect.Response[operatorv1.BurnReportResponse], error) {
	report, err := s.burnReport(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(report), nil
}

func (s *Server) burnReport(ctx context.Context) (*operatorv1.BurnReportResponse, error) {
	snapshot, err := s.currentSnapshot()
	if err != nil {
		return nil, err
	}
	gathered := s.gatherBurn(ctx)
	var services []*configv1.Service
	for _, o := range snapshot.List(config.KindService) {
		services = append(services, o.GetService())
	}
	var counts []*peerv1.BurnResponse
	for _, host := range gathered.hosts() {
		counts = append(counts, gathered.byHost[host])
	}
	return &operatorv1.BurnReportResponse{
		Services:     burn.Report(services, counts, time.Now()),
		Hosts:        gathered.hosts(),
		MissingHosts: gathered.missing,
	}, nil
}

func (s *Server) serveBurnPage(w http.ResponseWriter, r *http.Request) {
	report, err := s.burnReport(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	_ = burn.WriteHTML(w, report, time.Now())
}

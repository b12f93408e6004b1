package ctl

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rattanhitch/rattanhitch/pkg/burn"
	operatorv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1"
	"github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1/operatorv1connect"
)

func newHostsCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "hosts",
		Short: "Show the configuration version and the state of each host",
		Args:  exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			return o.withClient(command, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
				resp, err := client.HostStatus(ctx, connect.NewRequest(&operatorv1.HostStatusRequest{}))
				if err != nil {
					return err
				}
				if err := o.print(command.OutOrStdout(), resp.Msg, func() [][]string { return hostRows(resp.Msg) }); err != nil {
					return err
				}
				return incompleteError(resp.Msg.GetMissingHosts())
			})
		},
	}
}

func hostRows(resp *operatorv1.HostStatusResponse) [][]string {
	rows := [][]string{{"HOST", "FAILURE DOMAIN", "VERSION", "IN FLIGHT", "LEAVING", "PROBLEM"}}
	for _, h := range resp.GetHosts() {
		rows = append(rows, []string{h.GetHost(), h.GetFailureDomain(), fmt.Sprint(h.GetConfigVersion()),
			fmt.Sprint(h.GetInFlight()), fmt.Sprint(h.GetLeaving()), h.GetConfigError()})
	}
	for _, host := range resp.GetMissingHosts() {
		rows = append(rows, []string{host, "?", "?", "?", "?", "did not answer"})
	}
	return rows
}

// incompleteError returns an error, marked errIncomplete, that names the hosts without an answer, or nil if there are none.
func incompleteError(missing []string) error {
	if len(missing) == 0 {
		return nil
	}
	return errors.Wrap(errIncomplete, strings.Join(missing, " "))
}

func newBurnCommand(o *options) *cobra.Command {
	var html string
	command := &cobra.Command{
		Use:   "burn",
		Short: "Show the error-budget burn rate of each service",
		Args:  exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			return o.withClient(command, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
				resp, err := client.BurnReport(ctx, connect.NewRequest(&operatorv1.BurnReportRequest{}))
				if err != nil {
					return err
				}
				if html != "" {
					err = writeBurnPage(html, resp.Msg)
				} else {
					err = o.print(command.OutOrStdout(), resp.Msg, func() [][]string { return burnRows(resp.Msg) })
				}
				return errors.CombineErrors(err, incompleteError(resp.Msg.GetMissingHosts()))
			})
		},
	}
	command.Flags().StringVar(&html, "html", "", "write the report as an HTML page to this file instead of printing it")
	_ = command.MarkFlagFilename("html", "html")
	return command
}

func writeBurnPage(file string, report *operatorv1.BurnReportResponse) error {
	f, err := os.Create(file)
	if err != nil {
		return usagef("--html: %v", err)
	}
	return errors.CombineErrors(burn.WriteHTML(f, report, time.Now()), f.Close())
}

func burnRows(report *operatorv1.BurnReportResponse) [][]string {
	rows := [][]string{{"SERVICE", "WINDOW", "REQUESTS", "FAILED", "SLOW", "BURN RATE", "BUDGET LEFT"}}
	for _, s := range report.GetServices() {
		for _, w := range []*operatorv1.BurnWindow{s.GetShortWindow(), s.GetLongWindow()} {
			length := time.Duration(w.GetWindowSeconds()) * time.Second
			rows = append(rows, []string{s.GetService(), length.String(), fmt.Sprint(w.GetRequests()), fmt.Sprint(w.GetFailed()),
				fmt.Sprint(w.GetSlow()), fmt.Sprintf("%.2f", w.GetBurnRate()), fmt.Sprintf("%.1f%%", 100*s.GetBudgetLeft())})
		}
	}
	return rows
}

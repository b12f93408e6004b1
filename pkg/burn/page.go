package burn

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	operatorv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("burn").Parse(pageText))

// Position and size of the plot area in page.html, in SVG units.
const (
	plotLeft   = 10
	plotWidth  = 600
	plotTop    = 30
	plotHeight = 100
)

// pageData is the data of the template page.html, which refers to the fields below by name.
type pageData struct {
	Time     string
	Report   *operatorv1.BurnReportResponse
	Services []serviceData
}

type serviceData struct {
	Name       string
	Objective  string
	BudgetLeft string
	Overspent  bool
	Windows    []windowData
	Plot       plotData
}

type windowData struct {
	Length                 time.Duration
	Requests, Failed, Slow uint64
	Rate                   string
	High                   bool
}

type plotData struct {
	Points string
	UnitY  string
	Top    string
}

// WriteHTML writes a report as a self-contained HTML page, which loads no other files. Errors are those of w.
func WriteHTML(w io.Writer, report *operatorv1.BurnReportResponse, now time.Time) error {
	data := pageData{Time: now.UTC().Format(time.RFC3339), Report: report}
	for _, service := range report.GetServices() {
		data.Services = append(data.Services, newServiceData(service, now))
	}
	return page.Execute(w, data)
}

func newServiceData(b *operatorv1.ServiceBurn, now time.Time) serviceData {
	return serviceData{
		Name:       b.GetService(),
		Objective:  objectiveText(b.GetObjective()),
		BudgetLeft: fmt.Sprintf("%.1f%%", 100*b.GetBudgetLeft()),
		Overspent:  b.GetBudgetLeft() < 0,
		Windows:    []windowData{newWindowData(b.GetShortWindow()), newWindowData(b.GetLongWindow())},
		Plot:       newPlotData(b.GetHistory(), now),
	}
}

func newWindowData(w *operatorv1.BurnWindow) windowData {
	return windowData{
		Length:   time.Duration(w.GetWindowSeconds()) * time.Second,
		Requests: w.GetRequests(),
		Failed:   w.GetFailed(),
		Slow:     w.GetSlow(),
		Rate:     fmt.Sprintf("%.2f", w.GetBurnRate()),
		High:     w.GetBurnRate() > 1,
	}
}

func objectiveText(o *configv1.Objective) string {
	if o.GetAvailability() == 0 && o.GetLatencyShare() == 0 {
		return "none"
	}
	text := fmt.Sprintf("%g%% succeed", 100*o.GetAvailability())
	switch {
	case o.GetLatencyShare() > 0:
		text += fmt.Sprintf(", %g%% within %d ms", 100*o.GetLatencyShare(), o.GetLatencyMs())
	case o.GetLatencyMs() > 0:
		text += fmt.Sprintf(" within %d ms", o.GetLatencyMs())
	}
	return text
}

// newPlotData scales the history to the plot area. The vertical axis extends at least to burn rate 1.
func newPlotData(points []*operatorv1.BurnPoint, now time.Time) plotData {
	top := 1.0
	for _, p := range points {
		top = max(top, p.GetBurnRate())
	}
	y := func(rate float64) float64 { return plotTop + plotHeight*(1-rate/top) }
	start := now.Add(-LongWindow).Unix()
	var coordinates []string
	for _, p := range points {
		x := plotLeft + plotWidth*float64(p.GetUnixSeconds()-start)/LongWindow.Seconds()
		coordinates = append(coordinates, fmt.Sprintf("%.1f,%.1f", max(x, plotLeft), y(p.GetBurnRate())))
	}
	return plotData{
		Points: strings.Join(coordinates, " "),
		UnitY:  fmt.Sprintf("%.1f", y(1)),
		Top:    fmt.Sprintf("%.2f", top),
	}
}

package experiment

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// VariantResult is the outcome of one variant.
type VariantResult struct {
	Name      string              `json:"name"`
	Programs  int                 `json:"programs"`
	Estimates map[Metric]Estimate `json:"estimates"`
	// Clean is false when the audit of one of its runs found violations.
	Clean  bool    `json:"clean"`
	Sample *Sample `json:"-"`
}

// Result is the outcome of an experiment.
type Result struct {
	File     *File           `json:"experiment"`
	Variants []VariantResult `json:"arms"`
	Command  string          `json:"command"`
}

// NewVariantResult computes the figures of an variant.
func NewVariantResult(name string, sample *Sample, clean bool, seed uint64) VariantResult {
	return VariantResult{
		Name: name, Programs: sample.Programs(), Estimates: sample.Estimates(seed), Clean: clean,
		Sample: sample,
	}
}

// Save writes result.json and report.html into the folder.
func (r *Result) Save(folder string) error {
	content, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	if err := os.WriteFile(filepath.Join(folder, "result.json"), content, 0o644); err != nil {
		return errors.Wrap(err, "write result")
	}
	page, err := os.Create(filepath.Join(folder, "report.html"))
	if err != nil {
		return errors.Wrap(err, "create report")
	}
	return errors.CombineErrors(errors.Wrap(r.page().Render(page), "render report"), page.Close())
}

func (r *Result) page() *components.Page {
	page := components.NewPage()
	page.SetPageTitle(r.File.Name)
	page.AddCharts(r.distribution(), r.timeline())
	for _, metric := range Metrics() {
		page.AddCharts(r.bars(metric))
	}
	return page
}

// distribution plots the share of turns by time to the first token.
func (r *Result) distribution() *charts.Line {
	const points = 100
	line := charts.NewLine()
	line.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: r.File.Name, Subtitle: "time to the first token in ms by percentile"}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}),
		charts.WithYAxisOpts(opts.YAxis{Type: "log", Name: "ms"}),
		charts.WithXAxisOpts(opts.XAxis{Name: "percentile"}),
	)
	axis := make([]int, points)
	for i := range axis {
		axis[i] = i
	}
	line.SetXAxis(axis)
	for _, variant := range r.Variants {
		data := make([]opts.LineData, points)
		for i := range data {
			data[i] = opts.LineData{Value: percentile(variant.Sample.FirstTokens, float64(i))}
		}
		line.AddSeries(variant.Name, data)
	}
	return line
}

func (r *Result) timeline() *charts.Line {
	line := charts.NewLine()
	line.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{
			Title:    "Output tokens by second",
			Subtitle: "mean over the runs, by the second in which the turn ended",
		}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}),
		charts.WithXAxisOpts(opts.XAxis{Name: "s"}),
	)
	maxSeconds := 0
	for _, variant := range r.Variants {
		maxSeconds = max(maxSeconds, len(variant.Sample.PerSecond))
	}
	axis := make([]int, maxSeconds)
	for i := range axis {
		axis[i] = i
	}
	line.SetXAxis(axis)
	for _, variant := range r.Variants {
		data := make([]opts.LineData, len(variant.Sample.PerSecond))
		for i, tokens := range variant.Sample.PerSecond {
			data[i] = opts.LineData{Value: tokens}
		}
		line.AddSeries(variant.Name, data)
	}
	return line
}

// bars plots a metric of each variant between the ends of its interval.
func (r *Result) bars(metric Metric) *charts.Bar {
	bar := charts.NewBar()
	bar.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{
			Title:    string(metric),
			Subtitle: "value, and the ends of the interval of 95% confidence",
		}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}),
	)
	var names []string
	var low, value, high []opts.BarData
	for _, variant := range r.Variants {
		estimate := variant.Estimates[metric]
		names = append(names, variant.Name)
		low = append(low, opts.BarData{Value: estimate.Low})
		value = append(value, opts.BarData{Value: estimate.Value})
		high = append(high, opts.BarData{Value: estimate.High})
	}
	bar.SetXAxis(names).AddSeries("low", low).AddSeries("value", value).AddSeries("high", high)
	return bar
}

package dayreport

import (
	"image/color"

	"github.com/guptarohit/asciigraph"
)

// chart is a set of curves over the windows of a day.
type chart struct {
	title  string
	unit   string
	curves []curve
}

// curve has one value for each window, and the last one again for the end of the day.
type curve struct {
	name   string
	values []float64
	style  style
}

// style tells a curve or bar from others: by a color on a terminal, by a character in plain text, by a color in a file.
type style struct {
	terminal  asciigraph.AnsiColor
	character string
	color     color.Color
}

// Styles of the curves and bars.
var (
	green  = style{asciigraph.Green, "=", color.RGBA{R: 0x2e, G: 0x8b, B: 0x57, A: 0xff}}
	yellow = style{asciigraph.Yellow, "~", color.RGBA{R: 0xd9, G: 0xa4, B: 0x04, A: 0xff}}
	blue   = style{asciigraph.Blue, "o", color.RGBA{R: 0x1f, G: 0x5f, B: 0xbf, A: 0xff}}
	red    = style{asciigraph.Red, "x", color.RGBA{R: 0xc0, G: 0x30, B: 0x30, A: 0xff}}
	gray   = style{asciigraph.Gray, ".", color.RGBA{R: 0x80, G: 0x80, B: 0x80, A: 0xff}}
)

const percent = 100

// outcome is one way in which requests end.
type outcome struct {
	name  string
	count func(*Counts) int
	style style
}

// outcomes are the parts into which the requests of any kind fall.
func outcomes() []outcome {
	return []outcome{
		{"served in aim", func(c *Counts) int { return c.WithinTarget }, green},
		{"served late", func(c *Counts) int { return c.Late }, yellow},
		{"refused", func(c *Counts) int { return c.Rejected }, blue},
		{"failed", func(c *Counts) int { return c.Failed }, red},
		{"not owed", func(c *Counts) int { return c.Excluded }, gray},
	}
}

// served gives the share of the requests that were served in aim in each window.
func (r *Report) served() chart {
	values := r.filled(func(c *Counts) *float64 {
		if c.Requests == 0 {
			return nil
		}
		share := percent * float64(c.WithinTarget) / float64(c.Requests)
		return &share
	})
	return chart{title: "Served in aim, percent", unit: "%", curves: []curve{{"served in aim", values, green}}}
}

// unserved counts each other outcome in each window; those that never occurred have no curve.
func (r *Report) unserved() chart {
	drawn := chart{title: "Late, refused or failed, requests", unit: "requests"}
	for _, outcome := range outcomes()[1:] {
		if outcome.count(&r.All) == 0 {
			continue
		}
		values := r.filled(func(c *Counts) *float64 {
			count := float64(outcome.count(c))
			return &count
		})
		drawn.curves = append(drawn.curves, curve{outcome.name, values, outcome.style})
	}
	return drawn
}

// times gives the time until answers had ended in each window.
func (r *Report) times() chart {
	median := r.filled(func(c *Counts) *float64 { return c.MedianMillis })
	high := r.filled(func(c *Counts) *float64 { return c.P99Millis })
	return chart{title: "Time to the end of the answer in ms", unit: "ms", curves: []curve{
		{"p50", median, green},
		{"p99", high, red},
	}}
}

// filled gives one value a window, and the last one again for the end of the last window. Windows without a value
// repeat the one before.
func (r *Report) filled(value func(*Counts) *float64) []float64 {
	values := make([]float64, 0, len(r.Windows)+1)
	last := 0.0
	for i := range r.Windows {
		if known := value(&r.Windows[i].Counts); known != nil {
			last = *known
		}
		values = append(values, last)
	}
	return append(values, last)
}

// edges are the times of the values of a curve.
func (r *Report) edges() []float64 {
	edges := make([]float64, 0, len(r.Windows)+1)
	for i := range r.Windows {
		edges = append(edges, r.Windows[i].Start)
	}
	return append(edges, r.Length())
}

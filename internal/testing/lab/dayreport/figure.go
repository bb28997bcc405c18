package dayreport

import (
	"image/color"
	"os"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	figureWidth    = 12 * vg.Inch
	panelHeight    = 3 * vg.Inch
	panelPadding   = 6 * vg.Millimeter
	barWidth       = 6 * vg.Millimeter
	lineWidth      = 0.6 * vg.Millimeter
	labelLineWidth = 0.3 * vg.Millimeter
	// legendRoom leaves room above the curves for the legend and the marks.
	legendWidth = 1.25
)

// SaveFigure writes an SVG file: outcomes and times over time with the disruptions as vertical lines, then one bar a
// kind of request, then one bar a disruption.
func (r *Report) SaveFigure(path string) error {
	panels, err := r.panels()
	if err != nil {
		return errors.Wrap(err, "draw figure")
	}
	canvas := vgsvg.New(figureWidth, panelHeight*vg.Length(len(panels)))
	tiles := draw.Tiles{
		Cols: 1, Rows: len(panels), PadTop: panelPadding, PadBottom: panelPadding, PadLeft: panelPadding,
		PadRight: panelPadding, PadY: panelPadding,
	}
	for i, aligned := range plot.Align(panels, tiles, draw.New(canvas)) {
		panels[i][0].Draw(aligned[0])
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create figure")
	}
	_, err = canvas.WriteTo(file)
	return errors.CombineErrors(errors.Wrap(err, "write figure"), file.Close())
}

// panels gives the plots of the figure, one a row.
func (r *Report) panels() ([][]*plot.Plot, error) {
	makers := []func() (*plot.Plot, error){
		func() (*plot.Plot, error) { return r.overTime(r.served()) },
		func() (*plot.Plot, error) { return r.overTime(r.unserved()) },
		func() (*plot.Plot, error) { return r.overTime(r.times()) },
		r.kindBars,
		r.schedule,
	}
	var panels [][]*plot.Plot
	for _, maker := range makers {
		panel, err := maker()
		if err != nil {
			return nil, err
		}
		panels = append(panels, []*plot.Plot{panel})
	}
	return panels, nil
}

func (r *Report) overTime(drawn chart) (*plot.Plot, error) {
	panel := r.timePanel(drawn.title)
	panel.Y.Label.Text = drawn.unit
	panel.Y.Min = 0
	highest := 1.0
	edges := r.edges()
	for _, curve := range drawn.curves {
		points := make(plotter.XYs, len(curve.values))
		for i, value := range curve.values {
			points[i] = plotter.XY{X: edges[i], Y: value}
			highest = max(highest, value)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color, line.Width = curve.style.color, lineWidth
		panel.Add(line)
		panel.Legend.Add(curve.name, line)
	}
	panel.Y.Max = highest * legendWidth
	return panel, r.addMarks(panel, highest)
}

func (r *Report) timePanel(title string) *plot.Plot {
	panel := plot.New()
	panel.Title.Text = title
	panel.X.Label.Text = "seconds since traffic began"
	panel.X.Min, panel.X.Max = r.Windows[0].Start, r.Length()
	panel.Legend.Top = true
	return panel
}

// addMarks draws a dashed line with the letter of each disruption at its start.
func (r *Report) addMarks(panel *plot.Plot, highest float64) error {
	labels := plotter.XYLabels{}
	for i, disruption := range r.Disruptions {
		line, err := plotter.NewLine(plotter.XYs{{X: disruption.Start, Y: 0}, {X: disruption.Start, Y: highest}})
		if err != nil {
			return err
		}
		line.Color, line.Width, line.Dashes = gray.color, labelLineWidth, labelDashes()
		panel.Add(line)
		labels.XYs = append(labels.XYs, plotter.XY{X: disruption.Start, Y: highest})
		labels.Labels = append(labels.Labels, Label(i))
	}
	return addLabels(panel, labels)
}

func labelDashes() []vg.Length { return []vg.Length{vg.Points(3), vg.Points(3)} }

func addLabels(panel *plot.Plot, labels plotter.XYLabels) error {
	if len(labels.Labels) == 0 {
		return nil
	}
	drawn, err := plotter.NewLabels(labels)
	if err != nil {
		return err
	}
	panel.Add(drawn)
	return nil
}

// kindBars draws one row a kind of request, divided by outcome.
func (r *Report) kindBars() (*plot.Plot, error) {
	panel := plot.New()
	panel.Title.Text = "Outcomes by kind of request"
	panel.X.Label.Text = "requests"
	panel.Legend.Top = true
	var below *plotter.BarChart
	for _, outcome := range outcomes() {
		values := make(plotter.Values, len(r.Kinds))
		for i := range r.Kinds {
			values[i] = float64(outcome.count(&r.Kinds[i]))
		}
		bars, err := newBars(values, outcome.style.color)
		if err != nil {
			return nil, err
		}
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		panel.Add(bars)
		panel.Legend.Add(outcome.name, bars)
	}
	names := make([]string, len(r.Kinds))
	for i := range r.Kinds {
		names[i] = r.Kinds[i].Name
	}
	panel.NominalY(names...)
	return panel, nil
}

func newBars(values plotter.Values, fill color.Color) (*plotter.BarChart, error) {
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return nil, err
	}
	bars.Horizontal, bars.Color, bars.LineStyle.Width = true, fill, 0
	return bars, nil
}

// schedule draws one row a disruption, from its start to its end.
func (r *Report) schedule() (*plot.Plot, error) {
	panel := r.timePanel("Disruptions (planned work in blue)")
	names := make([]string, len(r.Disruptions))
	for i, disruption := range r.Disruptions {
		row := len(r.Disruptions) - 1 - i
		names[row] = Label(i) + " " + disruption.Kind
		height := float64(row)
		line, err := plotter.NewLine(plotter.XYs{{X: disruption.Start, Y: height}, {X: disruption.Until(), Y: height}})
		if err != nil {
			return nil, err
		}
		line.Width, line.Color = barWidth/2, red.color
		if disruption.Planned {
			line.Color = blue.color
		}
		panel.Add(line)
	}
	if len(names) > 0 {
		panel.NominalY(names...)
	}
	return panel, nil
}

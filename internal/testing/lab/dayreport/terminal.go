package dayreport

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/guptarohit/asciigraph"
	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/rosestand/rosestand/internal/testing/lab/report"
)

const (
	// ChartWidth and ChartHeight are the size of a text chart, in characters.
	ChartWidth  = 96
	chartHeight = 10
	// chartTicks is the number of times that the axis of a text chart names.
	chartTicks = 7
	// axisMarks are what the chart library draws between the labels and the curves.
	axisLabels = "┤┼"
)

// Terminal is how text charts are drawn.
type Terminal struct {
	// Width is that of the charts in characters.
	Width int
	// Color tells curves apart by color, and by characters otherwise.
	Color bool
}

// Print writes the tables and charts of a day.
func (r *Report) Print(output io.Writer, terminal Terminal) {
	r.printScore(output)
	r.printAccount(output)
	printCounts(output, "Requests by kind", r.Kinds, r.All)
	printCounts(output, "Requests by zone of the callers", r.Zones, r.All)
	r.printChart(output, terminal, r.served())
	r.printChart(output, terminal, r.unserved())
	r.printChart(output, terminal, r.times())
	r.printDisruptions(output)
	r.printRoles(output)
}

func (r *Report) printScore(output io.Writer) {
	rows := report.NewTable(output, fmt.Sprintf("Score %.3f after prices", r.Score), "part or price", "amount", "weight",
		"adds")
	for _, part := range r.Components {
		rows.AppendRow(table.Row{
			part.Name, fmt.Sprintf("%.3f", part.Value), part.Weight,
			fmt.Sprintf("%+.4f", part.Weight*part.Value),
		})
	}
	for _, price := range r.Prices {
		if price.Cost != 0 {
			rows.AppendRow(table.Row{price.Name, price.Amount, "", fmt.Sprintf("%+.4f", -price.Cost)})
		}
	}
	rows.Render()
	for _, rule := range slices.Sorted(maps.Keys(r.Broken)) {
		_, _ = fmt.Fprintf(output, "RULE BROKEN %d times: %s\n", r.Broken[rule], rule)
	}
}

func printCounts(output io.Writer, title string, rows []Counts, all Counts) {
	counts := report.NewTable(output, title, "", "sent", "served in aim", "late", "refused", "failed", "not owed", "worth",
		"p50 ms", "p99 ms")
	for _, row := range rows {
		counts.AppendRow(countsRow(&row))
	}
	counts.AppendFooter(countsRow(&all))
	counts.Render()
}

func countsRow(counts *Counts) table.Row {
	return table.Row{
		counts.Name, counts.Requests, counts.WithinTarget, counts.Late, counts.Rejected, counts.Failed, counts.Excluded,
		fmt.Sprintf("%.3f", counts.Value), optionalMillis(counts.MedianMillis), optionalMillis(counts.P99Millis),
	}
}

func optionalMillis(value *float64) string {
	if value == nil {
		return "-"
	}
	return fmt.Sprintf("%.0f", *value)
}

// printChart draws curves over time, and below the axis a letter where each disruption began.
func (r *Report) printChart(output io.Writer, terminal Terminal, chart chart) {
	if len(chart.curves) == 0 {
		_, _ = fmt.Fprintf(output, "%s: none\n\n", chart.title)
		return
	}
	curves := make([][]float64, len(chart.curves))
	highest := 1.0
	for i, curve := range chart.curves {
		curves[i] = curve.values
		highest = max(highest, slices.Max(curve.values))
	}
	options := []asciigraph.Option{
		asciigraph.Height(chartHeight), asciigraph.Width(terminal.Width), asciigraph.Precision(decimals(highest)),
		asciigraph.LowerBound(0), asciigraph.UpperBound(highest),
		asciigraph.XAxisRange(r.Windows[0].Start, r.Length()), asciigraph.XAxisTickCount(chartTicks),
	}
	options = append(options, terminal.curveOptions(chart.curves)...)
	drawn := asciigraph.PlotMany(curves, options...)
	_, _ = fmt.Fprintf(output, "%s, by the second in which the request was sent%s\n%s\n", chart.title,
		terminal.legend(chart.curves), drawn)
	for _, line := range r.marks(terminal.Width) {
		_, _ = fmt.Fprintf(output, "%s%s\n", strings.Repeat(" ", labelWidth(drawn)), line)
	}
	_, _ = fmt.Fprintln(output)
}

// decimals is the number of digits after the point that keeps the labels of a chart apart.
func decimals(highest float64) uint {
	if highest < 2*chartHeight {
		return 1
	}
	return 0
}

// curveOptions tells curves apart.
func (t Terminal) curveOptions(curves []curve) []asciigraph.Option {
	names := make([]string, len(curves))
	colors := make([]asciigraph.AnsiColor, len(curves))
	characters := make([]asciigraph.CharSet, len(curves))
	for i, curve := range curves {
		names[i], colors[i] = curve.name, curve.style.terminal
		characters[i] = asciigraph.CreateCharSet(curve.style.character)
	}
	if t.Color {
		return []asciigraph.Option{asciigraph.SeriesLegends(names...), asciigraph.SeriesColors(colors...)}
	}
	return []asciigraph.Option{asciigraph.SeriesChars(characters...)}
}

// legend names the characters of the curves where there are no colors.
func (t Terminal) legend(curves []curve) string {
	if t.Color {
		return ""
	}
	var text strings.Builder
	for _, curve := range curves {
		fmt.Fprintf(&text, "   %s %s", curve.style.character, curve.name)
	}
	return text.String()
}

// labelWidth is the number of characters left of the curves.
func labelWidth(drawn string) int {
	line, _, _ := strings.Cut(drawn, "\n")
	return utf8.RuneCountInString(line[:strings.IndexAny(line, axisLabels)]) + 1
}

// marks gives the lines below a chart: each disruption's letter at its start, followed by dashes until its end.
// Disruptions that overlap stand in lines of their own.
func (r *Report) marks(width int) []string {
	var lines [][]rune
	for i, disruption := range r.Disruptions {
		from, to := r.column(disruption.Start, width), r.column(disruption.Until(), width)
		line := freeLine(&lines, from, width)
		copy(line[from:], []rune(Label(i)))
		for column := from + len(Label(i)); column <= to; column++ {
			line[column] = '-'
		}
	}
	texts := make([]string, len(lines))
	for i, line := range lines {
		texts[i] = strings.TrimRight(string(line), " ")
	}
	return texts
}

// freeLine finds the first line that is empty from a column on, or adds one.
func freeLine(lines *[][]rune, from, width int) []rune {
	for _, line := range *lines {
		if strings.TrimSpace(string(line[max(0, from-1):])) == "" {
			return line
		}
	}
	added := []rune(strings.Repeat(" ", width+labelColumnWidth))
	*lines = append(*lines, added)
	return added
}

// markRoom is room for a mark that begins in the last column.
const labelColumnWidth = 4

func (r *Report) column(second float64, width int) int {
	first := r.Windows[0].Start
	share := (second - first) / (r.Length() - first)
	column := int(math.Round(share * float64(width-1)))
	return min(max(column, 0), width-1)
}

const letters = 26

// Label names a disruption by its index in the report: A to Z, then A1, B1 and so on.
func Label(index int) string {
	letter := string(rune('A' + index%letters))
	if index < letters {
		return letter
	}
	return fmt.Sprintf("%s%d", letter, index/letters)
}

func (r *Report) printDisruptions(output io.Writer) {
	if len(r.Disruptions) == 0 {
		_, _ = fmt.Fprintln(output, "The report names no disruptions.")
		return
	}
	rows := report.NewTable(output, "Disruptions", "mark", "from s", "to s", "what", "of", "planned")
	for i, disruption := range r.Disruptions {
		rows.AppendRow(table.Row{
			Label(i), fmt.Sprintf("%.2f", disruption.Start), fmt.Sprintf("%.2f", disruption.Until()),
			disruption.Kind, disruption.Subject, disruption.Planned,
		})
	}
	rows.Render()
}

func (r *Report) printRoles(output io.Writer) {
	rows := report.NewTable(output, "Machines by role", "role", "machines", "cores, mean", "cores, most", "peak MB",
		"files", "starts")
	for _, role := range r.Roles {
		rows.AppendRow(table.Row{
			role.Name, role.Machines, role.MeanCores, role.PeakCores, role.PeakMegabytes, role.PeakFiles,
			role.Starts,
		})
	}
	rows.Render()
}

package report

import (
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/rosestand/rosestand/internal/testing/lab/audit"
	"github.com/rosestand/rosestand/internal/testing/lab/caller"
)

// NewTable begins a table that is written to the output by Render.
func NewTable(output io.Writer, title string, header ...any) table.Writer {
	writer := table.NewWriter()
	writer.SetOutputMirror(output)
	writer.SetStyle(table.StyleLight)
	writer.SetTitle("%s", title)
	if len(header) > 0 {
		writer.AppendHeader(table.Row(header))
	}
	return writer
}

// Millis renders a time in milliseconds.
func Millis(value time.Duration) string {
	return fmt.Sprintf("%.1f", float64(value)/float64(time.Millisecond))
}

// PrintSummary writes the figures of a run.
func PrintSummary(output io.Writer, requestLog *caller.RequestLog, summary *Summary, duration time.Duration) {
	counts := NewTable(output, "Run", "what", "count", "answered", "per second")
	perSecond := func(count int) string { return fmt.Sprintf("%.1f", float64(count)/duration.Seconds()) }
	counts.AppendRow(table.Row{"conversations", summary.Conversations, "", perSecond(summary.Conversations)})
	counts.AppendRow(table.Row{"turns", summary.Turns, summary.TurnsAnswered, perSecond(summary.TurnsAnswered)})
	counts.AppendRow(table.Row{"tool calls", summary.ToolCalls, summary.ToolsAnswered, perSecond(summary.ToolsAnswered)})
	counts.AppendRow(table.Row{"kept turns read", summary.Reads, summary.ReadsAnswered, ""})
	counts.AppendRow(table.Row{"streams resumed", summary.Resumed, "", ""})
	counts.AppendRow(table.Row{"requests sent again", summary.Repeated, "", ""})
	counts.AppendRow(table.Row{"not begun, too many under way", summary.Unserved, "", ""})
	sites, turns, tools := SiteCounts(requestLog)
	for _, name := range sites {
		counts.AppendRow(table.Row{"  " + name + ": turns, tool calls answered", turns[name], tools[name], ""})
	}
	counts.Render()
	tokens := NewTable(output, "Tokens", "input", "of them cached", "hit rate", "output", "output per second")
	tokens.AppendRow(table.Row{
		summary.InputTokens, summary.CachedTokens, fmt.Sprintf("%.1f %%", 100*summary.PrefixHitRate()),
		summary.OutputTokens, fmt.Sprintf("%.0f", float64(summary.OutputTokens)/duration.Seconds()),
	})
	tokens.Render()
	printTimes(output, summary)
	printRejections(output, summary)
}

func printTimes(output io.Writer, summary *Summary) {
	times := NewTable(output, "Times in milliseconds", "what", "count", "p50", "p95", "p99", "p99.9", "max")
	rows := []struct {
		name  string
		times *Times
	}{
		{"first token", summary.FirstToken},
		{"between events", summary.InterEvent},
		{"tool call", summary.ToolTime},
		{"refusal", summary.RejectionTime},
	}
	for _, row := range rows {
		times.AppendRow(timesRow(row.name, row.times))
	}
	times.Render()
}

func timesRow(name string, times *Times) table.Row {
	return table.Row{
		name, times.Count(), Millis(times.At(50)), Millis(times.At(95)),
		Millis(times.At(99)), Millis(times.At(99.9)), Millis(times.At(100)),
	}
}

func printRejections(output io.Writer, summary *Summary) {
	rejections := NewTable(output, "Not answered, by reason", "operation", "code", "outcome", "count")
	for _, rejection := range summary.Rejections {
		rejections.AppendRow(table.Row{rejection.Operation, rejection.Code, rejection.Outcome, rejection.Count})
	}
	if len(summary.Rejections) == 0 {
		rejections.AppendRow(table.Row{"none", "", "", 0})
	}
	rejections.Render()
}

// PrintAudit writes what each check found.
func PrintAudit(output io.Writer, report *audit.Report) {
	checks := NewTable(output, "Audit", "check", "examined", "violations")
	for _, result := range report.Results {
		checks.AppendRow(table.Row{result.Check, result.Examined, result.Found})
	}
	checks.Render()
	for _, result := range report.Results {
		for _, violation := range result.Violations {
			_, _ = fmt.Fprintf(output, "VIOLATION %s: %s: %s\n", violation.Check, violation.Subject, violation.Detail)
		}
		if result.Found > len(result.Violations) {
			_, _ = fmt.Fprintf(output, "VIOLATION %s: %d more\n", result.Check, result.Found-len(result.Violations))
		}
	}
	if report.Clean() {
		_, _ = fmt.Fprintln(output, "The audit found no violation.")
	}
}

package dayreport

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/rosestand/rosestand/internal/testing/lab/report"
)

// machinesPrice is the price that no decision of the system changes: each machine carries a role that a deployment
// fixes, or keeps data.
const machinesPrice = "machine-seconds"

// Loss is what one component or price of the score loses against the maximum.
type Loss struct {
	Name string
	// Lost is in the units of the score.
	Lost float64
}

// Account breaks down where the score of a day was lost.
type Account struct {
	// MaxScore is the score of a day that loses nothing and pays for its machines only.
	MaxScore float64
	// Losses add up to the difference between the maximum and the score, the largest first.
	Losses []Loss
	// Windows are those in which requests were late, rejected or failed.
	Windows []WindowLoss
}

// WindowLoss is a span of time with what was lost in it.
type WindowLoss struct {
	Window
	// Disruptions are the labels of those in progress in the window, or shortly before it.
	Disruptions []string
}

// windowMemory is for how many seconds a disruption that is over still explains what was lost.
const windowMemory = 2

// Account breaks down where the score of the day was lost.
func (r *Report) Account() Account {
	account := Account{MaxScore: 1}
	for _, part := range r.Components {
		account.lose(part.Name, part.Weight*(1-part.Value))
	}
	for _, price := range r.Prices {
		if price.Name == machinesPrice {
			account.MaxScore -= price.Cost
			continue
		}
		account.lose("price: "+price.Name, price.Cost)
	}
	slices.SortStableFunc(account.Losses, func(a, b Loss) int { return cmp.Compare(b.Lost, a.Lost) })
	for at, window := range r.Windows {
		if window.Late+window.Rejected+window.Failed > 0 {
			account.Windows = append(account.Windows, WindowLoss{Window: window, Disruptions: r.labelsAround(at)})
		}
	}
	return account
}

// minLoss is the loss below which none is listed.
const minLoss = 0.00005

func (a *Account) lose(name string, lost float64) {
	if lost >= minLoss {
		a.Losses = append(a.Losses, Loss{Name: name, Lost: lost})
	}
}

// Lost is the sum of the listed losses.
func (a *Account) Lost() float64 {
	sum := 0.0
	for _, loss := range a.Losses {
		sum += loss.Lost
	}
	return sum
}

// labelsAround names the disruptions in progress in a window or ended shortly before it. A request is counted in the
// window in which it was sent, so the disruptions of the next window may have affected it too.
func (r *Report) labelsAround(at int) []string {
	width := r.Length() / float64(len(r.Windows))
	from := r.Windows[at].Start
	until := from + 2*width
	var labels []string
	for index := range r.Disruptions {
		disruption := &r.Disruptions[index]
		if disruption.Start < until && disruption.Until() >= from-windowMemory {
			labels = append(labels, Label(index))
		}
	}
	return labels
}

func (r *Report) printAccount(output io.Writer) {
	account := r.Account()
	title := fmt.Sprintf("Below the ceiling of %.3f (nothing lost, machines paid): %.3f", account.MaxScore, account.Lost())
	rows := report.NewTable(output, title, "part or price", "lost")
	for _, loss := range account.Losses {
		rows.AppendRow(table.Row{loss.Name, fmt.Sprintf("%.4f", loss.Lost)})
	}
	rows.Render()
	if len(account.Windows) == 0 {
		return
	}
	windows := report.NewTable(output, "When it was lost", "from s", "sent", "late", "refused", "failed", "worth",
		"disruptions around")
	for _, window := range account.Windows {
		windows.AppendRow(table.Row{
			window.Name, window.Requests, window.Late, window.Rejected, window.Failed, fmt.Sprintf("%.3f", window.Value),
			strings.Join(window.Disruptions, " "),
		})
	}
	windows.Render()
}

// Named is the report of a day with its name.
type Named struct {
	Name   string
	Report *Report
}

// PrintComparison writes one row a day: its score, its ceiling, and where the rest went.
func PrintComparison(output io.Writer, days []Named) {
	rows := report.NewTable(output, "Days", "day", "score", "ceiling", "late", "failed", "lost most")
	for _, day := range days {
		account := day.Report.Account()
		var largest []string
		for _, loss := range account.Losses[:min(maxLosses, len(account.Losses))] {
			largest = append(largest, fmt.Sprintf("%s %.4f", loss.Name, loss.Lost))
		}
		rows.AppendRow(table.Row{
			day.Name, fmt.Sprintf("%.3f", day.Report.Score), fmt.Sprintf("%.3f", account.MaxScore),
			day.Report.All.Late, day.Report.All.Failed, strings.Join(largest, ", "),
		})
	}
	rows.Render()
}

// maxLosses is how many losses a row of a comparison names.
const maxLosses = 4

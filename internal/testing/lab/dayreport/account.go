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

// Loss is what one part or price keeps a day below its ceiling.
type Loss struct {
	Name string
	// Lost is in the units of the score.
	Lost float64
}

// Account says where the score of a day went.
type Account struct {
	// Ceiling is the score of a day that loses nothing and pays for its machines only.
	Ceiling float64
	// Losses add up to the distance between ceiling and score, the largest first.
	Losses []Loss
	// Windows are those in which requests were late, refused or failed.
	Windows []WindowLoss
}

// WindowLoss is a span of time with what was lost in it.
type WindowLoss struct {
	Window
	// Disruptions are the marks of those under way in the window, or shortly before it.
	Disruptions []string
}

// windowMemory is for how many seconds a disruption that is over still explains what was lost.
const windowMemory = 2

// Account works out where the score of the day went.
func (r *Report) Account() Account {
	account := Account{Ceiling: 1}
	for _, part := range r.Parts {
		account.lose(part.Name, part.Weight*(1-part.Value))
	}
	for _, price := range r.Prices {
		if price.Name == machinesPrice {
			account.Ceiling -= price.Cost
			continue
		}
		account.lose("price: "+price.Name, price.Cost)
	}
	slices.SortStableFunc(account.Losses, func(a, b Loss) int { return cmp.Compare(b.Lost, a.Lost) })
	for at, window := range r.Windows {
		if window.Late+window.Refused+window.Failed > 0 {
			account.Windows = append(account.Windows, WindowLoss{Window: window, Disruptions: r.marksAround(at)})
		}
	}
	return account
}

// leastLoss is what is too little to be told.
const leastLoss = 0.00005

func (a *Account) lose(name string, lost float64) {
	if lost >= leastLoss {
		a.Losses = append(a.Losses, Loss{Name: name, Lost: lost})
	}
}

// Lost is the distance between the ceiling and the score, as far as it is told.
func (a *Account) Lost() float64 {
	sum := 0.0
	for _, loss := range a.Losses {
		sum += loss.Lost
	}
	return sum
}

// marksAround names the disruptions that were under way in a window or ended shortly before it. A request is counted in the
// window in which it was sent, so one that a later disruption caught stands before that: the next window counts too.
func (r *Report) marksAround(at int) []string {
	width := r.Length() / float64(len(r.Windows))
	from := r.Windows[at].Start
	until := from + 2*width
	var marks []string
	for place := range r.Disruptions {
		disruption := &r.Disruptions[place]
		if disruption.Start < until && disruption.Until() >= from-windowMemory {
			marks = append(marks, Mark(place))
		}
	}
	return marks
}

func (r *Report) printAccount(output io.Writer) {
	account := r.Account()
	title := fmt.Sprintf("Below the ceiling of %.3f (nothing lost, machines paid): %.3f", account.Ceiling, account.Lost())
	rows := report.NewTable(output, title, "part or price", "lost")
	for _, loss := range account.Losses {
		rows.AppendRow(table.Row{loss.Name, fmt.Sprintf("%.4f", loss.Lost)})
	}
	rows.Render()
	if len(account.Windows) == 0 {
		return
	}
	windows := report.NewTable(output, "When it was lost", "from s", "sent", "late", "refused", "failed", "worth", "disruptions around")
	for _, window := range account.Windows {
		windows.AppendRow(table.Row{
			window.Name, window.Asked, window.Late, window.Refused, window.Failed, fmt.Sprintf("%.3f", window.Worth),
			strings.Join(window.Disruptions, " "),
		})
	}
	windows.Render()
}

// Named is the report of a day with the name by which it is told apart.
type Named struct {
	Name   string
	Report *Report
}

// PrintComparison writes one row a day: its score, its ceiling, and where the rest went.
func PrintComparison(output io.Writer, days []Named) {
	rows := report.NewTable(output, "Days", "day", "score", "ceiling", "late", "failed", "lost most")
	for _, day := range days {
		account := day.Report.Account()
		var most []string
		for _, loss := range account.Losses[:min(mostLosses, len(account.Losses))] {
			most = append(most, fmt.Sprintf("%s %.4f", loss.Name, loss.Lost))
		}
		rows.AppendRow(table.Row{
			day.Name, fmt.Sprintf("%.3f", day.Report.Score), fmt.Sprintf("%.3f", account.Ceiling),
			day.Report.All.Late, day.Report.All.Failed, strings.Join(most, ", "),
		})
	}
	rows.Render()
}

// mostLosses is how many losses a row of a comparison names.
const mostLosses = 4

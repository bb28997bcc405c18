package ablation

import (
	"fmt"
	"io"
	"math"
	"runtime"

	"github.com/jedib0t/go-pretty/v6/table"
	"golang.org/x/sync/errgroup"

	"github.com/rosestand/rosestand/internal/dataplane/schedule/schedulesim"
	"github.com/rosestand/rosestand/internal/testing/lab/report"
)

// allMechanisms is the name of the plays without any switched off.
const allMechanisms = "all mechanisms"

// Figures are those of one day with one mechanism off, over all seeds.
type Figures struct {
	// Without names the mechanism.
	Without string
	InTime  Spread
	// FirstTokenMillis is the time to the first token that 95 in 100 turns did not exceed.
	FirstTokenMillis Spread
	// ReadTwice is how many prompt tokens a turn some server read that another had read before.
	ReadTwice Spread
}

// Spread is the mean of a figure over the seeds with its least and its most.
type Spread struct{ Mean, Min, Max float64 }

func spreadOf(values []float64) Spread {
	spread := Spread{Min: math.Inf(1), Max: math.Inf(-1)}
	for _, value := range values {
		spread.Mean += value / float64(len(values))
		spread.Min = min(spread.Min, value)
		spread.Max = max(spread.Max, value)
	}
	return spread
}

// DayResult is a table: the first row has all mechanisms.
type DayResult struct {
	Day  string
	Rows []Figures
}

// Run plays all days, on as many processors as there are.
func (f *File) Run() []DayResult {
	results := make([]DayResult, len(f.Days))
	mechanisms := append([]schedulesim.Mechanism{""}, schedulesim.Mechanisms()...)
	var plays errgroup.Group
	plays.SetLimit(runtime.GOMAXPROCS(0))
	for at, day := range f.Days {
		results[at] = DayResult{Day: day.Name, Rows: make([]Figures, len(mechanisms))}
		for row, without := range mechanisms {
			plays.Go(func() error {
				results[at].Rows[row] = f.play(day, without)
				return nil
			})
		}
	}
	_ = plays.Wait()
	return results
}

func (f *File) play(day Day, without schedulesim.Mechanism) Figures {
	var inTime, first, twice []float64
	for _, seed := range f.Seeds {
		result := schedulesim.Simulate(f.options(day, seed, without))
		inTime = append(inTime, result.Share())
		first = append(first, result.Quantile(0.95).Seconds()*1000)
		twice = append(twice, float64(result.RepeatedTokens)/float64(max(result.Turns, 1)))
	}
	figures := Figures{
		Without: string(without), InTime: spreadOf(inTime), FirstTokenMillis: spreadOf(first),
		ReadTwice: spreadOf(twice),
	}
	if without == "" {
		figures.Without = allMechanisms
	}
	return figures
}

// Print writes a table a day.
func Print(output io.Writer, file *File, results []DayResult) {
	for _, result := range results {
		title := fmt.Sprintf("%s, %s: mean and spread of %d seeds", file.Name, result.Day, len(file.Seeds))
		rows := report.NewTable(output, title, "without", "programs in time", "first token p95 ms",
			"tokens read twice a turn")
		for _, row := range result.Rows {
			rows.AppendRow(table.Row{row.Without, row.InTime.text(3), row.FirstTokenMillis.text(0), row.ReadTwice.text(0)})
		}
		rows.Render()
	}
}

func (s Spread) text(digits int) string {
	return fmt.Sprintf("%.*f (%.*f to %.*f)", digits, s.Mean, digits, s.Min, digits, s.Max)
}

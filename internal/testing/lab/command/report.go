package command

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/testing/lab/dayreport"
)

const minChartWidth = 20

type reportOptions struct {
	width  int
	output string
}

// newReport draws the report of a played day.
func newReport(e *environment) *cobra.Command {
	var options reportOptions
	command := &cobra.Command{
		Use: "report FILE [FILE ...]",
		Short: "Draw the report of a day that a bench has played: outcomes and times over time, " +
			"disruptions, kinds of requests; or compare several",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			if len(arguments) > 1 {
				return e.compareReports(arguments)
			}
			return e.report(arguments[0], options)
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.width, "width", dayreport.ChartWidth, "width of the charts in characters")
	flags.StringVar(&options.output, "output", "", "SVG file that takes the charts as well")
	return command
}

func (e *environment) report(path string, options reportOptions) error {
	if options.width < minChartWidth {
		return &FlagError{Flag: "width", Reason: fmt.Sprintf("must be %d or more", minChartWidth)}
	}
	day, err := dayreport.Read(path)
	if err != nil {
		return err
	}
	day.Print(e.output, dayreport.Terminal{Width: options.width, Color: isTerminal(e.output)})
	if options.output == "" {
		return nil
	}
	return day.SaveFigure(options.output)
}

// compareReports prints a row a day.
func (e *environment) compareReports(paths []string) error {
	var days []dayreport.Named
	for _, path := range paths {
		day, err := dayreport.Read(path)
		if err != nil {
			return err
		}
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		days = append(days, dayreport.Named{Name: name, Report: day})
	}
	dayreport.PrintComparison(e.output, days)
	return nil
}

// isTerminal reports whether colors are understood where the output goes.
func isTerminal(output io.Writer) bool {
	file, isFile := output.(*os.File)
	return isFile && isatty.IsTerminal(file.Fd()) && os.Getenv("NO_COLOR") == ""
}

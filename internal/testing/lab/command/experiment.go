package command

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/lab/audit"
	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/deployment"
	"github.com/rosestand/rosestand/internal/testing/lab/experiment"
	"github.com/rosestand/rosestand/internal/testing/lab/fleet"
	"github.com/rosestand/rosestand/internal/testing/lab/report"
	"github.com/rosestand/rosestand/internal/testing/lab/wait"
)

// rolloutSettles is the time that a candidate gets to be in force everywhere.
const rolloutSettles = 3 * time.Second

func newExperiment(e *environment) *cobra.Command {
	return &cobra.Command{
		Use:   "experiment FILE",
		Short: "Compare policies under the same load; write a report with plots and JSON",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			file, err := experiment.Load(arguments[0])
			if err != nil {
				return err
			}
			return e.experiment(command.Context(), file, "rosestand-lab experiment "+arguments[0])
		},
	}
}

// armRuns gathers the runs of one arm.
type armRuns struct {
	books [][]*caller.Record
	clean bool
}

func (e *environment) experiment(ctx context.Context, file *experiment.File, command string) error {
	runs := make([]*armRuns, len(file.Arms))
	for i := range runs {
		runs[i] = &armRuns{clean: true}
	}
	var folder string
	for _, seed := range file.Seeds {
		var err error
		if file.Mode == experiment.Live {
			folder, err = e.runLive(ctx, file, seed, runs)
		} else {
			folder, err = e.runSeparate(ctx, file, seed, runs)
		}
		if err != nil {
			return err
		}
	}
	result := &experiment.Result{File: file, Command: command}
	clean := true
	for i, arm := range file.Arms {
		sample := experiment.NewSample(runs[i].books, file.Duration())
		result.Arms = append(result.Arms, experiment.NewArmResult(arm.Name, sample, runs[i].clean, file.Seeds[0]))
		clean = clean && runs[i].clean
	}
	if err := result.Save(folder); err != nil {
		return err
	}
	e.printExperiment(result)
	e.logger.Info("report written", "path", folder+"/report.html")
	if !clean {
		return &ViolationError{What: "the audit of a run found violations, see " + e.folder}
	}
	return nil
}

// runSeparate serves each arm on a fleet of its own.
func (e *environment) runSeparate(ctx context.Context, file *experiment.File, seed uint64, runs []*armRuns) (folder string, err error) {
	for i, arm := range file.Arms {
		e.logger.Info("run", "arm", arm.Name, "seed", seed)
		var book *caller.Book
		var clean bool
		folder, book, clean, err = e.runArm(ctx, file, seed, &file.Arms[i], nil)
		if err != nil {
			return folder, err
		}
		runs[i].books = append(runs[i].books, book.Records)
		runs[i].clean = runs[i].clean && clean
	}
	return folder, nil
}

// runLive serves both arms on one fleet and tells them apart by the bundle that served each program.
func (e *environment) runLive(ctx context.Context, file *experiment.File, seed uint64, runs []*armRuns) (folder string, err error) {
	e.logger.Info("run", "arms", "both", "seed", seed)
	folder, book, clean, err := e.runArm(ctx, file, seed, &file.Arms[0], &file.Arms[1])
	if err != nil {
		return folder, err
	}
	byArm := splitByBundle(book.Records)
	for i := range runs {
		runs[i].books = append(runs[i].books, byArm[i])
		runs[i].clean = runs[i].clean && clean
	}
	return folder, nil
}

// splitByBundle gives each program to the arm whose bundle served it; a
// program that was never served belongs to none.
func splitByBundle(records []*caller.Record) [2][]*caller.Record {
	arms := map[string]int{}
	for _, record := range records {
		if record.BundleVersion > 0 {
			arms[record.Program] = min(int(record.BundleVersion-firstBundle), 1)
		}
	}
	var split [2][]*caller.Record
	for _, record := range records {
		if arm, served := arms[record.Program]; served {
			split[arm] = append(split[arm], record)
		}
	}
	return split
}

// runArm brings a fleet up under an arm's policy, with a candidate when one is given, and runs the load.
func (e *environment) runArm(ctx context.Context, file *experiment.File, seed uint64, arm, candidate *experiment.Arm) (folder string, book *caller.Book, clean bool, err error) {
	sizes, err := file.FleetSizes()
	if err != nil {
		return "", nil, false, err
	}
	layout := fleet.Options{Sizes: sizes, LogLevel: "warn", Rates: file.Rates, Faults: file.Faults}
	err = e.withFleet("experiment", layout, func(f *fleet.Fleet) error {
		folder = f.Folder()
		book, clean, err = e.armOn(ctx, f, file, seed, arm, candidate)
		return err
	})
	return folder, book, clean, err
}

func (e *environment) armOn(ctx context.Context, f *fleet.Fleet, file *experiment.File, seed uint64, arm, candidate *experiment.Arm) (book *caller.Book, clean bool, err error) {
	first, err := arm.Apply(f.Bundle(firstBundle))
	if err != nil {
		return nil, false, err
	}
	orders, err := e.startWith(ctx, f, first)
	if err != nil {
		return nil, false, err
	}
	if candidate != nil {
		if err := e.rollOut(ctx, f, first, candidate, file.ShareBasisPoints); err != nil {
			return nil, false, err
		}
	}
	served := &deployment.Deployment{Callers: file.Site, Load: file.Load, Shape: file.Shape}
	callers := e.callers(f, served, file.Duration(), seed)
	if book, err = e.converse(ctx, f, callers); err != nil {
		return nil, false, err
	}
	evidence := &audit.Evidence{Book: book, Orders: orders}
	if candidate != nil {
		evidence.Candidates = []uint64{first.GetVersion() + 1}
	}
	err = e.audit(f.Folder(), evidence)
	if isViolation(err) {
		return book, false, nil
	}
	return book, true, err
}

// rollOut signs the candidate off for a share of the programs.
func (e *environment) rollOut(ctx context.Context, f *fleet.Fleet, active *protocol.Bundle, candidate *experiment.Arm, share uint32) error {
	next, err := candidate.Apply(active)
	if err != nil {
		return err
	}
	next.Version = active.GetVersion() + 1
	percent := strconv.FormatFloat(float64(share)/100, 'f', -1, 64)
	if err := f.DeliverCandidate(ctx, next, "--share", percent); err != nil {
		return err
	}
	wait.For(ctx, rolloutSettles)
	return nil
}

func (e *environment) printExperiment(result *experiment.Result) {
	names := []any{"metric"}
	programs := []any{"programs"}
	for _, arm := range result.Arms {
		names = append(names, arm.Name)
		programs = append(programs, arm.Programs)
	}
	rows := report.NewTable(e.output, result.File.Name+" (with intervals of 95% confidence)", names...)
	rows.AppendRow(programs)
	for _, metric := range experiment.Metrics() {
		row := []any{metric}
		for _, arm := range result.Arms {
			estimate := arm.Estimates[metric]
			row = append(row, fmt.Sprintf("%.1f (%.1f to %.1f)", estimate.Value, estimate.Low, estimate.High))
		}
		rows.AppendRow(row)
	}
	rows.Render()
	_, _ = fmt.Fprintln(e.output, strings.TrimSpace("Command: "+result.Command))
}

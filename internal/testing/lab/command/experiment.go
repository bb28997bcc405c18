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

// armRuns gathers the runs of one variant.
type variantRuns struct {
	logs  [][]*caller.Record
	clean bool
}

func (e *environment) experiment(ctx context.Context, file *experiment.File, command string) error {
	runs := make([]*variantRuns, len(file.Variants))
	for i := range runs {
		runs[i] = &variantRuns{clean: true}
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
	for i, variant := range file.Variants {
		sample := experiment.NewSample(runs[i].logs, file.Duration())
		result.Variants = append(result.Variants, experiment.NewVariantResult(variant.Name, sample, runs[i].clean,
			file.Seeds[0]))
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

// runSeparate serves each variant on a fleet of its own.
func (e *environment) runSeparate(ctx context.Context, file *experiment.File, seed uint64,
	runs []*variantRuns,
) (folder string, err error) {
	for i, variant := range file.Variants {
		e.logger.Info("run started", "variant", variant.Name, "seed", seed)
		var requestLog *caller.RequestLog
		var clean bool
		folder, requestLog, clean, err = e.runVariant(ctx, file, seed, &file.Variants[i], nil)
		if err != nil {
			return folder, err
		}
		runs[i].logs = append(runs[i].logs, requestLog.Records)
		runs[i].clean = runs[i].clean && clean
	}
	return folder, nil
}

// runLive serves both variants on one fleet and distinguishes them by the bundle that served each program.
func (e *environment) runLive(ctx context.Context, file *experiment.File, seed uint64,
	runs []*variantRuns,
) (folder string, err error) {
	e.logger.Info("run started", "variants", "both", "seed", seed)
	folder, requestLog, clean, err := e.runVariant(ctx, file, seed, &file.Variants[0], &file.Variants[1])
	if err != nil {
		return folder, err
	}
	byVariant := splitByBundle(requestLog.Records)
	for i := range runs {
		runs[i].logs = append(runs[i].logs, byVariant[i])
		runs[i].clean = runs[i].clean && clean
	}
	return folder, nil
}

// splitByBundle gives each program to the variant whose bundle served it; a
// program that was never served belongs to none.
func splitByBundle(records []*caller.Record) [2][]*caller.Record {
	variants := map[string]int{}
	for _, record := range records {
		if record.BundleVersion > 0 {
			variants[record.Program] = min(int(record.BundleVersion-firstBundle), 1)
		}
	}
	var split [2][]*caller.Record
	for _, record := range records {
		if variant, served := variants[record.Program]; served {
			split[variant] = append(split[variant], record)
		}
	}
	return split
}

// runVariant brings a fleet up under an variant's policy, with a candidate when one is given, and runs the load.
func (e *environment) runVariant(ctx context.Context, file *experiment.File, seed uint64, variant,
	candidate *experiment.Variant,
) (folder string, requestLog *caller.RequestLog, clean bool, err error) {
	sizes, err := file.FleetSizes()
	if err != nil {
		return "", nil, false, err
	}
	layout := fleet.Options{Sizes: sizes, LogLevel: "warn", Rates: file.Rates, Faults: file.Faults}
	err = e.withFleet(ctx, "experiment", layout, func(f *fleet.Fleet) error {
		folder = f.Folder()
		requestLog, clean, err = e.variantOn(ctx, f, file, seed, variant, candidate)
		return err
	})
	return folder, requestLog, clean, err
}

func (e *environment) variantOn(ctx context.Context, f *fleet.Fleet, file *experiment.File, seed uint64, variant,
	candidate *experiment.Variant,
) (requestLog *caller.RequestLog, clean bool, err error) {
	first, err := variant.Apply(f.Bundle(firstBundle))
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
	if requestLog, err = e.converse(ctx, f, callers); err != nil {
		return nil, false, err
	}
	evidence := &audit.Evidence{RequestLog: requestLog, Orders: orders}
	if candidate != nil {
		evidence.Candidates = []uint64{first.GetVersion() + 1}
	}
	err = e.audit(f.Folder(), evidence)
	if isViolation(err) {
		return requestLog, false, nil
	}
	return requestLog, true, err
}

// rollOut signs the candidate off for a share of the programs.
func (e *environment) rollOut(ctx context.Context, f *fleet.Fleet, active *protocol.Bundle,
	candidate *experiment.Variant, share uint32,
) error {
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
	for _, variant := range result.Variants {
		names = append(names, variant.Name)
		programs = append(programs, variant.Programs)
	}
	rows := report.NewTable(e.output, result.File.Name+" (with intervals of 95% confidence)", names...)
	rows.AppendRow(programs)
	for _, metric := range experiment.Metrics() {
		row := []any{metric}
		for _, variant := range result.Variants {
			estimate := variant.Estimates[metric]
			row = append(row, fmt.Sprintf("%.1f (%.1f to %.1f)", estimate.Value, estimate.Low, estimate.High))
		}
		rows.AppendRow(row)
	}
	rows.Render()
	_, _ = fmt.Fprintln(e.output, strings.TrimSpace("Command: "+result.Command))
}

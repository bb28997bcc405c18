package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/lab/audit"
	"github.com/rosestand/rosestand/internal/lab/caller"
	"github.com/rosestand/rosestand/internal/lab/fleet"
	"github.com/rosestand/rosestand/internal/lab/report"
	"github.com/rosestand/rosestand/internal/lab/site"
	"github.com/rosestand/rosestand/internal/lab/standin"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	servingDeadline   = 15 * time.Second
	conversationGrace = 20 * time.Second
	verifiedTurns     = 300
	verifyDeadline    = 30 * time.Second
	maxDuration       = 2 * time.Hour
	firstBundle       = 1
	serverStopGrace   = 8 * time.Second
)

type runOptions struct {
	site     string
	duration time.Duration
	seed     uint64
	rate     float64
}

func newRun(e *environment) *cobra.Command {
	var options runOptions
	command := &cobra.Command{
		Use:   "run",
		Short: "Bring up a small fleet, run callers of both sites against it, audit, stop",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return e.run(command.Context(), options)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.site, "site", string(site.Both), "callers of caroni, menon or both")
	flags.DurationVar(&options.duration, "duration", 20*time.Second, "how long new conversations open")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the callers")
	flags.Float64Var(&options.rate, "rate", caller.DefaultLoad().ConversationsPerSecond, "conversations a second outside of bursts")
	return command
}

// run is `rosestand-lab run` from start to stop.
func (e *environment) run(ctx context.Context, options runOptions) (err error) {
	if options.duration <= 0 || options.duration > maxDuration {
		return &FlagError{Flag: "duration", Reason: "must be above 0 and at most " + maxDuration.String()}
	}
	f, err := e.newFleet("run", fleet.Options{Sizes: site.Small(), LogLevel: "info"})
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, e.stop(f)) }()
	orders, err := e.start(ctx, f)
	if err != nil {
		return err
	}
	load := caller.DefaultLoad()
	load.ConversationsPerSecond = options.rate
	callers := e.callers(f, site.Name(options.site), load, options.duration, options.seed)
	var releasing sync.WaitGroup
	var released []audit.Order
	var broke error
	releasing.Go(func() { released, broke = e.release(ctx, f, options.duration/2) })
	book, err := e.converse(ctx, f, callers)
	releasing.Wait()
	if err = errors.CombineErrors(err, broke); err != nil {
		return err
	}
	orders = append(orders, released...)
	if err := f.CheckRunning(); err != nil {
		return err
	}
	report.PrintSummary(e.output, book, report.Summarize(book), options.duration)
	return e.audit(f.Folder(), &audit.Evidence{Book: book, Orders: orders})
}

// release does what operators do on an ordinary day, in the middle of the run:
// it rolls the next bundle out and replaces one model server.
func (e *environment) release(ctx context.Context, f *fleet.Fleet, after time.Duration) ([]audit.Order, error) {
	if !pause(ctx, after) {
		return nil, nil
	}
	next := &protocol.Bundle{Version: firstBundle + 1, BaseVersion: firstBundle, Partial: true, Limits: f.Bundle(firstBundle).GetLimits()}
	next.Limits.MaxQueued++
	orders, err := f.DeliverBundle(ctx, next)
	if err != nil {
		return orders, err
	}
	server := f.Members(fleet.KindBackEnd)[0]
	gentle, err := f.Process(server).Stop(serverStopGrace)
	if err != nil {
		return orders, err
	}
	e.logger.Info("bundle rolled out, model server replaced", "version", next.GetVersion(), "server", server.Name, "gentle", gentle)
	return orders, f.StartMember(server)
}

// FlagError names a flag with an unusable value.
type FlagError struct{ Flag, Reason string }

func (e *FlagError) Error() string { return fmt.Sprintf("--%s %s", e.Flag, e.Reason) }

func (e *environment) newFleet(kind string, options fleet.Options) (*fleet.Fleet, error) {
	if err := fleet.CheckBinaries(e.binaries); err != nil {
		return nil, err
	}
	options.Folder = e.runFolder(kind)
	options.Binaries = e.binaries
	options.Logger = e.logger
	e.logger.Info("run folder", "path", options.Folder)
	return fleet.New(options)
}

// start brings the fleet up with the default bundle.
func (e *environment) start(ctx context.Context, f *fleet.Fleet) ([]audit.Order, error) {
	return e.startWith(ctx, f, f.Bundle(firstBundle))
}

// startWith brings the fleet up, delivers a first bundle and waits until every front node serves.
func (e *environment) startWith(ctx context.Context, f *fleet.Fleet, first *protocol.Bundle) ([]audit.Order, error) {
	if err := f.Start(ctx, fleet.KindCore, fleet.KindStore); err != nil {
		return nil, err
	}
	orders, err := f.DeliverBundle(ctx, first)
	if err != nil {
		return nil, err
	}
	e.logger.Info("bundle signed off", "version", first.GetVersion())
	if err := f.Start(ctx, fleet.KindFront, fleet.KindBackEnd); err != nil {
		return nil, err
	}
	if err := f.AwaitServing(ctx, servingDeadline); err != nil {
		return nil, err
	}
	e.logger.Info("every front node serves")
	return orders, nil
}

func (e *environment) callers(f *fleet.Fleet, name site.Name, load caller.Load, duration time.Duration, seed uint64) caller.Options {
	return caller.Options{
		Fronts: f.Fronts(), Site: name, Load: load, Shape: caller.DefaultShape(),
		Duration: duration, Grace: conversationGrace, Seed: seed, Run: filepath.Base(f.Folder()),
		Zones: zonesOf(f), Credentials: f.Credentials(),
	}
}

func zonesOf(f *fleet.Fleet) int {
	zones := 1
	for _, front := range f.Fronts() {
		zones = max(zones, front.Zone+1)
	}
	return zones
}

// converse runs the callers and reads a sample of kept turns again.
func (e *environment) converse(ctx context.Context, f *fleet.Fleet, options caller.Options) (*caller.Book, error) {
	book, err := e.talk(ctx, options)
	if err != nil {
		return nil, err
	}
	return book, e.verify(ctx, f, options, book)
}

// talk runs the callers with a progress bar.
func (e *environment) talk(ctx context.Context, options caller.Options) (*caller.Book, error) {
	var bar *progressbar.ProgressBar
	options.Progress = func(ended, opened, planned int) {
		if bar == nil {
			bar = progressbar.NewOptions(planned, progressbar.OptionSetWriter(e.errors),
				progressbar.OptionShowCount(), progressbar.OptionSetPredictTime(false), progressbar.OptionSetWidth(30),
				progressbar.OptionSetElapsedTime(false))
		}
		bar.Describe(fmt.Sprintf("conversations ended (%d under way)", opened-ended))
		_ = bar.Set(ended)
	}
	book, err := caller.Run(ctx, options)
	_, _ = fmt.Fprintln(e.errors)
	return book, err
}

// verify reads a sample of kept turns again and saves the book.
func (e *environment) verify(ctx context.Context, f *fleet.Fleet, options caller.Options, book *caller.Book) error {
	ctx, cancel := context.WithTimeout(ctx, verifyDeadline)
	defer cancel()
	if err := caller.Verify(ctx, options, book, verifiedTurns); err != nil {
		return err
	}
	return book.Save(filepath.Join(f.Folder(), "book.json"))
}

func (e *environment) stop(f *fleet.Fleet) error {
	stopped, err := f.Stop()
	e.logger.Info("fleet stopped", "gentle", stopped.Gentle, "killed", stopped.Killed)
	return err
}

// audit reads the journals, holds them against the evidence, prints and keeps the report.
func (e *environment) audit(folder string, evidence *audit.Evidence) error {
	journal, err := standin.ReadJournals(filepath.Join(folder, "journals"))
	if err != nil {
		return err
	}
	evidence.Journal = journal
	found := audit.Audit(*evidence)
	report.PrintAudit(e.output, found)
	kept := keptAudit{Orders: evidence.Orders, Disturbed: evidence.Disturbed, Returns: evidence.Returns, Candidates: evidence.Candidates, Report: found}
	content, err := json.MarshalIndent(&kept, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode audit")
	}
	if err := os.WriteFile(filepath.Join(folder, "audit.json"), content, 0o644); err != nil {
		return errors.Wrap(err, "write audit")
	}
	if !found.Clean() {
		return &ViolationError{What: "the audit found violations, see " + folder}
	}
	return nil
}

// keptAudit is what a run's folder keeps of its audit.
type keptAudit struct {
	Orders     []audit.Order    `json:"orders"`
	Disturbed  []audit.Interval `json:"disturbed"`
	Returns    []audit.Return   `json:"returns"`
	Candidates []uint64         `json:"candidates,omitempty"`
	Report     *audit.Report    `json:"report"`
}

// newAudit audits the folder of an earlier run again.
func newAudit(e *environment) *cobra.Command {
	return &cobra.Command{
		Use:   "audit FOLDER",
		Short: "Audit the folder of an earlier run again",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			folder := arguments[0]
			book, err := caller.LoadBook(filepath.Join(folder, "book.json"))
			if err != nil {
				return err
			}
			content, err := os.ReadFile(filepath.Join(folder, "audit.json"))
			if err != nil {
				return errors.Wrap(err, "read audit")
			}
			var kept keptAudit
			if err := json.Unmarshal(content, &kept); err != nil {
				return errors.Wrap(err, "decode audit")
			}
			return e.audit(folder, &audit.Evidence{Book: book, Orders: kept.Orders, Disturbed: kept.Disturbed, Returns: kept.Returns, Candidates: kept.Candidates})
		},
	}
}

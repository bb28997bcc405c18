package command

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/fleet"
	"github.com/rosestand/rosestand/internal/testing/lab/modelserver"
	"github.com/rosestand/rosestand/internal/testing/lab/overload"
	"github.com/rosestand/rosestand/internal/testing/lab/report"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

const (
	burstBatch       = 8
	maxBurst         = 60 * time.Second
	maxBurstFactor   = 50
	burstMaxRequests = 20_000
	goalGoodput      = 0.9
	goalPercentile   = 99
)

type burstOptions struct {
	length time.Duration
	closed time.Duration
	after  time.Duration
	factor float64
	seed   uint64
}

func newBurst(e *environment) *cobra.Command {
	var options burstOptions
	command := &cobra.Command{
		Use: "burst",
		Short: "Offer a small fleet ten times the capacity of its model servers; " +
			"report goodput, refusals, shares and recovery",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return e.burst(command.Context(), options) },
	}
	flags := command.Flags()
	flags.DurationVar(&options.length, "duration", 6*time.Second, "length of the burst")
	flags.DurationVar(&options.closed, "closed", 3*time.Second, "length of each closed loop before it")
	flags.DurationVar(&options.after, "after", 5*time.Second, "length of the light load after it")
	flags.Float64Var(&options.factor, "factor", 10, "offered load as a multiple of the capacity")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the arrivals")
	return command
}

// burstRates make servers that a machine shared with callers and fleet can overload many times.
func burstRates() modelserver.Rates {
	return modelserver.Rates{
		PrefillTokensPerSecond: 1e6, StepMicros: 8000, SequenceMicros: 300, PrefillChunk: 1 << 16,
		MaxBatch: burstBatch, MaxQueue: 64, BlockTokens: 16, Blocks: 1 << 16,
	}
}

func (e *environment) burst(ctx context.Context, options burstOptions) error {
	if options.length <= 2*time.Second || options.length > maxBurst || options.factor <= 1 ||
		options.factor > maxBurstFactor {
		return &FlagError{Flag: "duration and --factor", Reason: "must be above 2s and 1, and at most 60s and 50"}
	}
	layout := fleet.Options{Sizes: site.Small(), LogLevel: "warn", Rates: burstRates()}
	return e.withFleet(ctx, "burst", layout, func(f *fleet.Fleet) error {
		made := f.Bundle(firstBundle)
		overload.AddTenants(made, site.ModelClimateAdvisor, site.GroupModels)
		if _, err := e.startWith(ctx, f, made); err != nil {
			return err
		}
		target := overload.Target{
			Client: &caller.Client{HTTP: caller.NewHTTPClient(), Now: time.Now},
			Fronts: f.FrontAddresses(), Model: site.ModelClimateAdvisor, Run: filepath.Base(f.Folder()),
		}
		defer target.Client.HTTP.CloseIdleConnections()
		return e.runBurst(ctx, f, target, options)
	})
}

func (e *environment) runBurst(ctx context.Context, f *fleet.Fleet, target overload.Target,
	options burstOptions,
) error {
	var servers []string
	for _, member := range f.Members(fleet.KindBackEnd) {
		if !member.Tool {
			servers = append(servers, member.HTTP)
		}
	}
	workers := burstBatch * len(servers)
	direct := target.Direct(ctx, servers, burstBatch, options.closed)
	through := target.ThroughFronts(ctx, workers, options.closed)
	e.logger.Info("capacity measured", "direct", direct.PerSecond, "through", through.PerSecond)
	plan := overload.Plan{
		Seed: options.seed, Factor: options.factor, Burst: options.length, After: options.after, AfterShare: 0.3,
		Tenants: overload.Tenants(), MaxRequests: burstMaxRequests,
	}
	outcome, err := target.Offer(ctx, plan, direct.PerSecond)
	if err != nil {
		return err
	}
	journal, err := standin.ReadJournals(f.JournalFolder())
	if err != nil {
		return err
	}
	started := map[string]bool{}
	for i := range journal {
		if journal[i].Phase == standin.PhaseStarted {
			started[journal[i].RequestID] = true
		}
	}
	usual := time.Duration(float64(workers) / direct.PerSecond * float64(time.Second))
	result := overload.Evaluate(outcome, func(id string) bool { return started[id] }, usual)
	e.printBurst(result, direct, through, options)
	return burstGoals(result, direct)
}

// burstGoals names the goals that were missed.
func burstGoals(result *overload.Result, direct overload.Loop) error {
	var missed []string
	if result.Goodput < goalGoodput*direct.PerSecond {
		missed = append(missed, "goodput under 90% of the capacity")
	}
	if result.AllRejections.At(goalPercentile) > overload.LateRejection {
		missed = append(missed, "99% of the refusals later than 50 ms")
	}
	if int64(result.RetryAfter) != result.AllRejections.Count() {
		missed = append(missed, "refusals without Retry-After")
	}
	if len(result.RejectedButRan) > 0 {
		missed = append(missed, "refused requests ran")
	}
	if len(missed) > 0 {
		return &ViolationError{What: fmt.Sprintf("goals missed: %v", missed)}
	}
	return nil
}

func (e *environment) printBurst(result *overload.Result, direct, through overload.Loop, options burstOptions) {
	share := func(value float64) string { return fmt.Sprintf("%.1f%%", 100*value) }
	rows := report.NewTable(e.output, fmt.Sprintf("Burst of %g times the capacity, %s, seed %d", options.factor,
		options.length, options.seed), "what", "value")
	rows.AppendRows([]table.Row{
		{
			"capacity: model servers called directly, turns/s",
			fmt.Sprintf("%.1f (failed %d)", direct.PerSecond, direct.Failed),
		},
		{
			"the same closed loop through the front nodes, turns/s",
			fmt.Sprintf("%.1f (failed %d)", through.PerSecond, through.Failed),
		},
		{"offered", result.Offered},
		{"answered", result.Answered},
		{"goodput after the first second, turns/s", fmt.Sprintf("%.1f", result.Goodput)},
		{"goodput as a share of the capacity", share(result.Goodput / direct.PerSecond)},
		{"refusals with Retry-After", fmt.Sprintf("%d of %d", result.RetryAfter, result.AllRejections.Count())},
		{"time to a refusal p50, p99, max ms", times(result.AllRejections)},
		{
			"refusals later than 50 ms, of those sent in the first second",
			fmt.Sprintf("%d, %d", result.LateRejections, result.LateAtOnset),
		},
		{"told not_run and ran", len(result.RejectedButRan)},
		{"recovery after the burst", result.Recovery.Round(time.Millisecond)},
		{"most that a request was sent late", result.MaxLateness.Round(time.Millisecond)},
	})
	rows.Render()
	kinds := report.NewTable(e.output, "Ends that are no answer", "code", "outcome", "count", "Retry-After",
		"p50, p99, max ms")
	for _, kind := range result.Kinds {
		kinds.AppendRow(table.Row{kind.Code, kind.Outcome, kind.Times.Count(), kind.RetryAfter, times(kind.Times)})
	}
	kinds.Render()
	groups := report.NewTable(e.output, "Classes and tenants", "name", "offered", "answered", "goodput turns/s",
		"of the goodput", "answered after p50, p99, max ms")
	for _, group := range append(result.Classes, result.Tenants...) {
		groups.AppendRow(table.Row{
			group.Name, group.Offered, group.Answered, fmt.Sprintf("%.1f", group.PerSecond),
			share(group.PerSecond / max(result.Goodput, 1e-9)), times(group.Waited),
		})
	}
	groups.Render()
}

func times(of *report.Times) string {
	return fmt.Sprintf("%s, %s, %s", report.Millis(of.At(50)), report.Millis(of.At(99)), report.Millis(of.At(100)))
}

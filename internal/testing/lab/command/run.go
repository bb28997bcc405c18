package command

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/lab/audit"
	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/deployment"
	"github.com/rosestand/rosestand/internal/testing/lab/fleet"
	"github.com/rosestand/rosestand/internal/testing/lab/report"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
	"github.com/rosestand/rosestand/internal/testing/lab/wait"
)

const serverStopGrace = 8 * time.Second

type runOptions struct {
	deploymentOptions
	duration time.Duration
	seed     uint64
}

func newRun(e *environment) *cobra.Command {
	var options runOptions
	command := &cobra.Command{
		Use:   "run",
		Short: "Bring up a small fleet, run callers of both sites against it, audit, stop",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			chosen, err := options.choose(command.Flags(), site.Small())
			if err != nil {
				return err
			}
			return e.run(command.Context(), chosen, options)
		},
	}
	flags := command.Flags()
	options.register(flags, site.Both, "callers of caroni, menon or both", caller.DefaultLoad().ConversationsPerSecond)
	flags.DurationVar(&options.duration, "duration", 20*time.Second, "how long new conversations open")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the callers")
	return command
}

// run is `rosestand-lab run` from start to stop.
func (e *environment) run(ctx context.Context, chosen *deployment.Deployment, options runOptions) error {
	if options.duration <= 0 || options.duration > maxDuration {
		return &FlagError{Flag: "duration", Reason: "must be above 0 and at most " + maxDuration.String()}
	}
	return e.withFleet(ctx, "run", chosen.Fleet(), func(f *fleet.Fleet) error {
		return e.runOn(ctx, f, chosen, options)
	})
}

func (e *environment) runOn(ctx context.Context, f *fleet.Fleet, chosen *deployment.Deployment,
	options runOptions,
) error {
	orders, err := e.start(ctx, f)
	if err != nil {
		return err
	}
	callers := e.callers(f, chosen, options.duration, options.seed)
	requestLog, err := e.converseBeside(ctx, f, callers, func() error {
		released, err := e.release(ctx, f, options.duration/2)
		orders = append(orders, released...)
		return err
	})
	if err != nil {
		return err
	}
	if err := f.CheckRunning(); err != nil {
		return err
	}
	report.PrintSummary(e.output, requestLog, report.Summarize(requestLog), options.duration)
	return e.audit(f.Folder(), &audit.Evidence{RequestLog: requestLog, Orders: orders})
}

// release does what operators do on an ordinary day, in the middle of the run:
// it rolls the next bundle out and replaces one model server.
func (e *environment) release(ctx context.Context, f *fleet.Fleet, after time.Duration) ([]audit.Order, error) {
	if !wait.For(ctx, after) {
		return nil, nil
	}
	next := &protocol.Bundle{
		Version: firstBundle + 1, BaseVersion: firstBundle, Partial: true,
		Limits: f.Bundle(firstBundle).GetLimits(),
	}
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
	e.logger.Info("bundle rolled out, model server replaced", "version", next.GetVersion(), "server", server.Name,
		"gentle", gentle)
	return orders, f.StartMember(server)
}

// FlagError names a flag with an unusable value.
type FlagError struct{ Flag, Reason string }

// Error implements error.
func (e *FlagError) Error() string { return fmt.Sprintf("--%s %s", e.Flag, e.Reason) }

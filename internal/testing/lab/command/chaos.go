package command

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/rosestand/rosestand/internal/testing/lab/audit"
	"github.com/rosestand/rosestand/internal/testing/lab/chaos"
	"github.com/rosestand/rosestand/internal/testing/lab/deployment"
	"github.com/rosestand/rosestand/internal/testing/lab/fleet"
	"github.com/rosestand/rosestand/internal/testing/lab/report"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

// chaosRate is the rate of conversations under which fleets are broken.
const chaosRate = 8

type chaosOptions struct {
	deploymentOptions
	duration time.Duration
	seed     uint64
	faults   float64
	relays   bool
}

func newChaos(e *environment) *cobra.Command {
	var options chaosOptions
	command := &cobra.Command{
		Use:   "chaos",
		Short: "Break the whole fleet of a site under load by a seeded schedule, then audit",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			chosen, err := options.chooseSite(command.Flags())
			if err != nil {
				return err
			}
			return e.chaos(command.Context(), chosen, options)
		},
	}
	flags := command.Flags()
	options.register(flags, site.Caroni, "caroni, menon, or both for a small fleet", chaosRate)
	flags.DurationVar(&options.duration, "duration", 10*time.Minute, "how long faults and new conversations come")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the schedule, the callers and the stand-ins' faults")
	flags.Float64Var(&options.faults, "faults", 0.002, "probability of each fault of the stand-ins on a request")
	flags.BoolVar(&options.relays, "relays", true, "put relays before internal addresses, so that links can be cut")
	return command
}

func faultPlan(probability float64, seed uint64) standin.FaultPlan {
	plan := standin.FaultPlan{Seed: seed, Probabilities: map[standin.Fault]float64{}}
	for _, fault := range standin.Faults() {
		plan.Probabilities[fault] = probability
	}
	return plan
}

func (e *environment) chaos(ctx context.Context, chosen *deployment.Deployment, options chaosOptions) error {
	if options.duration <= 0 || options.duration > maxDuration {
		return &FlagError{Flag: "duration", Reason: "must be above 0 and at most " + maxDuration.String()}
	}
	faults := faultPlan(options.faults, options.seed)
	if err := faults.Validate(); err != nil {
		return err
	}
	layout := chosen.Fleet()
	layout.Faults, layout.Relays = faults, options.relays
	return e.withFleet(ctx, "chaos-"+chosen.Name, layout, func(f *fleet.Fleet) error {
		return e.chaosOn(ctx, f, chosen, options)
	})
}

func (e *environment) chaosOn(ctx context.Context, f *fleet.Fleet, chosen *deployment.Deployment,
	options chaosOptions,
) error {
	orders, err := e.start(ctx, f)
	if err != nil {
		return err
	}
	callers := e.callers(f, chosen, options.duration, options.seed)
	steps := chaos.Plan(countsOf(chosen.Sizes), options.duration, options.seed)
	if !options.relays {
		steps = slices.DeleteFunc(steps, needsRelays)
	}
	var broken chaos.Outcome
	requestLog, err := e.converseBeside(ctx, f, callers, func() error {
		var operated []audit.Order
		var err error
		operated, broken, err = e.breakFleet(ctx, f, steps, options)
		orders = append(orders, operated...)
		return err
	})
	if err != nil {
		return err
	}
	report.PrintSummary(e.output, requestLog, report.Summarize(requestLog), options.duration)
	e.printFaults(broken)
	return e.audit(f.Folder(), &audit.Evidence{
		RequestLog: requestLog, Orders: orders, FaultIntervals: broken.Disturbed, Recoveries: broken.Returns,
	})
}

// chooseSite returns the deployment of the chosen site.
func (o *chaosOptions) chooseSite(flags *pflag.FlagSet) (*deployment.Deployment, error) {
	sizes, err := site.SizesOf(site.Name(o.site))
	if err != nil {
		return nil, err
	}
	return o.choose(flags, sizes)
}

func needsRelays(step chaos.Step) bool {
	return step.Action == chaos.Partition || step.Action == chaos.InboundPartition || step.Action == chaos.PartitionCore
}

func countsOf(sizes site.Sizes) chaos.Counts {
	return chaos.Counts{
		Cores: sizes.Voters + sizes.Standbys, Stores: sizes.Stores, Fronts: sizes.Fronts,
		BackEnds: sizes.ModelServers + sizes.ToolServers,
	}
}

// breakFleet runs the operators and the schedule of faults side by side.
func (e *environment) breakFleet(ctx context.Context, f *fleet.Fleet, steps []chaos.Step, options chaosOptions,
) (orders []audit.Order, broken chaos.Outcome, err error) {
	operators := &chaos.Operators{
		Cores: slices.Clone(f.CoreAddresses()), Token: f.OperatorToken(), KeyName: fleet.SignOffKey, Sign: f.SignOff,
		Logger: e.logger,
	}
	operating, stopOperators := context.WithTimeout(ctx, options.duration)
	defer stopOperators()
	const stream = 3
	breaker := &chaos.Breaker{Fleet: f, Logger: e.logger, Random: rand.New(rand.NewPCG(options.seed, stream))}
	var sides sync.WaitGroup
	sides.Go(func() { orders = operators.Run(operating) })
	broken, err = breaker.Run(ctx, steps)
	sides.Wait()
	return orders, broken, err
}

func (e *environment) printFaults(broken chaos.Outcome) {
	faults := report.NewTable(e.output, "Faults injected", "action", "times")
	var actions []chaos.Action
	for action := range broken.Counts {
		actions = append(actions, action)
	}
	slices.Sort(actions)
	for _, action := range actions {
		faults.AppendRow([]any{action, broken.Counts[action]})
	}
	faults.Render()
	for _, back := range broken.Returns {
		_, _ = fmt.Fprintf(e.output, "After %s every front node served again within %s (served: %v).\n",
			back.After, back.Took.Round(time.Millisecond), back.Served)
	}
}

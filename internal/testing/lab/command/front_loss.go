package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/lab/audit"
	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/deployment"
	"github.com/rosestand/rosestand/internal/testing/lab/fleet"
	"github.com/rosestand/rosestand/internal/testing/lab/frontloss"
	"github.com/rosestand/rosestand/internal/testing/lab/report"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
	"github.com/rosestand/rosestand/internal/testing/lab/wait"
)

const (
	frontLossWarmUp      = 12 * time.Second
	frontLossDowntime    = 8 * time.Second
	frontLossWindow      = 15 * time.Second
	maxFrontLosses       = 50
	frontLossThinkMillis = 1500
)

type frontLossOptions struct {
	site   string
	losses int
	seed   uint64
	rate   float64
}

func newFrontLoss(e *environment) *cobra.Command {
	var options frontLossOptions
	command := &cobra.Command{
		Use:   "kill-one",
		Short: "Kill single front nodes under load; compare salvaging sessions with ending them",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return e.frontLoss(command.Context(), options)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.site, "site", string(site.Caroni), "caroni or menon")
	flags.IntVar(&options.losses, "kills", 3, "front nodes killed in each arm, one after another")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the callers")
	flags.Float64Var(&options.rate, "rate", 12, "conversations a second")
	return command
}

// runFrontLossVariant is one policy and what the losses cost under it.
type frontLossVariant struct {
	Mode                string           `json:"mode"`
	Cost                frontloss.Cost   `json:"cost"`
	Rebuilt             int              `json:"rebuilt"`
	Reregistered        []string         `json:"reregistered"`
	Salvaged            int              `json:"salvaged"`
	reregistrationTimes *report.Times    `json:"-"`
	losses              []frontloss.Loss `json:"-"`
}

func (e *environment) frontLoss(ctx context.Context, options frontLossOptions) error {
	if options.losses < 1 || options.losses > maxFrontLosses {
		return &FlagError{Flag: "kills", Reason: fmt.Sprintf("must be between 1 and %d", maxFrontLosses)}
	}
	sizes, err := site.SizesOf(site.Name(options.site))
	if err != nil {
		return err
	}
	var variants []*frontLossVariant
	var violated error
	for _, mode := range []protocol.SalvageMode{protocol.SalvageMode_SALVAGE, protocol.SalvageMode_END_SESSIONS} {
		variant, err := e.runFrontLossVariant(ctx, options, sizes, mode)
		if isViolation(err) {
			violated = errors.CombineErrors(violated, err)
		} else if err != nil {
			return err
		}
		variants = append(variants, variant)
	}
	e.printFrontLosses(options, variants)
	return violated
}

// runFrontLossVariant runs one variant on a fleet of its own. The variant is there also when its audit found a
// violation.
func (e *environment) runFrontLossVariant(ctx context.Context, options frontLossOptions, sizes site.Sizes,
	mode protocol.SalvageMode,
) (variant *frontLossVariant, err error) {
	variant = &frontLossVariant{Mode: mode.String(), reregistrationTimes: report.NewTimes()}
	err = e.withFleet(ctx, "kill-one-"+mode.String(), fleet.Options{Sizes: sizes, LogLevel: "info"},
		func(f *fleet.Fleet) error {
			first := f.Bundle(firstBundle)
			first.Recovery.SalvageMode = mode
			return e.frontLossOn(ctx, f, options, first, variant)
		})
	return variant, err
}

func (e *environment) frontLossOn(ctx context.Context, f *fleet.Fleet, options frontLossOptions, first *protocol.Bundle,
	variant *frontLossVariant,
) error {
	orders, err := e.startWith(ctx, f, first)
	if err != nil {
		return err
	}
	served := deployment.Of(site.Name(options.site), site.Sizes{})
	served.Load.ConversationsPerSecond, served.Load.BurstFactor = options.rate, 1
	served.Shape.LongShare, served.Shape.ThinkMillis, served.Shape.SmallBudgetShare = 1, frontLossThinkMillis, 0
	callers := e.callers(f, served, frontLossWarmUp+time.Duration(options.losses)*frontLossWindow, options.seed)
	var disturbed []audit.FaultInterval
	requestLog, err := e.converseBeside(ctx, f, callers, func() (err error) {
		disturbed, err = variant.crashFronts(ctx, f, options.losses)
		return err
	})
	if err != nil {
		return err
	}
	variant.count(requestLog)
	if err := variant.save(f.Folder()); err != nil {
		return err
	}
	return e.audit(f.Folder(), &audit.Evidence{RequestLog: requestLog, Orders: orders, FaultIntervals: disturbed})
}

// crashFronts crashes one front node after another and starts each again.
func (a *frontLossVariant) crashFronts(ctx context.Context, f *fleet.Fleet, kills int) ([]audit.FaultInterval, error) {
	var disturbed []audit.FaultInterval
	if !wait.For(ctx, frontLossWarmUp) {
		return nil, ctx.Err()
	}
	fronts := f.Members(fleet.KindFront)
	for i := range kills {
		victim := fronts[i%len(fronts)]
		begun := time.Now()
		if err := f.Process(victim).Kill(); err != nil {
			return disturbed, err
		}
		loss := frontloss.Loss{Lost: victim.Name, Members: ringOf(fronts), At: begun, Until: begun.Add(frontLossWindow)}
		watching, stop := context.WithTimeout(ctx, frontLossDowntime)
		loss.Reregistered, loss.Salvaged = frontloss.Watch(watching, othersThan(fronts, victim), begun)
		stop()
		if err := f.StartMember(victim); err != nil {
			return disturbed, err
		}
		a.losses = append(a.losses, loss)
		if !wait.For(ctx, frontLossWindow-frontLossDowntime) {
			return disturbed, ctx.Err()
		}
		disturbed = append(disturbed, audit.FaultInterval{
			From: begun, To: time.Now(),
			Processes: []string{victim.Name, victim.HTTP},
		})
	}
	return disturbed, nil
}

func (a *frontLossVariant) count(requestLog *caller.RequestLog) {
	for _, loss := range a.losses {
		a.Cost.Add(frontloss.Measure(loss, ring.DefaultVirtualNodes, requestLog.Records))
		a.Salvaged += loss.Salvaged
		if loss.Reregistered >= 0 {
			a.reregistrationTimes.Add(loss.Reregistered)
			a.Reregistered = append(a.Reregistered, loss.Reregistered.String())
		}
	}
	a.Rebuilt = a.Cost.Rebuilt()
}

func (a *frontLossVariant) save(folder string) error {
	content, err := json.MarshalIndent(a, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(folder, "kill-one.json"), content, 0o644), "write result")
}

func ringOf(fronts []*fleet.Member) []ring.Member {
	var members []ring.Member
	for _, front := range fronts {
		members = append(members, ring.Member{Name: front.Name, Address: front.PeerAddress()})
	}
	return members
}

func othersThan(fronts []*fleet.Member, victim *fleet.Member) []string {
	var addresses []string
	for _, front := range fronts {
		if front != victim {
			addresses = append(addresses, front.HTTP)
		}
	}
	return addresses
}

func (e *environment) printFrontLosses(options frontLossOptions, variants []*frontLossVariant) {
	title := fmt.Sprintf("Loss of one front node, %s, %d losses an arm, seed %d", options.site, options.losses,
		options.seed)
	rows := report.NewTable(e.output, title, "mode", "owned by it", "held there, owned elsewhere", "of them kept",
		"rebuilt though the owner lived", "salvaged", "last re-registered after, median", "p99", "seen", "refused meanwhile")
	for _, variant := range variants {
		rows.AppendRow([]any{
			variant.Mode, variant.Cost.Owned, variant.Cost.Held, variant.Cost.HeldKept, variant.Rebuilt, variant.Salvaged,
			report.Millis(variant.reregistrationTimes.At(50)) + " ms", report.Millis(variant.reregistrationTimes.At(99)) + " ms",
			fmt.Sprintf("%d of %d", variant.reregistrationTimes.Count(), options.losses), variant.Cost.Refused,
		})
	}
	rows.Render()
}

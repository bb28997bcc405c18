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
	killWarmUp   = 12 * time.Second
	killDown     = 8 * time.Second
	killWindow   = 15 * time.Second
	maxKills     = 50
	killThinking = 1500
)

type killOptions struct {
	site  string
	kills int
	seed  uint64
	rate  float64
}

func newKillOne(e *environment) *cobra.Command {
	var options killOptions
	command := &cobra.Command{
		Use:   "kill-one",
		Short: "Kill single front nodes under load; compare salvaging sessions with ending them",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return e.killOne(command.Context(), options)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.site, "site", string(site.Caroni), "caroni or menon")
	flags.IntVar(&options.kills, "kills", 3, "front nodes killed in each arm, one after another")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the callers")
	flags.Float64Var(&options.rate, "rate", 12, "conversations a second")
	return command
}

// killArm is one policy and what the losses cost under it.
type killArm struct {
	Mode         string         `json:"mode"`
	Cost         frontloss.Cost   `json:"cost"`
	Rebuilt      int            `json:"rebuilt"`
	Reregistered []string       `json:"reregistered"`
	Salvaged     int            `json:"salvaged"`
	times        *report.Times  `json:"-"`
	kills        []frontloss.Kill `json:"-"`
}

func (e *environment) killOne(ctx context.Context, options killOptions) error {
	if options.kills < 1 || options.kills > maxKills {
		return &FlagError{Flag: "kills", Reason: fmt.Sprintf("must be between 1 and %d", maxKills)}
	}
	sizes, err := site.SizesOf(site.Name(options.site))
	if err != nil {
		return err
	}
	var arms []*killArm
	var violated error
	for _, mode := range []protocol.SalvageMode{protocol.SalvageMode_SALVAGE, protocol.SalvageMode_END_SESSIONS} {
		arm, err := e.killArm(ctx, options, sizes, mode)
		if isViolation(err) {
			violated = errors.CombineErrors(violated, err)
		} else if err != nil {
			return err
		}
		arms = append(arms, arm)
	}
	e.printKills(options, arms)
	return violated
}

// killArm runs one arm on a fleet of its own. The arm is there also when its audit found a violation.
func (e *environment) killArm(ctx context.Context, options killOptions, sizes site.Sizes, mode protocol.SalvageMode) (arm *killArm, err error) {
	arm = &killArm{Mode: mode.String(), times: report.NewTimes()}
	err = e.withFleet("kill-one-"+mode.String(), fleet.Options{Sizes: sizes, LogLevel: "info"}, func(f *fleet.Fleet) error {
		first := f.Bundle(firstBundle)
		first.Recovery.SalvageMode = mode
		return e.killOn(ctx, f, options, first, arm)
	})
	return arm, err
}

func (e *environment) killOn(ctx context.Context, f *fleet.Fleet, options killOptions, first *protocol.Bundle, arm *killArm) error {
	orders, err := e.startWith(ctx, f, first)
	if err != nil {
		return err
	}
	served := deployment.Of(site.Name(options.site), site.Sizes{})
	served.Load.ConversationsPerSecond, served.Load.BurstFactor = options.rate, 1
	served.Shape.LongShare, served.Shape.ThinkMillis, served.Shape.SmallBudgetShare = 1, killThinking, 0
	callers := e.callers(f, served, killWarmUp+time.Duration(options.kills)*killWindow, options.seed)
	var disturbed []audit.Interval
	book, err := e.converseBeside(ctx, f, callers, func() (err error) {
		disturbed, err = arm.kill(ctx, f, options.kills)
		return err
	})
	if err != nil {
		return err
	}
	arm.count(book)
	if err := arm.save(f.Folder()); err != nil {
		return err
	}
	return e.audit(f.Folder(), &audit.Evidence{Book: book, Orders: orders, Disturbed: disturbed})
}

// kill loses one front node after another and starts each again.
func (a *killArm) kill(ctx context.Context, f *fleet.Fleet, kills int) ([]audit.Interval, error) {
	var disturbed []audit.Interval
	if !wait.For(ctx, killWarmUp) {
		return nil, ctx.Err()
	}
	fronts := f.Members(fleet.KindFront)
	for i := range kills {
		victim := fronts[i%len(fronts)]
		begun := time.Now()
		if err := f.Process(victim).Kill(); err != nil {
			return disturbed, err
		}
		loss := frontloss.Kill{Victim: victim.Name, Members: ringOf(fronts), At: begun, Until: begun.Add(killWindow)}
		watching, stop := context.WithTimeout(ctx, killDown)
		loss.Reregistered, loss.Salvaged = frontloss.Watch(watching, othersThan(fronts, victim), begun)
		stop()
		if err := f.StartMember(victim); err != nil {
			return disturbed, err
		}
		a.kills = append(a.kills, loss)
		if !wait.For(ctx, killWindow-killDown) {
			return disturbed, ctx.Err()
		}
		disturbed = append(disturbed, audit.Interval{From: begun, To: time.Now(), Processes: []string{victim.Name, victim.HTTP}})
	}
	return disturbed, nil
}

func (a *killArm) count(book *caller.Book) {
	for _, loss := range a.kills {
		a.Cost.Add(frontloss.Measure(loss, ring.DefaultVirtualNodes, book.Records))
		a.Salvaged += loss.Salvaged
		if loss.Reregistered >= 0 {
			a.times.Add(loss.Reregistered)
			a.Reregistered = append(a.Reregistered, loss.Reregistered.String())
		}
	}
	a.Rebuilt = a.Cost.Rebuilt()
}

func (a *killArm) save(folder string) error {
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

func (e *environment) printKills(options killOptions, arms []*killArm) {
	title := fmt.Sprintf("Loss of one front node, %s, %d losses an arm, seed %d", options.site, options.kills, options.seed)
	rows := report.NewTable(e.output, title, "mode", "owned by it", "held there, owned elsewhere", "of them kept",
		"rebuilt though the owner lived", "salvaged", "last re-registered after, median", "p99", "seen", "refused meanwhile")
	for _, arm := range arms {
		rows.AppendRow([]any{
			arm.Mode, arm.Cost.Owned, arm.Cost.Held, arm.Cost.HeldKept, arm.Rebuilt, arm.Salvaged,
			report.Millis(arm.times.At(50)) + " ms", report.Millis(arm.times.At(99)) + " ms",
			fmt.Sprintf("%d of %d", arm.times.Count(), options.kills), arm.Cost.Refused,
		})
	}
	rows.Render()
}

package chaos

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/testing/lab/audit"
	"github.com/rosestand/rosestand/internal/testing/lab/fleet"
	"github.com/rosestand/rosestand/internal/testing/lab/wait"
)

const (
	// stabilizationTime is added to each fault before its targets must work again.
	stabilizationTime = 3 * time.Second
	// returnLimit bounds the wait for service after the death of many.
	returnLimit  = 60 * time.Second
	gentleWait   = 15 * time.Second
	healDeadline = 60 * time.Second
)

// Breaker carries a schedule out on a fleet. While it runs nothing else may
// start or stop members of the fleet.
type Breaker struct {
	Fleet  *fleet.Fleet
	Logger *log.Logger
	Random *rand.Rand

	counts    map[Action]int
	disturbed []audit.FaultInterval
	returns   []audit.Recovery
}

// moment is the beginning or the end of a step.
type moment struct {
	at    time.Duration
	begin bool
	step  Step
	// Targets are chosen when the step begins.
	victims *victims
}

type victims struct {
	members []*fleet.Member
	since   time.Time
}

// Outcome is what a schedule did.
type Outcome struct {
	Counts    map[Action]int
	Disturbed []audit.FaultInterval
	Returns   []audit.Recovery
}

// Run carries the steps out at their times, then heals everything that is
// still broken. An error is one of the rig; what the fleet does wrong is for
// the audit.
func (b *Breaker) Run(ctx context.Context, steps []Step) (Outcome, error) {
	b.counts = map[Action]int{}
	start := time.Now()
	var failed error
	for _, m := range moments(steps) {
		if !wait.Until(ctx, start.Add(m.at)) && m.begin {
			continue
		}
		if failed != nil && m.begin {
			continue
		}
		if err := b.take(ctx, m); err != nil {
			failed = errors.CombineErrors(failed, err)
		}
	}
	failed = errors.CombineErrors(failed, b.heal(ctx))
	return Outcome{Counts: b.counts, Disturbed: b.disturbed, Returns: b.returns}, failed
}

func moments(steps []Step) []moment {
	var all []moment
	for _, step := range steps {
		struck := &victims{}
		all = append(all,
			moment{at: step.At, begin: true, step: step, victims: struck},
			moment{at: step.End(), step: step, victims: struck})
	}
	slices.SortStableFunc(all, func(a, b moment) int { return cmp.Compare(a.at, b.at) })
	return all
}

func (b *Breaker) take(ctx context.Context, m moment) error {
	if m.begin {
		b.choose(m)
		b.counts[m.step.Action]++
		b.Logger.Info("fault injected", "action", m.step.Action, "on", names(m.victims.members), "for",
			m.step.Length.Round(time.Millisecond))
		return b.begin(m)
	}
	if len(m.victims.members) == 0 {
		return nil
	}
	err := b.end(ctx, m)
	b.disturb(m.victims)
	return err
}

func (b *Breaker) choose(m moment) {
	m.victims.since = time.Now()
	switch m.step.Action {
	case CrashFronts:
		m.victims.members = b.Fleet.Members(fleet.KindFront)
	case CrashAll:
		m.victims.members = b.Fleet.Members(fleet.KindCore, fleet.KindStore, fleet.KindFront)
	case PartitionCore:
		cores := b.Fleet.Members(fleet.KindCore)
		m.victims.members = cores[:len(cores)/2]
	default:
		of := b.Fleet.Members(m.step.Kind)
		m.victims.members = of[m.step.Target : m.step.Target+1]
	}
}

func (b *Breaker) begin(m moment) error {
	struck := m.victims.members
	switch m.step.Action {
	case Crash, LoseDisk, Replace, CrashFronts, CrashAll:
		return b.each(struck, func(member *fleet.Member) error { return b.Fleet.Process(member).Kill() })
	case Freeze:
		return b.Fleet.Process(struck[0]).Freeze()
	case Restart:
		_, err := b.Fleet.Process(struck[0]).Stop(gentleWait)
		return err
	case Partition, InboundPartition:
		b.Fleet.SetPartition(struck[0], true, m.step.Action == InboundPartition)
	case PartitionCore:
		b.Fleet.SetPartitionBetween(true, struck, b.rest(struck))
	}
	return nil
}

func (b *Breaker) end(ctx context.Context, m moment) error {
	struck := m.victims.members
	switch m.step.Action {
	case Freeze:
		return b.Fleet.Process(struck[0]).Thaw()
	case Partition, InboundPartition:
		b.Fleet.SetPartition(struck[0], false, m.step.Action == InboundPartition)
		return nil
	case PartitionCore:
		b.Fleet.SetPartitionBetween(false, struck, b.rest(struck))
		return nil
	case LoseDisk:
		if err := b.Fleet.EmptyData(struck[0]); err != nil {
			return err
		}
	case Replace:
		fresh, err := b.Fleet.Replace(ctx, struck[0], b.Random)
		if err != nil {
			return err
		}
		m.victims.members = []*fleet.Member{fresh}
	}
	if err := b.each(m.victims.members, b.Fleet.StartMember); err != nil {
		return err
	}
	if m.step.Action == CrashFronts || m.step.Action == CrashAll {
		b.awaitReturn(ctx, m.step.Action)
	}
	return nil
}

// awaitReturn measures how long after its machines returned the fleet serves at every front node again.
func (b *Breaker) awaitReturn(ctx context.Context, action Action) {
	begun := time.Now()
	err := b.Fleet.AwaitServing(ctx, returnLimit)
	took := time.Since(begun)
	if ctx.Err() != nil {
		return
	}
	b.returns = append(b.returns, audit.Recovery{After: string(action), At: begun, Took: took, Served: err == nil})
	b.Logger.Info("service recovered", "after", action, "took", took.Round(time.Millisecond), "err", err)
}

// rest lists the core members that are not among the given ones.
func (b *Breaker) rest(struck []*fleet.Member) []*fleet.Member {
	var others []*fleet.Member
	for _, member := range b.Fleet.Members(fleet.KindCore) {
		if !slices.Contains(struck, member) {
			others = append(others, member)
		}
	}
	return others
}

func (b *Breaker) each(members []*fleet.Member, do func(*fleet.Member) error) error {
	var failed error
	for _, member := range members {
		failed = errors.CombineErrors(failed, do(member))
	}
	return failed
}

// disturb records which processes a fault affects, and until when.
func (b *Breaker) disturb(struck *victims) {
	interval := audit.FaultInterval{From: struck.since, To: time.Now().Add(stabilizationTime)}
	for _, member := range struck.members {
		interval.Processes = append(interval.Processes, member.Name, member.HTTP)
		interval.Core = interval.Core || member.Kind == fleet.KindCore
	}
	b.disturbed = append(b.disturbed, interval)
}

// heal starts the processes that are still down and waits until the fleet is ready.
func (b *Breaker) heal(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healDeadline)
	defer cancel()
	for _, member := range b.Fleet.Members() {
		p := b.Fleet.Process(member)
		if p != nil && p.Running() {
			if err := p.Thaw(); err != nil {
				return err
			}
			continue
		}
		b.Logger.Warn("member was down at end of run", "name", member.Name)
		if err := b.Fleet.StartMember(member); err != nil {
			return err
		}
	}
	return errors.Wrap(b.Fleet.AwaitReady(ctx, b.Fleet.Members()...), "heal")
}

func names(members []*fleet.Member) string {
	if len(members) == 1 {
		return members[0].Name
	}
	return fmt.Sprintf("%d processes", len(members))
}

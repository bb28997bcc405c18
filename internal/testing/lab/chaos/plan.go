// Package chaos breaks a running fleet by a seeded schedule: processes are
// crashed, frozen, restarted, emptied, replaced and partitioned, one after another
// and together, within the losses that the sites must tolerate.
package chaos

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/fleet"
)

// Action is one kind of fault.
type Action string

// Actions of a schedule.
const (
	// Crash kills a process and starts it again later.
	Crash Action = "kill"
	// Freeze stops a process and resumes it later.
	Freeze Action = "freeze"
	// Restart shuts a process down and starts it again.
	Restart Action = "restart"
	// LoseDisk crashes a process and empties its data folder before it starts again.
	LoseDisk Action = "lose disk"
	// Replace puts an empty machine at a new address in the place of a core member.
	Replace Action = "replace"
	// Partition delays everything between a process and all others.
	Partition Action = "cut"
	// InboundPartition delays only what others send to a process.
	InboundPartition Action = "cut one way"
	// PartitionCore partitions the first half of the core from the rest.
	PartitionCore Action = "split core"
	// CrashFronts crashes all front nodes at once.
	CrashFronts Action = "kill all fronts"
	// CrashAll crashes every daemon at once.
	CrashAll Action = "kill everything"
)

// Step is one fault of a schedule.
type Step struct {
	At     time.Duration `json:"at"`
	Length time.Duration `json:"length"`
	Action Action        `json:"action"`
	// Kind is the kind of the members to choose from, Target the index among them.
	Kind   fleet.Kind `json:"kind,omitempty"`
	Target int        `json:"target"`
}

// End is when the fault is undone.
func (s Step) End() time.Duration { return s.At + s.Length }

// Counts are the numbers of members by kind.
type Counts struct{ Cores, Stores, Fronts, BackEnds int }

const (
	firstFault = 3 * time.Second
	// diskRecoveryTime has no other disk loss after one: the
	// sites tolerate one such loss at a time.
	diskRecoveryTime = 20 * time.Second
	// Around a mass crash massCrashQuietBefore and massCrashQuietAfter have no other faults.
	massCrashQuietBefore = 6 * time.Second
	massCrashQuietAfter  = 25 * time.Second
	massCrashDuration    = 2 * time.Second
	// longFreeze is longer than any lease: the process must wake up without authority.
	longFreeze = 21 * time.Second
)

// sequence is a series of faults of which one at a time is in force.
type sequence struct {
	kind    fleet.Kind
	count   int
	meanGap time.Duration
	rest    time.Duration
	actions []Action
}

// Plan makes the schedule of a run; equal arguments give equal schedules.
func Plan(counts Counts, duration time.Duration, seed uint64) []Step {
	const stream = 2
	random := rand.New(rand.NewPCG(seed, stream))
	massKills := planMassCrashes(duration)
	sequences := []sequence{
		{
			fleet.KindFront, counts.Fronts, 4 * time.Second, 2 * time.Second,
			[]Action{Crash, Freeze, Restart, Partition, InboundPartition},
		},
		{fleet.KindFront, counts.Fronts, 9 * time.Second, 2 * time.Second, []Action{Crash, Freeze, Restart, Partition}},
		{fleet.KindBackEnd, counts.BackEnds, 5 * time.Second, time.Second, []Action{Crash, Freeze, Restart}},
	}
	steps := slices.Clone(massKills)
	for _, l := range sequences {
		steps = append(steps, l.plan(random, duration, massKills)...)
	}
	steps = append(steps, planDisks(random, counts, duration, massKills)...)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return dropOverlaps(steps)
}

// planMassKills puts the death of all fronts at two fifths of the run and that of
// everything at four fifths, when the run is long enough for them.
func planMassCrashes(duration time.Duration) []Step {
	const minDuration = 2 * time.Minute
	if duration < minDuration {
		return nil
	}
	return []Step{
		{At: duration * 2 / 5, Length: massCrashDuration, Action: CrashFronts},
		{At: duration * 4 / 5, Length: massCrashDuration, Action: CrashAll},
	}
}

func (l sequence) plan(random *rand.Rand, duration time.Duration, massKills []Step) []Step {
	var steps []Step
	at := firstFault
	for l.count > 0 {
		at += gap(random, l.meanGap)
		step := Step{At: at, Action: l.actions[random.IntN(len(l.actions))], Kind: l.kind, Target: random.IntN(l.count)}
		step.Length = lengthOf(random, step.Action)
		if step.End() > duration {
			return steps
		}
		at = step.End() + l.rest
		if free(step, massKills, massCrashQuietBefore) {
			steps = append(steps, step)
		}
	}
	return steps
}

// planDisks lets core members and stores fail in turn, one at a time, with time to repair after each.
func planDisks(random *rand.Rand, counts Counts, duration time.Duration, massKills []Step) []Step {
	store := sequence{fleet.KindStore, counts.Stores, 0, 0, []Action{Crash, Freeze, Restart, LoseDisk, Partition}}
	core := sequence{
		fleet.KindCore, counts.Cores, 0, 0,
		[]Action{Crash, Freeze, Restart, LoseDisk, Partition, PartitionCore},
	}
	var steps []Step
	replaced := false
	at := firstFault
	for turn := 0; ; turn++ {
		of := []sequence{store, core}[turn%2]
		at += gap(random, 3*time.Second)
		step := Step{
			At: at, Action: of.actions[random.IntN(len(of.actions))], Kind: of.kind,
			Target: random.IntN(max(of.count, 1)),
		}
		if of.kind == fleet.KindCore && !replaced && turn > 2 {
			step.Action = Replace
			replaced = true
		}
		step.Length = lengthOf(random, step.Action)
		if step.End()+diskRecoveryTime > duration {
			return steps
		}
		at = step.End() + diskRecoveryTime
		if of.count > 0 && free(step, massKills, diskRecoveryTime) {
			steps = append(steps, step)
		}
	}
}

func gap(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(min(random.ExpFloat64(), 4) * float64(mean))
}

// lengthOf draws the duration of a fault. One freeze or partition in four outlasts every lease.
func lengthOf(random *rand.Rand, action Action) time.Duration {
	short := 500*time.Millisecond + time.Duration(random.Int64N(int64(6*time.Second)))
	switch action {
	case Freeze, Partition, InboundPartition:
		if random.IntN(4) == 0 {
			return longFreeze
		}
		return short
	case PartitionCore:
		return 8 * time.Second
	case Replace:
		return time.Second
	default:
		return short / 2
	}
}

// free reports whether a step keeps its distance from the death of many.
func free(step Step, massKills []Step, before time.Duration) bool {
	return !slices.ContainsFunc(massKills, func(mass Step) bool {
		return step.End() > mass.At-before && step.At < mass.End()+massCrashQuietAfter
	})
}

// dropOverlaps leaves out steps that strike a member on which another fault is in force.
func dropOverlaps(steps []Step) []Step {
	var selected []Step
	for _, step := range steps {
		if !slices.ContainsFunc(selected, func(other Step) bool {
			return other.Kind == step.Kind && other.Target == step.Target && other.Action != CrashFronts &&
				other.Action != CrashAll &&
				step.At < other.End()+time.Second && other.At < step.End()
		}) {
			selected = append(selected, step)
		}
	}
	return selected
}

// Package simcommand is the command that searches many seeds of the simulated suites for a violated rule.
package simcommand

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/testing/sim"
	"github.com/rosestand/rosestand/internal/testing/sim/ownershipsuite"
	"github.com/rosestand/rosestand/internal/testing/sim/servingsuite"
	"github.com/rosestand/rosestand/internal/testing/sim/statesuite"
)

// Defaults of the flags.
const (
	defaultSeeds   = 200
	defaultWorkers = 6
	allSuites      = "all"
)

// ViolatedError says that runs violated a rule or did not come to an end.
type ViolatedError struct{ Runs int }

// Error implements error.
func (e *ViolatedError) Error() string { return fmt.Sprintf("%d simulated runs failed", e.Runs) }

// UnknownSuiteError names a suite that does not exist.
type UnknownSuiteError struct{ Suite string }

// Error implements error.
func (e *UnknownSuiteError) Error() string {
	return fmt.Sprintf("there is no suite %q; there are state, ownership, serving and all", e.Suite)
}

// UnknownMutationError names a mutation that the suites to run do not have.
type UnknownMutationError struct{ Mutation string }

// Error implements error.
func (e *UnknownMutationError) Error() string {
	return fmt.Sprintf("the suites to run have no mutation %q", e.Mutation)
}

// UnknownShapeError names a fleet that does not exist.
type UnknownShapeError struct{ Shape string }

// Error implements error.
func (e *UnknownShapeError) Error() string {
	return fmt.Sprintf("there is no shape %q; there are zones and regions", e.Shape)
}

type options struct {
	suite    string
	shape    string
	first    int64
	seeds    int
	workers  int
	trace    bool
	mutation string
	rest     time.Duration
	// keepSchedules leaves failed schedules as long as they are.
	keepSchedules bool
	// fingerprints prints a line for each seed.
	fingerprints bool
}

type suite struct {
	name      string
	mutations func() []string
	run       func(seed int64, faults []sim.Fault, chosen options, trace io.Writer) sim.Report
}

var suites = []suite{
	{
		name: "state", mutations: func() []string { return namesOf(statesuite.Mutations()) },
		run: func(seed int64, faults []sim.Fault, chosen options, trace io.Writer) sim.Report {
			return statesuite.Run(seed, statesuite.Options{
				Faults: faults, Mutation: statesuite.Mutation(chosen.mutation), Shape: statesuite.Shape(chosen.shape), Trace: trace,
			})
		},
	},
	{
		name: "ownership", mutations: func() []string { return namesOf(ownershipsuite.Mutations) },
		run: func(seed int64, faults []sim.Fault, chosen options, trace io.Writer) sim.Report {
			return ownershipsuite.Run(seed, ownershipsuite.Options{
				Faults: faults, Mutation: ownershipsuite.Mutation(chosen.mutation), Trace: trace,
			}).Report
		},
	},
	{
		name: "serving", mutations: func() []string { return namesOf(servingsuite.Mutations()) },
		run: func(seed int64, faults []sim.Fault, chosen options, trace io.Writer) sim.Report {
			return servingsuite.Run(seed, servingsuite.Options{
				Faults: faults, Mutation: servingsuite.Mutation(chosen.mutation), Trace: trace,
			}).Report
		},
	},
}

func namesOf[M ~string](mutations []M) []string {
	var names []string
	for _, mutation := range mutations {
		names = append(names, string(mutation))
	}
	return names
}

// New makes the command. It returns *ViolatedError when a run fails.
func New() *cobra.Command {
	var chosen options
	command := &cobra.Command{
		Use:   "sim",
		Short: "Simulate the fleet's decision and storage code under faults from many seeds and check its rules",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if chosen.rest > 0 {
				return measureRest(command.OutOrStdout(), chosen.first, chosen.rest)
			}
			return search(command.OutOrStdout(), command.ErrOrStderr(), chosen)
		},
	}
	flags := command.Flags()
	flags.StringVar(&chosen.suite, "suite", allSuites, "state, ownership, serving or all")
	flags.StringVar(&chosen.shape, "shape", string(statesuite.ShapeZones),
		"fleet of the state suite: zones, or regions (three of two zones, cut from each other and lost)")
	flags.Int64Var(&chosen.first, "seed", 1, "first seed")
	flags.IntVar(&chosen.seeds, "seeds", defaultSeeds, "number of seeds to run")
	flags.IntVar(&chosen.workers, "workers", defaultWorkers, "runs at a time")
	flags.BoolVar(&chosen.trace, "trace", false,
		"print what happens to standard error; runs one seed at a time, without shortening its schedule")
	flags.StringVar(&chosen.mutation, "mutation", "", "break the code in a named way, to see which rule notices")
	flags.BoolVar(&chosen.keepSchedules, "keep-schedules", false,
		"leave out the shortening of failed schedules, which runs a seed up to 60 times more")
	flags.BoolVar(&chosen.fingerprints, "fingerprints", false,
		"print a line for each suite and seed with a sum of all that its run counted, "+
			"to find the first seed that a change touches")
	flags.DurationVar(&chosen.rest, "rest", 0,
		"simulate a site's fleet at rest for this long, without faults, and print how much faster than real time that is")
	return command
}

func search(output, trace io.Writer, chosen options) error {
	selected, err := chosen.selectSuites()
	if err != nil {
		return err
	}
	failed := 0
	for _, candidate := range selected {
		digests := make([]uint64, max(chosen.seeds, 0))
		summary := chosen.searchSuite(candidate, trace, digests)
		failed += len(summary.Failed)
		if _, err := fmt.Fprintf(output, "suite %s: ", candidate.name); err != nil {
			return err
		}
		replay := func(seed int64) string { return chosen.replayCommand(candidate.name, seed) }
		if err := summary.Write(output, replay); err != nil {
			return err
		}
		if err := chosen.writeFingerprints(output, candidate.name, digests); err != nil {
			return err
		}
	}
	if failed > 0 {
		return &ViolatedError{Runs: failed}
	}
	return nil
}

// selectSuites gives the suites to run: with a mutation those that have it.
func (o options) selectSuites() ([]suite, error) {
	if !slices.Contains(statesuite.Shapes(), statesuite.Shape(o.shape)) {
		return nil, &UnknownShapeError{Shape: o.shape}
	}
	named, selected := false, []suite(nil)
	for _, candidate := range suites {
		if o.suite != allSuites && o.suite != candidate.name {
			continue
		}
		named = true
		if o.mutation == "" || slices.Contains(candidate.mutations(), o.mutation) {
			selected = append(selected, candidate)
		}
	}
	switch {
	case !named:
		return nil, &UnknownSuiteError{Suite: o.suite}
	case len(selected) == 0:
		return nil, &UnknownMutationError{Mutation: o.mutation}
	default:
		return selected, nil
	}
}

// writeFingerprints prints the digests by ascending seed, whatever order the runs ended in.
func (o options) writeFingerprints(output io.Writer, suite string, digests []uint64) error {
	if !o.fingerprints {
		return nil
	}
	for place, digest := range digests {
		if _, err := fmt.Fprintf(output, "fingerprint %s seed %d: %016x\n", suite, o.first+int64(place), digest); err != nil {
			return err
		}
	}
	return nil
}

// searchSuite runs the seeds of a suite and puts the digest of each run in its place.
func (o options) searchSuite(candidate suite, trace io.Writer, digests []uint64) sim.Summary {
	settings := sim.SearchOptions{First: o.first, Count: o.seeds, Workers: o.workers, SkipShrinking: o.keepSchedules}
	settings.OnReport = func(report sim.Report) { digests[report.Seed-o.first] = report.Digest() }
	if !o.trace {
		return sim.Search(settings, func(seed int64, faults []sim.Fault) sim.Report {
			return candidate.run(seed, faults, o, nil)
		})
	}
	settings.Workers, settings.SkipShrinking = 1, true
	return sim.Search(settings, func(seed int64, faults []sim.Fault) sim.Report {
		return candidate.run(seed, faults, o, trace)
	})
}

func (o options) replayCommand(suite string, seed int64) string {
	command := fmt.Sprintf("rosestand-lab sim --suite %s --seed %d --seeds 1 --trace", suite, seed)
	if o.shape != string(statesuite.ShapeZones) {
		command += " --shape " + o.shape
	}
	if o.mutation != "" {
		command += " --mutation " + o.mutation
	}
	return command
}

package sim

import (
	"fmt"
	"io"
	"sync"
)

// Run is one run of a suite with a given schedule, or with the one generated from the seed when faults is nil.
type Run func(seed int64, faults []Fault) Report

// shrinkAttempts bounds the runs with which Search shrinks the schedule of one failing seed.
const shrinkAttempts = 60

// SearchOptions select the seeds: Count of them, from First on.
type SearchOptions struct {
	First int64
	Count int
	// Workers is the number of concurrent runs, each in a goroutine of its own; default 1.
	Workers int
	// SkipShrinking leaves failed schedules as they are; shrinking one runs its seed up to 60 times.
	SkipShrinking bool
	// OnReport, when set, is called for each finished run, in any order but not concurrently.
	OnReport func(Report)
}

// Summary aggregates the runs of a search.
type Summary struct {
	Runs  int
	Steps int
	Rules []RuleResult
	// Failed are the reports of runs that violated a rule or were exhausted, by ascending seed.
	Failed []Report
}

// Search runs a suite for many seeds and shrinks the schedule of each that fails. It returns when all workers have
// ended.
func Search(options SearchOptions, run Run) Summary {
	reports := make([]Report, options.Count)
	seeds := make(chan int)
	var workers sync.WaitGroup
	var reporting sync.Mutex
	for range max(options.Workers, 1) {
		workers.Go(func() {
			for index := range seeds {
				reports[index] = options.runSeed(options.First+int64(index), run)
				if options.OnReport != nil {
					reporting.Lock()
					options.OnReport(reports[index])
					reporting.Unlock()
				}
			}
		})
	}
	for place := range options.Count {
		seeds <- place
	}
	close(seeds)
	workers.Wait()
	return summarize(reports)
}

func (o SearchOptions) runSeed(seed int64, run Run) Report {
	report := run(seed, nil)
	if report.Violated() && !o.SkipShrinking {
		shrunk := Shrink(report.Schedule, shrinkAttempts, func(faults []Fault) bool {
			// The suite would generate a schedule in place of a nil one.
			return report.sharesViolation(run(seed, append([]Fault{}, faults...)))
		})
		report.Shrunk = append([]Fault{}, shrunk...)
	}
	return report
}

func summarize(reports []Report) Summary {
	summary := Summary{Runs: len(reports)}
	indexes := map[string]int{}
	for _, report := range reports {
		summary.Steps += report.Steps
		if report.Violated() || report.Exhausted {
			summary.Failed = append(summary.Failed, report)
		}
		for _, rule := range report.Rules {
			index, known := indexes[rule.Name]
			if !known {
				index = len(summary.Rules)
				indexes[rule.Name] = index
				summary.Rules = append(summary.Rules, RuleResult{Name: rule.Name})
			}
			summary.Rules[index].Provoked += rule.Provoked
			summary.Rules[index].Violations = append(summary.Rules[index].Violations, rule.Violations...)
		}
	}
	return summary
}

// Write prints a line for each rule, and for each failed run its violations, the shrunk schedule and the command that
// replays it.
func (s Summary) Write(writer io.Writer, replayCommand func(seed int64) string) error {
	text := &textWriter{writer: writer}
	text.printf("%d runs, %d events\n", s.Runs, s.Steps)
	for _, rule := range s.Rules {
		text.printf("%s: provoked %d times, violated %d\n", rule.Name, rule.Provoked, len(rule.Violations))
	}
	for _, report := range s.Failed {
		text.printf("\nseed %d failed after %s\n", report.Seed, report.Elapsed)
		if report.Exhausted {
			text.printf("  no end after %d events\n", report.Steps)
		}
		for _, rule := range report.Rules {
			for _, violation := range rule.Violations {
				text.printf("  %s: %s\n", rule.Name, violation)
			}
		}
		if report.Shrunk != nil {
			text.printf("  shortest schedule found (%d of %d faults):\n", len(report.Shrunk), len(report.Schedule))
		}
		for _, fault := range report.Shrunk {
			text.printf("    %s\n", fault)
		}
		text.printf("  replay: %s\n", replayCommand(report.Seed))
	}
	return text.err
}

type textWriter struct {
	writer io.Writer
	err    error
}

func (w *textWriter) printf(format string, arguments ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.writer, format, arguments...)
	}
}

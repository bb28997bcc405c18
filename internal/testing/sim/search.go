package sim

import (
	"fmt"
	"io"
	"sync"
)

// Run is one run of a suite with a given schedule, or with the one generated from the seed when faults is nil.
type Run func(seed int64, faults []Fault) Report

// shrinkAttempts bounds the runs that Search spends on one failing seed.
const shrinkAttempts = 60

// SearchOptions say which seeds to run.
type SearchOptions struct {
	First int64
	Count int
	// Workers is how many runs go on at a time, each in a goroutine of its own; default 1.
	Workers int
	// KeepSchedules leaves out the shortening of failed schedules, which runs a seed many times.
	KeepSchedules bool
	// OnReport, when set, is called for each finished run, one at a time in any order.
	OnReport func(Report)
}

// Summary adds up the runs of a search.
type Summary struct {
	Runs  int
	Steps int
	Rules []RuleResult
	// Failed holds the reports of runs that violated a rule or were exhausted, by ascending seed.
	Failed []Report
}

// Search runs a suite for many seeds and shrinks the schedule of each that fails.
func Search(options SearchOptions, run Run) Summary {
	reports := make([]Report, options.Count)
	seeds := make(chan int)
	var workers sync.WaitGroup
	var reporting sync.Mutex
	for range max(options.Workers, 1) {
		workers.Go(func() {
			for place := range seeds {
				reports[place] = options.runSeed(options.First+int64(place), run)
				if options.OnReport != nil {
					reporting.Lock()
					options.OnReport(reports[place])
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
	if report.Violated() && !o.KeepSchedules {
		shortened := Shrink(report.Schedule, shrinkAttempts, func(faults []Fault) bool {
			// An empty schedule must not be taken for "generate one".
			return report.sharesViolation(run(seed, append([]Fault{}, faults...)))
		})
		report.Shortened = append([]Fault{}, shortened...)
	}
	return report
}

func summarize(reports []Report) Summary {
	summary := Summary{Runs: len(reports)}
	places := map[string]int{}
	for _, report := range reports {
		summary.Steps += report.Steps
		if report.Violated() || report.Exhausted {
			summary.Failed = append(summary.Failed, report)
		}
		for _, rule := range report.Rules {
			place, found := places[rule.Name]
			if !found {
				place = len(summary.Rules)
				places[rule.Name] = place
				summary.Rules = append(summary.Rules, RuleResult{Name: rule.Name})
			}
			summary.Rules[place].Provoked += rule.Provoked
			summary.Rules[place].Violations = append(summary.Rules[place].Violations, rule.Violations...)
		}
	}
	return summary
}

// Write prints a line for each rule, and for each failed run its violations, the short schedule and the command that replays it.
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
		if report.Shortened != nil {
			text.printf("  shortest schedule found (%d of %d faults):\n", len(report.Shortened), len(report.Schedule))
		}
		for _, fault := range report.Shortened {
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

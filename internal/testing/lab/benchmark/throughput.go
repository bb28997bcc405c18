package benchmark

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/report"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
	"github.com/rosestand/rosestand/internal/testing/lab/wait"
	"github.com/rosestand/rosestand/internal/testing/subprocess"
)

const turnsPerProgram = 5

// Load is a closed loop: each worker makes its next turn when the last one ended.
type Load struct {
	Client *caller.Client
	Fronts []string
	// Workers share the front nodes evenly; a program stays with its front
	// node unless Spread is set, then each turn goes to the next one.
	Workers int
	Spread  bool
	// PerSecond holds the load to a number of turns a second; zero is as many as can be.
	PerSecond float64
	Run       string
	Duration  time.Duration
}

// Throughput is the outcome of a closed loop.
type Throughput struct {
	Turns      int64
	Failed     int64
	PerSecond  float64
	FirstToken *report.Times
	// Processor is the time that the watched processes used for one turn, by group.
	Processor map[string]time.Duration
}

// Watch names the processes of a group by their ids.
type Watch map[string][]int

// Measure runs the load and the watch beside it.
func (l Load) Measure(ctx context.Context, watch Watch) (*Throughput, error) {
	before, err := watch.usage()
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	result := l.run(ctx)
	took := time.Since(begun)
	after, err := watch.usage()
	if err != nil {
		return nil, err
	}
	result.PerSecond = float64(result.Turns) / took.Seconds()
	result.Processor = map[string]time.Duration{}
	for group := range watch {
		result.Processor[group] = (after[group] - before[group]) / time.Duration(max(result.Turns, 1))
	}
	return result, ctx.Err()
}

func (w Watch) usage() (map[string]time.Duration, error) {
	used := map[string]time.Duration{}
	for group, ids := range w {
		for _, id := range ids {
			usage, err := subprocess.UsageOf(id)
			if err != nil {
				return nil, err
			}
			used[group] += usage.Processor
		}
	}
	return used, nil
}

func (l Load) run(ctx context.Context) *Throughput {
	ctx, cancel := context.WithTimeout(ctx, l.Duration)
	defer cancel()
	times := make([]*report.Times, l.Workers)
	var turns, failed atomic.Int64
	var workers sync.WaitGroup
	for worker := range l.Workers {
		times[worker] = report.NewTimes()
		workers.Go(func() {
			for program := 0; ctx.Err() == nil; program++ {
				l.program(ctx, worker, program, times[worker], &turns, &failed)
			}
		})
	}
	workers.Wait()
	result := &Throughput{Turns: turns.Load(), Failed: failed.Load(), FirstToken: report.NewTimes()}
	for _, of := range times {
		result.FirstToken.Merge(of)
	}
	return result
}

func (l Load) program(ctx context.Context, worker, program int, times *report.Times, turns, failed *atomic.Int64) {
	session := fmt.Sprintf("%s-%d-%d", l.Run, worker, program)
	previous := ""
	for turn := range turnsPerProgram {
		begun := time.Now()
		front := l.Fronts[worker%len(l.Fronts)]
		if l.Spread {
			front = l.Fronts[(worker+program+turn)%len(l.Fronts)]
		}
		record := l.Client.SingleTurn(ctx, front, caller.SingleTurn{
			ID: fmt.Sprintf("%s/%d", session, turn), Session: session, Tenant: string(site.Caroni),
			Model: site.ModelClimateAdvisor, Input: prompt(session), Previous: previous, MaxOutput: answerWords,
		})
		if ctx.Err() != nil {
			return
		}
		if record.Outcome != caller.OutcomeAnswered {
			failed.Add(1)
			return
		}
		turns.Add(1)
		previous = record.TurnID
		if first, present := record.FirstToken(); present {
			times.Add(first)
		}
		l.pace(ctx, begun)
	}
}

// pace waits until this worker's next turn is due.
func (l Load) pace(ctx context.Context, begun time.Time) {
	if l.PerSecond <= 0 {
		return
	}
	every := time.Duration(float64(l.Workers) / l.PerSecond * float64(time.Second))
	wait.Until(ctx, begun.Add(every))
}

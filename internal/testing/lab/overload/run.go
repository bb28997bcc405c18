package overload

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/wait"
)

const (
	promptWords = 16
	// AnswerTokens is the length of each answer.
	AnswerTokens  = 24
	timeoutMillis = 10_000
)

// Target is the fleet that the burst is offered to.
type Target struct {
	Client *caller.Client
	Fronts []string
	// Model is called by all requests.
	Model string
	// Run is a label that keeps ids of different runs apart.
	Run string
}

// Observation is one request with what became of it.
type Observation struct {
	Record *caller.Record
	// DueAt is when the plan had it sent, from the start of the burst.
	DueAt time.Duration
	After bool
}

// Outcome is what the callers of one run saw.
type Outcome struct {
	Begun        time.Time
	Burst        time.Duration
	Observations []Observation
	// MostLate is how much later than planned a request was sent.
	MaxLateness time.Duration
}

func prompt(id string) string {
	return strings.Repeat("word ", promptWords) + id + fmt.Sprintf(" reply:%d", AnswerTokens)
}

func (t Target) turn(ctx context.Context, front string, r request) *caller.Record {
	return t.Client.PrioritizedTurn(ctx, front, caller.PrioritizedTurn{
		SingleTurn: caller.SingleTurn{
			ID: r.id, Session: r.id, Tenant: r.tenant, Model: t.Model, Input: prompt(r.id), MaxOutput: AnswerTokens,
		},
		Priority: r.priority, TimeoutMillis: timeoutMillis,
	})
}

// Offer sends the plan's requests when they are due, whatever became of earlier ones.
func (t Target) Offer(ctx context.Context, plan Plan, capacity float64) (*Outcome, error) {
	requests, err := plan.arrivals(t.Run, capacity)
	if err != nil {
		return nil, err
	}
	outcome := &Outcome{Begun: time.Now(), Burst: plan.Burst, Observations: make([]Observation, len(requests))}
	var sending sync.WaitGroup
	for i, r := range requests {
		if !wait.Until(ctx, outcome.Begun.Add(r.at)) {
			break
		}
		outcome.MaxLateness = max(outcome.MaxLateness, time.Since(outcome.Begun)-r.at)
		sending.Go(func() {
			record := t.turn(ctx, t.Fronts[i%len(t.Fronts)], r)
			outcome.Observations[i] = Observation{Record: record, DueAt: r.at, After: r.after}
		})
	}
	sending.Wait()
	return outcome, ctx.Err()
}

// Loop is the outcome of a closed loop.
type Loop struct {
	PerSecond float64
	Failed    int64
}

// ClosedLoop keeps as many calls under way as there are workers and counts those that are answered.
func ClosedLoop(ctx context.Context, workers int, length time.Duration,
	call func(ctx context.Context, worker, round int) bool,
) Loop {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	begun := time.Now()
	var answered, failed atomic.Int64
	var working sync.WaitGroup
	for worker := range workers {
		working.Go(func() {
			for round := 0; ctx.Err() == nil; round++ {
				switch ok := call(ctx, worker, round); {
				case ok:
					answered.Add(1)
				case ctx.Err() == nil:
					failed.Add(1)
				}
			}
		})
	}
	working.Wait()
	return Loop{PerSecond: float64(answered.Load()) / time.Since(begun).Seconds(), Failed: failed.Load()}
}

// ThroughFronts measures turns a second in a closed loop through the front nodes.
func (t Target) ThroughFronts(ctx context.Context, workers int, length time.Duration) Loop {
	tenants := Tenants()
	return ClosedLoop(ctx, workers, length, func(ctx context.Context, worker, round int) bool {
		r := request{
			id:     fmt.Sprintf("%s-closed-%d-%d", t.Run, worker, round),
			tenant: tenants[worker%len(tenants)].Name, priority: caller.PriorityInteractive,
		}
		return t.turn(ctx, t.Fronts[worker%len(t.Fronts)], r).Outcome == caller.OutcomeAnswered
	})
}

package storebench

import (
	"context"
	"fmt"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

const (
	benchStep             = "step"
	benchVersion          = 4
	maxConcurrentPrograms = 32
	pinCount              = 200
)

// MeasureTrainingSteps measures pins of steps, and a number of traces of one step with members
// programs while others programs are members of no step.
func MeasureTrainingSteps(ctx context.Context, folder string, members, others, traces int) ([]*Cost, error) {
	var costs []*Cost
	err := withFleet(folder, replicaCount, func(f *fleet, _ string) error { //nolint:contextcheck // stores outlive calls
		costs = []*Cost{
			f.measureCost(ctx, "first pin of a step", pinCount, pinStep),
			f.measureCost(ctx, "later pin of a step", pinCount, pinStep),
		}
		failed := f.openPrograms(ctx, members, func(number int) *protocol.LedgerOperation {
			reserve := reserveWithClaim(fmt.Sprintf("member-%d", number))
			reserve.GetReserveTurn().TrainingStep = &protocol.TrainingStepReference{Step: benchStep, WeightVersion: benchVersion}
			return reserve
		})
		failed += f.openPrograms(ctx, others, func(number int) *protocol.LedgerOperation {
			return reserveWithClaim(fmt.Sprintf("other-%d", number))
		})
		failed += f.openPrograms(ctx, 1, func(int) *protocol.LedgerOperation { return pinStep(benchStep) })
		costs = append(costs, f.measureCost(ctx, "trace", traces,
			func(string) *protocol.LedgerOperation { return traceStep(benchStep) }))
		if failed > 0 {
			return &FailedOperationsError{Count: failed}
		}
		return nil
	})
	return costs, err
}

// openPrograms makes one operation for each of count programs, several concurrently, and returns
// the number of failed ones.
func (f *fleet) openPrograms(
	ctx context.Context, count int, operation func(number int) *protocol.LedgerOperation,
) int64 {
	var failed atomic.Int64
	var callers errgroup.Group
	callers.SetLimit(maxConcurrentPrograms)
	for number := range count {
		callers.Go(func() error {
			result, err := f.client.Do(ctx, operation(number))
			if err != nil || result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
				failed.Add(1)
			}
			return nil
		})
	}
	_ = callers.Wait()
	return failed.Load()
}

func pinStep(step string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: ledger.TrainingStepProgram(step),
		Body: &protocol.LedgerOperation_PinTrainingStep{PinTrainingStep: &protocol.PinTrainingStep{
			Step: step, Model: "model", WeightVersion: benchVersion, Owner: "front",
		}},
	}
}

func traceStep(step string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: ledger.TrainingStepProgram(step),
		Body:    &protocol.LedgerOperation_TraceTrainingStep{TraceTrainingStep: &protocol.TraceTrainingStep{Step: step}},
	}
}

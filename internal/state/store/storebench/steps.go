package storebench

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

const (
	benchStep         = "step"
	benchVersion      = 4
	programsAtOnce    = 32
	pinsOfMeasurement = 200
)

// MeasureTrainingSteps pins steps, and traces one with so many programs, beside others of no step, so many times.
func MeasureTrainingSteps(ctx context.Context, folder string, members, others, traces int) ([]*Cost, error) {
	data, err := os.MkdirTemp(folder, "storebench-")
	if err != nil {
		return nil, errors.Wrap(err, "make data folder")
	}
	defer func() { _ = os.RemoveAll(data) }()
	f, err := startFleet(data, replicaCount)
	if err != nil {
		return nil, err
	}
	costs := []*Cost{
		f.costOf(ctx, "first pin of a step", pinsOfMeasurement, pinOfCosts),
		f.costOf(ctx, "later pin of a step", pinsOfMeasurement, pinOfCosts),
	}
	failed := f.openPrograms(ctx, members, func(number int) *protocol.LedgerOperation {
		reserve := claimingReserve(fmt.Sprintf("member-%d", number))
		reserve.GetReserveTurn().TrainingStep = &protocol.TrainingStepReference{Step: benchStep, WeightVersion: benchVersion}
		return reserve
	})
	failed += f.openPrograms(ctx, others, func(number int) *protocol.LedgerOperation {
		return claimingReserve(fmt.Sprintf("other-%d", number))
	})
	failed += f.openPrograms(ctx, 1, func(int) *protocol.LedgerOperation { return pinOfCosts(benchStep) })
	costs = append(costs, f.costOf(ctx, "trace", traces, func(string) *protocol.LedgerOperation { return traceOfCosts(benchStep) }))
	if err := f.stop(); err != nil {
		return nil, err
	}
	if failed > 0 {
		return nil, &FailedOperationsError{Count: failed}
	}
	return costs, nil
}

// openPrograms carries out one operation for each of so many programs, some at once, and gives how many failed.
func (f *fleet) openPrograms(ctx context.Context, count int, operation func(number int) *protocol.LedgerOperation) int64 {
	var failed atomic.Int64
	var callers errgroup.Group
	callers.SetLimit(programsAtOnce)
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

func pinOfCosts(step string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: ledger.TrainingStepProgram(step),
		Body: &protocol.LedgerOperation_PinTrainingStep{PinTrainingStep: &protocol.PinTrainingStep{
			Step: step, Model: "model", WeightVersion: benchVersion, Owner: "front",
		}},
	}
}

func traceOfCosts(step string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: ledger.TrainingStepProgram(step),
		Body:    &protocol.LedgerOperation_TraceTrainingStep{TraceTrainingStep: &protocol.TraceTrainingStep{Step: step}},
	}
}

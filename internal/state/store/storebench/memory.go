package storebench

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"time"
)

// Memory contains the heap usage of programs in progress in a store.
type Memory struct {
	Programs, Turns int
	// BytesOfProgram is the heap usage of one replica of a program: its register and the index
	// entries of its turns.
	BytesOfProgram float64
}

// String implements fmt.Stringer.
func (m *Memory) String() string {
	return fmt.Sprintf("%.0f bytes a program of %d turns in each of its %d replicas (%d programs)",
		m.BytesOfProgram, m.Turns, replicaCount, m.Programs)
}

// MeasureMemory runs programs with a number of turns each and compares the heap before and after.
func MeasureMemory(ctx context.Context, folder string, programs, turns int) (*Memory, error) {
	var result *Memory
	err := withFleet(folder, replicaCount, func(f *fleet, _ string) error { //nolint:contextcheck // stores outlive calls
		// The first half of the programs fills long-lived buffers, so that only the growth by the second half is measured.
		failed := f.runPrograms(ctx, "first", programs, turns, defaultTurnBytes)
		before := heapBytes()
		failed += f.runPrograms(ctx, "measured", programs, turns, defaultTurnBytes)
		after := heapBytes()
		if failed > 0 {
			return &FailedOperationsError{Count: failed}
		}
		result = &Memory{
			Programs:       programs,
			Turns:          turns,
			BytesOfProgram: float64(after-before) / float64(programs*replicaCount),
		}
		return nil
	})
	return result, err
}

// FailedOperationsError reports that operations of a measurement did not return LEDGER_OK.
type FailedOperationsError struct {
	Count int64
}

// Error implements error.
func (e *FailedOperationsError) Error() string { return fmt.Sprintf("%d operations failed", e.Count) }

// runPrograms runs programs to their last turn and returns the number of failed operations.
func (f *fleet) runPrograms(ctx context.Context, prefix string, programs, turns, turnBytes int) int64 {
	numbers := make(chan int)
	go func() {
		defer close(numbers)
		for number := range programs {
			numbers <- number
		}
	}()
	var callers sync.WaitGroup
	recorders := make([]*recorder, defaultInFlight)
	for number := range recorders {
		recorders[number] = newRecorder()
		caller := &caller{
			fleet: f, recorder: recorders[number], countFrom: time.Now(), text: strings.Repeat("x", turnBytes), turns: turns,
		}
		callers.Go(func() {
			for program := range numbers {
				caller.runProgram(ctx, fmt.Sprintf("%s-%d", prefix, program), time.Now().Add(time.Hour))
			}
		})
	}
	callers.Wait()
	var failed int64
	for _, r := range recorders {
		failed += r.failed
	}
	return failed
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

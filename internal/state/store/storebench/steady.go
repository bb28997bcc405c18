package storebench

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// SteadyOptions describe a load whose duration is a multiple of the retention of its turns.
type SteadyOptions struct {
	TurnsPerSecond, TurnBytes int
	Retention, Duration       time.Duration
	// TurnsOfProgram is the number of turns of each program.
	TurnsOfProgram int
}

// Steady contains the resource usage of stores over time under a steady load with a short retention.
type Steady struct {
	Samples []SteadySample
	Failed  int64
	// ProcessorShare is the processor time of three stores and their callers divided by the elapsed time.
	ProcessorShare float64
}

// SteadySample contains the resource usage at one point in time.
type SteadySample struct {
	After time.Duration
	// Heap is the heap size of the process, with three stores and their callers.
	Heap uint64
	// DiskBytes, Turns and Registers are those of one store; DiskBytes is the size of its logs.
	DiskBytes, Turns, Registers uint64
}

// String implements fmt.Stringer.
func (s *Steady) String() string {
	var text strings.Builder
	for _, sample := range s.Samples {
		fmt.Fprintf(&text, "%3.0f s: heap %d MB, logs of a store %d MB, %d turns, %d registers\n",
			sample.After.Seconds(), sample.Heap>>20, sample.DiskBytes>>20, sample.Turns, sample.Registers)
	}
	fmt.Fprintf(&text, "%.2f processors for three stores and callers, failed %d", s.ProcessorShare, s.Failed)
	return text.String()
}

// MeasureSteady sustains a load and samples the stores ten times.
func MeasureSteady(ctx context.Context, folder string, options SteadyOptions) (*Steady, error) {
	var steady *Steady
	err := withFleet(folder, replicaCount, func(f *fleet, _ string) error { //nolint:contextcheck // stores outlive calls
		steady = f.runSteadily(ctx, options)
		return nil
	})
	return steady, err
}

const steadySamples = 10

func (f *fleet) runSteadily(ctx context.Context, options SteadyOptions) *Steady {
	result := &Steady{}
	began, before := time.Now(), f.usage()
	recorders := make(chan *recorder)
	go f.beginPrograms(ctx, options, began.Add(options.Duration), recorders)
	for number := range steadySamples {
		time.Sleep(time.Until(began.Add(options.Duration * time.Duration(number+1) / steadySamples)))
		status := f.stores[0].store.Status()
		result.Samples = append(result.Samples, SteadySample{
			After: time.Since(began), Heap: heapBytes(),
			DiskBytes: status.GetBytes(), Turns: status.GetTurns(), Registers: status.GetRegisters(),
		})
	}
	result.ProcessorShare = f.usage().since(before).processor.Seconds() / time.Since(began).Seconds()
	for r := range recorders {
		result.Failed += r.failed
	}
	return result
}

// beginPrograms starts programs at regular intervals, each on its own goroutine, and closes the
// channel once all have ended.
func (f *fleet) beginPrograms(ctx context.Context, options SteadyOptions, ends time.Time, recorders chan<- *recorder) {
	interval := time.Second * time.Duration(options.TurnsOfProgram) / time.Duration(options.TurnsPerSecond)
	var finished []chan *recorder
	for number := 0; time.Now().Before(ends) && ctx.Err() == nil; number++ {
		done := make(chan *recorder, 1)
		finished = append(finished, done)
		go func() {
			program := &caller{
				fleet: f, recorder: newRecorder(), countFrom: ends, text: strings.Repeat("x", options.TurnBytes),
				turns: options.TurnsOfProgram, retention: options.Retention,
			}
			program.runProgram(ctx, fmt.Sprintf("steady-%d", number), ends.Add(time.Minute))
			done <- &recorder{failed: program.recorder.failed}
		}()
		time.Sleep(interval)
	}
	for _, done := range finished {
		recorders <- <-done
	}
	close(recorders)
}

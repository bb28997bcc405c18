package storebench_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/state/store/storebench"
)

// BenchmarkLedger reports register changes on three stores with real syncs.
func BenchmarkLedger(b *testing.B) {
	for b.Loop() {
		result, err := storebench.Run(b.Context(), storebench.Options{Folder: b.TempDir(), Duration: 5 * time.Second})
		if err != nil {
			b.Fatal(err)
		}
		b.Log(result)
		b.ReportMetric(result.ChangesPerSecond, "changes/s")
		b.ReportMetric(float64(result.P99.Microseconds())/1000, "p99-ms")
	}
}

// BenchmarkLedgerByTurns reports the cost of a change for short and long programs.
func BenchmarkLedgerByTurns(b *testing.B) {
	for _, turns := range []int{1, 10, 55} {
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			for b.Loop() {
				result, err := storebench.Run(b.Context(),
					storebench.Options{Folder: b.TempDir(), Duration: 3 * time.Second, Turns: turns})
				if err != nil {
					b.Fatal(err)
				}
				b.Log(result)
				b.ReportMetric(float64(result.ProcessorTime.Microseconds()), "processor-µs/change")
				b.ReportMetric(result.RegisterBytes, "register-bytes/change")
			}
		})
	}
}

// BenchmarkLedgerWhileEmptying reports register changes while every shard of one store moves to another.
func BenchmarkLedgerWhileEmptying(b *testing.B) {
	for b.Loop() {
		result, err := storebench.Run(b.Context(),
			storebench.Options{Folder: b.TempDir(), Duration: 10 * time.Second, Empty: true})
		if err != nil {
			b.Fatal(err)
		}
		b.Log(result)
		b.ReportMetric(result.ChangesPerSecond, "changes/s")
		b.ReportMetric(float64(result.P99.Microseconds())/1000, "p99-ms")
		b.ReportMetric(float64(result.MovedShards), "moved-shards")
	}
}

// BenchmarkMemory reports the heap usage of one replica of a long program.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		memory, err := storebench.MeasureMemory(b.Context(), b.TempDir(), 500, 55)
		if err != nil {
			b.Fatal(err)
		}
		b.Log(memory)
		b.ReportMetric(memory.BytesOfProgram, "bytes/program")
	}
}

// BenchmarkRebuild reports how long a store that lost its disk takes to copy 6,000 turns of
// 8 KB, which is one minute of load at 100 turns per second, and to restart with them.
func BenchmarkRebuild(b *testing.B) {
	for b.Loop() {
		rebuild, err := storebench.MeasureRebuild(b.Context(), b.TempDir(), 1000, 6, 8000)
		if err != nil {
			b.Fatal(err)
		}
		b.Log(rebuild)
		b.ReportMetric(rebuild.Took.Seconds(), "s/rebuild")
		b.ReportMetric(rebuild.ProcessorTime.Seconds(), "processor-s/rebuild")
		b.ReportMetric(rebuild.Restart.Seconds(), "s/restart")
	}
}

// BenchmarkSteady reports the resource usage of stores under 75 turns of 10 KB per second that are retained for 60 s.
func BenchmarkSteady(b *testing.B) {
	for b.Loop() {
		steady, err := storebench.MeasureSteady(b.Context(), b.TempDir(), storebench.SteadyOptions{
			TurnsPerSecond: 75, TurnBytes: 10_000, Retention: time.Minute, Duration: 4 * time.Minute, TurnsOfProgram: 5,
		})
		if err != nil {
			b.Fatal(err)
		}
		b.Log("\n" + steady.String())
	}
}

// BenchmarkCosts reports the cost of each kind of operation when no other operation is in flight.
func BenchmarkCosts(b *testing.B) {
	for b.Loop() {
		costs, err := storebench.MeasureCosts(b.Context(), b.TempDir(), 500)
		if err != nil {
			b.Fatal(err)
		}
		for _, cost := range costs {
			b.Log(cost)
		}
	}
}

// BenchmarkTrainingSteps reports the costs of pins and traces with 9,000 programs that are members of no step.
func BenchmarkTrainingSteps(b *testing.B) {
	for _, members := range []int{100, 1_000} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for b.Loop() {
				costs, err := storebench.MeasureTrainingSteps(b.Context(), b.TempDir(), members, 9_000, 20)
				if err != nil {
					b.Fatal(err)
				}
				for _, cost := range costs {
					b.Log(cost)
				}
			}
		})
	}
}

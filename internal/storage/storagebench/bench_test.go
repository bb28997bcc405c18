package storagebench_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/storage/storagebench"
)

const recordBytes = 512

func TestRunCountsEveryAppend(t *testing.T) {
	for _, syncEach := range []bool{true, false} {
		result, err := storagebench.Run(storagebench.Options{
			Dir: t.TempDir(), Writers: 4, RecordBytes: recordBytes, Duration: 20 * time.Millisecond, SyncEach: syncEach,
		})
		if err != nil {
			t.Fatal(err)
		}
		if result.Appends == 0 || result.Syncs == 0 || result.P99 == 0 {
			t.Fatalf("syncEach=%v: got %+v, want nonzero Appends, Syncs and P99", syncEach, result)
		}
		if syncEach && result.Syncs != result.Appends {
			t.Fatalf("syncEach=true: got %d syncs for %d appends, want one per append", result.Syncs, result.Appends)
		}
	}
}

// BenchmarkAppend reports appends per second, p99 latency and appends per sync for each number of writers. Run it with
// -benchtime=1x.
func BenchmarkAppend(b *testing.B) {
	for _, syncEach := range []bool{true, false} {
		for _, writers := range storagebench.WriterCounts {
			b.Run(fmt.Sprintf("syncEach=%v/writers=%d", syncEach, writers), func(b *testing.B) {
				for b.Loop() {
					result, err := storagebench.Run(storagebench.Options{
						Dir: b.TempDir(), Writers: writers, RecordBytes: recordBytes, Duration: time.Second, SyncEach: syncEach,
					})
					if err != nil {
						b.Fatal(err)
					}
					b.ReportMetric(result.AppendsPerSecond, "appends/s")
					b.ReportMetric(float64(result.P99.Microseconds()), "p99-µs")
					b.ReportMetric(float64(result.Appends)/float64(result.Syncs), "appends/sync")
				}
			})
		}
	}
}

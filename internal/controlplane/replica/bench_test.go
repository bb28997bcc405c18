package replica

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/storage"
)

// BenchmarkPropose measures the commands that three members commit per second with real files and syncs, on one
// disk and without a network.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			f := &fleet{machines: map[string]*machine{}, partitioned: map[string]bool{}, options: Options{}}
			folder := b.TempDir()
			for number := 1; number <= 3; number++ {
				f.founders = append(f.founders, f.machine(number).address)
			}
			for number := 1; number <= 3; number++ {
				m := f.machine(number)
				f.options.Filesystem = storage.OSFilesystem{}
				f.options.Folder = fmt.Sprintf("%s/%d", folder, number)
				if err := m.tryStart(); err != nil {
					b.Fatal(err)
				}
			}
			defer f.stopAll()
			leader := waitForVoters(b, f, 3)
			command := make([]byte, 256)
			var started atomic.Int64
			done := make(chan error, proposers)
			b.ResetTimer()
			for range proposers {
				go func() {
					for started.Add(1) <= int64(b.N) {
						if _, _, err := leader.replica.Propose(context.Background(), command); err != nil {
							done <- err
							return
						}
					}
					done <- nil
				}()
			}
			for range proposers {
				if err := <-done; err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
		})
	}
}

// waitForVoters waits, in real time, for a leader whose configuration has the given number of voters.
func waitForVoters(b *testing.B, f *fleet, voters int) *machine {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for range 3000 {
		for _, m := range f.running() {
			if m.replica.IsLeader() && len(m.voters()) == voters {
				return m
			}
		}
		<-ticker.C
	}
	b.Fatalf("no leader with %d voters within 30 s", voters)
	return nil
}

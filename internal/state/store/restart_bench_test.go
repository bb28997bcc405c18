package store

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
	"github.com/rosestand/rosestand/internal/storage"
)

// benchTurns is the number of turns of each program in the benchmarks.
const benchTurns = 55

// idleCore has no placement, so that a store in a benchmark only starts and stops.
type idleCore struct{ Core }

func (idleCore) View() *corelink.View { return &corelink.View{} }
func (idleCore) Ready() bool          { return true }

func openStore(b testing.TB, path string) *Store {
	folder, err := datafolder.Open(storage.OSFilesystem{}, path, DefaultSegmentBytes)
	if err != nil {
		b.Fatal(err)
	}
	opened, err := New(Options{
		Self: &protocol.Node{Name: "a"}, Core: idleCore{}, Logger: log.New(io.Discard), Registerer: prometheus.NewRegistry(),
	}, folder)
	if err != nil {
		b.Fatal(err)
	}
	opened.Start()
	return opened
}

// writeTurns fills the log of turns through a running store.
func writeTurns(b testing.TB, path string, count, textBytes int) {
	opened := openStore(b, path)
	text := strings.Repeat("x", textBytes)
	done := make(chan struct{})
	for number := range count {
		program := fmt.Sprintf("program-%d", number/benchTurns)
		shard := uint32(number/benchTurns) % 64
		g := opened.groups.Of(shard)
		g.Post(func() {
			g.RetainTurn(shard, &protocol.Turn{
				Id: fmt.Sprintf("turn_%032d", number), Program: program, Session: program, RequestId: strconv.Itoa(number),
				KeptAtMillis: time.Now().UnixMilli(), Output: []*protocol.Item{{Role: "assistant", Text: text}},
			}, func() { done <- struct{}{} })
		})
		if number%4096 == 4095 {
			for range 4096 {
				<-done
			}
		}
	}
	for range count % 4096 {
		<-done
	}
	if err := opened.saveTurnIndex(); err != nil {
		b.Fatal(err)
	}
	if err := opened.Stop(); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkRestart measures how long a store takes to read its turns at startup: many small
// ones, and fewer large ones whose index entries have the same size.
func BenchmarkRestart(b *testing.B) {
	for _, shape := range []struct{ turns, textBytes int }{{100_000, 100}, {400_000, 100}, {100_000, 4000}} {
		b.Run(fmt.Sprintf("turns=%d/text=%d", shape.turns, shape.textBytes), func(b *testing.B) {
			path := b.TempDir()
			writeTurns(b, path, shape.turns, shape.textBytes)
			for b.Loop() {
				opened := openStore(b, path)
				b.StopTimer()
				total := opened.counts()
				if err := opened.Stop(); err != nil || total.turns != uint64(shape.turns) {
					b.Fatalf("%d turns after the restart, want %d; error of the stop: %v", total.turns, shape.turns, err)
				}
				b.StartTimer()
			}
		})
	}
}

// writeRegisterLog changes registers of programs through a running store, without the snapshots of its maintenance.
func writeRegisterLog(b testing.TB, path string, programs, changes, valueBytes int) {
	opened := openStore(b, path)
	value := make([]byte, valueBytes)
	done := make(chan struct{}, programs)
	for change := range changes {
		for number := range programs {
			shard := uint32(number % 64)
			g := opened.groups.Of(shard)
			g.Post(func() {
				key := shardtable.Key{Program: fmt.Sprintf("program-%d", number)}
				next := register.State{Accepted: register.Ballot{Counter: uint64(change) + 1, Proposer: "a"}, Value: value}
				g.Put(shard, key, next, func() { done <- struct{}{} })
			})
		}
		for range programs {
			<-done
		}
	}
	if err := opened.Stop(); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkRestartRegisters measures a start with the longest log of registers that occurs before a snapshot is due.
func BenchmarkRestartRegisters(b *testing.B) {
	path := b.TempDir()
	writeRegisterLog(b, path, 14_000, 5, 400)
	for b.Loop() {
		opened := openStore(b, path)
		if count := opened.counts().registers; count != 14_000 {
			b.Fatalf("%d registers after the restart, want 14000", count)
		}
		if err := opened.Stop(); err != nil {
			b.Fatal(err)
		}
	}
}

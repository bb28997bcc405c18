package shardtable

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
)

// The benchmarks use the size of one of 64 shards of 130,000 programs with 55 turns each.
const (
	benchPrograms = 130_000 / 64
	benchTurns    = 55
)

func benchTable() *Table {
	table := New(0)
	table.View.Role, table.View.Epoch = register.RoleActive, 1
	for number := range benchPrograms {
		program := fmt.Sprintf("program-%d", number)
		entry := table.Register(Key{Program: program})
		entry.State.Accepted.Counter = 1
		entry.State.Value = make([]byte, 1000)
		for turn := range benchTurns {
			table.Turns.Put(turnindex.NewKey(program, strconv.Itoa(turn)), turnindex.Entry{Segment: 1})
		}
	}
	return table
}

// BenchmarkFetchShard reports how long the owner of a shard is blocked by one
// page, averaged over all pages of registers and turns of a shard.
func BenchmarkFetchShard(b *testing.B) {
	table := benchTable()
	pages := 0
	for b.Loop() {
		for after := (Cursor{}); ; {
			page := table.Page(&protocol.FetchShardRequest{PlacementEpoch: 1}, after)
			pages++
			if page.turns.last {
				break
			}
			next := page.Answer.GetNext()
			if len(next) == 0 {
				next = Cursor{InTurns: true, Turn: page.turns.keys[len(page.turns.keys)-1]}.Encode()
			}
			after, _ = DecodeCursor(next)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(pages), "ns/page")
	b.ReportMetric(float64(pages)/float64(b.N), "pages/shard")
}

func measureHeap(allocate func() any) (any, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	allocated := allocate()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return allocated, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkTableMemory reports the heap of one entry of the turn index and of one register without its value.
func BenchmarkTableMemory(b *testing.B) {
	for b.Loop() {
		turns, size := measureHeap(func() any {
			table := New(0)
			for number := range benchPrograms * benchTurns {
				table.Turns.Put(turnindex.NewKey("program", strconv.Itoa(number)), turnindex.Entry{Segment: 1})
			}
			return table
		})
		b.ReportMetric(size/benchPrograms/benchTurns, "bytes/turn")
		registers, size := measureHeap(func() any {
			table := New(0)
			for number := range benchPrograms {
				table.Register(Key{Program: fmt.Sprintf("program-%036d", number)})
			}
			return table
		})
		b.ReportMetric(size/benchPrograms, "bytes/register")
		runtime.KeepAlive(turns)
		runtime.KeepAlive(registers)
	}
}

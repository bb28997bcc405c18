package store

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
)

// One shard of 64 with 130,000 programs of 55 turns.
const (
	benchPrograms = 130_000 / 64
	benchTurns    = 55
)

func benchTable() *shardTable {
	table := newShardTable(0)
	table.view.Role, table.view.Epoch = register.RoleActive, 1
	for number := range benchPrograms {
		program := fmt.Sprintf("program-%d", number)
		held := table.entry(registerKey{program: program})
		held.state.Accepted.Counter = 1
		held.state.Value = make([]byte, 1000)
		for turn := range benchTurns {
			table.turns.Put(turnKeyOf(program, strconv.Itoa(turn)), turnEntry{segment: 1})
		}
	}
	return table
}

// BenchmarkFetchShard reports how long the owner of a shard is held up by one
// page, registers and turns alike, over the copy of a whole shard.
func BenchmarkFetchShard(b *testing.B) {
	table := benchTable()
	pages := 0
	for b.Loop() {
		for after := (cursor{}); ; {
			page := table.page(&protocol.FetchShardRequest{PlacementEpoch: 1}, after)
			pages++
			if page.last {
				break
			}
			next := page.answer.GetNext()
			if len(next) == 0 {
				next = cursor{inTurns: true, turn: page.keys[len(page.keys)-1]}.encode()
			}
			after, _ = decodeCursor(next)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(pages), "ns/page")
	b.ReportMetric(float64(pages)/float64(b.N), "pages/shard")
}

func heapOf(make func() any) (any, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	made := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return made, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkTableMemory reports the heap of one entry of the turn index and of one register without its value.
func BenchmarkTableMemory(b *testing.B) {
	for b.Loop() {
		turns, size := heapOf(func() any {
			table := newShardTable(0)
			for number := range benchPrograms * benchTurns {
				table.turns.Put(turnKeyOf("program", strconv.Itoa(number)), turnEntry{segment: 1})
			}
			return table
		})
		b.ReportMetric(size/benchPrograms/benchTurns, "bytes/turn")
		registers, size := heapOf(func() any {
			table := newShardTable(0)
			for number := range benchPrograms {
				table.entry(registerKey{program: fmt.Sprintf("program-%036d", number)})
			}
			return table
		})
		b.ReportMetric(size/benchPrograms, "bytes/register")
		runtime.KeepAlive(turns)
		runtime.KeepAlive(registers)
	}
}

package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

const benchProgram = "program-5d1c0a3e-6a3f-4a52-8f0e-0d8a6f1f9b11"

// benchRequest returns a request id as long as those that callers commonly use.
func benchRequest(turn int) string {
	return fmt.Sprintf("request-00000000-0000-4000-8000-%012d", turn)
}

func benchChange(b *testing.B, value []byte, operation *protocol.LedgerOperation) []byte {
	var record *protocol.ProgramRecord
	if len(value) > 0 {
		record = &protocol.ProgramRecord{}
		if err := proto.Unmarshal(value, record); err != nil {
			b.Fatal(err)
		}
		if err := ledger.CheckRecord(record); err != nil {
			b.Fatal(err)
		}
	}
	operation.Program = benchProgram
	after, result := ledger.Apply(record, operation, now.Add(time.Second))
	if after == nil {
		b.Fatalf("%v changed nothing and returned %v", operation, result)
	}
	encoded, err := proto.Marshal(after)
	if err != nil {
		b.Fatal(err)
	}
	return encoded
}

func benchTurn(b *testing.B, value []byte, turn int) (reserved, settled []byte) {
	const session = "session-5d1c0a3e-6a3f-4a52-8f0e-0d8a6f1f9b11"
	previous := ""
	if turn > 0 {
		previous = ledger.TurnID(benchProgram, benchRequest(turn-1))
	}
	request := benchRequest(turn)
	reserved = benchChange(b, value, reserve(request, session, 1, 1000, previous))
	settle := settle(request, session, 1, 500, ledger.TurnID(benchProgram, request), previous)
	settle.GetSettleTurn().Turn.KeepUntilMillis = now.Add(ledger.DefaultRetention).UnixMilli()
	return reserved, benchChange(b, reserved, settle)
}

// BenchmarkChange reports the CPU time and the size of the register value per change. It repeats the last turn of a
// program: one reservation and one settlement.
func BenchmarkChange(b *testing.B) {
	for _, turns := range []int{1, 10, 55} {
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			claimed := claim("session-5d1c0a3e-6a3f-4a52-8f0e-0d8a6f1f9b11", "front-1", 1)
			claimed.GetClaimSession().Budget = 1 << 40
			value := benchChange(b, nil, claimed)
			for turn := range turns - 1 {
				_, value = benchTurn(b, value, turn)
			}
			b.ReportAllocs()
			bytes, changes := 0, 0
			for b.Loop() {
				reserved, settled := benchTurn(b, value, turns-1)
				bytes += len(reserved) + len(settled)
				changes += 2
			}
			b.ReportMetric(float64(bytes)/float64(changes), "bytes/change")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(changes), "ns/change")
		})
	}
}

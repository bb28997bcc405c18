package ledger_test

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// goldenRecord is the encoded record that goldenOperations produced before training steps existed.
const goldenRecord = "programwithoutstep.hex"

func readGolden(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", goldenRecord))
	if err != nil {
		t.Fatal(err)
	}
	golden, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return golden
}

func goldenOperations() []*protocol.LedgerOperation {
	return []*protocol.LedgerOperation{
		rejectRequest("r0", "elsewhere"),
		claim("s", "front-1", 1),
		reserve("r1", "s", 1, 10, ""),
		settle("r1", "s", 1, 4, ledger.TurnID("p", "r1"), ""),
		reserve("r2", "s", 1, 10, ledger.TurnID("p", "r1")),
		release("r2", "s", 1, 3),
		withClaim(asFork(reserve("r3", "s2", 0, 5, "t9")), "front-1", 1),
		claim("s2", "front-2", 1),
		reserve("r4", "s2", 2, 7, ""),
	}
}

func TestProgramWithoutTrainingStepKeepsItsEncoding(t *testing.T) {
	golden := readGolden(t)
	var record *protocol.ProgramRecord
	for _, operation := range goldenOperations() {
		after, result := ledger.Apply(record, operation, now)
		if after == nil {
			t.Fatalf("%v changed nothing and returned %v", operation, result)
		}
		record = after
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	if string(encoded) != string(golden) {
		t.Errorf("the encoded record is %x, want %x", encoded, golden)
	}
}

func TestRecordWrittenBeforeTrainingStepsRemainsUsable(t *testing.T) {
	golden := readGolden(t)
	record := &protocol.ProgramRecord{}
	if err := proto.Unmarshal(golden, record); err != nil {
		t.Fatal(err)
	}
	if err := ledger.CheckRecord(record); err != nil {
		t.Fatal(err)
	}
	if _, result := ledger.Apply(record, forStep("17", 4, asFork(reserve("r5", "s", 1, 1, ""))),
		now); result.GetStatus() != stepMismatch {
		t.Errorf("a program that already ran without a training step joined one: %v", result)
	}
	after, result := ledger.Apply(record, settle("r4", "s2", 2, 7, "t4", ""), now.Add(time.Minute))
	if result.GetStatus() != ok || after.GetTrainingStep() != nil || after.GetSettled() != 4+3+5+7 {
		t.Errorf("settling r4 returned %v and left %v, want status %v, no training step and %d settled tokens", result, after,
			ok, 4+3+5+7)
	}
}

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

// goldenRecord is the record that goldenOperations left in the register before training steps existed.
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
		refuse("r0", "elsewhere"),
		claim("s", "front-1", 1),
		reserve("r1", "s", 1, 10, ""),
		settle("r1", "s", 1, 4, ledger.TurnID("p", "r1"), ""),
		reserve("r2", "s", 1, 10, ledger.TurnID("p", "r1")),
		release("r2", "s", 1, 3),
		claiming(fork(reserve("r3", "s2", 0, 5, "t9")), "front-1", 1),
		claim("s2", "front-2", 1),
		reserve("r4", "s2", 2, 7, ""),
	}
}

func TestAProgramWithoutAStepIsWrittenAsBefore(t *testing.T) {
	golden := readGolden(t)
	var record *protocol.ProgramRecord
	for _, operation := range goldenOperations() {
		after, result := ledger.Apply(record, operation, now)
		if after == nil {
			t.Fatalf("%v answered %v", operation, result)
		}
		record = after
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	if string(encoded) != string(golden) {
		t.Errorf("the register holds %x, before it was %x", encoded, golden)
	}
}

func TestARecordFromBeforeTrainingStepsIsReadAndGoesOn(t *testing.T) {
	golden := readGolden(t)
	record := &protocol.ProgramRecord{}
	if err := proto.Unmarshal(golden, record); err != nil {
		t.Fatal(err)
	}
	if err := ledger.CheckRecord(record); err != nil {
		t.Fatal(err)
	}
	if _, result := ledger.Apply(record, generating("17", 4, fork(reserve("r5", "s", 1, 1, ""))),
		now); result.GetStatus() != stepMismatch {
		t.Errorf("a step was taken in by a program that ran without: %v", result)
	}
	after, result := ledger.Apply(record, settle("r4", "s2", 2, 7, "t4", ""), now.Add(time.Minute))
	if result.GetStatus() != ok || after.GetTrainingStep() != nil || after.GetSettled() != 4+3+5+7 {
		t.Errorf("answered %v and left %v", result, after)
	}
}

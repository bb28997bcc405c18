package datafolder_test

import (
	"path"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/state/store/records"
	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
	"github.com/rosestand/rosestand/internal/testing/interruptedstart"
)

const (
	folderPath   = "data/ledger"
	segmentBytes = 256
)

// startStore opens the folder, reads both logs, and writes a record to each.
func startStore(disk *simdisk.Disk, record string) (*interruptedstart.Started, error) {
	folder, err := datafolder.Open(disk, folderPath, segmentBytes)
	if err != nil {
		return nil, err
	}
	remembered, err := rememberedRecords(folder)
	if err != nil {
		return nil, errors.CombineErrors(err, folder.Close())
	}
	started := &interruptedstart.Started{
		Incarnation: folder.StorageID, Starts: folder.Starts, Remembered: remembered, Lost: folder.Lost,
	}
	err = writeRecord(folder, record)
	return started, errors.CombineErrors(err, folder.Close())
}

// rememberedRecords returns the records that both logs have.
func rememberedRecords(folder *datafolder.Folder) ([]string, error) {
	var registers, turns []string
	err := folder.LoadRegisters(func(record *protocol.StoreRecord) {
		registers = append(registers, string(record.GetRegister().GetValue()))
	})
	if err != nil {
		return nil, err
	}
	err = folder.Turns.Replay(storage.Position{}, func(_ storage.Position, encoded []byte) error {
		turns = append(turns, string(encoded))
		return nil
	})
	return slices.DeleteFunc(registers, func(key string) bool { return !slices.Contains(turns, key) }), err
}

// writeRecord writes a record to both logs and returns once it is durable.
func writeRecord(folder *datafolder.Folder, record string) error {
	encoded, err := records.Encode(&protocol.StoreRecord{
		Body: &protocol.StoreRecord_Register{Register: &protocol.RegisterState{Value: []byte(record)}},
	})
	if err != nil {
		return err
	}
	if err := appendRecord(folder.Registers, encoded); err != nil {
		return err
	}
	return appendRecord(folder.Turns, []byte(record))
}

func appendRecord(log *storage.Log, record []byte) error {
	if _, err := log.Write(record); err != nil {
		return err
	}
	return log.Sync()
}

// remove durably removes the files of a folder whose names end with a suffix.
func remove(disk *simdisk.Disk, folder, suffix string) {
	for _, file := range disk.Files(folder) {
		if path.Dir(file) == folder && strings.HasSuffix(file, suffix) {
			_ = disk.Remove(file)
		}
	}
	_ = disk.SyncDir(folder)
}

// prepareUsed returns a Prepare that makes some complete starts, so that the logs have several segments, and then
// damages the folder; damage may be nil.
func prepareUsed(damage func(disk *simdisk.Disk)) func(*simdisk.Disk, func()) {
	return func(disk *simdisk.Disk, run func()) {
		for range 4 {
			run()
		}
		if damage != nil {
			damage(disk)
		}
	}
}

// prepareTwice is prepareUsed with another damage after the store has started on the first one.
func prepareTwice(first, second func(disk *simdisk.Disk)) func(*simdisk.Disk, func()) {
	return func(disk *simdisk.Disk, run func()) {
		prepareUsed(first)(disk, run)
		prepareUsed(second)(disk, run)
	}
}

// prepareWithoutLogs leaves the identity of a store and none of its logs, as an interrupted first start of an older
// version did.
func prepareWithoutLogs(disk *simdisk.Disk, _ func()) {
	if _, err := storage.OpenIdentity(disk, folderPath, storage.IdentityOptions{}); err != nil {
		panic(err)
	}
}

// Guards against a store that a kill or a loss of power at any operation of its start keeps from ever starting again,
// or lets start as the incarnation whose registers it has lost.
func TestAnInterruptedStartOfAStoreIsFollowedByOneThatStartsAndForgetsNothing(t *testing.T) {
	registers, turns := path.Join(folderPath, datafolder.RegisterLog), path.Join(folderPath, datafolder.TurnLog)
	damageRegisters := func(disk *simdisk.Disk) {
		disk.Damage(path.Join(registers, "0000000000000001.log"), 40, 1)
	}
	loseRegisters := func(disk *simdisk.Disk) { remove(disk, registers, ".log") }
	loseTurns := func(disk *simdisk.Disk) { remove(disk, turns, ".log") }
	for name, scenario := range map[string]interruptedstart.Scenario{
		"empty disk":                  {},
		"used disk":                   {Prepare: prepareUsed(nil)},
		"logs that were never made":   {Damaged: true, Prepare: prepareWithoutLogs},
		"registers damaged":           {Damaged: true, Prepare: prepareUsed(damageRegisters)},
		"registers lost":              {Damaged: true, Prepare: prepareUsed(loseRegisters)},
		"turns lost":                  {Damaged: true, Prepare: prepareUsed(loseTurns)},
		"registers lost after damage": {Damaged: true, Prepare: prepareTwice(damageRegisters, loseRegisters)},
		"both logs lost": {Damaged: true, Prepare: prepareUsed(func(disk *simdisk.Disk) {
			loseRegisters(disk)
			loseTurns(disk)
		})},
		"identity lost": {Damaged: true, Prepare: prepareUsed(func(disk *simdisk.Disk) {
			remove(disk, folderPath, "identity")
		})},
	} {
		t.Run(name, func(t *testing.T) {
			scenario.Start = startStore
			for seed := uint64(1); seed <= 2; seed++ {
				t.Logf("%d runs with seed %d", interruptedstart.Test(t, scenario, seed), seed)
			}
		})
	}
}

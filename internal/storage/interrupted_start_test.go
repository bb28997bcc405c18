package storage_test

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
	"github.com/rosestand/rosestand/internal/testing/interruptedstart"
)

// interruptedSeeds are the seeds that decide what a loss of power tears.
const interruptedSeeds = 4

// startLog opens a log in a directory of its own, reads it and appends a record.
func startLog(disk *simdisk.Disk, record string) (*interruptedstart.Started, error) {
	log, err := storage.OpenLog(disk, dir, storage.LogOptions{})
	if err != nil {
		return nil, err
	}
	started := &interruptedstart.Started{Starts: uint64(disk.Operations())}
	err = log.Replay(storage.Position{}, func(_ storage.Position, record []byte) error {
		started.Remembered = append(started.Remembered, string(record))
		return nil
	})
	if err != nil {
		return nil, errors.CombineErrors(err, log.Close())
	}
	if _, err = log.Write([]byte(record)); err == nil {
		err = log.Sync()
	}
	return started, errors.CombineErrors(err, log.Close())
}

// Guards against a directory that is lost with the power, and every record in it, since the start that created it was
// killed before it had synced the parent.
func TestALogOutlivesInterruptionsOfTheStartThatCreatesItsDirectory(t *testing.T) {
	for seed := range uint64(interruptedSeeds) {
		interruptedstart.Test(t, interruptedstart.Scenario{Start: startLog}, seed)
	}
}

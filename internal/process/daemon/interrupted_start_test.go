package daemon

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
	"github.com/rosestand/rosestand/internal/testing/interruptedstart"
)

const (
	interruptedFolder = "data"
	// checkedBytes are few, since each write of the check is one more operation to stop at.
	checkedBytes = 1 << 10
)

// startDaemon opens a data folder as a daemon does once it has locked it, under a clock that stands still, and adds a
// file to it. Starts is the incarnation, which must never be used twice.
func startDaemon(disk *simdisk.Disk, record string) (*interruptedstart.Started, error) {
	if err := storage.MkdirAll(disk, interruptedFolder); err != nil {
		return nil, err
	}
	// As in waitForSpace, a failed check does not end the start.
	_ = storage.CheckFreeSpace(disk, interruptedFolder, checkedBytes)
	identity, err := storage.OpenIdentity(disk, interruptedFolder, storage.IdentityOptions{})
	if err != nil {
		return nil, err
	}
	incarnation, err := nextIncarnation(disk, interruptedFolder, time.UnixMilli(1))
	if err != nil {
		return nil, err
	}
	started := &interruptedstart.Started{Incarnation: identity.StorageID, Starts: incarnation}
	for _, file := range disk.Files(interruptedFolder) {
		if !strings.HasSuffix(file, ".tmp") {
			started.Remembered = append(started.Remembered, filepath.Base(file))
		}
	}
	return started, storage.ReplaceFile(disk, filepath.Join(interruptedFolder, record), []byte(record))
}

// Guards against a daemon that an interrupted start keeps from ever starting again, that uses an incarnation twice, or
// that forgets its storage id.
func TestAnInterruptedStartOfADaemonIsFollowedByOneThatStarts(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		for name, scenario := range map[string]interruptedstart.Scenario{
			"empty disk": {Start: startDaemon},
			"used disk":  {Start: startDaemon, Prepare: func(_ *simdisk.Disk, run func()) { run() }},
		} {
			t.Logf("%s: %d runs with seed %d", name, interruptedstart.Test(t, scenario, seed), seed)
		}
	}
}

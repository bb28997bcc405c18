package daemon

import (
	"os"
	"time"

	"github.com/charmbracelet/log"

	"github.com/rosestand/rosestand/internal/storage"
)

const (
	// minStartSpaceBytes is the free space that the data folder needs before a process starts.
	minStartSpaceBytes = 1 << 20
	// spaceCheckInterval is the interval between checks of the free space while the disk is full.
	spaceCheckInterval = time.Second
)

// waitForSpace waits until the folder has enough free space. It returns true then, and
// also if the check fails for another reason, because opening the folder reports that
// failure better. It returns false if a signal stops the process.
func waitForSpace(filesystem storage.Filesystem, folder string, logger *log.Logger, signals <-chan os.Signal) bool {
	logged := false
	for {
		err := storage.CheckFreeSpace(filesystem, folder, minStartSpaceBytes)
		if !storage.IsDiskFull(err) {
			return true
		}
		if !logged {
			logger.Warn("disk is full, start waits for free space", "folder", folder, "error", err)
			logged = true
		}
		interval := time.NewTimer(spaceCheckInterval)
		select {
		case <-interval.C:
		case <-signals:
			interval.Stop()
			return false
		}
	}
}

package daemon

import (
	"os"
	"time"

	"github.com/charmbracelet/log"

	"github.com/rosestand/rosestand/internal/storage"
)

const (
	// minStartSpaceBytes is the free space that a data folder needs before a process starts on it.
	minStartSpaceBytes = 1 << 20
	// spaceCheckInterval is the interval between checks of a full disk.
	spaceCheckInterval = time.Second
)

// waitForSpace returns true once the folder has enough free space, or if the check
// fails for another reason, which opening the folder reports better. It returns
// false if a signal stops the process.
func waitForSpace(filesystem storage.Filesystem, folder string, logger *log.Logger, signals <-chan os.Signal) bool {
	logged := false
	for {
		err := storage.CheckFreeSpace(filesystem, folder, minStartSpaceBytes)
		if !storage.IsDiskFull(err) {
			return true
		}
		if !logged {
			logger.Warn("start delayed by a full disk", "folder", folder, "error", err)
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

package daemon

import (
	"os"
	"time"

	"github.com/charmbracelet/log"

	"github.com/rosestand/rosestand/internal/storage"
)

const (
	// startSpaceBytes is the room that a data folder must have before a process starts on it.
	startSpaceBytes = 1 << 20
	// spaceProbeInterval is the pause between two looks at a full disk.
	spaceProbeInterval = time.Second
)

// waitForSpace returns true once the folder has room, or when something else than room is missing, which opening the folder
// tells better. It returns false when a signal asks the process to stop.
func waitForSpace(filesystem storage.Filesystem, folder string, logger *log.Logger, signals <-chan os.Signal) bool {
	told := false
	for {
		err := storage.CheckFreeSpace(filesystem, folder, startSpaceBytes)
		if !storage.IsDiskFull(err) {
			return true
		}
		if !told {
			logger.Warn("the start waits for room on the disk", "folder", folder, "error", err)
			told = true
		}
		pause := time.NewTimer(spaceProbeInterval)
		select {
		case <-pause.C:
		case <-signals:
			pause.Stop()
			return false
		}
	}
}

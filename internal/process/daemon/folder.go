package daemon

import (
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/storage"
)

const (
	incarnationFile = "incarnation"
	// maxIncarnationBytes is longer than any decimal number of 64 bits with white space round it.
	maxIncarnationBytes = 64
)

// dataFolder is the locked data folder of a process, or the zero value if the process has none.
type dataFolder struct {
	lock     io.Closer
	identity storage.Identity
}

// openDataFolder locks the folder, waits for free space and reads its identity. An
// empty path means that the process stores nothing. waitForSpace returns false if
// the process receives a stop signal; the error is then a *stoppedBeforeStartError.
func openDataFolder(path string, waitForSpace func(path string) bool) (*dataFolder, error) {
	if path == "" {
		return &dataFolder{}, nil
	}
	lock, err := storage.LockDir(path)
	if err != nil {
		return nil, &DataFolderError{Path: path, Cause: err}
	}
	if !waitForSpace(path) {
		return nil, errors.CombineErrors(&stoppedBeforeStartError{}, lock.Close())
	}
	identity, err := storage.OpenIdentity(storage.OSFilesystem{}, path, storage.IdentityOptions{})
	if err != nil {
		return nil, &DataFolderError{Path: path, Cause: errors.CombineErrors(err, lock.Close())}
	}
	return &dataFolder{lock: lock, identity: identity}, nil
}

func (f *dataFolder) close() error {
	if f.lock == nil {
		return nil
	}
	return f.lock.Close()
}

// nextIncarnation returns the wall clock in Unix milliseconds, or one more than the
// last incarnation that the folder records if the clock is not past it, and records
// the result in the folder.
func nextIncarnation(filesystem storage.Filesystem, folder string, now time.Time) (uint64, error) {
	incarnation := uint64(now.UnixMilli())
	if folder == "" {
		return incarnation, nil
	}
	path := filepath.Join(folder, incarnationFile)
	last, err := readIncarnation(filesystem, path)
	if err != nil {
		return 0, &DataFolderError{Path: path, Cause: err}
	}
	incarnation = max(incarnation, last+1)
	if err := storage.ReplaceFile(filesystem, path, fmt.Appendf(nil, "%d\n", incarnation)); err != nil {
		return 0, &DataFolderError{Path: path, Cause: err}
	}
	return incarnation, nil
}

func readIncarnation(filesystem storage.Filesystem, path string) (uint64, error) {
	content, err := storage.ReadFile(filesystem, path, maxIncarnationBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "read incarnation")
	}
	last, err := strconv.ParseUint(strings.TrimSpace(string(content)), 10, 64)
	return last, errors.Wrap(err, "read incarnation")
}

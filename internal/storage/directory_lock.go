package storage

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// LockFileName is the name of the lock file in a data directory.
const LockFileName = "lock"

// LockDir locks the data directory at path, which it creates if absent, for this process. Close releases the lock, and
// so does the end of the process. It returns *DirLockedError when another process has the lock.
func LockDir(path string) (io.Closer, error) {
	if err := (OSFilesystem{}).MkdirAll(path); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(filepath.Join(path, LockFileName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return file, nil
	}
	closeErr := file.Close()
	if errors.Is(err, unix.EWOULDBLOCK) {
		return nil, &DirLockedError{Path: path}
	}
	return nil, errors.WithStack(errors.CombineErrors(err, closeErr))
}

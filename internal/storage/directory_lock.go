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

// LockDir creates the data directory at path if it does not exist and takes an exclusive advisory lock on it. The lock
// is released by Close and when the process exits. LockDir returns *DirLockedError when another process holds the lock.
func LockDir(path string) (io.Closer, error) {
	if err := MkdirAll(OSFilesystem{}, path); err != nil {
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

package storage_test

import (
	"io/fs"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/storage"
)

// unsyncedRoot fails each sync of the root directory.
type unsyncedRoot struct {
	storage.Filesystem
	cause error
}

func (f unsyncedRoot) SyncDir(path string) error {
	if path == "/" {
		return &fs.PathError{Op: "sync", Path: path, Err: f.cause}
	}
	return f.Filesystem.SyncDir(path)
}

func TestMkdirAllSyncsTheParentOfADirectoryThatExistsUnlessItBelongsToOthers(t *testing.T) {
	for cause, isForeign := range map[syscall.Errno]bool{
		syscall.EACCES: true, syscall.EPERM: true, syscall.EINVAL: true, syscall.EROFS: true, syscall.ENOTSUP: true,
		syscall.EIO: false, syscall.ENOSPC: false,
	} {
		disk := newDisk(1)
		if err := storage.MkdirAll(unsyncedRoot{Filesystem: disk, cause: cause}, "/data"); !errors.Is(err, cause) {
			t.Errorf("%v: a directory whose entry could not be synced was created with the error %v", cause, err)
		}
		err := storage.MkdirAll(unsyncedRoot{Filesystem: disk, cause: cause}, "/data")
		if isForeign != (err == nil) || err != nil && !errors.Is(err, cause) {
			t.Errorf("%v: MkdirAll of the directory that exists returned %v", cause, err)
		}
	}
}

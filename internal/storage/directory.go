package storage

import (
	"io/fs"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// MkdirAll durably creates a directory and its missing parents. It succeeds if the directory exists; it then syncs the
// parent all the same, since the process that created the directory may have been killed before it did. A directory is
// created only once the entry of its parent is durable.
func MkdirAll(filesystem Filesystem, path string) error {
	parent := filepath.Dir(path)
	_, err := filesystem.List(path)
	if err == nil {
		return syncParentOfExisting(filesystem, path)
	}
	if !isNotExist(err) {
		return err
	}
	if parent != path {
		if err := MkdirAll(filesystem, parent); err != nil {
			return err
		}
	}
	if err := filesystem.Mkdir(path); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	if err := filesystem.SyncDir(parent); err != nil {
		return &FailedError{Operation: "sync directory of", Path: path, Cause: err}
	}
	return nil
}

// syncParentOfExisting syncs the parent of a directory that exists. A parent that this process may not read, or whose
// file system has no sync, is not one in which it created the directory.
func syncParentOfExisting(filesystem Filesystem, path string) error {
	err := filesystem.SyncDir(filepath.Dir(path))
	if err == nil {
		return nil
	}
	for _, foreign := range []error{fs.ErrPermission, syscall.EINVAL, syscall.EROFS, syscall.ENOTSUP} {
		if errors.Is(err, foreign) {
			return nil
		}
	}
	return &FailedError{Operation: "sync directory of", Path: path, Cause: err}
}

package storage

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// corruptSuffix is appended to the names of the files that MoveAside renames.
const corruptSuffix = ".corrupt"

// MoveAside renames the files of a data directory and of its direct subdirectories, so that none is read again but all
// remain for inspection by an operator. The next OpenIdentity creates a new identity.
//
// The identity is moved first, and durably. So an interrupted MoveAside never leaves a directory that has its identity
// and lacks votes or promises given under it: it leaves one without an identity, which OpenIdentity rejects as corrupt
// while it has records, and MoveAside can be repeated.
func MoveAside(filesystem Filesystem, dir string) error {
	if err := moveFileAside(filesystem, filepath.Join(dir, identityName)); err != nil && !isNotExist(err) {
		return err
	}
	if err := filesystem.SyncDir(dir); err != nil {
		return errors.Wrapf(err, "sync %s", dir)
	}
	entries, err := filesystem.List(dir)
	if err != nil {
		return errors.Wrapf(err, "list %s", dir)
	}
	for _, entry := range entries {
		if !entry.IsDir {
			continue
		}
		if err := moveFilesAside(filesystem, filepath.Join(dir, entry.Name)); err != nil {
			return err
		}
	}
	return moveFilesAside(filesystem, dir)
}

// moveFilesAside durably moves all files of a directory aside.
func moveFilesAside(filesystem Filesystem, dir string) error {
	entries, err := filesystem.List(dir)
	if err != nil {
		return errors.Wrapf(err, "list %s", dir)
	}
	for _, entry := range entries {
		if entry.IsDir || filepath.Ext(entry.Name) == corruptSuffix {
			continue
		}
		if err := moveFileAside(filesystem, filepath.Join(dir, entry.Name)); err != nil {
			return err
		}
	}
	return errors.Wrapf(filesystem.SyncDir(dir), "sync %s", dir)
}

func moveFileAside(filesystem Filesystem, path string) error {
	return errors.Wrapf(filesystem.Rename(path, path+corruptSuffix), "move %s aside", path)
}

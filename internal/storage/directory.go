package storage

import (
	"io/fs"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// MkdirAll durably creates a directory and its missing parents. It succeeds if the directory exists.
func MkdirAll(filesystem Filesystem, path string) error {
	err := filesystem.Mkdir(path)
	parent := filepath.Dir(path)
	switch {
	case errors.Is(err, fs.ErrExist):
		return nil
	case isNotExist(err) && parent != path:
		if err := MkdirAll(filesystem, parent); err != nil {
			return err
		}
		return MkdirAll(filesystem, path)
	case err != nil:
		return err
	}
	return filesystem.SyncDir(parent)
}

package storage

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// ReadFile returns the content of a file, at most the first maxBytes.
func ReadFile(filesystem Filesystem, path string, maxBytes int64) ([]byte, error) {
	file, err := filesystem.Open(path)
	if err != nil {
		return nil, err
	}
	content, err := readUpTo(file, maxBytes)
	return content, errors.CombineErrors(err, file.Close())
}

func readUpTo(file File, maxBytes int64) ([]byte, error) {
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	content := make([]byte, min(size, maxBytes))
	if len(content) == 0 {
		return content, nil
	}
	_, err = file.ReadAt(content, 0)
	return content, errors.WithStack(err)
}

// ReplaceFile durably replaces a file by a rename, so that a crash leaves either the old or the new content. The error
// is a *FailedError.
func ReplaceFile(filesystem Filesystem, path string, content []byte) error {
	temporary := path + temporarySuffix
	file, err := filesystem.Create(temporary)
	if err != nil {
		return &FailedError{Operation: "create", Path: temporary, Cause: err}
	}
	_, err = file.WriteAt(content, 0)
	if err == nil {
		err = file.Sync()
	}
	err = errors.CombineErrors(err, file.Close())
	if err == nil {
		err = filesystem.Rename(temporary, path)
	}
	if err == nil {
		err = filesystem.SyncDir(filepath.Dir(path))
	}
	if err != nil {
		return &FailedError{Operation: "write", Path: path, Cause: err}
	}
	return nil
}

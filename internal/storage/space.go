package storage

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const (
	// spaceCheckName is the file that CheckFreeSpace writes; no other file of a data directory has its name.
	spaceCheckName = "space" + temporarySuffix
	// spaceCheckChunkBytes is how much CheckFreeSpace writes at once.
	spaceCheckChunkBytes = 64 << 10
)

// CheckFreeSpace checks that the disk accepts and syncs so many bytes more: it writes a file in the directory and
// removes it again. IsDiskFull recognizes the error when it does not.
func CheckFreeSpace(filesystem Filesystem, dir string, bytes int64) error {
	path := filepath.Join(dir, spaceCheckName)
	file, err := filesystem.Create(path)
	if err != nil {
		return &FailedError{Operation: "create", Path: path, Cause: err}
	}
	err = fillFile(file, bytes)
	if err == nil {
		err = file.Sync()
	}
	err = errors.CombineErrors(err, file.Close())
	err = errors.CombineErrors(err, removeIfPresent(filesystem, path))
	if err != nil {
		return &FailedError{Operation: "check free space at", Path: path, Cause: err}
	}
	return nil
}

// fillFile writes bytes other than zero, which no file system stores as a hole.
func fillFile(file File, bytes int64) error {
	chunk := make([]byte, spaceCheckChunkBytes)
	for index := range chunk {
		chunk[index] = byte(index) | 1
	}
	for offset := int64(0); offset < bytes; offset += int64(len(chunk)) {
		if _, err := file.WriteAt(chunk[:min(int64(len(chunk)), bytes-offset)], offset); err != nil {
			return err
		}
	}
	return nil
}

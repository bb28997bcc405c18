package storage

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const (
	// spaceCheckName is the name of the file that CheckFreeSpace writes. No other file in a data directory uses it.
	spaceCheckName = "space" + temporarySuffix
	// spaceCheckChunkBytes is the size of one write of CheckFreeSpace.
	spaceCheckChunkBytes = 64 << 10
)

// CheckFreeSpace checks that the given number of bytes can be written and synced to the disk. It writes a file of that
// size in the directory and removes it again. If the space does not suffice, IsDiskFull is true for the error.
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

// fillFile writes nonzero bytes, because a file system may store zeros as a hole that uses no space.
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

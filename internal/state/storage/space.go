package storage

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const (
	// probeName is the file that ProbeSpace writes; no other file of a data folder has its name.
	probeName = "space" + temporarySuffix
	// probeChunkBytes is what ProbeSpace writes at once.
	probeChunkBytes = 64 << 10
)

// ProbeSpace checks that the disk takes so many bytes more and syncs them: it writes a file in the folder and removes it
// again. The error tells a lack of room by IsDiskFull.
func CheckFreeSpace(filesystem Filesystem, folder string, bytes int64) error {
	path := filepath.Join(folder, probeName)
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
		return &FailedError{Operation: "probe the room at", Path: path, Cause: err}
	}
	return nil
}

// fillFile writes bytes that no file system stores as a hole.
func fillFile(file File, bytes int64) error {
	chunk := make([]byte, probeChunkBytes)
	for place := range chunk {
		chunk[place] = byte(place) | 1
	}
	for offset := int64(0); offset < bytes; offset += int64(len(chunk)) {
		if _, err := file.WriteAt(chunk[:min(int64(len(chunk)), bytes-offset)], offset); err != nil {
			return err
		}
	}
	return nil
}

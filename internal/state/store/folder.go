package store

import (
	"io"
	"math"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/storage"
)

// corruptSuffix marks files of a folder that was found damaged and given up.
const corruptSuffix = ".corrupt"

// firstSegment is the number of the first segment of a new log.
const firstSegment = 1

// Folder is the opened data folder of a store.
type Folder struct {
	filesystem storage.Filesystem
	path       string
	registers  *storage.Log
	turns      *storage.Log
	// StorageID names this life of the folder, and Starts counts the starts in it.
	StorageID string
	Starts    uint64
	// Lost says that the folder was damaged: its files were put aside and it begins empty under a new StorageID.
	Lost error
}

// OpenFolder opens the logs of a store. A folder whose votes may be gone, be it
// by a damaged file or by logs that are absent, is put aside and begun anew under a new
// storage id, so that the store votes for nothing until it was copied from its peers.
func OpenFolder(filesystem storage.Filesystem, path string, segmentBytes int64) (*Folder, error) {
	opened, err := openFolder(filesystem, path, segmentBytes)
	var corrupt *storage.CorruptError
	if !errors.As(err, &corrupt) {
		return opened, err
	}
	if err := putAside(filesystem, path); err != nil {
		return nil, err
	}
	opened, err = openFolder(filesystem, path, segmentBytes)
	if err != nil {
		return nil, err
	}
	opened.Lost = corrupt
	return opened, nil
}

func openFolder(filesystem storage.Filesystem, path string, segmentBytes int64) (*Folder, error) {
	identity, err := storage.OpenIdentity(filesystem, path)
	if err != nil {
		return nil, err
	}
	folder := &Folder{filesystem: filesystem, path: path, StorageID: identity.StorageID, Starts: identity.Starts}
	for _, name := range []string{registerFolder, turnFolder} {
		if err := requireFiles(filesystem, filepath.Join(path, name), identity.Fresh); err != nil {
			return nil, err
		}
		if err := storage.RemoveUnfinishedSnapshots(filesystem, filepath.Join(path, name)); err != nil {
			return nil, err
		}
	}
	registerOptions := storage.LogOptions{SegmentBytes: registerSegmentBytes(segmentBytes)}
	folder.registers, err = storage.OpenLog(filesystem, filepath.Join(path, registerFolder), registerOptions)
	if err != nil {
		return nil, err
	}
	if err := folder.requireSnapshot(); err != nil {
		return nil, errors.CombineErrors(err, folder.registers.Close())
	}
	turnOptions := storage.LogOptions{SegmentBytes: segmentBytes, VerifiedBefore: folder.indexedBefore()}
	folder.turns, err = storage.OpenLog(filesystem, folder.turnPath(), turnOptions)
	if err != nil {
		return nil, errors.CombineErrors(err, folder.registers.Close())
	}
	return folder, nil
}

// requireFiles returns *storage.CorruptError when a folder that was in use has no files any more.
func requireFiles(filesystem storage.Filesystem, path string, fresh bool) error {
	if err := filesystem.MkdirAll(path); err != nil {
		return err
	}
	entries, err := filesystem.List(path)
	if err != nil {
		return err
	}
	if len(entries) == 0 && !fresh {
		return &storage.CorruptError{Path: path, Reason: "the log is absent"}
	}
	return nil
}

// requireSnapshot returns *storage.CorruptError when the newest snapshot of the
// registers is damaged, or when the log does not reach back to it.
func (f *Folder) requireSnapshot() error {
	number, _, err := storage.LoadNewestSnapshot(f.filesystem, f.registerPath(), func(_ uint64, content io.Reader) error {
		_, err := io.Copy(io.Discard, content)
		return err
	})
	if err != nil {
		return err
	}
	if first := f.registers.FirstSegment(); first > firstSegment && number < first {
		return &storage.CorruptError{Path: f.registerPath(), Reason: "the snapshot that the log follows is absent"}
	}
	return nil
}

// indexedBefore gives the segment from which the log of turns must be read, since the index does not
// cover it; zero without a whole index. What the index covers was whole when it was
// written; damage done to it since is found when a turn is read.
func (f *Folder) indexedBefore() uint64 {
	number, found, err := storage.LoadNewestSnapshot(f.filesystem, f.turnPath(), func(_ uint64, content io.Reader) error {
		_, err := io.Copy(io.Discard, content)
		return err
	})
	if err != nil || !found {
		return 0
	}
	return number
}

// removeTurnIndex makes the next start read the log of turns in full.
func (f *Folder) removeTurnIndex() error {
	return storage.RemoveSnapshotsBefore(f.filesystem, f.turnPath(), math.MaxUint64)
}

// putAside renames every file, so that nothing of the lost life is read again
// and an operator may still look at it.
func putAside(filesystem storage.Filesystem, path string) error {
	for _, folder := range []string{filepath.Join(path, registerFolder), filepath.Join(path, turnFolder), path} {
		entries, err := filesystem.List(folder)
		if err != nil {
			return errors.Wrapf(err, "list %s", folder)
		}
		for _, entry := range entries {
			if entry.IsDir || filepath.Ext(entry.Name) == corruptSuffix {
				continue
			}
			file := filepath.Join(folder, entry.Name)
			if err := filesystem.Rename(file, file+corruptSuffix); err != nil {
				return errors.Wrapf(err, "put aside %s", file)
			}
		}
		if err := filesystem.SyncDir(folder); err != nil {
			return errors.Wrapf(err, "sync %s", folder)
		}
	}
	return nil
}

func (f *Folder) registerPath() string { return filepath.Join(f.path, registerFolder) }

func (f *Folder) turnPath() string { return filepath.Join(f.path, turnFolder) }

// Close closes the logs.
func (f *Folder) Close() error {
	return errors.CombineErrors(f.registers.Close(), f.turns.Close())
}

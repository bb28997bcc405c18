package datafolder

import (
	"io"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/storage"
)

// The names of a store's logs and of their folders.
const (
	RegisterLog = "registers"
	TurnLog     = "turns"
)

// maxRegisterSegmentBytes bounds the size of a segment of the log of registers, which is replaced
// by a snapshot after it has grown by two segments.
const maxRegisterSegmentBytes = 4 << 20

// RegisterSegmentBytes returns the size of a segment of registers for a given size of a segment of turns.
func RegisterSegmentBytes(turnSegmentBytes int64) int64 {
	return min(turnSegmentBytes, maxRegisterSegmentBytes)
}

// firstSegment is the number of the first segment of a new log.
const firstSegment = 1

// Location is the filesystem and the path of a data folder.
type Location struct {
	filesystem storage.Filesystem
	path       string
}

// CheckFreeSpace returns an error when the disk of the folder has less than bytes of free space.
func (l Location) CheckFreeSpace(bytes int64) error {
	return storage.CheckFreeSpace(l.filesystem, l.path, bytes)
}

// Folder is the opened data folder of a store.
type Folder struct {
	Location
	Registers *storage.Log
	Turns     *storage.Log
	// StorageID identifies this incarnation of the folder, and Starts counts its starts.
	StorageID string
	Starts    uint64
	// Lost is the damage that Open detected, nil if there was none. In case of damage the files were renamed
	// and the folder starts empty under a new StorageID.
	Lost error
}

// Open opens the logs of a store; segmentBytes is the size of a segment of turns. If the folder
// may have lost votes, because a file is damaged or a log is missing, Open renames its files and
// starts an empty folder under a new storage id, so that the store does not vote until it has
// caught up with its peers.
func Open(filesystem storage.Filesystem, path string, segmentBytes int64) (*Folder, error) {
	opened, err := openIntact(filesystem, path, segmentBytes)
	var corrupt *storage.CorruptError
	if !errors.As(err, &corrupt) {
		return opened, err
	}
	if err := storage.MoveAside(filesystem, path); err != nil {
		return nil, err
	}
	opened, err = openIntact(filesystem, path, segmentBytes)
	if err != nil {
		return nil, err
	}
	opened.Lost = corrupt
	return opened, nil
}

func logNames() []string { return []string{RegisterLog, TurnLog} }

// IdentityOptions returns the options with which the identity of a store's folder is opened.
func IdentityOptions() storage.IdentityOptions { return storage.IdentityOptions{Logs: logNames()} }

// openIntact returns a *storage.CorruptError when the folder is damaged.
func openIntact(filesystem storage.Filesystem, path string, segmentBytes int64) (*Folder, error) {
	identity, err := storage.OpenIdentity(filesystem, path, IdentityOptions())
	if err != nil {
		return nil, err
	}
	folder := &Folder{
		Location:  Location{filesystem: filesystem, path: path},
		StorageID: identity.StorageID,
		Starts:    identity.Starts,
	}
	for _, log := range logNames() {
		if err := storage.RemoveUnfinishedSnapshots(filesystem, filepath.Join(path, log)); err != nil {
			return nil, err
		}
	}
	if err := folder.openRegisters(segmentBytes); err != nil {
		return nil, err
	}
	if err := folder.openTurns(segmentBytes); err != nil {
		return nil, errors.CombineErrors(err, folder.Registers.Close())
	}
	return folder, nil
}

func (f *Folder) openRegisters(turnSegmentBytes int64) error {
	options := storage.LogOptions{SegmentBytes: RegisterSegmentBytes(turnSegmentBytes)}
	opened, err := storage.OpenLog(f.filesystem, f.registerPath(), options)
	if err != nil {
		return err
	}
	f.Registers = opened
	if err := f.requireSnapshot(); err != nil {
		return errors.CombineErrors(err, opened.Close())
	}
	return nil
}

func (f *Folder) openTurns(segmentBytes int64) error {
	options := storage.LogOptions{SegmentBytes: segmentBytes, VerifiedBefore: f.indexedBefore()}
	opened, err := storage.OpenLog(f.filesystem, f.turnPath(), options)
	f.Turns = opened
	return err
}

// requireSnapshot returns a *storage.CorruptError when the newest snapshot of the registers is
// damaged, or when the log does not start at or before it.
func (f *Folder) requireSnapshot() error {
	number, _, err := storage.LoadNewestSnapshot(f.filesystem, f.registerPath(), func(_ uint64, content io.Reader) error {
		_, err := io.Copy(io.Discard, content)
		return err
	})
	if err != nil {
		return err
	}
	if first := f.Registers.FirstSegment(); first > firstSegment && number < first {
		return &storage.CorruptError{Path: f.registerPath(), Reason: "the snapshot that the log follows is absent"}
	}
	return nil
}

// HasFailedLog reports whether one of the logs has failed and accepts no further records.
func (f *Folder) HasFailedLog() bool { return f.Registers.Err() != nil || f.Turns.Err() != nil }

func (f *Folder) registerPath() string { return filepath.Join(f.path, RegisterLog) }

func (f *Folder) turnPath() string { return filepath.Join(f.path, TurnLog) }

// Close closes the logs.
func (f *Folder) Close() error {
	return errors.CombineErrors(f.Registers.Close(), f.Turns.Close())
}

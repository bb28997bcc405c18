package storage

import (
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
)

// Rotate makes all records durable, begins a new segment and returns its number.
func (l *Log) Rotate() (segment uint64, err error) {
	l.syncing.Lock()
	defer l.syncing.Unlock()
	return l.rotate()
}

// rotateFrom begins a new segment unless the newest one is no longer the given one, since another writer rotated first.
func (l *Log) rotateFrom(number uint64) error {
	l.syncing.Lock()
	defer l.syncing.Unlock()
	l.mutex.Lock()
	done := l.newest().number != number
	l.mutex.Unlock()
	if done {
		return nil
	}
	_, err := l.rotate()
	return err
}

// rotate implements Rotate. The caller holds syncing.
func (l *Log) rotate() (uint64, error) {
	if err := l.syncNewest(); err != nil {
		return 0, err
	}
	newest, err := l.seal()
	if err != nil {
		return 0, err
	}
	created, err := l.finishAndCreate(newest)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sealing = false
	l.sealed.Broadcast()
	if err != nil {
		return 0, err
	}
	l.segments = append(l.segments, created)
	return created.number, nil
}

// seal blocks writes until rotate has finished the newest segment, which it returns.
func (l *Log) seal() (*segmentFile, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	// Records may have been written between the sync and locking the mutex.
	if err := l.flushUsable(); err != nil {
		return nil, err
	}
	l.sealing = true
	return l.newest(), nil
}

// finishAndCreate syncs the sealed segment and creates the next one. It does not hold the mutex during a sync, so that
// a stalled disk does not block readers.
func (l *Log) finishAndCreate(newest *segmentFile) (*segmentFile, error) {
	if newest.written != newest.durable {
		if err := newest.file.Sync(); err != nil {
			return nil, l.lockAndRecordFailure("sync", newest.path, err)
		}
		l.mutex.Lock()
		newest.durable = newest.written
		l.mutex.Unlock()
	}
	return l.createSegment(newest.number+1, newest.size)
}

// createSegment creates a segment and makes its header and directory entry durable.
func (l *Log) createSegment(number uint64, previousLength int64) (*segmentFile, error) {
	path := filepath.Join(l.dir, segmentName(number))
	file, err := l.filesystem.Create(path)
	if err != nil {
		return nil, l.lockAndRecordFailure("create", path, err)
	}
	if operation, err := l.initSegment(file, number, previousLength); err != nil {
		return nil, errors.CombineErrors(l.lockAndRecordFailure(operation, path, err), file.Close())
	}
	return &segmentFile{
		number: number, path: path, file: file,
		written: segmentHeaderBytes, size: segmentHeaderBytes, durable: segmentHeaderBytes,
	}, nil
}

// initSegment writes the header of a new segment and makes the header and the directory entry durable. With an error it
// returns the name of the operation that failed.
func (l *Log) initSegment(file File, number uint64, previousLength int64) (operation string, err error) {
	if _, err := file.WriteAt(segmentHeader(number, previousLength), 0); err != nil {
		return "write", err
	}
	if err := file.Sync(); err != nil {
		return "sync", err
	}
	return "sync directory of", l.filesystem.SyncDir(l.dir)
}

// RemoveBefore deletes the segments with numbers below segment, oldest first; it never deletes the newest one. The
// caller must have a durable snapshot that covers them.
func (l *Log) RemoveBefore(segment uint64) error {
	l.syncing.Lock()
	defer l.syncing.Unlock()
	for {
		oldest, err := l.detachBefore(segment)
		if oldest == nil || err != nil {
			return err
		}
		if err := l.removeFile(oldest); err != nil {
			return l.lockAndRecordFailure("remove", oldest.path, err)
		}
	}
}

// detachBefore removes the oldest segment from the list and returns it, or returns nil when its number is not below
// segment or it is the only one.
func (l *Log) detachBefore(segment uint64) (*segmentFile, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err := l.checkUsable(); err != nil {
		return nil, err
	}
	oldest := l.segments[0]
	if len(l.segments) == 1 || oldest.number >= segment {
		return nil, nil
	}
	l.segments = slices.Clone(l.segments[1:])
	return oldest, nil
}

// removeFile deletes the file of a segment. It syncs the directory after each file, so that a loss of power cannot
// leave a gap in the segment numbers.
func (l *Log) removeFile(oldest *segmentFile) error {
	if err := oldest.file.Close(); err != nil {
		return err
	}
	if err := l.filesystem.Remove(oldest.path); err != nil {
		return err
	}
	return l.filesystem.SyncDir(l.dir)
}

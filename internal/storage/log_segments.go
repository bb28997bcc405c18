package storage

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Rotate makes all records durable, begins a new segment and returns its number.
func (l *Log) Rotate() (segment uint64, err error) {
	l.syncing.Lock()
	defer l.syncing.Unlock()
	return l.rotate()
}

// rotateFrom begins a new segment unless another writer already did.
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

// rotate needs the syncing lock.
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

// seal keeps writers from the newest segment until it is finished.
func (l *Log) seal() (*segmentFile, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err := l.checkUsable(); err != nil {
		return nil, err
	}
	// Writers may have come between the sync and the lock.
	if err := l.flush(); err != nil {
		return nil, err
	}
	l.sealing = true
	return l.newest(), nil
}

// finishAndCreate syncs the sealed segment and creates the one after it. The mutex is not held, so that a disk that stalls
// holds up no reader.
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

// createSegment creates a segment with a durable header and name.
func (l *Log) createSegment(number uint64, previousLength int64) (*segmentFile, error) {
	path := filepath.Join(l.dir, segmentName(number))
	file, err := l.filesystem.Create(path)
	if err != nil {
		return nil, l.lockAndRecordFailure("create", path, err)
	}
	if operation, err := l.beginSegment(file, number, previousLength); err != nil {
		return nil, errors.CombineErrors(l.lockAndRecordFailure(operation, path, err), file.Close())
	}
	return &segmentFile{
		number: number, path: path, file: file,
		written: segmentHeaderBytes, size: segmentHeaderBytes, durable: segmentHeaderBytes,
	}, nil
}

// beginSegment makes the header and the name of a new segment durable; it names the operation that failed.
func (l *Log) beginSegment(file File, number uint64, previousLength int64) (operation string, err error) {
	if _, err := file.WriteAt(segmentHeader(number, previousLength), 0); err != nil {
		return "write", err
	}
	if err := file.Sync(); err != nil {
		return "sync", err
	}
	return "sync folder of", l.filesystem.SyncDir(l.dir)
}

// RemoveBefore deletes the segments with numbers below segment; the newest one stays in any case. The
// caller makes sure that a durable snapshot covers them.
func (l *Log) RemoveBefore(segment uint64) error {
	l.syncing.Lock()
	defer l.syncing.Unlock()
	for {
		l.mutex.Lock()
		if err := l.checkUsable(); err != nil {
			l.mutex.Unlock()
			return err
		}
		if len(l.segments) == 1 || l.segments[0].number >= segment {
			l.mutex.Unlock()
			return nil
		}
		oldest := l.segments[0]
		l.segments = append([]*segmentFile(nil), l.segments[1:]...)
		l.mutex.Unlock()
		if err := l.removeFile(oldest); err != nil {
			return err
		}
	}
}

// removeFile syncs the folder after each file, so that no loss of power leaves a hole between segments.
func (l *Log) removeFile(oldest *segmentFile) error {
	err := oldest.file.Close()
	if err == nil {
		err = l.filesystem.Remove(oldest.path)
	}
	if err == nil {
		err = l.filesystem.SyncDir(l.dir)
	}
	if err == nil {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.recordFailure("remove", oldest.path, err)
}

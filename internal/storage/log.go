package storage

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// Defaults of LogOptions.
const (
	DefaultSegmentBytes   = 64 << 20
	DefaultMaxRecordBytes = 64 << 20
	maxBufferBytes        = 1 << 20
)

// Position names a record: the segment and the byte offset of the record in it.
// The zero Position stands for the beginning of the log.
type Position struct {
	Segment uint64
	Offset  int64
}

// Before orders positions by their place in the log.
func (p Position) Before(other Position) bool {
	if p.Segment != other.Segment {
		return p.Segment < other.Segment
	}
	return p.Offset < other.Offset
}

// LogOptions are the settings of a log; zero values stand for the defaults.
type LogOptions struct {
	// SegmentBytes is the size from which Write begins a new segment by itself.
	SegmentBytes int64
	// MaxRecordBytes bounds one record.
	MaxRecordBytes int
	// VerifiedBefore names a segment; finished ones before it were read in full once and have been synced. OpenLog
	// looks only at their headers and lengths, so that it need not read the whole log. Read still checks each record.
	VerifiedBefore uint64
}

func (o LogOptions) withDefaults() LogOptions {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if o.MaxRecordBytes <= 0 {
		o.MaxRecordBytes = DefaultMaxRecordBytes
	}
	return o
}

// Log is an append-only log in segment files. It is safe for concurrent use;
// reads go on while a Sync runs.
type Log struct {
	filesystem Filesystem
	dir        string
	options    LogOptions

	// syncing is held by whoever syncs or changes the set of segments, and taken before mutex.
	syncing sync.Mutex
	mutex   sync.Mutex

	segments []*segmentFile
	// buffer holds the end of the newest segment that is not yet given to the file.
	buffer []byte
	// cut is the number of bytes that OpenLog dropped as a torn tail.
	truncated int64
	err       error
	closed    bool
	// sealing is true while the newest segment is finished and the next one created, which may wait for the disk. Writers
	// wait for sealed meanwhile; readers need not.
	sealing bool
	sealed  *sync.Cond
}

type segmentFile struct {
	number uint64
	path   string
	file   File
	// written counts bytes given to the file, size those and the buffer, durable those synced.
	written int64
	size    int64
	durable int64
}

// Write adds a record and returns its position. The record is durable only after Sync.
// It may begin a new segment, which syncs all before. A failure other than
// *RecordSizeError is fatal for the log.
func (l *Log) Write(record []byte) (Position, error) {
	if len(record) == 0 || len(record) > l.options.MaxRecordBytes {
		return Position{}, &RecordSizeError{Size: len(record), Max: l.options.MaxRecordBytes}
	}
	for {
		position, full, err := l.writeToNewest(record)
		if err != nil || !full {
			return position, err
		}
		if err := l.rotateFrom(position.Segment); err != nil {
			return Position{}, err
		}
	}
}

func (l *Log) writeToNewest(record []byte) (position Position, full bool, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for l.sealing {
		l.sealed.Wait()
	}
	if err := l.checkUsable(); err != nil {
		return Position{}, false, err
	}
	newest := l.newest()
	position = Position{Segment: newest.number, Offset: newest.size}
	if newest.size > segmentHeaderBytes && newest.size+int64(len(record)) > l.options.SegmentBytes {
		return position, true, nil
	}
	l.buffer = appendRecord(l.buffer, position, newest.durable, record)
	newest.size += recordHeaderBytes + int64(len(record))
	if len(l.buffer) < maxBufferBytes {
		return position, false, nil
	}
	return position, false, l.flush()
}

// Flush gives what was written to the file system without making it durable, so that it outlives the process.
func (l *Log) Flush() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err := l.checkUsable(); err != nil {
		return err
	}
	return l.flush()
}

// flush gives the buffer to the file. The mutex is held.
func (l *Log) flush() error {
	newest := l.newest()
	if len(l.buffer) == 0 {
		return nil
	}
	if _, err := newest.file.WriteAt(l.buffer, newest.written); err != nil {
		return l.recordFailure("write", newest.path, err)
	}
	newest.written += int64(len(l.buffer))
	l.buffer = l.buffer[:0]
	return nil
}

// Sync makes all records written before it durable. After an error nothing written since
// the last good Sync may be taken as kept, and the log takes no more.
func (l *Log) Sync() error {
	l.syncing.Lock()
	defer l.syncing.Unlock()
	return l.syncNewest()
}

// syncNewest needs the syncing lock.
func (l *Log) syncNewest() error {
	l.mutex.Lock()
	if err := l.checkUsable(); err != nil {
		l.mutex.Unlock()
		return err
	}
	err := l.flush()
	newest := l.newest()
	written, durable := newest.written, newest.durable
	l.mutex.Unlock()
	if err != nil || written == durable {
		return err
	}

	err = newest.file.Sync()

	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		return l.recordFailure("sync", newest.path, err)
	}
	if l.err != nil {
		return l.err
	}
	newest.durable = written
	return nil
}

// FirstSegment returns the number of the oldest segment.
func (l *Log) FirstSegment() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.segments[0].number
}

// End returns the position that the next record will take unless a new segment begins.
func (l *Log) End() Position {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	newest := l.newest()
	return Position{Segment: newest.number, Offset: newest.size}
}

// Size returns the length of all segments in bytes.
func (l *Log) Size() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var total int64
	for _, segment := range l.segments {
		total += segment.size
	}
	return total
}

// TruncatedBytes returns how many bytes of a torn tail OpenLog dropped.
func (l *Log) TruncatedBytes() int64 { return l.truncated }

// Failed returns the error that ended the log, or nil.
func (l *Log) Err() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.err
}

// Close closes the files without a sync.
func (l *Log) Close() error {
	l.syncing.Lock()
	defer l.syncing.Unlock()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	var err error
	for _, segment := range l.segments {
		err = errors.CombineErrors(err, segment.file.Close())
	}
	return err
}

func (l *Log) newest() *segmentFile { return l.segments[len(l.segments)-1] }

func (l *Log) checkUsable() error {
	if l.closed {
		return &ClosedError{}
	}
	return l.err
}

// failUnlocked is fail for callers that do not hold the mutex.
func (l *Log) lockAndRecordFailure(operation, path string, cause error) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.recordFailure(operation, path, cause)
}

// fail keeps the first failure. The mutex is held.
func (l *Log) recordFailure(operation, path string, cause error) error {
	if l.err == nil {
		l.err = &FailedError{Operation: operation, Path: path, Cause: cause}
	}
	return l.err
}

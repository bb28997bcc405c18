package storage

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// Defaults of LogOptions.
const (
	// DefaultSegmentBytes keeps segments few, yet small enough to be removed soon after a snapshot.
	DefaultSegmentBytes = 64 << 20
	// DefaultMaxRecordBytes is one segment: a record is never split.
	DefaultMaxRecordBytes = 64 << 20
)

// maxBufferBytes is how much is buffered before it is given to the file without a Sync; it bounds the memory of a log.
const maxBufferBytes = 1 << 20

// Position identifies a record: its segment and its byte offset in the segment. The zero Position is the beginning of
// the log.
type Position struct {
	Segment uint64
	Offset  int64
}

// Before orders positions as their records are ordered in the log.
func (p Position) Before(other Position) bool {
	if p.Segment != other.Segment {
		return p.Segment < other.Segment
	}
	return p.Offset < other.Offset
}

// LogOptions are the settings of a log; zero values stand for the defaults.
type LogOptions struct {
	// SegmentBytes is the size from which Write begins a new segment.
	SegmentBytes int64
	// MaxRecordBytes bounds one record.
	MaxRecordBytes int
	// VerifiedBefore is the number of a segment; finished ones before it were read completely once and are synced.
	// OpenLog checks only their headers and lengths, so that it need not read the complete log. Read still verifies each
	// record.
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

// Log is an append-only log in segment files. It is safe for concurrent use; reads go on while a Sync runs.
type Log struct {
	filesystem Filesystem
	dir        string
	options    LogOptions

	// syncing serializes syncs and changes of the set of segments. It is locked before mutex, never while mutex is held.
	syncing sync.Mutex
	// mutex guards the fields below; it is not held during a sync.
	mutex sync.Mutex

	segments []*segmentFile
	// buffer is the end of the newest segment that is not yet written to the file.
	buffer []byte
	// truncated is the number of bytes that OpenLog removed as a torn write; it does not change afterwards.
	truncated int64
	err       error
	closed    bool
	// sealing is true while the newest segment is finished and the next one created, which may wait for the disk. Writers
	// wait for sealed meanwhile; readers need not.
	sealing bool
	sealed  *sync.Cond
}

// segmentFile is one open segment. The log's mutex guards its counters, in bytes.
type segmentFile struct {
	number uint64
	path   string
	file   File
	// written is given to the file, size is that and the buffer, durable is synced.
	written int64
	size    int64
	durable int64
}

// Write appends a record and returns its position. The record is durable only after Sync. Write may begin a new
// segment, which syncs everything before. An error other than *RecordSizeError is final for the log.
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

// Flush writes the buffer to the file without making it durable, so that it outlives the process.
func (l *Log) Flush() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.flushUsable()
}

// flushUsable is flush for a log that may have ended. The caller holds the mutex.
func (l *Log) flushUsable() error {
	if err := l.checkUsable(); err != nil {
		return err
	}
	return l.flush()
}

// flush writes the buffer to the file. The caller holds the mutex.
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

// Sync makes all records written before it durable. After an error nothing written since the last successful Sync may
// be considered durable, and the log accepts nothing more.
func (l *Log) Sync() error {
	l.syncing.Lock()
	defer l.syncing.Unlock()
	return l.syncNewest()
}

// syncNewest syncs the newest segment. The caller holds syncing, which keeps the segment the newest one.
func (l *Log) syncNewest() error {
	l.mutex.Lock()
	err := l.flushUsable()
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

// End returns the position of the next record unless a new segment begins.
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

// TruncatedBytes returns how many bytes OpenLog removed as a torn write.
func (l *Log) TruncatedBytes() int64 { return l.truncated }

// Err returns the error that ended the log, or nil.
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

// checkUsable returns the error that ended the log, if any. The caller holds the mutex.
func (l *Log) checkUsable() error {
	if l.closed {
		return &ClosedError{}
	}
	return l.err
}

// lockAndRecordFailure is recordFailure for callers that do not hold the mutex.
func (l *Log) lockAndRecordFailure(operation, path string, cause error) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.recordFailure(operation, path, cause)
}

// recordFailure ends the log with its first failure, and returns that. The caller holds the mutex.
func (l *Log) recordFailure(operation, path string, cause error) error {
	if l.err == nil {
		l.err = &FailedError{Operation: operation, Path: path, Cause: cause}
	}
	return l.err
}

package storage

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// Defaults of LogOptions.
const (
	// DefaultSegmentBytes keeps the number of segments low, yet lets them be removed soon after a snapshot.
	DefaultSegmentBytes = 64 << 20
	// DefaultMaxRecordBytes is the default size of a segment, because a record is never split across segments.
	DefaultMaxRecordBytes = 64 << 20
)

// maxBufferBytes is the amount of buffered data at which Write writes it to the file, without a sync. It bounds the
// memory of a log.
const maxBufferBytes = 1 << 20

// Position identifies a record: its segment and its byte offset in the segment. The zero Position is the beginning of
// the log.
type Position struct {
	Segment uint64
	Offset  int64
}

// Before reports whether p precedes other in the log.
func (p Position) Before(other Position) bool {
	if p.Segment != other.Segment {
		return p.Segment < other.Segment
	}
	return p.Offset < other.Offset
}

// LogOptions configures a log. Zero values select the defaults.
type LogOptions struct {
	// SegmentBytes is the size at which Write begins a new segment.
	SegmentBytes int64
	// MaxRecordBytes is the maximum size of a record.
	MaxRecordBytes int
	// VerifiedBefore is a segment number. Finished segments with lower numbers have been verified completely before and
	// are synced, so OpenLog checks only their headers and lengths and need not read the complete log. Read still
	// verifies each record.
	VerifiedBefore uint64
	// MustExist makes OpenLog return *CorruptError when the log has no segment, in place of creating the first one.
	MustExist bool
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

// Log is an append-only log stored in segment files. It is safe for concurrent use; a Sync does not block readers.
type Log struct {
	filesystem Filesystem
	dir        string
	options    LogOptions

	// syncing serializes syncs and changes to the list of segments. It must be locked before mutex, never after.
	syncing sync.Mutex
	// mutex guards the fields below; it is not held during a sync.
	mutex sync.Mutex

	segments []*segmentFile
	// buffer is the tail of the newest segment that is not yet written to its file.
	buffer []byte
	// truncated is the number of bytes that OpenLog removed as a torn write; it does not change afterwards.
	truncated int64
	// err is the first write or sync failure, which all later writes, syncs and replays return.
	err    error
	closed bool
	// sealing is true while the newest segment is being finished and the next one created, which may block on the disk.
	// Writers wait on sealed until it is false; readers do not.
	sealing bool
	sealed  *sync.Cond
}

// segmentFile is an open segment. The log's mutex guards its counters, which are in bytes.
type segmentFile struct {
	number uint64
	path   string
	file   File
	// written has been written to the file, size also includes the log's buffer, and durable has been synced.
	written int64
	size    int64
	durable int64
}

// Write appends a record and returns its position. The record is durable only after Sync. Write may begin a new
// segment, which first syncs all earlier records. Any error other than *RecordSizeError is permanent for the log.
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

// writeToNewest appends a record to the newest segment, or returns full if the segment has no space for it.
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

// Flush writes the buffer to the file without a sync. The records then survive a crash of the process, but not a loss
// of power.
func (l *Log) Flush() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.flushUsable()
}

// flushUsable calls flush, or returns an error if the log is closed or has failed. The caller holds the mutex.
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

// Sync makes all records written earlier durable. After an error, records written since the last successful Sync must
// not be considered durable, and the log rejects all further writes.
func (l *Log) Sync() error {
	l.syncing.Lock()
	defer l.syncing.Unlock()
	return l.syncNewest()
}

// syncNewest syncs the newest segment. The caller holds syncing, so no newer segment is created meanwhile.
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

// End returns the position of the next record, unless that record begins a new segment.
func (l *Log) End() Position {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	newest := l.newest()
	return Position{Segment: newest.number, Offset: newest.size}
}

// Size returns the total length of all segments in bytes.
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

// Err returns the failure after which the log rejects all writes, or nil.
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

// checkUsable returns an error if the log is closed or has failed. The caller holds the mutex.
func (l *Log) checkUsable() error {
	if l.closed {
		return &ClosedError{}
	}
	return l.err
}

// lockAndRecordFailure calls recordFailure with the mutex held.
func (l *Log) lockAndRecordFailure(operation, path string, cause error) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.recordFailure(operation, path, cause)
}

// recordFailure marks the log as failed, unless it already is, and returns its first failure. The caller holds the
// mutex.
func (l *Log) recordFailure(operation, path string, cause error) error {
	if l.err == nil {
		l.err = &FailedError{Operation: operation, Path: path, Cause: cause}
	}
	return l.err
}

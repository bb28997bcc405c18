package storage

import (
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
)

// Defaults of LogOptions.
const (
	DefaultSegmentBytes       = 64 << 20
	DefaultMaximumRecordBytes = 64 << 20
	flushBytes                = 1 << 20
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
	// MaximumRecordBytes bounds one record.
	MaximumRecordBytes int
	// CheckedBefore names a segment; finished ones before it were read in full once and have been synced. OpenLog
	// looks only at their headers and lengths, so that it need not read the whole log. Read still checks each record.
	CheckedBefore uint64
}

func (o LogOptions) withDefaults() LogOptions {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if o.MaximumRecordBytes <= 0 {
		o.MaximumRecordBytes = DefaultMaximumRecordBytes
	}
	return o
}

// Log is an append-only log in segment files. It is safe for concurrent use;
// reads go on while a Sync runs.
type Log struct {
	filesystem Filesystem
	folder     string
	options    LogOptions

	// syncing is held by whoever syncs or changes the set of segments, and taken before mutex.
	syncing sync.Mutex
	mutex   sync.Mutex

	segments []*segmentFile
	// buffer holds the end of the newest segment that is not yet given to the file.
	buffer []byte
	// cut is the number of bytes that OpenLog dropped as a torn tail.
	cut    int64
	failed error
	closed bool
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
	if len(record) == 0 || len(record) > l.options.MaximumRecordBytes {
		return Position{}, &RecordSizeError{Size: len(record), Maximum: l.options.MaximumRecordBytes}
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
	if err := l.usable(); err != nil {
		return Position{}, false, err
	}
	newest := l.newest()
	position = Position{Segment: newest.number, Offset: newest.size}
	if newest.size > segmentHeaderBytes && newest.size+int64(len(record)) > l.options.SegmentBytes {
		return position, true, nil
	}
	l.buffer = appendRecord(l.buffer, position, newest.durable, record)
	newest.size += recordHeaderBytes + int64(len(record))
	if len(l.buffer) < flushBytes {
		return position, false, nil
	}
	return position, false, l.flush()
}

// Flush gives what was written to the file system without making it durable, so that it outlives the process.
func (l *Log) Flush() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err := l.usable(); err != nil {
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
		return l.fail("write", newest.path, err)
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
	if err := l.usable(); err != nil {
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
		return l.fail("sync", newest.path, err)
	}
	if l.failed != nil {
		return l.failed
	}
	newest.durable = written
	return nil
}

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
	if err := l.usable(); err != nil {
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
			return nil, l.failUnlocked("sync", newest.path, err)
		}
		l.mutex.Lock()
		newest.durable = newest.written
		l.mutex.Unlock()
	}
	return l.createSegment(newest.number+1, newest.size)
}

// createSegment creates a segment with a durable header and name.
func (l *Log) createSegment(number uint64, previousLength int64) (*segmentFile, error) {
	path := filepath.Join(l.folder, segmentName(number))
	file, err := l.filesystem.Create(path)
	if err != nil {
		return nil, l.failUnlocked("create", path, err)
	}
	if operation, err := l.beginSegment(file, number, previousLength); err != nil {
		return nil, errors.CombineErrors(l.failUnlocked(operation, path, err), file.Close())
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
	return "sync folder of", l.filesystem.SyncFolder(l.folder)
}

// RemoveBefore deletes the segments with numbers below segment; the newest one stays in any case. The
// caller makes sure that a durable snapshot covers them.
func (l *Log) RemoveBefore(segment uint64) error {
	l.syncing.Lock()
	defer l.syncing.Unlock()
	for {
		l.mutex.Lock()
		if err := l.usable(); err != nil {
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
		err = l.filesystem.SyncFolder(l.folder)
	}
	if err == nil {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fail("remove", oldest.path, err)
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

// CutBytes returns how many bytes of a torn tail OpenLog dropped.
func (l *Log) CutBytes() int64 { return l.cut }

// Failed returns the error that ended the log, or nil.
func (l *Log) Failed() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.failed
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

func (l *Log) usable() error {
	if l.closed {
		return &ClosedError{}
	}
	return l.failed
}

// failUnlocked is fail for callers that do not hold the mutex.
func (l *Log) failUnlocked(operation, path string, cause error) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fail(operation, path, cause)
}

// fail keeps the first failure. The mutex is held.
func (l *Log) fail(operation, path string, cause error) error {
	if l.failed == nil {
		l.failed = &FailedError{Operation: operation, Path: path, Cause: cause}
	}
	return l.failed
}

package storage

import (
	"encoding/binary"
	"fmt"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	segmentSuffix = ".log"
	// numberDigits is the number of hexadecimal digits in a file name, padded with zeros so that names sort by number.
	numberDigits = 16
	// firstSegment is the number of the first segment of a new log.
	firstSegment = 1
)

// numberedFileName returns the file name of a segment or snapshot. listNumbered is its inverse.
func numberedFileName(number uint64, suffix string) string {
	return fmt.Sprintf("%0*x%s", numberDigits, number, suffix)
}

func segmentName(number uint64) string { return numberedFileName(number, segmentSuffix) }

// OpenLog opens the log in a directory. It creates the log if it does not exist, unless MustExist is set. It truncates
// a torn write at the end of the log, which affects only records that were never synced, and returns *CorruptError when
// a durable record is damaged or a segment is missing. It syncs the remaining records, so every record that can be
// replayed is durable.
func OpenLog(filesystem Filesystem, dir string, options LogOptions) (*Log, error) {
	log := &Log{filesystem: filesystem, dir: dir, options: options.withDefaults()}
	log.sealed = sync.NewCond(&log.mutex)
	if err := MkdirAll(filesystem, dir); err != nil {
		return nil, err
	}
	numbers, err := listNumbered(filesystem, dir, segmentSuffix)
	if err != nil {
		return nil, err
	}
	if err := log.openSegments(numbers); err != nil {
		return nil, errors.CombineErrors(err, log.Close())
	}
	return log, nil
}

// listNumbered returns, in ascending order, the numbers of the files whose names are a number followed by suffix.
func listNumbered(filesystem Filesystem, dir, suffix string) ([]uint64, error) {
	entries, err := filesystem.List(dir)
	if err != nil {
		return nil, err
	}
	var numbers []uint64
	for _, entry := range entries {
		digits, found := strings.CutSuffix(entry.Name, suffix)
		if !found || entry.IsDir || len(digits) != numberDigits {
			continue
		}
		number, err := strconv.ParseUint(digits, 16, 64)
		if err != nil {
			continue
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

// openSegments opens the segments, whose numbers must be consecutive, and syncs the newest one and the directory. It
// creates the first segment of an empty log.
func (l *Log) openSegments(numbers []uint64) error {
	for index, number := range numbers {
		if index > 0 && number != numbers[index-1]+1 {
			missing := filepath.Join(l.dir, segmentName(numbers[index-1]+1))
			return &CorruptError{Path: missing, Reason: "segment is missing, but later segments exist"}
		}
		if err := l.openSegment(number, index == len(numbers)-1); err != nil {
			return err
		}
	}
	if len(l.segments) == 0 && l.options.MustExist {
		return &CorruptError{Path: l.dir, Reason: "log is absent"}
	}
	if len(l.segments) == 0 {
		return l.createFirstSegment()
	}
	newest := l.newest()
	if err := newest.file.Sync(); err != nil {
		return l.recordFailure("sync", newest.path, err)
	}
	if err := l.filesystem.SyncDir(l.dir); err != nil {
		return l.recordFailure("sync directory of", newest.path, err)
	}
	return nil
}

func (l *Log) createFirstSegment() error {
	created, err := l.createSegment(firstSegment, 0)
	if err != nil {
		return err
	}
	l.segments = append(l.segments, created)
	return nil
}

// openSegment opens and verifies a segment, checks the length of the previous one against the segment's header, and
// recovers the segment when it is the last one.
func (l *Log) openSegment(number uint64, last bool) error {
	path := filepath.Join(l.dir, segmentName(number))
	file, err := l.filesystem.Open(path)
	if err != nil {
		return err
	}
	opened := &segmentFile{number: number, path: path, file: file}
	var previous *segmentFile
	if len(l.segments) > 0 {
		previous = l.newest()
	}
	// From here on the file is closed by Log.Close, which OpenLog calls after an error.
	l.segments = append(l.segments, opened)
	size, err := file.Size()
	if err != nil {
		return err
	}
	scan, err := l.scan(file, number, size, last)
	if err != nil {
		return err
	}
	if previous != nil && scan.end > 0 && scan.previousLength != previous.size {
		return &CorruptError{
			Path: previous.path, Offset: previous.size,
			Reason: "length differs from the one in the header of the next segment",
		}
	}
	if last {
		return l.recoverNewest(opened, previous, size, scan)
	}
	if scan.end != size || scan.end < segmentHeaderBytes {
		return &CorruptError{Path: path, Offset: scan.end, Reason: "damaged record in a finished segment"}
	}
	opened.written, opened.size, opened.durable = size, size, size
	return nil
}

// recoverNewest truncates a torn write at the end of the newest segment and rewrites the records that may not have
// reached the disk.
func (l *Log) recoverNewest(opened, previous *segmentFile, size int64, scan segmentScan) error {
	if scan.syncedDataDamaged {
		return &CorruptError{
			Path: opened.path, Offset: scan.end, Reason: "damaged record that was synced before later records",
		}
	}
	l.truncated += size - scan.end
	if err := l.truncateTail(opened, scan.end, previous); err != nil {
		return err
	}
	return l.rewriteTail(opened, scan.knownDurable)
}

// scan reads and verifies a complete segment, or only its header if LogOptions.VerifiedBefore covers it.
func (l *Log) scan(file File, number uint64, size int64, last bool) (segmentScan, error) {
	if last || number >= l.options.VerifiedBefore || size < segmentHeaderBytes {
		return scanSegment(file, number, size, l.options.MaxRecordBytes)
	}
	header := make([]byte, segmentHeaderBytes)
	if _, err := file.ReadAt(header, 0); err != nil {
		return segmentScan{}, errors.Wrapf(err, "read header of segment %d", number)
	}
	previousLength, valid := parseSegmentHeader(number, header)
	if !valid {
		return segmentScan{}, nil
	}
	return segmentScan{end: size, knownDurable: size, previousLength: previousLength}, nil
}

// rewriteTail rewrites the content from start on, which no record header shows to be durable; the caller syncs it.
// After a sync that failed in an earlier process, the page cache may have content that is not on the disk and is no
// longer marked dirty, so a sync without the rewrite would not write it.
func (l *Log) rewriteTail(opened *segmentFile, start int64) error {
	tail := make([]byte, opened.size-start)
	if len(tail) == 0 {
		return nil
	}
	if _, err := opened.file.ReadAt(tail, start); err != nil {
		return errors.Wrapf(err, "read %s", opened.path)
	}
	if _, err := opened.file.WriteAt(tail, start); err != nil {
		return l.recordFailure("write", opened.path, err)
	}
	return nil
}

// truncateTail durably truncates the segment to end, so that no record of the torn write can reappear after a new
// record. If the segment header itself is damaged, it writes the header again.
func (l *Log) truncateTail(opened *segmentFile, end int64, previous *segmentFile) error {
	if size, err := opened.file.Size(); err != nil || size == end && end >= segmentHeaderBytes {
		opened.written, opened.size, opened.durable = end, end, end
		return err
	}
	if err := opened.file.Truncate(end); err != nil {
		return l.recordFailure("truncate", opened.path, err)
	}
	if end < segmentHeaderBytes {
		var previousLength int64
		if previous != nil {
			previousLength = previous.size
		}
		if _, err := opened.file.WriteAt(segmentHeader(opened.number, previousLength), 0); err != nil {
			return l.recordFailure("write", opened.path, err)
		}
		end = segmentHeaderBytes
	}
	if err := opened.file.Sync(); err != nil {
		return l.recordFailure("sync", opened.path, err)
	}
	opened.written, opened.size, opened.durable = end, end, end
	return nil
}

// segmentScan is the result of scanning a segment. Offsets and lengths are in bytes.
type segmentScan struct {
	// end is the end of the valid prefix, or zero when the segment header is damaged.
	end int64
	// knownDurable is the durable length of the segment when its last valid record was written.
	knownDurable int64
	// previousLength is the length of the previous segment according to the segment header.
	previousLength int64
	// syncedDataDamaged is true when the content at end, which is damaged, was synced before a later record was
	// written.
	syncedDataDamaged bool
}

func scanSegment(file File, number uint64, size int64, maximumRecordBytes int) (segmentScan, error) {
	reader := newRecordReader(file, number, size, maximumRecordBytes)
	header, err := reader.bytes(0, segmentHeaderBytes)
	if err != nil {
		return segmentScan{}, err
	}
	var scan segmentScan
	previousLength, valid := parseSegmentHeader(number, header)
	if valid {
		scan.previousLength = previousLength
		scan.end, err = reader.validPrefix()
		scan.knownDurable = reader.durableOffset
		if err != nil {
			return segmentScan{}, err
		}
	}
	if scan.end == size {
		return scan, nil
	}
	scan.syncedDataDamaged, err = reader.wasSynced(scan.end)
	return scan, err
}

// validPrefix returns the offset at which the valid records end: at the first damaged record or the end of the segment.
func (r *recordReader) validPrefix() (int64, error) {
	offset := int64(segmentHeaderBytes)
	for {
		payload, err := r.record(offset)
		if err != nil || payload == nil {
			return offset, err
		}
		offset += recordHeaderBytes + int64(len(payload))
	}
}

// wasSynced reports whether the content at offset was synced before a later record was written. It tries each byte
// after offset as a record header, since the boundaries of records after a damaged one are unknown.
func (r *recordReader) wasSynced(offset int64) (bool, error) {
	for candidate := max(offset, segmentHeaderBytes); candidate+recordHeaderBytes <= r.size; candidate++ {
		data, err := r.bytes(candidate, recordHeaderBytes)
		if err != nil {
			return false, err
		}
		// A cheap check first, since most offsets are not the start of a header.
		if int64(binary.LittleEndian.Uint64(data[4:])) > candidate {
			continue
		}
		header, valid := parseRecordHeader(Position{Segment: r.number, Offset: candidate}, data)
		if valid && header.durableOffset > offset {
			return true, nil
		}
	}
	return false, nil
}

func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }

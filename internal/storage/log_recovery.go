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
	// numberDigits is the length of a number in a file name: hexadecimal, padded so that names sort by number.
	numberDigits = 16
)

// numberedName returns the file name of a segment or snapshot; listNumbered reads it back.
func numberedName(number uint64, suffix string) string {
	return fmt.Sprintf("%0*x%s", numberDigits, number, suffix)
}

func segmentName(number uint64) string { return numberedName(number, segmentSuffix) }

// OpenLog opens the log in a directory, which it creates if absent. It truncates a torn write, which only records that
// were never synced can be part of, and returns *CorruptError when a durable record is damaged or a segment is absent.
// What remains is synced, so a record that was replayed once is durable.
func OpenLog(filesystem Filesystem, dir string, options LogOptions) (*Log, error) {
	log := &Log{filesystem: filesystem, dir: dir, options: options.withDefaults()}
	log.sealed = sync.NewCond(&log.mutex)
	if err := filesystem.MkdirAll(dir); err != nil {
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

// listNumbered returns the numbers of the files named by a number and the suffix, in ascending order.
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

// openSegments opens the segments, which must be numbered without a gap, and syncs the newest one and its name.
func (l *Log) openSegments(numbers []uint64) error {
	for index, number := range numbers {
		if index > 0 && number != numbers[index-1]+1 {
			missing := filepath.Join(l.dir, segmentName(numbers[index-1]+1))
			return &CorruptError{Path: missing, Reason: "segment is absent"}
		}
		if err := l.openSegment(number, index == len(numbers)-1); err != nil {
			return err
		}
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
	created, err := l.createSegment(1, 0)
	if err != nil {
		return err
	}
	l.segments = append(l.segments, created)
	return nil
}

// openSegment opens a segment, checks it and the length of the one before it, and recovers it when it is the last one.
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
	// From here on Close closes the file, also after an error.
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
		return &CorruptError{Path: previous.path, Offset: previous.size, Reason: "finished segment has another length"}
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

// recoverNewest truncates a torn write at the end of the newest segment and rewrites what may not have reached the
// disk.
func (l *Log) recoverNewest(opened, previous *segmentFile, size int64, scan segmentScan) error {
	if scan.damagesDurable {
		return &CorruptError{Path: opened.path, Offset: scan.end, Reason: "damaged record that had been synced"}
	}
	l.truncated += size - scan.end
	if err := l.truncateTail(opened, scan.end, previous); err != nil {
		return err
	}
	return l.rewriteTail(opened, scan.knownDurable)
}

// scan reads a segment completely unless it was verified before.
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

// rewriteTail writes again what no record proves to be durable; the caller syncs it. A sync that failed for a former
// process may have left content in the page cache that is not on the disk, and that a sync alone would not write again.
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

// truncateTail removes what follows end and makes that durable, so that no record of the torn write can follow a new
// one.
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

// segmentScan is what reading a segment showed, in bytes.
type segmentScan struct {
	// end is the end of the valid prefix; zero when the segment header is damaged.
	end int64
	// knownDurable is how far the segment was durable when its last valid record was written.
	knownDurable int64
	// previousLength is the length of the segment before, from the segment header.
	previousLength int64
	// damagesDurable says that a record after end was written when the bytes at end were already durable.
	damagesDurable bool
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
	scan.damagesDurable, err = reader.provesDurable(scan.end)
	return scan, err
}

// validPrefix returns the end of the last record before the first damaged one.
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

// provesDurable searches each byte after offset for a record header that was written after offset had been synced.
func (r *recordReader) provesDurable(offset int64) (bool, error) {
	for candidate := max(offset, segmentHeaderBytes); candidate+recordHeaderBytes <= r.size; candidate++ {
		data, err := r.bytes(candidate, recordHeaderBytes)
		if err != nil {
			return false, err
		}
		// The cheap test comes first: most bytes are no header.
		if int64(binary.LittleEndian.Uint64(data[4:])) > candidate {
			continue
		}
		header, valid := parseHeader(Position{Segment: r.number, Offset: candidate}, data)
		if valid && header.durableOffset > offset {
			return true, nil
		}
	}
	return false, nil
}

func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }

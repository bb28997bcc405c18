package storage

import (
	"io"

	"github.com/cockroachdb/errors"
)

// readWindowBytes is the size of one read from a segment: large enough for many records, small enough to use little
// memory.
const readWindowBytes = 256 << 10

// recordReader reads the records of one segment through a buffer that moves forward. It is not safe for concurrent use.
type recordReader struct {
	file           io.ReaderAt
	number         uint64
	size           int64
	maxRecordBytes int
	window         []byte
	windowStart    int64
	// durableOffset is the durable length of the segment when the last valid record was written.
	durableOffset int64
}

func newRecordReader(file io.ReaderAt, number uint64, size int64, maximumRecordBytes int) *recordReader {
	return &recordReader{file: file, number: number, size: size, maxRecordBytes: maximumRecordBytes}
}

// bytes returns length bytes at offset, or fewer at the end of the segment. The slice is valid until the next call.
func (r *recordReader) bytes(offset int64, length int) ([]byte, error) {
	length = int(min(int64(length), max(r.size-offset, 0)))
	start := offset - r.windowStart
	if start < 0 || start+int64(length) > int64(len(r.window)) {
		if err := r.fill(offset, length); err != nil {
			return nil, err
		}
		start = 0
	}
	return r.window[start : start+int64(length)], nil
}

// fill moves the window to offset and reads at least length bytes into it.
func (r *recordReader) fill(offset int64, length int) error {
	wanted := int(min(int64(max(length, readWindowBytes)), r.size-offset))
	if cap(r.window) < wanted {
		r.window = make([]byte, wanted)
	}
	r.window = r.window[:wanted]
	r.windowStart = offset
	count, err := r.file.ReadAt(r.window, offset)
	if count == wanted {
		return nil
	}
	r.window = r.window[:0]
	if err == nil || errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return errors.Wrapf(err, "read %d bytes at %d", wanted, offset)
}

// record returns the payload of the record at offset, or nil if there is no valid record.
func (r *recordReader) record(offset int64) ([]byte, error) {
	data, err := r.bytes(offset, recordHeaderBytes)
	if err != nil {
		return nil, err
	}
	header, valid := parseRecordHeader(Position{Segment: r.number, Offset: offset}, data)
	if !valid || int64(header.length) > int64(r.maxRecordBytes) {
		return nil, nil
	}
	if offset+recordHeaderBytes+int64(header.length) > r.size {
		return nil, nil
	}
	payload, err := r.bytes(offset+recordHeaderBytes, int(header.length))
	if err != nil || checksum(payload) != header.payloadSum {
		return nil, err
	}
	r.durableOffset = header.durableOffset
	return payload, nil
}

// Read returns the record at a position, whether it is durable or not. It returns *PositionError for a position outside
// the log and *CorruptError when the record is damaged.
func (l *Log) Read(position Position) ([]byte, error) {
	segment, parsed, err := l.readHeader(position)
	if err != nil {
		return nil, err
	}
	payload := make([]byte, parsed.length)
	if _, err := segment.file.ReadAt(payload, position.Offset+recordHeaderBytes); err != nil {
		return nil, errors.Wrapf(err, "read %s", segment.path)
	}
	if checksum(payload) != parsed.payloadSum {
		return nil, &CorruptError{Path: segment.path, Offset: position.Offset, Reason: "damaged record"}
	}
	return payload, nil
}

// RecordBytes returns the size of the record at a position without reading it.
func (l *Log) RecordBytes(position Position) (int, error) {
	_, parsed, err := l.readHeader(position)
	return int(parsed.length), err
}

// readHeader reads the header of the record at a position and returns the segment that holds the record.
func (l *Log) readHeader(position Position) (*segmentFile, recordHeader, error) {
	segment, size, err := l.locate(position)
	if err != nil {
		return nil, recordHeader{}, err
	}
	var header [recordHeaderBytes]byte
	if _, err := segment.file.ReadAt(header[:], position.Offset); err != nil {
		return nil, recordHeader{}, errors.Wrapf(err, "read %s", segment.path)
	}
	parsed, valid := parseRecordHeader(position, header[:])
	if !valid || position.Offset+recordHeaderBytes+int64(parsed.length) > size {
		corrupt := &CorruptError{Path: segment.path, Offset: position.Offset, Reason: "damaged record header"}
		return nil, recordHeader{}, corrupt
	}
	return segment, parsed, nil
}

// locate returns the segment of a position and the size of that segment. If the position is still in the buffer, it
// flushes the buffer first, so that the record can be read from the file.
func (l *Log) locate(position Position) (*segmentFile, int64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return nil, 0, &ClosedError{}
	}
	first := l.segments[0].number
	if position.Segment < first || position.Segment > l.newest().number {
		return nil, 0, &PositionError{Position: position}
	}
	segment := l.segments[position.Segment-first]
	if position.Offset < segmentHeaderBytes || position.Offset+recordHeaderBytes > segment.size {
		return nil, 0, &PositionError{Position: position}
	}
	if position.Offset >= segment.written {
		if err := l.flushUsable(); err != nil {
			return nil, 0, err
		}
	}
	return segment, segment.size, nil
}

// Replay calls visit for each record from a position on that was written before the call to Replay. The zero Position
// selects the first record. The bytes passed to visit are valid only during that call. If visit returns an error,
// Replay stops and returns it.
func (l *Log) Replay(from Position, visit func(Position, []byte) error) error {
	views, err := l.views(from.Segment)
	if err != nil {
		return err
	}
	for _, view := range views {
		offset := int64(segmentHeaderBytes)
		if view.segment.number == from.Segment {
			offset = max(offset, from.Offset)
		}
		if err := l.replaySegment(view, offset, visit); err != nil {
			return err
		}
	}
	return nil
}

// segmentView is a segment and its size in bytes at the start of a replay.
type segmentView struct {
	segment *segmentFile
	size    int64
}

// views flushes the buffer and returns the segments numbered from or higher.
func (l *Log) views(from uint64) ([]segmentView, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err := l.flushUsable(); err != nil {
		return nil, err
	}
	var views []segmentView
	for _, segment := range l.segments {
		if segment.number >= from {
			views = append(views, segmentView{segment: segment, size: segment.written})
		}
	}
	return views, nil
}

func (l *Log) replaySegment(view segmentView, offset int64, visit func(Position, []byte) error) error {
	number := view.segment.number
	reader := newRecordReader(view.segment.file, number, view.size, l.options.MaxRecordBytes)
	for offset < view.size {
		payload, err := reader.record(offset)
		if err != nil {
			return err
		}
		if payload == nil {
			return &CorruptError{Path: view.segment.path, Offset: offset, Reason: "damaged record"}
		}
		length := int64(len(payload))
		if err := visit(Position{Segment: number, Offset: offset}, payload); err != nil {
			return err
		}
		offset += recordHeaderBytes + length
	}
	return nil
}

package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// A segment is a header of segmentHeaderBytes followed by records. A record is a header of recordHeaderBytes and the
// payload. All numbers are little-endian; sizes in parentheses are bytes.
//
// Segment header: magic (8), segment number (8), length of the previous segment (8), CRC32C of these fields (4). The
// length detects a finished segment that was truncated between two records; it is zero in the first segment of a log.
// Record header: payload length (4), durable offset (8), CRC32C of the payload (4),
// CRC32C of segment number, record offset and the preceding fields (4).
//
// The durable offset is the synced length of this segment when the record was written. It distinguishes a torn write
// from corruption of synced data: the latter is followed by a record whose durable offset is beyond the damage.
const (
	segmentMagic       = "RSTLOG\x00\x01"
	segmentHeaderBytes = 28
	recordHeaderBytes  = 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// recordHeader is the header of a record without its own checksum, which parseRecordHeader has verified.
type recordHeader struct {
	length        uint32
	durableOffset int64
	payloadSum    uint32
}

func segmentHeader(number uint64, previousLength int64) []byte {
	header := make([]byte, 0, segmentHeaderBytes)
	header = append(header, segmentMagic...)
	header = binary.LittleEndian.AppendUint64(header, number)
	header = binary.LittleEndian.AppendUint64(header, uint64(previousLength))
	return binary.LittleEndian.AppendUint32(header, checksum(header))
}

// parseSegmentHeader returns the length of the previous segment, or false for a damaged header.
func parseSegmentHeader(number uint64, data []byte) (previousLength int64, valid bool) {
	if len(data) < segmentHeaderBytes {
		return 0, false
	}
	previousLength = int64(binary.LittleEndian.Uint64(data[16:]))
	return previousLength, string(data[:segmentHeaderBytes]) == string(segmentHeader(number, previousLength))
}

// appendRecord appends the record header and the payload to buffer.
func appendRecord(buffer []byte, position Position, durableOffset int64, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(durableOffset))
	buffer = binary.LittleEndian.AppendUint32(buffer, checksum(payload))
	sum := recordHeaderSum(position, buffer[start:])
	buffer = binary.LittleEndian.AppendUint32(buffer, sum)
	return append(buffer, payload...)
}

// recordHeaderSum returns the checksum of a record header. It includes the position, so that a copy of the header at
// another position, for example in a payload, is not valid.
func recordHeaderSum(position Position, fields []byte) uint32 {
	var encoded [16]byte
	binary.LittleEndian.PutUint64(encoded[:8], position.Segment)
	binary.LittleEndian.PutUint64(encoded[8:], uint64(position.Offset))
	return crc32.Update(checksum(encoded[:]), castagnoli, fields)
}

// parseRecordHeader decodes and verifies a record header. It returns false if data is not a header that was written at
// this position.
func parseRecordHeader(position Position, data []byte) (recordHeader, bool) {
	if len(data) < recordHeaderBytes {
		return recordHeader{}, false
	}
	header := recordHeader{
		length:        binary.LittleEndian.Uint32(data),
		durableOffset: int64(binary.LittleEndian.Uint64(data[4:])),
		payloadSum:    binary.LittleEndian.Uint32(data[12:]),
	}
	if header.length == 0 || header.durableOffset > position.Offset {
		return recordHeader{}, false
	}
	if recordHeaderSum(position, data[:16]) != binary.LittleEndian.Uint32(data[16:recordHeaderBytes]) {
		return recordHeader{}, false
	}
	return header, true
}

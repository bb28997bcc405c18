package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// A segment is a header of segmentHeaderBytes followed by records. A record is a header of recordHeaderBytes and the
// payload. All numbers are little-endian; sizes in parentheses are bytes.
//
// Segment header: magic (8), segment number (8), length of the segment before (8), CRC32C of them (4). The length shows
// when a finished segment was truncated between two records; it is zero in the first segment of a log.
// Record header: payload length (4), durable offset (8), CRC32C of the payload (4),
// CRC32C of segment number, record offset and the fields before (4).
//
// The durable offset is how far this segment was synced when the record was written. It distinguishes a torn write,
// which no later record proves to be durable, from damage in the middle.
const (
	segmentMagic       = "RSTLOG\x00\x01"
	segmentHeaderBytes = 28
	recordHeaderBytes  = 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// recordHeader is the header of a record without its own checksum, which parseHeader verified.
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

// parseSegmentHeader returns the length of the segment before, or false for a damaged header.
func parseSegmentHeader(number uint64, data []byte) (previousLength int64, valid bool) {
	if len(data) < segmentHeaderBytes {
		return 0, false
	}
	previousLength = int64(binary.LittleEndian.Uint64(data[16:]))
	return previousLength, string(data[:segmentHeaderBytes]) == string(segmentHeader(number, previousLength))
}

func appendRecord(buffer []byte, position Position, durableOffset int64, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(durableOffset))
	buffer = binary.LittleEndian.AppendUint32(buffer, checksum(payload))
	sum := headerSum(position, buffer[start:])
	buffer = binary.LittleEndian.AppendUint32(buffer, sum)
	return append(buffer, payload...)
}

// headerSum covers the position too, so that a header found elsewhere, as in a payload, is not valid.
func headerSum(position Position, fields []byte) uint32 {
	var encoded [16]byte
	binary.LittleEndian.PutUint64(encoded[:8], position.Segment)
	binary.LittleEndian.PutUint64(encoded[8:], uint64(position.Offset))
	return crc32.Update(checksum(encoded[:]), castagnoli, fields)
}

// parseHeader returns false for bytes that are no record header written at this position.
func parseHeader(position Position, data []byte) (recordHeader, bool) {
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
	if headerSum(position, data[:16]) != binary.LittleEndian.Uint32(data[16:recordHeaderBytes]) {
		return recordHeader{}, false
	}
	return header, true
}

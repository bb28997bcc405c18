package turnindex

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/state/store/records"
)

// header is the first bytes of a stored index: a name and the version of the format. Read rejects an index with another
// header, so that the log is read in its place. An index of version 2 may lack turns of the segments that it covers.
const header = "RSTTIX\x00\x03"

// RecordBytes is the size of one stored entry: shard, key, segment, offset, end of the
// retention and key of the previous turn, big-endian.
const RecordBytes = 4 + 16 + 12 + 16

// ErrUnknownFormat reports that a stored index has a format that this version cannot read.
var ErrUnknownFormat = errors.New("turn index has an unknown format")

// WriteHeader writes the header of a stored index, after which come the results of Encode for all shards.
func WriteHeader(writer io.Writer) error {
	_, err := io.WriteString(writer, header)
	return err
}

// Encode returns a shard's entries in the stored format.
func (x *Index) Encode(shard uint32) []byte {
	encoded := make([]byte, 0, x.Len()*RecordBytes)
	for key, entry := range x.All() {
		encoded = binary.BigEndian.AppendUint32(encoded, shard)
		encoded = key.AppendTo(encoded)
		encoded = binary.BigEndian.AppendUint32(encoded, entry.Segment)
		encoded = binary.BigEndian.AppendUint32(encoded, entry.Offset)
		encoded = binary.BigEndian.AppendUint32(encoded, entry.RetainUntil)
		encoded = entry.Previous.AppendTo(encoded)
	}
	return encoded
}

// Read calls visit for each entry of a stored index. The error is ErrUnknownFormat, or a
// *records.UnreadableError when the index ends within an entry.
func Read(content io.Reader, visit func(shard uint32, key Key, entry Entry)) error {
	reader := bufio.NewReader(content)
	var prefix [len(header)]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil || string(prefix[:]) != header {
		return ErrUnknownFormat
	}
	var record [RecordBytes]byte
	for {
		if _, err := io.ReadFull(reader, record[:]); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return &records.UnreadableError{Cause: err}
		}
		visit(binary.BigEndian.Uint32(record[:]), DecodeKey(record[4:]), Entry{
			Segment:     binary.BigEndian.Uint32(record[20:]),
			Offset:      binary.BigEndian.Uint32(record[24:]),
			RetainUntil: binary.BigEndian.Uint32(record[28:]),
			Previous:    DecodeKey(record[32:]),
		})
	}
}

// KeyBytes is the size of an encoded key.
const KeyBytes = 16

// AppendTo appends the encoded key, in big-endian order.
func (k Key) AppendTo(encoded []byte) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(encoded, k.IDHash), k.TurnHash)
}

// DecodeKey decodes a key from the first KeyBytes bytes of encoded.
func DecodeKey(encoded []byte) Key {
	return Key{IDHash: binary.BigEndian.Uint64(encoded), TurnHash: binary.BigEndian.Uint64(encoded[8:])}
}

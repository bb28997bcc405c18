package datafolder

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/records"
	"github.com/rosestand/rosestand/internal/storage"
)

// maxSnapshotRecordBytes bounds the size of one record when a snapshot is read.
const maxSnapshotRecordBytes = 64 << 20

// SaveRegisters writes a snapshot of the log of registers and removes the segments and snapshots
// that it replaces. write must include every change that was logged before the call, in the
// format of WriteRecord. The error is a *LogError, except that of the removal of old snapshots.
func (f *Folder) SaveRegisters(write func(io.Writer) error) error {
	segment, err := f.Registers.Rotate()
	if err != nil {
		return &LogError{Log: RegisterLog, Cause: err}
	}
	if err := storage.SaveSnapshot(f.filesystem, f.registerPath(), segment, write); err != nil {
		return &LogError{Log: RegisterLog, Cause: err}
	}
	if err := f.Registers.RemoveBefore(segment); err != nil {
		return &LogError{Log: RegisterLog, Cause: err}
	}
	err = storage.RemoveSnapshotsBefore(f.filesystem, f.registerPath(), segment)
	return errors.Wrap(err, "remove old snapshots")
}

// WriteRecord writes one record of a snapshot of registers.
func WriteRecord(writer io.Writer, record *protocol.StoreRecord) error {
	encoded, err := records.Encode(record)
	if err != nil {
		return err
	}
	var prefix [binary.MaxVarintLen64]byte
	size := binary.PutUvarint(prefix[:], uint64(len(encoded)))
	if _, err := writer.Write(prefix[:size]); err != nil {
		return err
	}
	_, err = writer.Write(encoded)
	return err
}

// LoadRegisters calls visit for the records of the newest snapshot and then for those of the log after it.
func (f *Folder) LoadRegisters(visit func(*protocol.StoreRecord)) error {
	segment, _, err := storage.LoadNewestSnapshot(f.filesystem, f.registerPath(), func(_ uint64, content io.Reader) error {
		return readSnapshot(content, visit)
	})
	if err != nil {
		return err
	}
	return f.Registers.Replay(storage.Position{Segment: segment}, func(_ storage.Position, encoded []byte) error {
		record, err := records.Decode(encoded)
		if err == nil {
			visit(record)
		}
		return err
	})
}

func readSnapshot(content io.Reader, visit func(*protocol.StoreRecord)) error {
	reader := bufio.NewReader(content)
	for {
		size, err := binary.ReadUvarint(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil || size > maxSnapshotRecordBytes {
			return &records.UnreadableError{Cause: errors.CombineErrors(err, io.ErrUnexpectedEOF)}
		}
		encoded := make([]byte, size)
		if _, err := io.ReadFull(reader, encoded); err != nil {
			return &records.UnreadableError{Cause: err}
		}
		record, err := records.Decode(encoded)
		if err != nil {
			return err
		}
		visit(record)
	}
}

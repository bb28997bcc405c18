package store

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
)

// maximumSnapshotRecord bounds one record of a snapshot when it is read.
const maximumSnapshotRecord = 64 << 20

// saveRegisters writes all registers beside the log and drops the log before
// segment. Every change made before segment began is in memory, so the
// snapshot holds it.
func (s *Store) saveRegisters() error {
	segment, err := s.folder.registers.Rotate()
	if err != nil {
		return &LogError{Log: registerFolder, Cause: err}
	}
	err = storage.SaveSnapshot(s.folder.filesystem, s.folder.registerPath(), segment, s.writeRegisters)
	if err != nil {
		return &LogError{Log: registerFolder, Cause: err}
	}
	if err := s.folder.registers.RemoveBefore(segment); err != nil {
		return &LogError{Log: registerFolder, Cause: err}
	}
	err = storage.RemoveSnapshotsBefore(s.folder.filesystem, s.folder.registerPath(), segment)
	return errors.Wrap(err, "remove old snapshots")
}

// writeRegisters asks one group after the other for its registers; what it
// holds in memory meanwhile is the registers' states without copies of their values.
func (s *Store) writeRegisters(writer io.Writer) error {
	var prefix [binary.MaxVarintLen64]byte
	for _, group := range s.groups {
		records, err := ask(group, group.copyRegisters)
		if err != nil {
			return err
		}
		for _, record := range records {
			encoded, err := encodeRecord(record)
			if err != nil {
				return err
			}
			size := binary.PutUvarint(prefix[:], uint64(len(encoded)))
			if _, err := writer.Write(prefix[:size]); err != nil {
				return err
			}
			if _, err := writer.Write(encoded); err != nil {
				return err
			}
		}
	}
	return nil
}

// loadRegisters reads the newest snapshot and the log after it.
func loadRegisters(folder *Folder, visit func(*protocol.StoreRecord)) error {
	segment, _, err := storage.LoadNewestSnapshot(folder.filesystem, folder.registerPath(), func(_ uint64, content io.Reader) error {
		return readSnapshot(content, visit)
	})
	if err != nil {
		return err
	}
	return folder.registers.Replay(storage.Position{Segment: segment}, func(_ storage.Position, encoded []byte) error {
		record, err := decodeRecord(encoded)
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
		if err != nil || size > maximumSnapshotRecord {
			return &RecordError{Cause: errors.CombineErrors(err, io.ErrUnexpectedEOF)}
		}
		encoded := make([]byte, size)
		if _, err := io.ReadFull(reader, encoded); err != nil {
			return &RecordError{Cause: err}
		}
		record, err := decodeRecord(encoded)
		if err != nil {
			return err
		}
		visit(record)
	}
}

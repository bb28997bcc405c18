package store

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/state/store/hashtree"
	"github.com/rosestand/rosestand/internal/storage"
)

// The turn index is written beside the log anew when a start would have to read so many segments
// of turns, and so many times the bytes that the index itself takes.
const (
	turnIndexSegments = 2
	turnIndexGrowth   = 4
)

// turnIndexIsDue judges by what the index does not cover and by the number of turns.
func (s *Store) turnIndexIsDue(turns uint64) bool {
	uncovered := int64(s.folder.turns.End().Segment-s.indexedSegment) * s.options.segmentBytes()
	return uncovered >= max(turnIndexSegments*s.options.segmentBytes(), turnIndexGrowth*indexRecordBytes*int64(turns))
}

// turnIndexForm begins the turn index on disk; an index that begins otherwise is not read.
const turnIndexForm = "RSTTIX\x00\x02"

// indexRecordBytes is the size of one entry of the turn index on disk: shard, key, segment,
// offset, end of the keeping time and key of the turn before, big-endian.
const indexRecordBytes = 4 + 16 + 12 + 16

// saveTurnIndex writes the places of all turns, so that a start need not read the turns themselves.
func (s *Store) saveTurnIndex() error {
	segment, err := s.folder.turns.Rotate()
	if err != nil {
		return &LogError{Log: turnFolder, Cause: err}
	}
	if err := storage.SaveSnapshot(s.folder.filesystem, s.folder.turnPath(), segment, s.writeTurnIndex); err != nil {
		return &LogError{Log: turnFolder, Cause: err}
	}
	if s.turnsDamaged.Load() {
		return s.folder.removeTurnIndex()
	}
	s.indexedSegment = segment
	err = storage.RemoveSnapshotsBefore(s.folder.filesystem, s.folder.turnPath(), segment)
	return errors.Wrap(err, "remove old turn index")
}

// writeTurnIndex asks for one shard at a time, so that no owner is held up for long.
func (s *Store) writeTurnIndex(writer io.Writer) error {
	if _, err := io.WriteString(writer, turnIndexForm); err != nil {
		return err
	}
	for _, group := range s.groups {
		shards, err := ask(group, group.shardNumbers)
		if err != nil {
			return err
		}
		for _, shard := range shards {
			encoded, err := ask(group, func() []byte { return group.table(shard).encodeIndex() })
			if err != nil {
				return err
			}
			if _, err := writer.Write(encoded); err != nil {
				return err
			}
		}
	}
	return nil
}

func (g *group) shardNumbers() []uint32 {
	var shards []uint32
	for shard := range g.shards {
		shards = append(shards, shard)
	}
	return shards
}

func (t *shardTable) encodeIndex() []byte {
	encoded := make([]byte, 0, t.turns.Len()*indexRecordBytes)
	for key, entry := range t.turns.All() {
		encoded = binary.BigEndian.AppendUint32(encoded, t.view.Shard)
		encoded = binary.BigEndian.AppendUint64(encoded, key.high)
		encoded = binary.BigEndian.AppendUint64(encoded, key.low)
		encoded = binary.BigEndian.AppendUint32(encoded, entry.segment)
		encoded = binary.BigEndian.AppendUint32(encoded, entry.offset)
		encoded = binary.BigEndian.AppendUint32(encoded, entry.keepUntil)
		encoded = binary.BigEndian.AppendUint64(encoded, entry.previous.high)
		encoded = binary.BigEndian.AppendUint64(encoded, entry.previous.low)
	}
	return encoded
}

// loadTurnIndex reads the newest index and returns the first segment that it does
// not cover. A damaged index is no loss: the log itself has everything.
func (s *Store) loadTurnIndex() (segment uint64, err error) {
	segment, found, err := storage.LoadNewestSnapshot(s.folder.filesystem, s.folder.turnPath(), s.readTurnIndex)
	var corrupt *storage.CorruptError
	if errors.As(err, &corrupt) || err == nil && !found {
		s.forgetTurns()
		return 0, nil
	}
	s.indexedSegment = segment
	return segment, err
}

func (s *Store) forgetTurns() {
	for _, group := range s.groups {
		for _, table := range group.shards {
			table.turns = hashtree.Tree[turnKey, turnEntry]{}
		}
	}
}

func (s *Store) readTurnIndex(_ uint64, content io.Reader) error {
	reader := bufio.NewReader(content)
	var form [len(turnIndexForm)]byte
	if _, err := io.ReadFull(reader, form[:]); err != nil || string(form[:]) != turnIndexForm {
		return &storage.CorruptError{Path: s.folder.turnPath(), Reason: "an index of another form"}
	}
	first := s.folder.turns.FirstSegment()
	var record [indexRecordBytes]byte
	for {
		if _, err := io.ReadFull(reader, record[:]); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return &RecordError{Cause: err}
		}
		shard := binary.BigEndian.Uint32(record[:])
		key := turnKey{high: binary.BigEndian.Uint64(record[4:]), low: binary.BigEndian.Uint64(record[12:])}
		entry := turnEntry{
			segment:   binary.BigEndian.Uint32(record[20:]),
			offset:    binary.BigEndian.Uint32(record[24:]),
			keepUntil: binary.BigEndian.Uint32(record[28:]),
			previous:  turnKey{high: binary.BigEndian.Uint64(record[32:]), low: binary.BigEndian.Uint64(record[40:])},
		}
		if uint64(entry.segment) >= first {
			s.restoreTurn(shard, key, entry)
		}
	}
}

// restoreTurn fills the index at the start, while no goroutine runs. An expired turn stays until it is known that none continues it.
func (s *Store) restoreTurn(shard uint32, key turnKey, entry turnEntry) {
	s.group(shard).table(shard).turns.Put(key, entry)
	s.turnSegments.note(entry)
}

package statesuite

import (
	"encoding/binary"
	"hash/fnv"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

const (
	dataFolder     = "/data"
	logName        = "log"
	logFolder      = "/data/log"
	snapshotFolder = "/data/snapshots"
	segmentBytes   = 16 << 10
)

// coreDisk stores a core member's log and snapshots. A record with compacted set means that a snapshot covers all
// entries up to it.
type coreDisk struct {
	filesystem *simdisk.Disk
	log        *storage.Log
	fresh      bool
	id         uint64
}

// identityOptions configures the data folder of a core member or a store.
func identityOptions(disk *simdisk.Disk) storage.IdentityOptions {
	return storage.IdentityOptions{Logs: []string{logName}, NewStorageID: disk.NewStorageID}
}

func openCoreDisk(filesystem *simdisk.Disk) (*coreDisk, error) {
	identity, err := storage.OpenIdentity(filesystem, dataFolder, identityOptions(filesystem))
	if err != nil {
		return nil, err
	}
	if err := storage.RemoveUnfinishedSnapshots(filesystem, snapshotFolder); err != nil {
		return nil, err
	}
	log, err := storage.OpenLog(filesystem, logFolder, storage.LogOptions{SegmentBytes: segmentBytes})
	if err != nil {
		return nil, err
	}
	return &coreDisk{filesystem: filesystem, log: log, fresh: identity.Fresh, id: hashOf(identity.StorageID)}, nil
}

func hashOf(text string) uint64 {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, text)
	return sum.Sum64() | 1
}

// recoverState reads the log, and the state of the newest snapshot.
func (d *coreDisk) recoverState() (consensus.InitialState, *protocol.ControlState, error) {
	metadata, state, err := d.loadSnapshot()
	if err != nil {
		return consensus.InitialState{}, nil, err
	}
	recovered := &recoveredLog{base: metadata.GetIndex(), baseTerm: metadata.GetTerm()}
	err = d.log.Replay(storage.Position{}, func(_ storage.Position, data []byte) error {
		record := &protocol.CoreRecord{}
		if err := proto.Unmarshal(data, record); err != nil {
			return err
		}
		recovered.apply(record)
		return nil
	})
	initial := consensus.InitialState{HardState: recovered.hardState, Snapshot: metadata, Entries: recovered.entries}
	return initial, state, err
}

type recoveredLog struct {
	base, baseTerm uint64
	entries        []*protocol.Entry
	hardState      *protocol.HardState
}

func (r *recoveredLog) apply(record *protocol.CoreRecord) {
	if hardState := record.GetHardState(); hardState != nil {
		r.hardState = hardState
	}
	if compacted := record.GetCompacted(); compacted != nil && compacted.GetIndex() == r.base &&
		compacted.GetTerm() == r.baseTerm {
		r.entries = nil
	}
	entry := record.GetEntry()
	if entry == nil || entry.GetIndex() <= r.base {
		return
	}
	index := entry.GetIndex() - r.base - 1
	if index > uint64(len(r.entries)) {
		// The entry belongs to a log that a received snapshot replaced.
		return
	}
	if index < uint64(len(r.entries)) && r.entries[index].GetTerm() == entry.GetTerm() {
		return
	}
	r.entries = append(r.entries[:index:index], entry)
}

func (d *coreDisk) write(records ...*protocol.CoreRecord) error {
	for _, record := range records {
		data, err := proto.Marshal(record)
		if err != nil {
			return err
		}
		if _, err := d.log.Write(data); err != nil {
			return err
		}
	}
	return d.log.Flush()
}

func entryRecords(entries []*protocol.Entry) []*protocol.CoreRecord {
	var records []*protocol.CoreRecord
	for _, entry := range entries {
		records = append(records, &protocol.CoreRecord{Body: &protocol.CoreRecord_Entry{Entry: entry}})
	}
	return records
}

func hardStateRecord(hardState *protocol.HardState) *protocol.CoreRecord {
	return &protocol.CoreRecord{Body: &protocol.CoreRecord_HardState{HardState: hardState}}
}

// compact begins a segment with the records that the snapshot does not cover and removes the earlier segments.
func (d *coreDisk) compact(metadata *protocol.SnapshotMetadata, entries []*protocol.Entry,
	hardState *protocol.HardState,
) error {
	segment, err := d.log.Rotate()
	if err != nil {
		return err
	}
	records := []*protocol.CoreRecord{{Body: &protocol.CoreRecord_Compacted{Compacted: metadata}}}
	records = append(records, entryRecords(entries)...)
	records = append(records, hardStateRecord(hardState))
	if err := d.write(records...); err != nil {
		return err
	}
	if err := d.log.Sync(); err != nil {
		return err
	}
	if err := d.log.RemoveBefore(segment); err != nil {
		return err
	}
	return storage.RemoveSnapshotsBefore(d.filesystem, snapshotFolder, metadata.GetIndex())
}

func (d *coreDisk) saveSnapshot(metadata *protocol.SnapshotMetadata, state []byte) error {
	header, err := proto.Marshal(metadata)
	if err != nil {
		return err
	}
	return storage.SaveSnapshot(d.filesystem, snapshotFolder, metadata.GetIndex(), func(writer io.Writer) error {
		content := binary.LittleEndian.AppendUint32(nil, uint32(len(header)))
		content = append(append(content, header...), state...)
		_, err := writer.Write(content)
		return err
	})
}

func (d *coreDisk) readSnapshot() (metadata *protocol.SnapshotMetadata, state []byte, err error) {
	_, _, err = storage.LoadNewestSnapshot(d.filesystem, snapshotFolder, func(_ uint64, reader io.Reader) error {
		content, err := io.ReadAll(reader)
		if err != nil {
			return err
		}
		length := binary.LittleEndian.Uint32(content)
		metadata, state = &protocol.SnapshotMetadata{}, content[4+length:]
		return proto.Unmarshal(content[4:4+length], metadata)
	})
	return metadata, state, err
}

func (d *coreDisk) loadSnapshot() (*protocol.SnapshotMetadata, *protocol.ControlState, error) {
	metadata, data, err := d.readSnapshot()
	if err != nil || metadata == nil {
		return nil, nil, err
	}
	state := &protocol.ControlState{}
	return metadata, state, proto.Unmarshal(data, state)
}

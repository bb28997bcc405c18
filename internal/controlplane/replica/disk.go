package replica

import (
	"encoding/binary"
	"io"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
)

const (
	logFolder        = "log"
	snapshotFolder   = "snapshots"
	maxMetadataBytes = 1 << 20
)

// disk keeps the member's log and snapshots in its folder.
type disk struct {
	filesystem storage.Filesystem
	log        *storage.Log
	snapshots  string
}

func openDisk(filesystem storage.Filesystem, folder string) (*disk, error) {
	path := filepath.Join(folder, logFolder)
	if err := filesystem.MkdirAll(path); err != nil {
		return nil, err
	}
	snapshots := filepath.Join(folder, snapshotFolder)
	if err := storage.RemoveUnfinishedSnapshots(filesystem, snapshots); err != nil {
		return nil, err
	}
	log, err := storage.OpenLog(filesystem, path, storage.LogOptions{})
	if err != nil {
		return nil, err
	}
	return &disk{filesystem: filesystem, log: log, snapshots: snapshots}, nil
}

func (d *disk) write(records ...*protocol.CoreRecord) error {
	for _, record := range records {
		data, err := proto.Marshal(record)
		if err != nil {
			return err
		}
		if _, err := d.log.Write(data); err != nil {
			return err
		}
	}
	return nil
}

func (d *disk) writeAndSync(records ...*protocol.CoreRecord) error {
	if err := d.write(records...); err != nil {
		return err
	}
	return d.log.Sync()
}

// save carries out the durable part of a node's output: entries, then the hard state.
func (d *disk) save(ready consensus.Ready) error {
	records := entryRecords(ready.Entries)
	if ready.HardState != nil {
		records = append(records, hardStateRecord(ready.HardState))
	}
	if ready.MustSync {
		return d.writeAndSync(records...)
	}
	return d.write(records...)
}

// compact begins a new segment with what is not covered by the durable snapshot, and removes
// the older segments and snapshots.
func (d *disk) compact(clusterID string, metadata *protocol.SnapshotMetadata, entries []*protocol.Entry, hardState *protocol.HardState) error {
	segment, err := d.log.Rotate()
	if err != nil {
		return err
	}
	records := []*protocol.CoreRecord{clusterRecord(clusterID), compactedRecord(metadata)}
	records = append(records, entryRecords(entries)...)
	records = append(records, hardStateRecord(hardState))
	if err := d.writeAndSync(records...); err != nil {
		return err
	}
	if err := d.log.RemoveBefore(segment); err != nil {
		return err
	}
	return storage.RemoveSnapshotsBefore(d.filesystem, d.snapshots, metadata.GetIndex())
}

// saveSnapshot makes a snapshot durable. It may run beside the owner.
func (d *disk) saveSnapshot(metadata *protocol.SnapshotMetadata, state []byte) error {
	header, err := proto.Marshal(metadata)
	if err != nil {
		return err
	}
	return storage.SaveSnapshot(d.filesystem, d.snapshots, metadata.GetIndex(), func(writer io.Writer) error {
		length := binary.LittleEndian.AppendUint32(nil, uint32(len(header)))
		for _, part := range [][]byte{length, header, state} {
			if _, err := writer.Write(part); err != nil {
				return err
			}
		}
		return nil
	})
}

// loadSnapshot reads the newest snapshot; its metadata is nil when there is none. The owner may call it while a newer one is
// being saved.
func (d *disk) loadSnapshot() (metadata *protocol.SnapshotMetadata, state []byte, err error) {
	_, _, err = storage.LoadNewestSnapshot(d.filesystem, d.snapshots, func(_ uint64, content io.Reader) error {
		metadata, err = readMetadata(content)
		if err != nil {
			return err
		}
		state, err = io.ReadAll(content)
		return err
	})
	return metadata, state, err
}

func readMetadata(content io.Reader) (*protocol.SnapshotMetadata, error) {
	var length uint32
	if err := binary.Read(content, binary.LittleEndian, &length); err != nil {
		return nil, err
	}
	if length > maxMetadataBytes {
		return nil, &CorruptStateError{Reason: "the metadata of a snapshot is too large"}
	}
	header := make([]byte, length)
	if _, err := io.ReadFull(content, header); err != nil {
		return nil, err
	}
	metadata := &protocol.SnapshotMetadata{}
	return metadata, proto.Unmarshal(header, metadata)
}

func (d *disk) close() error { return d.log.Close() }

func entryRecords(entries []*protocol.Entry) []*protocol.CoreRecord {
	records := make([]*protocol.CoreRecord, 0, len(entries)+1)
	for _, entry := range entries {
		records = append(records, &protocol.CoreRecord{Body: &protocol.CoreRecord_Entry{Entry: entry}})
	}
	return records
}

func hardStateRecord(hardState *protocol.HardState) *protocol.CoreRecord {
	return &protocol.CoreRecord{Body: &protocol.CoreRecord_HardState{HardState: hardState}}
}

func clusterRecord(clusterID string) *protocol.CoreRecord {
	return &protocol.CoreRecord{Body: &protocol.CoreRecord_ClusterId{ClusterId: clusterID}}
}

func compactedRecord(metadata *protocol.SnapshotMetadata) *protocol.CoreRecord {
	return &protocol.CoreRecord{Body: &protocol.CoreRecord_Compacted{Compacted: &protocol.SnapshotMetadata{
		Index: metadata.GetIndex(), Term: metadata.GetTerm(),
	}}}
}

func foundingRecord(clusterID string, founder *protocol.CoreMember) *protocol.CoreRecord {
	return &protocol.CoreRecord{Body: &protocol.CoreRecord_Founding{Founding: &protocol.Founding{
		ClusterId: clusterID, Founder: founder,
	}}}
}

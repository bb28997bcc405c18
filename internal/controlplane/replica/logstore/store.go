// Package logstore stores the durable state of one core process: its replicated log with the hard
// state of consensus, and the snapshots of the state machine.
//
// A data folder contains the log in the segments of "log", as protocol.CoreRecord records, and snapshots in
// "snapshots", each named by the index of its last entry. The order of writes makes every crash recoverable: a
// snapshot is durable before the entries that it covers are removed from the log, and the new segment has copies
// of all records that are still needed of the older segments before those are removed. Recovery (Store.Recover)
// replays all segments; newer records replace older ones.
//
// A Store belongs to the owner goroutine of its replica; SaveSnapshot may run concurrently with it.
package logstore

import (
	"encoding/binary"
	"io"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
)

const (
	logFolder      = "log"
	snapshotFolder = "snapshots"
	// maxMetadataBytes bounds the metadata at the beginning of a snapshot, so that a damaged length
	// is not read as the size of a buffer.
	maxMetadataBytes = 1 << 20
)

// Store provides the open log and the snapshots of a data folder.
type Store struct {
	filesystem storage.Filesystem
	log        *storage.Log
	snapshots  string
}

// OpenIdentity opens the identity of the folder, and creates the log with it. newStorageID generates the storage id of
// a new folder.
//
// A folder of which nothing but the identity is left gets a new identity, and lost is the loss: the member may have
// voted, so it must never vote under its former id, but it can join as another member. Any other loss of data is
// returned as a *storage.CorruptError.
func OpenIdentity(
	filesystem storage.Filesystem, folder string, newStorageID func() string,
) (identity storage.Identity, lost, err error) {
	options := storage.IdentityOptions{Logs: []string{logFolder}, NewStorageID: newStorageID}
	identity, err = storage.OpenIdentity(filesystem, folder, options)
	var corrupt *storage.CorruptError
	if !errors.As(err, &corrupt) || !corrupt.NoDataLeft {
		return identity, nil, err
	}
	if err := storage.MoveAside(filesystem, folder); err != nil {
		return storage.Identity{}, nil, err
	}
	identity, err = storage.OpenIdentity(filesystem, folder, options)
	return identity, corrupt, err
}

// Open opens the log in the folder, which OpenIdentity has created, and removes unfinished snapshots. Errors are those
// of package storage.
func Open(filesystem storage.Filesystem, folder string) (*Store, error) {
	snapshots := filepath.Join(folder, snapshotFolder)
	if err := storage.MkdirAll(filesystem, snapshots); err != nil {
		return nil, err
	}
	if err := storage.RemoveUnfinishedSnapshots(filesystem, snapshots); err != nil {
		return nil, err
	}
	log, err := storage.OpenLog(filesystem, filepath.Join(folder, logFolder), storage.LogOptions{MustExist: true})
	if err != nil {
		return nil, err
	}
	return &Store{filesystem: filesystem, log: log, snapshots: snapshots}, nil
}

// Close closes the log without a sync.
func (s *Store) Close() error { return s.log.Close() }

// Save writes the entries of a node's output, then its hard state, and syncs both if the node
// requires it. After an error nothing more can be written until the store is reopened.
func (s *Store) Save(ready consensus.Ready) error {
	records := entryRecords(ready.Entries)
	if ready.HardState != nil {
		records = append(records, hardStateRecord(ready.HardState))
	}
	if ready.MustSync {
		return s.writeAndSync(records...)
	}
	return s.write(records...)
}

// SaveClusterID durably stores the id of the cluster that an empty member has joined.
func (s *Store) SaveClusterID(clusterID string) error {
	return s.writeAndSync(clusterRecord(clusterID))
}

// Found durably stores a new cluster and returns the initial state of its only voter.
func (s *Store) Found(clusterID string, founder *protocol.CoreMember) (consensus.InitialState, error) {
	entry, err := foundingEntry(founder)
	if err != nil {
		return consensus.InitialState{}, err
	}
	if err := s.writeAndSync(foundingRecord(clusterID, founder)); err != nil {
		return consensus.InitialState{}, err
	}
	return consensus.InitialState{HardState: foundingHardState(), Entries: []*protocol.Entry{entry}}, nil
}

// Compact starts a segment with the state that the durable snapshot does not cover, which the caller passes in,
// and removes the older segments and snapshots.
func (s *Store) Compact(
	clusterID string, metadata *protocol.SnapshotMetadata, entries []*protocol.Entry, hardState *protocol.HardState,
) error {
	segment, err := s.log.Rotate()
	if err != nil {
		return err
	}
	records := []*protocol.CoreRecord{clusterRecord(clusterID), compactedRecord(metadata)}
	records = append(records, entryRecords(entries)...)
	records = append(records, hardStateRecord(hardState))
	if err := s.writeAndSync(records...); err != nil {
		return err
	}
	if err := s.log.RemoveBefore(segment); err != nil {
		return err
	}
	return storage.RemoveSnapshotsBefore(s.filesystem, s.snapshots, metadata.GetIndex())
}

// SaveSnapshot durably stores a snapshot. It may run concurrently with the owner goroutine.
func (s *Store) SaveSnapshot(metadata *protocol.SnapshotMetadata, state []byte) error {
	header, err := proto.Marshal(metadata)
	if err != nil {
		return err
	}
	return storage.SaveSnapshot(s.filesystem, s.snapshots, metadata.GetIndex(), func(writer io.Writer) error {
		length := binary.LittleEndian.AppendUint32(nil, uint32(len(header)))
		for _, part := range [][]byte{length, header, state} {
			if _, err := writer.Write(part); err != nil {
				return err
			}
		}
		return nil
	})
}

// LoadSnapshot reads the newest snapshot; its metadata is nil when there is none. It may be called
// while a newer one is being saved.
func (s *Store) LoadSnapshot() (metadata *protocol.SnapshotMetadata, state []byte, err error) {
	_, _, err = storage.LoadNewestSnapshot(s.filesystem, s.snapshots, func(_ uint64, content io.Reader) error {
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

func (s *Store) write(records ...*protocol.CoreRecord) error {
	for _, record := range records {
		data, err := proto.Marshal(record)
		if err != nil {
			return err
		}
		if _, err := s.log.Write(data); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) writeAndSync(records ...*protocol.CoreRecord) error {
	if err := s.write(records...); err != nil {
		return err
	}
	return s.log.Sync()
}

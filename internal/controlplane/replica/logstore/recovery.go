package logstore

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
)

// RecoveredState is the state that was recovered from a data folder.
type RecoveredState struct {
	// ClusterID is empty for a member that has neither founded nor joined a cluster.
	ClusterID string
	Initial   consensus.InitialState
	// SnapshotState is the state of the state machine in Initial.Snapshot; both are nil without a snapshot.
	SnapshotState []byte
}

// Recover reads the newest snapshot and replays the log. Errors: *CorruptStateError, those of
// package storage.
//
// A member may have been stopped after a snapshot was durable and before the log was compacted to it. Recover then
// compacts the log: entries after the snapshot must not be appended behind entries that the snapshot replaces, since a
// later replay could neither join them nor tell them apart.
func (s *Store) Recover() (RecoveredState, error) {
	snapshot, snapshotState, err := s.LoadSnapshot()
	if err != nil {
		return RecoveredState{}, err
	}
	state, err := s.replay(snapshot)
	if err != nil {
		return RecoveredState{}, err
	}
	if state.baseIndex > snapshot.GetIndex() {
		return RecoveredState{}, &CorruptStateError{Reason: "the newest snapshot ends before the log begins"}
	}
	if snapshot != nil {
		state.applyCompacted(snapshot)
	}
	if snapshot.GetIndex() > state.compactedIndex {
		if err := s.Compact(state.clusterID, snapshot, state.entries, state.hardState); err != nil {
			return RecoveredState{}, err
		}
	}
	return RecoveredState{
		ClusterID:     state.clusterID,
		Initial:       consensus.InitialState{HardState: state.hardState, Snapshot: snapshot, Entries: state.entries},
		SnapshotState: snapshotState,
	}, nil
}

func (s *Store) replay(snapshot *protocol.SnapshotMetadata) (*replayedLog, error) {
	state := &replayedLog{snapshot: snapshot}
	err := s.log.Replay(storage.Position{}, func(_ storage.Position, data []byte) error {
		record := &protocol.CoreRecord{}
		if err := proto.Unmarshal(data, record); err != nil {
			return err
		}
		return state.applyRecord(record)
	})
	return state, err
}

// replayedLog is the state after the records replayed so far.
type replayedLog struct {
	// snapshot is the newest durable snapshot, or nil.
	snapshot  *protocol.SnapshotMetadata
	clusterID string
	hardState *protocol.HardState
	entries   []*protocol.Entry
	// baseIndex and baseTerm are the index and the term of the entry before the first one in entries.
	baseIndex, baseTerm uint64
	// compactedIndex is the index of the snapshot to which the log was last compacted.
	compactedIndex uint64
}

func (s *replayedLog) applyRecord(record *protocol.CoreRecord) error {
	switch body := record.GetBody().(type) {
	case *protocol.CoreRecord_Entry:
		return s.applyEntry(body.Entry)
	case *protocol.CoreRecord_HardState:
		s.hardState = body.HardState
	case *protocol.CoreRecord_ClusterId:
		s.clusterID = body.ClusterId
	case *protocol.CoreRecord_Compacted:
		s.applyCompacted(body.Compacted)
		s.compactedIndex = body.Compacted.GetIndex()
	case *protocol.CoreRecord_Founding:
		return s.applyFounding(body.Founding)
	default:
		return &CorruptStateError{Reason: "a record of unknown kind"}
	}
	return nil
}

func (s *replayedLog) lastIndex() uint64 { return s.baseIndex + uint64(len(s.entries)) }

// applyEntry appends an entry, replacing any entries at its index and above. An entry that the log already has is
// a copy written by Compact, and replaces nothing.
//
// A gap that the newest snapshot covers is none: older versions appended entries after a snapshot although the log was
// not compacted to it.
func (s *replayedLog) applyEntry(entry *protocol.Entry) error {
	index := entry.GetIndex()
	if index > s.lastIndex()+1 && index <= s.snapshot.GetIndex()+1 {
		s.applyCompacted(s.snapshot)
	}
	switch {
	case index <= s.baseIndex:
		return nil
	case index > s.lastIndex()+1:
		return &CorruptStateError{Reason: "entries are missing from the log"}
	case index <= s.lastIndex() && s.entries[index-s.baseIndex-1].GetTerm() == entry.GetTerm():
		return nil
	}
	s.entries = append(s.entries[:index-s.baseIndex-1], entry)
	return nil
}

// applyCompacted drops the entries that a snapshot covers. Later entries stay only if the log has the snapshot's
// last entry; otherwise the history that the snapshot belongs to has replaced them.
func (s *replayedLog) applyCompacted(snapshot *protocol.SnapshotMetadata) {
	index := snapshot.GetIndex()
	hasEntry := index > s.baseIndex && index <= s.lastIndex()
	switch {
	case index == s.baseIndex && snapshot.GetTerm() == s.baseTerm || index < s.baseIndex:
		return
	case hasEntry && s.entries[index-s.baseIndex-1].GetTerm() == snapshot.GetTerm():
		s.entries = slices.Clone(s.entries[index-s.baseIndex:])
	default:
		s.entries = nil
	}
	s.baseIndex, s.baseTerm = index, snapshot.GetTerm()
}

func (s *replayedLog) applyFounding(founding *protocol.Founding) error {
	entry, err := foundingEntry(founding.GetFounder())
	if err != nil {
		return err
	}
	s.clusterID, s.entries, s.hardState = founding.GetClusterId(), []*protocol.Entry{entry}, foundingHardState()
	return nil
}

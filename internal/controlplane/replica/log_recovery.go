package replica

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
)

// founding terms: the founder's configuration is the first entry, committed in the first term.
const (
	foundingIndex = 1
	foundingTerm  = 1
)

// recovered is what the log and the snapshots hold.
type recoveredState struct {
	clusterID string
	hardState *protocol.HardState
	entries   []*protocol.Entry
	// The entry before the first one, as far as the log says.
	baseIndex, baseTerm uint64
}

func (d *disk) recover(snapshot *protocol.SnapshotMetadata) (string, consensus.InitialState, error) {
	state := &recoveredState{}
	err := d.log.Replay(storage.Position{}, func(_ storage.Position, data []byte) error {
		record := &protocol.CoreRecord{}
		if err := proto.Unmarshal(data, record); err != nil {
			return err
		}
		return state.applyRecord(record)
	})
	if err != nil {
		return "", consensus.InitialState{}, err
	}
	if state.baseIndex > snapshot.GetIndex() {
		return "", consensus.InitialState{}, &CorruptStateError{Reason: "the snapshot under the log is missing"}
	}
	if snapshot != nil {
		state.applyCompacted(snapshot)
	}
	return state.clusterID, consensus.InitialState{
		HardState: state.hardState, Snapshot: snapshot, Entries: state.entries,
	}, nil
}

func (s *recoveredState) applyRecord(record *protocol.CoreRecord) error {
	switch body := record.GetBody().(type) {
	case *protocol.CoreRecord_Entry:
		return s.applyEntry(body.Entry)
	case *protocol.CoreRecord_HardState:
		s.hardState = body.HardState
	case *protocol.CoreRecord_ClusterId:
		s.clusterID = body.ClusterId
	case *protocol.CoreRecord_Compacted:
		s.applyCompacted(body.Compacted)
	case *protocol.CoreRecord_Founding:
		return s.applyFounding(body.Founding)
	default:
		return &CorruptStateError{Reason: "a record of unknown kind"}
	}
	return nil
}

func (s *recoveredState) lastIndex() uint64 { return s.baseIndex + uint64(len(s.entries)) }

// takeEntry puts an entry in place of any at its index and above. One that is there already is
// a copy, made when a segment was begun, and replaces nothing.
func (s *recoveredState) applyEntry(entry *protocol.Entry) error {
	index := entry.GetIndex()
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

// compact drops the entries that a snapshot covers. Those after it stay only when the log
// held the snapshot's last entry; else they belong to another history.
func (s *recoveredState) applyCompacted(snapshot *protocol.SnapshotMetadata) {
	index := snapshot.GetIndex()
	switch {
	case index == s.baseIndex && snapshot.GetTerm() == s.baseTerm || index < s.baseIndex:
		return
	case index <= s.lastIndex() && index > s.baseIndex && s.entries[index-s.baseIndex-1].GetTerm() == snapshot.GetTerm():
		s.entries = append([]*protocol.Entry(nil), s.entries[index-s.baseIndex:]...)
	default:
		s.entries = nil
	}
	s.baseIndex, s.baseTerm = index, snapshot.GetTerm()
}

func (s *recoveredState) applyFounding(founding *protocol.Founding) error {
	entry, err := foundingEntry(founding.GetFounder())
	if err != nil {
		return err
	}
	s.clusterID, s.entries, s.hardState = founding.GetClusterId(), []*protocol.Entry{entry}, foundingHardState()
	return nil
}

func foundingEntry(founder *protocol.CoreMember) (*protocol.Entry, error) {
	configuration := &protocol.CoreConfiguration{Members: []*protocol.CoreMember{founder}}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(configuration)
	if err != nil {
		return nil, err
	}
	return &protocol.Entry{
		Term: foundingTerm, Index: foundingIndex, Kind: protocol.EntryKind_ENTRY_CONFIGURATION, Data: data,
	}, nil
}

func foundingHardState() *protocol.HardState {
	return &protocol.HardState{Term: foundingTerm, Commit: foundingIndex}
}

package logstore

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// The configuration of the founder is the first entry of a cluster, committed in the first term.
const (
	foundingIndex = 1
	foundingTerm  = 1
)

func entryRecords(entries []*protocol.Entry) []*protocol.CoreRecord {
	records := make([]*protocol.CoreRecord, 0, len(entries)+1)
	for _, entry := range entries {
		records = append(records, &protocol.CoreRecord{Body: &protocol.CoreRecord_Entry{Entry: entry}})
	}
	return records
}

func hardStateRecord(hardState *protocol.HardState) *protocol.CoreRecord {
	if hardState == nil {
		hardState = &protocol.HardState{}
	}
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

package logstore

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/protocol"
)

func TestReplayedLog(t *testing.T) {
	entry := func(index, term uint64) *protocol.CoreRecord {
		return entryRecords([]*protocol.Entry{{Index: index, Term: term}})[0]
	}
	compacted := func(index, term uint64) *protocol.CoreRecord {
		return compactedRecord(&protocol.SnapshotMetadata{Index: index, Term: term})
	}
	type records = []*protocol.CoreRecord
	cases := map[string]struct {
		records records
		want    string
	}{
		"plain":                                {records{entry(1, 1), entry(2, 1)}, "0: 1/1 2/1"},
		"a newer entry replaces and truncates": {records{entry(1, 1), entry(2, 1), entry(3, 1), entry(2, 2)}, "0: 1/1 2/2"},
		"a copy replaces nothing": {
			records{entry(1, 1), entry(2, 1), entry(3, 1), entry(2, 1)},
			"0: 1/1 2/1 3/1",
		},
		"entries after a snapshot stay":          {records{entry(1, 1), entry(2, 1), entry(3, 1), compacted(2, 1)}, "2: 3/1"},
		"entries of another history are dropped": {records{entry(1, 1), entry(2, 1), entry(3, 1), compacted(2, 3)}, "2:"},
		"a snapshot beyond the log":              {records{entry(1, 1), compacted(7, 3), entry(8, 3)}, "7: 8/3"},
		"copies in a new segment beside the old one": {
			records{entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1), compacted(2, 1), entry(3, 1)},
			"2: 3/1 4/1",
		},
		"entries below the base are old": {records{compacted(5, 2), entry(4, 2), entry(6, 2)}, "5: 6/2"},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			state := &replayedLog{}
			for _, record := range tt.records {
				if err := state.applyRecord(record); err != nil {
					t.Fatal(err)
				}
			}
			var got strings.Builder
			fmt.Fprintf(&got, "%d:", state.baseIndex)
			for _, recovered := range state.entries {
				fmt.Fprintf(&got, " %d/%d", recovered.GetIndex(), recovered.GetTerm())
			}
			if got.String() != tt.want {
				t.Errorf("recovered %q, want %q", got.String(), tt.want)
			}
		})
	}
	state := &replayedLog{}
	if err := state.applyRecord(entry(2, 1)); err == nil {
		t.Error("replaying a log whose first entry has index 2 returned no error")
	}
}

// Guards against a member that ends at every start on a log to which an older version appended entries after a snapshot
// without a record that the log was compacted to it.
func TestReplayJoinsEntriesOverAGapThatTheSnapshotCovers(t *testing.T) {
	entry := func(index, term uint64) *protocol.CoreRecord {
		return entryRecords([]*protocol.Entry{{Index: index, Term: term}})[0]
	}
	for name, tt := range map[string]struct {
		snapshot *protocol.SnapshotMetadata
		records  []*protocol.CoreRecord
		want     []uint64
	}{
		"the snapshot ends before the gap does": {
			&protocol.SnapshotMetadata{Index: 7, Term: 3}, []*protocol.CoreRecord{entry(1, 1), entry(9, 3)}, nil,
		},
		"the snapshot ends with the gap": {
			&protocol.SnapshotMetadata{Index: 7, Term: 3},
			[]*protocol.CoreRecord{entry(1, 1), entry(8, 3), entry(9, 3)},
			[]uint64{8, 9},
		},
		"a later snapshot": {
			&protocol.SnapshotMetadata{Index: 8, Term: 3},
			[]*protocol.CoreRecord{entry(1, 1), entry(7, 3), entry(9, 3)},
			[]uint64{9},
		},
	} {
		state, err := &replayedLog{snapshot: tt.snapshot}, error(nil)
		for _, record := range tt.records {
			err = errors.Join(err, state.applyRecord(record))
		}
		if tt.want == nil {
			if err == nil {
				t.Errorf("%s: replayed without an error", name)
			}
			continue
		}
		var indexes []uint64
		for _, recovered := range state.entries {
			indexes = append(indexes, recovered.GetIndex())
		}
		if err != nil || !slices.Equal(indexes, tt.want) {
			t.Errorf("%s: recovered entries %v and the error %v, want %v", name, indexes, err, tt.want)
		}
	}
}

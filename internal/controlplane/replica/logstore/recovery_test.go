package logstore

import (
	"fmt"
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

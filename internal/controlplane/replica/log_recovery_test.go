package replica

import (
	"fmt"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/protocol"
)

func TestRecoveredLog(t *testing.T) {
	entry := func(index, term uint64) *protocol.CoreRecord {
		return entryRecords([]*protocol.Entry{{Index: index, Term: term}})[0]
	}
	compacted := func(index, term uint64) *protocol.CoreRecord {
		return compactedRecord(&protocol.SnapshotMetadata{Index: index, Term: term})
	}
	cases := map[string]struct {
		records []*protocol.CoreRecord
		want    string
	}{
		"plain":                                      {[]*protocol.CoreRecord{entry(1, 1), entry(2, 1)}, "0: 1/1 2/1"},
		"a newer entry replaces and truncates":       {[]*protocol.CoreRecord{entry(1, 1), entry(2, 1), entry(3, 1), entry(2, 2)}, "0: 1/1 2/2"},
		"a copy replaces nothing":                    {[]*protocol.CoreRecord{entry(1, 1), entry(2, 1), entry(3, 1), entry(2, 1)}, "0: 1/1 2/1 3/1"},
		"entries after a snapshot stay":              {[]*protocol.CoreRecord{entry(1, 1), entry(2, 1), entry(3, 1), compacted(2, 1)}, "2: 3/1"},
		"entries of another history are dropped":     {[]*protocol.CoreRecord{entry(1, 1), entry(2, 1), entry(3, 1), compacted(2, 3)}, "2:"},
		"a snapshot beyond the log":                  {[]*protocol.CoreRecord{entry(1, 1), compacted(7, 3), entry(8, 3)}, "7: 8/3"},
		"copies in a new segment beside the old one": {[]*protocol.CoreRecord{entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1), compacted(2, 1), entry(3, 1)}, "2: 3/1 4/1"},
		"entries below the base are old":             {[]*protocol.CoreRecord{compacted(5, 2), entry(4, 2), entry(6, 2)}, "5: 6/2"},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			state := &recoveredState{}
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
	state := &recoveredState{}
	if err := state.applyRecord(entry(2, 1)); err == nil {
		t.Error("a log with a gap was accepted")
	}
}

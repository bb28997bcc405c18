package consensus

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// FuzzStep passes arbitrary messages to one member. The member may reject them, but it must not panic,
// decrease its term, commit index or applied index, or commit entries that it does not have.
func FuzzStep(f *testing.F) {
	for kind := range protocol.ConsensusMessageKind_name {
		message := &protocol.ConsensusMessage{
			Kind: protocol.ConsensusMessageKind(kind), From: 2, To: 1, Term: 2,
			LogIndex: 1, LogTerm: 1, Commit: 9, ChunkLast: true,
			Entries:  []*protocol.Entry{{Index: 2, Term: 2, Kind: protocol.EntryKind_ENTRY_COMMAND}},
			Snapshot: &protocol.SnapshotMetadata{Index: 7, Term: 2},
		}
		data, _ := proto.Marshal(message)
		f.Add(data, data, uint8(3), true)
	}
	f.Fuzz(func(t *testing.T, first, second []byte, wait uint8, electFirst bool) {
		s := newScriptedCluster(t, 0)
		if electFirst {
			s.elect(1)
		}
		node := s.nodes[1]
		for _, data := range [][]byte{first, second, first} {
			message := &protocol.ConsensusMessage{}
			if proto.Unmarshal(data, message) != nil {
				continue
			}
			before := node.Status()
			_ = node.Step(message, s.now)
			s.now = s.now.Add(time.Duration(wait) * 10 * time.Millisecond)
			node.Tick(s.now)
			for node.HasReady() {
				ready := node.Ready()
				node.Advance(ready, s.now)
			}
			after := node.Status()
			regressed := after.Term < before.Term || after.Commit < before.Commit || after.Applied < before.Applied
			if regressed || after.Commit > after.LastIndex {
				t.Fatalf("message %v changed the status from %+v to %+v", message, before, after)
			}
		}
	})
}

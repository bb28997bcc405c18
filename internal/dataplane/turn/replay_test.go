package turn_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/protocol"
)

func TestReplayedAnswerEqualsTheFirstOne(t *testing.T) {
	s := newScript(&protocol.TurnRequest{}).on("issue", token, done).run()
	first := s.lastEvent().GetCompleted()
	if first.GetNonce() != "n1" || first.GetCachedTokens() == 0 {
		t.Fatalf("the first answer was %v, want nonce n1 and cached tokens", first)
	}
	var retained *protocol.Turn
	for _, command := range s.commands {
		if commit, ok := command.(turn.Commit); ok {
			retained = commit.Operation.GetTurn()
		}
	}
	events := turn.Replay(retained, 2, "f2", 4)
	if replayed := events[len(events)-1].GetCompleted(); !proto.Equal(replayed, first) {
		t.Fatalf("replayed %v, want %v", replayed, first)
	}
}

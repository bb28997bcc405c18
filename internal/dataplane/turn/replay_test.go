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
		t.Fatalf("the first answer was %v", first)
	}
	var retained *protocol.Turn
	for _, command := range s.commands {
		if commit, is := command.(turn.Commit); is {
			retained = commit.Operation.GetTurn()
		}
	}
	events := turn.Replay(retained, 2, "f2", 4)
	if again := events[len(events)-1].GetCompleted(); !proto.Equal(again, first) {
		t.Fatalf("the same answer from the ledger is %v, was %v", again, first)
	}
}

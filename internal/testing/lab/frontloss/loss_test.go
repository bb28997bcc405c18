package frontloss_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/frontloss"
)

// sessionHeldBy returns a session id whose directory partition a member holds.
func sessionHeldBy(members []ring.Member, name string) string {
	places := ring.New(members, 16)
	for i := 0; ; i++ {
		session := fmt.Sprintf("session-%d", i)
		if holder, _ := places.Holder(ring.Key(session)); holder.Name == name {
			return session
		}
	}
}

func TestLossIsCountedByOwnerAndHolder(t *testing.T) {
	members := []ring.Member{
		{Name: "a", Address: "127.0.0.1:1"},
		{Name: "b", Address: "127.0.0.1:2"},
		{Name: "c", Address: "127.0.0.1:3"},
	}
	lost := time.Unix(1000, 0)
	kill := frontloss.Loss{Lost: "a", Members: members, At: lost, Until: lost.Add(time.Minute)}
	turn := func(session, owner string, epoch uint64, seconds int) *caller.Record {
		at := lost.Add(time.Duration(seconds) * time.Second)
		return &caller.Record{
			Operation: caller.OperationTurn, Session: session, Owner: owner, Epoch: epoch, Outcome: caller.OutcomeAnswered,
			AnsweredAt: at, Exchanges: []caller.Exchange{{SentAt: at.Add(-time.Millisecond), AnsweredAt: at}},
		}
	}
	held, other := sessionHeldBy(members, "a"), sessionHeldBy(members, "b")
	owned := other + "x"
	refused := turn(held, "", 0, 2)
	refused.Outcome = caller.OutcomeNotRun
	cost := frontloss.Measure(kill, 16, []*caller.Record{
		turn(held, "b", 1, -5), turn(held, "b", 1, 5),
		turn(other, "c", 1, -5), turn(other, "c", 2, 5),
		turn(owned, "a", 1, -5), turn(owned, "b", 2, 5),
		turn("never-seen-again", "b", 1, -5), refused,
	})
	if want := (frontloss.Cost{Owned: 1, Held: 1, HeldKept: 1, OthersRebuilt: 1, Refused: 1}); cost != want {
		t.Fatalf("counted %+v, want %+v", cost, want)
	}
	if cost.Rebuilt() != 1 {
		t.Fatalf("%d rebuilt", cost.Rebuilt())
	}
}

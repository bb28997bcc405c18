package register_test

import (
	"slices"
	"testing"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/register"
)

var fiveStores = []string{"a", "b", "c", "d", "e"}

func spareChange(quorum register.Quorum, preference ...string) *register.Change {
	return register.NewChange(register.ChangeOptions{
		Key: &protocol.RegisterKey{Program: "p"}, Epoch: 1, Quorum: quorum, Ballots: register.NewBallots("p"), Preference: preference,
		Head:     register.Head{Epoch: 1, Ballot: register.Ballot{Counter: 7, Proposer: "p"}},
		Function: func([]byte) ([]byte, bool) { return []byte("x"), true },
	})
}

func storesAsked(messages []register.Message) []string {
	var stores []string
	for _, message := range messages {
		stores = append(stores, message.Store)
	}
	return stores
}

func wantAsked(t *testing.T, when string, messages []register.Message, want ...string) {
	t.Helper()
	if got := storesAsked(messages); !slices.Equal(got, want) {
		t.Errorf("%s: asked %v, want %v", when, got, want)
	}
}

func TestAChangeAsksAMajorityFirst(t *testing.T) {
	change := spareChange(register.Quorum{Current: fiveStores}, "d", "b", "e", "a", "c")
	wantAsked(t, "at the start", change.Start(), "d", "b", "e")
	for _, store := range []string{"d", "b", "e"} {
		wantAsked(t, "when all accept", change.Accepted(store, 1, &protocol.AcceptResponse{Accepted: true}))
	}
	if change.Status() != register.StatusChosen {
		t.Errorf("status %v", change.Status())
	}
}

func TestAStoreThatFailsIsReplacedAtOnce(t *testing.T) {
	for name, fail := range map[string]func(*register.Change) []register.Message{
		"no answer": func(c *register.Change) []register.Message { return c.Failed("b", 1) },
		"a refusal": func(c *register.Change) []register.Message {
			return c.Accepted("b", 1, &protocol.AcceptResponse{Refusal: protocol.ReplicaRefusal_REPLICA_NOT_READY})
		},
		"a higher ballot": func(c *register.Change) []register.Message {
			return c.Accepted("b", 1, &protocol.AcceptResponse{Seen: &protocol.Ballot{Counter: 9}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			change := spareChange(register.Quorum{Current: fiveStores}, "d", "b", "e")
			change.Start()
			wantAsked(t, "after a failure", fail(change), "a", "c")
			wantAsked(t, "after another one", change.Failed("e", 1))
			for _, store := range []string{"d", "a", "c"} {
				change.Accepted(store, 1, &protocol.AcceptResponse{Accepted: true})
			}
			if change.Status() != register.StatusChosen {
				t.Errorf("status %v", change.Status())
			}
		})
	}
}

func TestASilentStoreIsReplacedWhenItsOwnerSaysSo(t *testing.T) {
	change := spareChange(register.Quorum{Current: fiveStores}, fiveStores...)
	change.Start()
	change.Accepted("a", 1, &protocol.AcceptResponse{Accepted: true})
	if got := change.Unanswered(); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("unanswered %v", got)
	}
	wantAsked(t, "widened", change.Widen(), "d", "e")
	wantAsked(t, "widened again", change.Widen())
	if got := change.Unanswered(); len(got) != 0 {
		t.Errorf("nobody is left to ask, yet %v are named", got)
	}
}

func TestAnAnswerOfAStoreThatWasNotAskedCountsForNothing(t *testing.T) {
	change := spareChange(register.Quorum{Current: fiveStores}, fiveStores...)
	change.Start()
	for _, store := range []string{"a", "d", "e"} {
		change.Accepted(store, 1, &protocol.AcceptResponse{Accepted: true})
	}
	if change.Status() != register.StatusUnderWay {
		t.Errorf("status %v", change.Status())
	}
}

func TestAllAreAskedWhileAShardMoves(t *testing.T) {
	quorum := register.Quorum{Current: []string{"a", "b", "c"}, Next: []string{"b", "c", "d"}}
	wantAsked(t, "while it moves", spareChange(quorum, "c", "b").Start(), "a", "b", "c", "d")
}

func TestLeastIsAMajorityOfEachSet(t *testing.T) {
	for _, one := range []struct {
		quorum     register.Quorum
		preference []string
		want       []string
	}{
		{register.Quorum{Current: []string{"a", "b", "c"}}, []string{"c"}, []string{"c", "a"}},
		{register.Quorum{Current: fiveStores}, []string{"x", "e", "d"}, []string{"e", "d", "a"}},
		{register.Quorum{Current: []string{"a", "b", "c"}, Next: []string{"c", "d", "e"}}, []string{"c", "d"}, []string{"c", "d", "a"}},
		{register.Quorum{Current: []string{"a"}}, nil, []string{"a"}},
	} {
		if got := one.quorum.Least(one.preference); !slices.Equal(got, one.want) {
			t.Errorf("%v by %v: %v, want %v", one.quorum, one.preference, got, one.want)
		}
	}
}

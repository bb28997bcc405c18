package turns

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
)

// lateAnswerTimeout is how long the other replicas may still answer after a majority
// reported that a turn is missing.
const lateAnswerTimeout = 100 * time.Millisecond

// lateAnswers bounds the wait for the remaining replicas once a majority decides.
type lateAnswers struct {
	// expired is closed at the end of the wait; nil before the wait began.
	expired chan struct{}
	stop    func()
}

// begin starts the wait at the first call.
func (l *lateAnswers) begin(clock lifecycle.Clock) {
	if l.expired == nil {
		expired := make(chan struct{})
		l.expired, l.stop = expired, clock.AfterFunc(lateAnswerTimeout, func() { close(expired) })
	}
}

func (l *lateAnswers) end() {
	if l.stop != nil {
		l.stop()
	}
}

type fetchAnswer struct {
	store string
	turns []*protocol.Turn
	// answered is true when the store looked for the turn; without turns it does not have it.
	answered bool
}

// fetchFromPeers queries all other replicas at once and returns the first turns that one of
// them has. Without any it returns LEDGER_TURN_MISSING when a majority does not have the
// turn, and LEDGER_UNAVAILABLE otherwise.
func (s *Service) fetchFromPeers(
	ctx context.Context, shard register.ShardView, program, last string, limit uint32,
) ([]*protocol.Turn, protocol.LedgerStatus) {
	answers, queried := s.requestFromPeers(shard, &protocol.FetchTurnsRequest{
		Shard: shard.Shard, PlacementEpoch: shard.Epoch, Program: program, LastTurn: last, Limit: limit,
	})
	missing := map[string]bool{s.options.Store: s.countsAsMissing(shard)}
	isMissing := func() bool { return shard.Quorum.Reached(func(store string) bool { return missing[store] }) }
	var late lateAnswers
	defer late.end()
	for range queried {
		if isMissing() {
			late.begin(s.options.Lifecycle.Clock())
		}
		select {
		case <-late.expired:
			return nil, protocol.LedgerStatus_LEDGER_TURN_MISSING
		case answer := <-answers:
			if len(answer.turns) > 0 {
				return answer.turns, protocol.LedgerStatus_LEDGER_OK
			}
			missing[answer.store] = answer.answered
		case <-ctx.Done():
			return nil, protocol.LedgerStatus_LEDGER_UNAVAILABLE
		}
	}
	if isMissing() {
		return nil, protocol.LedgerStatus_LEDGER_TURN_MISSING
	}
	return nil, protocol.LedgerStatus_LEDGER_UNAVAILABLE
}

// requestFromPeers sends a request to all other replicas and returns the channel of their
// answers, and how many will come.
func (s *Service) requestFromPeers(
	shard register.ShardView, fetch *protocol.FetchTurnsRequest,
) (<-chan fetchAnswer, int) {
	answers := make(chan fetchAnswer, len(shard.Quorum.Members()))
	queried := 0
	request := &protocol.Request{Body: &protocol.Request_FetchTurns{FetchTurns: fetch}}
	for _, store := range shard.Quorum.Members() {
		if store == s.options.Store {
			continue
		}
		queried++
		s.options.Peers.Send(store, request, func(response *protocol.Response, err error) {
			answer := fetchAnswer{store: store}
			if fetched := response.GetFetchTurns(); err == nil && fetched != nil && fetched.GetRefusal() == notRejected {
				answer.turns, answer.answered = fetched.GetTurns(), true
			}
			answers <- answer
		})
	}
	return answers, queried
}

// countsAsMissing reports whether this replica, which lacks a turn, counts for the turn being
// missing: it must vote under the placement that the read was planned with.
func (s *Service) countsAsMissing(shard register.ShardView) bool {
	current := s.options.Placement.Current().Shard(shard.Shard)
	return current.Epoch == shard.Epoch && current.Role.Votes()
}

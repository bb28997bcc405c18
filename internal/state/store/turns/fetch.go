package turns

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
)

// lateAnswerTimeout is how long to wait for the remaining replicas after a majority reported
// a turn as missing.
const lateAnswerTimeout = 100 * time.Millisecond

// lateAnswers bounds the wait for the remaining replicas once a majority has answered.
type lateAnswers struct {
	// expired is closed at the end of the wait; it is nil before the wait begins.
	expired chan struct{}
	stop    func()
}

// begin starts the wait on the first call; further calls have no effect.
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

// fetchAnswer is the response of one replica to a request for turns.
type fetchAnswer struct {
	store string
	turns []*protocol.Turn
	// answered is true when the store looked up the turn; if turns is empty then, it lacks the turn.
	answered bool
}

// fetchFromPeers queries all other replicas concurrently and returns the first turns received.
// If it receives none it returns LEDGER_TURN_MISSING when a majority lacks the turn, and
// LEDGER_UNAVAILABLE otherwise.
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

// requestFromPeers sends a request to all other replicas. It returns the channel of their
// answers and the number of replicas queried, each of which results in one answer.
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

// countsAsMissing reports whether this replica, which lacks a turn, counts towards the majority
// that reports it missing: it must vote under the placement with which the read was routed.
func (s *Service) countsAsMissing(shard register.ShardView) bool {
	current := s.options.Placement.Current().Shard(shard.Shard)
	return current.Epoch == shard.Epoch && current.Role.Votes()
}

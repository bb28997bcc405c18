package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/state/store/records"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
	"github.com/rosestand/rosestand/internal/storage"
)

const (
	// maximumTurns bounds the turns of one answer.
	maximumTurns = 256
	// maximumTurnBytes bounds the turns of one answer, well under a frame.
	maximumTurnBytes = 8 << 20
	// missingGrace is how long the other replicas are heard after a majority said that a turn is missing.
	missingGrace = 100 * time.Millisecond
)

// localTurn reads one turn from the log of this store; nil when it is not here.
func (s *Store) localTurn(shard uint32, program, id string) (*protocol.Turn, error) {
	g := s.group(shard)
	key := turnindex.NewKey(program, id)
	found, err := ask(g, func() turnindex.Entry { held, _ := g.table(shard).Turns.Get(key); return held })
	if err != nil || found == (turnindex.Entry{}) {
		return nil, err
	}
	return s.readTurn(found, program, id)
}

// readTurn reads a turn from its position, with the end of its keeping time as it is now. A segment removed meanwhile held expired turns only.
func (s *Store) readTurn(at turnindex.Entry, program, id string) (*protocol.Turn, error) {
	encoded, err := s.folder.Turns.Read(at.Position())
	var removed *storage.PositionError
	if errors.As(err, &removed) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	record, err := records.Decode(encoded)
	if err != nil {
		return nil, err
	}
	turn := record.GetTurn()
	if program != "" && (turn.GetProgram() != program || turn.GetId() != id) {
		return nil, nil
	}
	if at.RetainUntil > turnindex.RetainUntil(turn) {
		turn.KeepUntilMillis = int64(at.RetainUntil) * time.Second.Milliseconds()
	}
	return turn, nil
}

// localChain follows previous_turn from last as far as this store has the turns.
func (s *Store) localChain(shard uint32, program, last string, limit uint32) ([]*protocol.Turn, error) {
	if limit == 0 || limit > maximumTurns {
		limit = maximumTurns
	}
	var turns []*protocol.Turn
	bytes := 0
	for uint32(len(turns)) < limit && last != "" && bytes < maximumTurnBytes {
		turn, err := s.localTurn(shard, program, last)
		if err != nil || turn == nil {
			return turns, err
		}
		turns = append(turns, turn)
		bytes += proto.Size(turn)
		last = turnindex.PreviousInProgram(turn)
	}
	return turns, nil
}

// readTurns answers a chain of turns, newest first. A turn that this store
// lacks is asked of the others and kept here; it is said to be missing only
// when a majority of the placement in force says so.
func (s *Store) readTurns(ctx context.Context, shard register.ShardView, program string, read *protocol.ReadTurns) (*protocol.LedgerResult, error) {
	limit := read.GetLimit()
	if limit == 0 || limit > maximumTurns {
		limit = maximumTurns
	}
	result := &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_OK}
	next, bytes := read.GetLastTurn(), 0
	for uint32(len(result.Turns)) < limit && next != "" && bytes < maximumTurnBytes {
		turns, err := s.localChain(shard.Shard, program, next, limit-uint32(len(result.Turns)))
		if err != nil {
			return nil, s.readFailed(err)
		}
		if len(turns) == 0 {
			var status protocol.LedgerStatus
			turns, status = s.fetchFromPeers(ctx, shard, program, next, limit-uint32(len(result.Turns)))
			if len(turns) == 0 {
				result.Status = status
				result.LastTurn = next
				return result, nil
			}
			s.repairTurns(shard, turns)
		}
		for _, turn := range turns {
			bytes += proto.Size(turn)
		}
		result.Turns = append(result.Turns, turns...)
		next = turnindex.PreviousInProgram(turns[len(turns)-1])
	}
	result.LastTurn = next
	return result, nil
}

// readFailed ends the store on a damaged log: what it holds cannot be trusted,
// and at the next start, which reads the log in full, it begins anew from its peers.
func (s *Store) readFailed(err error) error {
	var corrupt *storage.CorruptError
	if errors.As(err, &corrupt) {
		s.turnsDamaged.Store(true)
		err = errors.CombineErrors(err, s.folder.RemoveTurnIndex())
		s.fail(&datafolder.LogError{Log: datafolder.TurnLog, Cause: err})
	}
	return err
}

type fetchAnswer struct {
	store string
	turns []*protocol.Turn
	// answered says that the store looked for the turn; without turns it does not have it.
	answered bool
}

// lateAnswers lets the rest of the replicas be heard for a while once a majority decides.
type lateAnswers struct {
	over chan struct{}
	stop func()
}

// begin starts the time at the first call.
func (l *lateAnswers) begin(clock Clock) {
	if l.over == nil {
		over := make(chan struct{})
		l.over, l.stop = over, clock.AfterFunc(missingGrace, func() { close(over) })
	}
}

func (l *lateAnswers) end() {
	if l.stop != nil {
		l.stop()
	}
}

// fetchFromPeers asks all other replicas at once and returns the first turns
// found. Without any it returns LEDGER_TURN_MISSING when a majority does not
// have the turn, and LEDGER_UNAVAILABLE otherwise.
func (s *Store) fetchFromPeers(ctx context.Context, shard register.ShardView, program, last string, limit uint32) ([]*protocol.Turn, protocol.LedgerStatus) {
	self := s.options.Self.GetName()
	answers := make(chan fetchAnswer, len(shard.Quorum.Members()))
	asked := 0
	request := &protocol.Request{Body: &protocol.Request_FetchTurns{FetchTurns: &protocol.FetchTurnsRequest{
		Shard: shard.Shard, PlacementEpoch: shard.Epoch, Program: program, LastTurn: last, Limit: limit,
	}}}
	for _, store := range shard.Quorum.Members() {
		if store == self {
			continue
		}
		asked++
		s.peers.Send(store, request, func(response *protocol.Response, err error) {
			answer := fetchAnswer{store: store}
			if fetched := response.GetFetchTurns(); err == nil && fetched != nil && fetched.GetRefusal() == notRefused {
				answer.turns, answer.answered = fetched.GetTurns(), true
			}
			answers <- answer
		})
	}
	lacking := map[string]bool{self: s.saysMissing(shard)}
	isMissing := func() bool { return shard.Quorum.Reached(func(store string) bool { return lacking[store] }) }
	var late lateAnswers
	defer late.end()
	for range asked {
		if isMissing() {
			late.begin(s.options.Clock)
		}
		select {
		case <-late.over:
			return nil, protocol.LedgerStatus_LEDGER_TURN_MISSING
		case answer := <-answers:
			if len(answer.turns) > 0 {
				return answer.turns, protocol.LedgerStatus_LEDGER_OK
			}
			lacking[answer.store] = answer.answered
		case <-ctx.Done():
			return nil, protocol.LedgerStatus_LEDGER_UNAVAILABLE
		}
	}
	if isMissing() {
		return nil, protocol.LedgerStatus_LEDGER_TURN_MISSING
	}
	return nil, protocol.LedgerStatus_LEDGER_UNAVAILABLE
}

// saysMissing reports whether this replica may count for a turn being missing:
// it must vote under the placement that the read was planned under.
func (s *Store) saysMissing(shard register.ShardView) bool {
	current := s.shardView(shard.Shard)
	return current.Epoch == shard.Epoch && current.Role.Votes()
}

// repairTurns keeps turns here that were found on another replica.
func (s *Store) repairTurns(shard register.ShardView, turns []*protocol.Turn) {
	g := s.group(shard.Shard)
	g.mailbox.Post(func() {
		for _, turn := range turns {
			g.keepTurn(shard.Shard, turn, func() { s.metrics.countRepaired(0, 1) })
		}
	})
}

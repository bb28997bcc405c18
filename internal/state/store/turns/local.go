package turns

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/owner"
	"github.com/rosestand/rosestand/internal/state/store/records"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/transport/memorybudget"
)

// readCopies is how often a turn may stand in memory while it is read: as its record, decoded, and in the frame of the
// answer.
const readCopies = 3

// Local reads one turn from the log of this store; it returns nil if the store does not have it. The account holds the
// memory of the turn.
func (s *Service) Local(shard uint32, program, id string, account *memorybudget.Account) (*protocol.Turn, error) {
	g := s.options.Groups.Of(shard)
	key := turnindex.NewKey(program, id)
	entry, err := owner.Call(g, func() turnindex.Entry {
		entry, _ := g.Table(shard).Turns.Get(key)
		return entry
	})
	if err != nil || entry == (turnindex.Entry{}) {
		return nil, err
	}
	turn, err := s.Read(entry, account)
	if turn.GetProgram() != program || turn.GetId() != id {
		// Another turn has the same hash.
		return nil, err
	}
	return turn, err
}

// Read reads the turn of an index entry and sets the current end of its retention. It returns
// nil when the segment has been removed, since only segments of expired turns are. The account holds the memory of the
// turn; the error is a *failure.Error when there is none.
func (s *Service) Read(entry turnindex.Entry, account *memorybudget.Account) (*protocol.Turn, error) {
	size, err := s.options.Folder.Turns.RecordBytes(entry.Position())
	if err == nil && !account.TryGrow(int64(readCopies*size)) {
		return nil, noMemory(size)
	}
	encoded, err := s.options.Folder.Turns.Read(entry.Position())
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
	if entry.RetainUntil > turnindex.RetainUntil(turn) {
		turn.KeepUntilMillis = int64(entry.RetainUntil) * time.Second.Milliseconds()
	}
	return turn, nil
}

// noMemory is the failure of a request whose turn finds no memory. Another replica may have some.
func noMemory(size int) error {
	return failure.New(failure.NotReady, protocol.Outcome_NOT_RUN,
		"no memory to read a turn of "+strconv.Itoa(size)+" bytes", failure.WithRetryAfter(memoryRetryAfter))
}

// memoryRetryAfter is the wait that is advised when a turn finds no memory.
const memoryRetryAfter = 100 * time.Millisecond

// holdTurns accounts for turns that another replica sent; it reports false if there is no memory for them.
func holdTurns(account *memorybudget.Account, turns ...*protocol.Turn) bool {
	size := 0
	for _, turn := range turns {
		size += proto.Size(turn)
	}
	return account.TryGrow(int64(readCopies * size))
}

// LocalChain returns a turn and its predecessors, newest first, up to the first turn that this
// store lacks, limit turns or about maxTurnBytes.
func (s *Service) LocalChain(
	shard uint32, program, last string, limit uint32, account *memorybudget.Account,
) ([]*protocol.Turn, error) {
	limit = boundedLimit(limit)
	var chain []*protocol.Turn
	size := 0
	for uint32(len(chain)) < limit && last != "" && size < maxTurnBytes {
		turn, err := s.Local(shard, program, last, account)
		if err != nil || turn == nil {
			return chain, err
		}
		chain = append(chain, turn)
		size += proto.Size(turn)
		last = turnindex.PreviousInProgram(turn)
	}
	return chain, nil
}

func boundedLimit(limit uint32) uint32 {
	if limit == 0 || limit > maxTurns {
		return maxTurns
	}
	return limit
}

// ServeFetch returns the chain that ends with a turn, as far as this store has it, to another replica.
func (s *Service) ServeFetch(
	request *protocol.FetchTurnsRequest, account *memorybudget.Account,
) (*protocol.FetchTurnsResponse, error) {
	view := s.options.Placement.Current().Shard(request.GetShard())
	answer := &protocol.FetchTurnsResponse{
		Refusal: view.Rejection(request.GetPlacementEpoch()), PlacementEpoch: view.Epoch,
	}
	if answer.GetRefusal() != notRejected {
		return answer, nil
	}
	chain, err := s.LocalChain(request.GetShard(), request.GetProgram(), request.GetLastTurn(), request.GetLimit(),
		account)
	if err != nil {
		return nil, s.FailOnDamage(err)
	}
	answer.Turns = chain
	return answer, nil
}

package turns

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
	"github.com/rosestand/rosestand/internal/transport/memorybudget"
)

// ReadChain returns a chain of turns, newest first. A turn that this store lacks is requested
// from the other replicas and retained here; it is reported as missing only when a majority
// of the current placement lacks it. The account holds the memory of the turns.
func (s *Service) ReadChain(
	ctx context.Context, shard register.ShardView, program string, read *protocol.ReadTurns,
	account *memorybudget.Account,
) (*protocol.LedgerResult, error) {
	limit := boundedLimit(read.GetLimit())
	result := okResult()
	next, size := read.GetLastTurn(), 0
	for uint32(len(result.Turns)) < limit && next != "" && size < maxTurnBytes {
		remaining := limit - uint32(len(result.Turns))
		chain, err := s.LocalChain(shard.Shard, program, next, remaining, account)
		if err != nil {
			return nil, s.FailOnDamage(err)
		}
		if len(chain) == 0 {
			var status protocol.LedgerStatus
			chain, status = s.fetchFromPeers(ctx, shard, program, next, remaining)
			if len(chain) == 0 {
				result.Status = status
				result.LastTurn = next
				return result, nil
			}
			if !holdTurns(account, chain...) {
				return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), nil
			}
			s.repair(shard.Shard, chain)
		}
		for _, turn := range chain {
			size += proto.Size(turn)
		}
		result.Turns = append(result.Turns, chain...)
		next = turnindex.PreviousInProgram(chain[len(chain)-1])
	}
	result.LastTurn = next
	return result, nil
}

// repair retains turns that were received from another replica. It does not wait.
func (s *Service) repair(shard uint32, chain []*protocol.Turn) {
	g := s.options.Groups.Of(shard)
	g.Post(func() {
		for _, turn := range chain {
			g.RetainTurn(shard, turn, func() { s.options.Repaired(1) })
		}
	})
}

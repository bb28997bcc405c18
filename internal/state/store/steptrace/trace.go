package steptrace

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/register"
)

// maxConcurrentReads bounds the programs of a trace that are read concurrently.
const maxConcurrentReads = 32

// UnreadProgramError reports that no replica of a program's shard could read its record from a majority.
type UnreadProgramError struct {
	Program string
}

// Error implements error.
func (e *UnreadProgramError) Error() string {
	return "program " + e.Program + ": record not read from a majority"
}

// readMembers reads each program from a majority, several concurrently, and returns those that
// are members of the step, ordered by name. The error is an *UnreadProgramError.
func (s *Service) readMembers(
	ctx context.Context, step string, names []string,
) ([]*protocol.TrainingStepProgram, error) {
	readers, ctx := errgroup.WithContext(ctx)
	readers.SetLimit(maxConcurrentReads)
	reader := &programReader{service: s}
	members := make([]*protocol.TrainingStepProgram, len(names))
	for i, name := range names {
		readers.Go(func() error {
			record, err := reader.read(ctx, name)
			if err == nil && record.GetTrainingStep().GetStep() == step {
				members[i] = &protocol.TrainingStepProgram{
					Program: name, Tenant: record.GetTenant(), Membership: record.GetTrainingStep(),
				}
			}
			return err
		})
	}
	if err := readers.Wait(); err != nil {
		return nil, err
	}
	members = slices.DeleteFunc(members, func(member *protocol.TrainingStepProgram) bool { return member == nil })
	slices.SortFunc(members, compareByProgram)
	return members, nil
}

func compareByProgram(a, b *protocol.TrainingStepProgram) int {
	return cmp.Compare(a.GetProgram(), b.GetProgram())
}

// programReader reads each program through the store that usually proposes for it, so that reads
// do not compete with changes in progress. Any goroutine may use it.
type programReader struct {
	service *Service
	// unresponsive contains the stores that did not answer a read; later reads query them last.
	unresponsive sync.Map
	// failed is set once a program could not be read; the remaining reads then fail without further queries.
	failed atomic.Bool
}

// read returns a program's record, or nil if it has none. The error is an *UnreadProgramError.
func (r *programReader) read(ctx context.Context, program string) (*protocol.ProgramRecord, error) {
	current := r.service.options.Placement.Current()
	shard := current.ShardOf(program)
	operation := &protocol.LedgerOperation{
		Program:        program,
		PlacementEpoch: shard.Epoch,
		Body:           &protocol.LedgerOperation_ReadProgram{ReadProgram: &protocol.ReadProgram{}},
	}
	for _, replica := range r.order(shard) {
		if r.failed.Load() || ctx.Err() != nil {
			break
		}
		result, err := r.query(ctx, shard, replica, operation)
		switch {
		case err != nil:
			r.unresponsive.Store(replica, true)
		case result.GetStatus() == protocol.LedgerStatus_LEDGER_OK,
			result.GetStatus() == protocol.LedgerStatus_LEDGER_UNKNOWN_PROGRAM:
			return result.GetProgram(), nil
		}
	}
	r.failed.Store(true)
	return nil, &UnreadProgramError{Program: program}
}

// order returns the replicas of a shard in the order in which front nodes query them, unresponsive ones last.
func (r *programReader) order(shard register.ShardView) []string {
	replicas := slices.Clone(shard.Quorum.Current)
	slices.SortStableFunc(replicas, func(a, b string) int { return cmp.Compare(r.rank(a), r.rank(b)) })
	return replicas
}

func (r *programReader) rank(store string) int {
	if _, unresponsive := r.unresponsive.Load(store); unresponsive {
		return 1
	}
	return 0
}

func (r *programReader) query(
	ctx context.Context, shard register.ShardView, replica string, operation *protocol.LedgerOperation,
) (*protocol.LedgerResult, error) {
	ctx, cancel := context.WithTimeout(ctx, r.service.options.PeerTimeout)
	defer cancel()
	if replica == r.service.options.Store {
		if !shard.Role.Votes() {
			return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), nil
		}
		return r.service.options.Proposer.Propose(ctx, shard, operation)
	}
	response, err := r.service.options.Peers.Call(ctx, replica,
		&protocol.Request{Body: &protocol.Request_Ledger{Ledger: operation}})
	return response.GetLedger(), err
}

package store

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/placement"
)

const (
	// traceReadsAtOnce bounds the programs of a trace that are read side by side.
	traceReadsAtOnce = 32
	// listMembersTime bounds the scan of one store.
	listMembersTime = 5 * time.Second
)

// A trace of a training step must show no less than what was acknowledged, and
// nothing that is not so. It is taken in three parts:
//
//  1. All stores name the programs that, as their replicas have it, generate for
//     the step. A program's membership was acknowledged by a majority of its shard,
//     and each later value was made from one with it, so at least one of any
//     majority names the program. The list is complete when a majority of each
//     shard answered under the placement in force; else the trace is unavailable,
//     never shorter.
//  2. Each program named is read from a majority, as ReadProgram does. What a
//     replica holds alone may be a change that was never chosen: of two such
//     records the one that counts more generations can be the one that lost
//     (an owner's settle, accepted by a minority, against the claim that charged
//     the same turn later), and both can count as many. Neither the highest
//     count nor what most replicas hold decides that, only the register does:
//     the read completes a change that may have been chosen, or finds it
//     superseded. So every change that was acknowledged before the trace is in it, and what
//     a trace shows never comes undone. A program that turns out to be of no step
//     or of another was never acknowledged as a member and is left out.
//  3. The pin is read in the same way, last, so that it is there when a program is.
//
// Generations that are acknowledged while a trace is taken may be in it or not.

// traceTrainingStep reads the pin of a step and all its programs.
func (s *Store) traceTrainingStep(ctx context.Context, shard register.ShardView, message *protocol.LedgerOperation) (*protocol.LedgerResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	step := message.GetTraceTrainingStep().GetStep()
	names, complete, err := s.listMembers(ctx, step)
	if err != nil {
		return nil, err
	}
	if !complete {
		return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), nil
	}
	programs, read := s.readMembers(ctx, step, names)
	if !read {
		return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), nil
	}
	pinned, err := s.propose(ctx, shard, &protocol.LedgerOperation{
		Program: message.GetProgram(),
		Body:    &protocol.LedgerOperation_PinTrainingStep{PinTrainingStep: &protocol.PinTrainingStep{Step: step}},
	})
	switch {
	case err != nil:
		return nil, err
	case pinned.GetStatus() == protocol.LedgerStatus_LEDGER_STEP_UNKNOWN && len(programs) > 0:
		// The pin was forgotten before the programs.
	case pinned.GetStatus() != protocol.LedgerStatus_LEDGER_OK:
		return pinned, nil
	}
	return &protocol.LedgerResult{
		Status: protocol.LedgerStatus_LEDGER_OK,
		TrainingStepTrace: &protocol.TrainingStepTrace{
			Pin:      pinned.GetTrainingStepPin(),
			Programs: programs,
		},
	}, nil
}

type membersAnswer struct {
	store  string
	answer *protocol.ListTrainingStepResponse
}

// listMembers asks all stores for the programs of a step. complete is false
// unless a majority of each shard answered under the placement in force.
func (s *Store) listMembers(ctx context.Context, step string) (names []string, complete bool, err error) {
	current := s.watch.Current()
	if len(current.Shards) == 0 {
		return nil, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, listMembersTime)
	var asked sync.WaitGroup
	defer asked.Wait()
	defer cancel()
	others := current.Stores(s.options.Self.GetName())
	answers := make(chan membersAnswer, len(others))
	request := &protocol.Request{Body: &protocol.Request_ListTrainingStep{ListTrainingStep: &protocol.ListTrainingStepRequest{Step: step}}}
	for _, store := range others {
		asked.Go(func() {
			response, _ := s.peers.Call(ctx, store, request)
			answers <- membersAnswer{store: store, answer: response.GetListTrainingStep()}
		})
	}
	here, err := s.listMembersHere(step, current)
	if err != nil {
		return nil, false, err
	}
	named, listed := map[string]bool{}, placement.NewCoverage(current)
	mergeMembers(listed, s.options.Self.GetName(), here, named)
	for range others {
		if listed.IsComplete() {
			break
		}
		select {
		case next := <-answers:
			mergeMembers(listed, next.store, next.answer, named)
		case <-ctx.Done():
			return nil, false, nil
		}
	}
	complete = listed.IsComplete() && s.watch.Current().Epoch == current.Epoch
	return slices.Sorted(maps.Keys(named)), complete, nil
}

// mergeMembers adds the programs that one store listed; nil is no answer.
func mergeMembers(listed *placement.Coverage, store string, answer *protocol.ListTrainingStepResponse, named map[string]bool) {
	listed.Add(store, answer.GetShards(), answer.GetPlacementEpoch())
	for _, program := range answer.GetPrograms() {
		named[program.GetProgram()] = true
	}
}

// readMembers reads programs from a majority each, a few at once, and gives
// those that generate for the step by name; false when one could not be read.
func (s *Store) readMembers(ctx context.Context, step string, names []string) ([]*protocol.TrainingStepProgram, bool) {
	readers, ctx := errgroup.WithContext(ctx)
	readers.SetLimit(traceReadsAtOnce)
	route := &memberRoute{store: s}
	members := make([]*protocol.TrainingStepProgram, len(names))
	for place, name := range names {
		readers.Go(func() error {
			record, err := route.read(ctx, name)
			if err == nil && record.GetTrainingStep().GetStep() == step {
				members[place] = &protocol.TrainingStepProgram{
					Program: name, Tenant: record.GetTenant(), Membership: record.GetTrainingStep(),
				}
			}
			return err
		})
	}
	if err := readers.Wait(); err != nil {
		return nil, false
	}
	members = slices.DeleteFunc(members, func(member *protocol.TrainingStepProgram) bool { return member == nil })
	slices.SortFunc(members, func(a, b *protocol.TrainingStepProgram) int { return cmp.Compare(a.GetProgram(), b.GetProgram()) })
	return members, true
}

// memberRoute reads programs by way of the store that usually proposes for
// them, so that reads do not compete with changes under way.
type memberRoute struct {
	store *Store
	// silent names stores that did not answer one read; they are asked last by the following ones.
	silent sync.Map
	// failed ends the reads that have not begun once one could not be made.
	failed atomic.Bool
}

// read gives a program's record, nil when it has none. The error is an *UnreadProgramError.
func (r *memberRoute) read(ctx context.Context, program string) (*protocol.ProgramRecord, error) {
	shard := r.store.shardOf(program)
	operation := &protocol.LedgerOperation{
		Program:        program,
		PlacementEpoch: shard.Epoch,
		Body:           &protocol.LedgerOperation_ReadProgram{ReadProgram: &protocol.ReadProgram{}},
	}
	for _, replica := range r.order(shard) {
		if r.failed.Load() || ctx.Err() != nil {
			break
		}
		result, err := r.ask(ctx, shard, replica, operation)
		switch {
		case err != nil:
			r.silent.Store(replica, true)
		case result.GetStatus() == protocol.LedgerStatus_LEDGER_OK, result.GetStatus() == protocol.LedgerStatus_LEDGER_UNKNOWN_PROGRAM:
			return result.GetProgram(), nil
		}
	}
	r.failed.Store(true)
	return nil, &UnreadProgramError{Program: program}
}

// order gives the replicas of a shard in the order in which front nodes ask them, silent ones last.
func (r *memberRoute) order(shard register.ShardView) []string {
	replicas := slices.Clone(shard.Quorum.Current)
	slices.SortStableFunc(replicas, func(a, b string) int { return cmp.Compare(r.rank(a), r.rank(b)) })
	return replicas
}

func (r *memberRoute) rank(store string) int {
	if _, silent := r.silent.Load(store); silent {
		return 1
	}
	return 0
}

func (r *memberRoute) ask(ctx context.Context, shard register.ShardView, replica string, operation *protocol.LedgerOperation) (*protocol.LedgerResult, error) {
	ctx, cancel := context.WithTimeout(ctx, r.store.options.PeerTimeout)
	defer cancel()
	if replica == r.store.options.Self.GetName() {
		if !shard.Role.Votes() {
			return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), nil
		}
		return r.store.propose(ctx, shard, operation)
	}
	response, err := r.store.peers.Call(ctx, replica, &protocol.Request{Body: &protocol.Request_Ledger{Ledger: operation}})
	return response.GetLedger(), err
}

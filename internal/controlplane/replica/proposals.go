package replica

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/controlplane/coremembership"
)

// MaxCommandBytes bounds one command, so that a message with its log entry stays within the size limit.
const MaxCommandBytes = 8 << 20

// proposal is a command that waits to be appended to the log.
type proposal struct {
	command []byte
	done    chan proposalResult
}

// proposalResult is the state machine's result for the entry at index, or an error.
type proposalResult struct {
	data  []byte
	index uint64
	err   error
}

// Propose appends command to the log and returns its result once it is committed and applied.
// Errors: *NotLeaderError, *OverloadedError, *StoppedError, *DiskUnavailableError,
// *consensus.CommandSizeError (the command was not run and never will be); *UnknownOutcomeError.
func (r *Replica) Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error) {
	if r.view.Load().status.Role != consensus.Leader {
		return nil, 0, r.notLeader()
	}
	if len(command) > MaxCommandBytes {
		return nil, 0, &consensus.CommandSizeError{Size: len(command), Limit: MaxCommandBytes}
	}
	proposal := &proposal{command: command, done: make(chan proposalResult, 1)}
	if err := enqueue(r, r.proposals, proposal, proposalQueueName); err != nil {
		return nil, 0, err
	}
	outcome, err := r.awaitProposal(ctx, proposal.done)
	if err != nil {
		return nil, 0, err
	}
	return outcome.data, outcome.index, outcome.err
}

// awaitProposal waits for the result of a proposal. The error is an *UnknownOutcomeError: the proposal may
// still be committed.
func (r *Replica) awaitProposal(ctx context.Context, done <-chan proposalResult) (proposalResult, error) {
	result, interrupted := waitFor(ctx, r.stopped, done)
	if interrupted != nil {
		return proposalResult{}, &UnknownOutcomeError{Cause: interrupted}
	}
	return result, nil
}

// acceptedProposals returns the queue of proposals. It is nil, from which nothing is received, while a snapshot is
// being saved and the log has grown by too much since it was taken: the log is compacted once the snapshot is saved.
func (o *ownerLoop) acceptedProposals() <-chan *proposal {
	limit := o.replica.options.SnapshotBytes / maxGrowthDivisor
	if o.snapshots.saving && o.snapshots.appliedBytes >= limit {
		return nil
	}
	return o.replica.proposals
}

// propose appends the proposal and those queued behind it, so that one sync covers them all.
func (o *ownerLoop) propose(first *proposal) {
	batch := o.batchProposals(first)
	commands := make([][]byte, 0, len(batch))
	for _, proposal := range batch {
		commands = append(commands, proposal.command)
	}
	index, term, err := o.node.Propose(commands, o.now())
	if err != nil {
		for _, proposal := range batch {
			proposal.done <- proposalResult{err: o.callerError(err)}
		}
		return
	}
	o.replica.metrics.proposals.Add(float64(len(batch)))
	for position, proposal := range batch {
		o.waiters.register(term, index+uint64(position), proposal.done)
	}
}

// batchProposals takes queued proposals, up to maxBatch and maxBatchBytes.
func (o *ownerLoop) batchProposals(first *proposal) []*proposal {
	batch, size := []*proposal{first}, len(first.command)
	for len(batch) < maxBatch && size < maxBatchBytes {
		select {
		case next := <-o.acceptedProposals():
			batch = append(batch, next)
			size += len(next.command)
		default:
			return batch
		}
	}
	return batch
}

// callerError converts an error of the node, which appended nothing, to one for callers.
func (o *ownerLoop) callerError(err error) error {
	var overloaded *consensus.OverloadedError
	var pending *consensus.ChangePendingError
	var invalid *consensus.InvalidChangeError
	var size *consensus.CommandSizeError
	switch {
	case errors.As(err, &overloaded):
		o.replica.metrics.overloads.Inc()
		return &OverloadedError{Queue: "uncommitted entries"}
	case errors.As(err, &pending), errors.As(err, &size):
		return err
	case errors.As(err, &invalid):
		return &coremembership.UnsafeChangeError{Reason: invalid.Reason}
	default:
		return o.replica.notLeader()
	}
}

func (r *Replica) notLeader() error {
	if view := r.view.Load(); view != nil {
		return view.notLeader()
	}
	return &NotLeaderError{}
}

package replica

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/controlplane/coremembership"
)

// MaxCommandBytes bounds one command; it leaves room for the frame of a message.
const MaxCommandBytes = 8 << 20

// proposal is a command on its way into the log.
type proposal struct {
	command []byte
	done    chan proposalResult
}

type proposalResult struct {
	data  []byte
	index uint64
	err   error
}

// Propose appends command to the log and returns its result once it is committed and applied.
// Errors: *NotLeaderError, *OverloadedError, *StoppedError, *consensus.CommandSizeError (surely not
// run), *UnknownOutcomeError.
func (r *Replica) Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error) {
	if r.view.Load().status.Role != consensus.Leader {
		return nil, 0, r.notLeader()
	}
	if len(command) > MaxCommandBytes {
		return nil, 0, &consensus.CommandSizeError{Size: len(command), Limit: MaxCommandBytes}
	}
	proposal := &proposal{command: command, done: make(chan proposalResult, 1)}
	select {
	case <-r.stopped:
		return nil, 0, &StoppedError{}
	default:
	}
	select {
	case r.proposals <- proposal:
	default:
		r.metrics.overloads.Inc()
		return nil, 0, &OverloadedError{Queue: "proposals"}
	}
	answer, err := r.await(ctx, proposal.done)
	if err != nil {
		return nil, 0, err
	}
	return answer.data, answer.index, answer.err
}

// await returns the answer or, when it does not come, that the outcome is unknown.
func (r *Replica) await(ctx context.Context, done <-chan proposalResult) (proposalResult, error) {
	select {
	case answer := <-done:
		return answer, nil
	case <-ctx.Done():
		return proposalResult{}, &UnknownOutcomeError{Cause: ctx.Err()}
	case <-r.stopped:
	}
	select {
	case answer := <-done:
		return answer, nil
	default:
		return proposalResult{}, &UnknownOutcomeError{Cause: &StoppedError{}}
	}
}

// propose appends the proposal and those that wait behind it.
func (o *owner) propose(first *proposal) {
	batch := []*proposal{first}
	commands := [][]byte{first.command}
	size := len(first.command)
	for len(batch) < maxBatch && size < maxBatchBytes {
		select {
		case next := <-o.replica.proposals:
			batch, commands = append(batch, next), append(commands, next.command)
			size += len(next.command)
			continue
		default:
		}
		break
	}
	index, term, err := o.node.Propose(commands, o.now())
	if err != nil {
		for _, refused := range batch {
			refused.done <- proposalResult{err: o.rejection(err)}
		}
		return
	}
	o.replica.metrics.proposals.Add(float64(len(batch)))
	for position, appended := range batch {
		o.waiters.register(term, index+uint64(position), appended.done)
	}
}

// refusal turns an error of the node into one of this package; nothing was appended.
func (o *owner) rejection(err error) error {
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

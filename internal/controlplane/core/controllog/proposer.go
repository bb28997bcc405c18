// Package controllog writes commands to the replicated control log and turns
// the replica's errors into failures that may cross a process boundary.
package controllog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/replica"
	"github.com/rosestand/rosestand/internal/protocol"
)

// ProposeTimeout bounds a proposal that no caller waits for.
const ProposeTimeout = 5 * time.Second

// wallClockStep is the unit of a command's time.
const wallClockStep = time.Millisecond

// Log replicates commands; *replica.Replica implements it.
type Log interface {
	// Propose returns the result of a command once it is committed and applied.
	Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error)
}

// Proposer writes commands to the control log. It has no state of its own and
// may be used by any goroutine.
type Proposer struct {
	log   Log
	clock replica.Clock
}

// NewProposer makes a proposer that stamps commands with the clock's time.
func NewProposer(log Log, clock replica.Clock) *Proposer {
	return &Proposer{log: log, clock: clock}
}

// Propose returns the result of a command, accepted or rejected, once it is
// committed and applied here. Errors of the log are failures, as of Failure.
func (p *Proposer) Propose(ctx context.Context, command *protocol.Command) (*protocol.CommandResult, error) {
	command.ProposedAtMillis = p.clock.Now().UnixNano() / int64(wallClockStep)
	encoded, err := proto.Marshal(command)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	answer, _, err := p.log.Propose(ctx, encoded)
	if err != nil {
		return nil, Failure(err)
	}
	result := &protocol.CommandResult{}
	if err := proto.Unmarshal(answer, result); err != nil {
		return nil, errors.Wrap(err, "decode result")
	}
	return result, nil
}

// ProposeAccepted is Propose for callers to whom a rejected command is an error; it is then a failure, as of Rejection.
func (p *Proposer) ProposeAccepted(ctx context.Context, command *protocol.Command) (*protocol.CommandResult, error) {
	result, err := p.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	if !result.GetAccepted() {
		return nil, Rejection(result.GetRefusal())
	}
	return result, nil
}

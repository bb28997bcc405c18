// Package controllog writes commands to the replicated control log and converts
// the replica's errors to failures that may cross a process boundary.
package controllog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/replica"
	"github.com/rosestand/rosestand/internal/protocol"
)

// ProposeTimeout is the timeout of a proposal that no caller waits for.
const ProposeTimeout = 5 * time.Second

// wallClockStep is the unit of a command's timestamp.
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

// NewProposer returns a proposer that sets the timestamps of commands from the clock.
func NewProposer(log Log, clock replica.Clock) *Proposer {
	return &Proposer{log: log, clock: clock}
}

// Propose proposes a command and returns its result, accepted or rejected, once it is
// committed and applied here. Errors of the log are converted by Failure.
func (p *Proposer) Propose(ctx context.Context, command *protocol.Command) (*protocol.CommandResult, error) {
	command.ProposedAtMillis = p.clock.Now().UnixNano() / int64(wallClockStep)
	encoded, err := proto.Marshal(command)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	encodedResult, _, err := p.log.Propose(ctx, encoded)
	if err != nil {
		return nil, Failure(err)
	}
	result := &protocol.CommandResult{}
	if err := proto.Unmarshal(encodedResult, result); err != nil {
		return nil, errors.Wrap(err, "decode result")
	}
	return result, nil
}

// ProposeAccepted is like Propose, but returns a failure for a rejected command; see Rejection.
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

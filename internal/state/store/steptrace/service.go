package steptrace

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
	"github.com/rosestand/rosestand/internal/state/store/owner"
	"github.com/rosestand/rosestand/internal/state/store/placement"
)

// Peers sends requests to other stores and waits for their responses.
type Peers interface {
	Call(ctx context.Context, store string, request *protocol.Request) (*protocol.Response, error)
}

// Placement returns the current placement.
type Placement interface {
	Current() *placement.Topology
}

// Proposer applies an operation to a register of a shard for which this store votes.
type Proposer interface {
	Propose(
		ctx context.Context, shard register.ShardView, operation *protocol.LedgerOperation,
	) (*protocol.LedgerResult, error)
}

// Options configure a Service. All are required.
type Options struct {
	// Store names this store among the replicas.
	Store     string
	Groups    owner.Groups
	Peers     Peers
	Placement Placement
	Proposer  Proposer
	Lifecycle *lifecycle.Lifecycle
	// PeerTimeout bounds the read of one program by one replica.
	PeerTimeout time.Duration
}

// Service takes traces of training steps. Its methods may be called by any goroutine.
type Service struct {
	options Options
}

// New returns a service.
func New(options Options) *Service { return &Service{options: options} }

// Trace reads the pin of a step and all programs that are members of it. shard is the pin's shard.
func (s *Service) Trace(
	ctx context.Context, shard register.ShardView, message *protocol.LedgerOperation,
) (*protocol.LedgerResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.options.Lifecycle.Context(), cancel) //nolint:contextcheck // ends with the store too
	defer stop()
	step := message.GetTraceTrainingStep().GetStep()
	names, complete, err := s.listMembers(ctx, step)
	if err != nil {
		return nil, err
	}
	if !complete {
		return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), nil
	}
	programs, err := s.readMembers(ctx, step, names)
	if err != nil {
		return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), nil
	}
	pin, err := s.options.Proposer.Propose(ctx, shard, &protocol.LedgerOperation{
		Program: message.GetProgram(),
		Body:    &protocol.LedgerOperation_PinTrainingStep{PinTrainingStep: &protocol.PinTrainingStep{Step: step}},
	})
	switch {
	case err != nil:
		return nil, err
	case pin.GetStatus() == protocol.LedgerStatus_LEDGER_STEP_UNKNOWN && len(programs) > 0:
		// The pin expired before its programs, which are returned nevertheless.
	case pin.GetStatus() != protocol.LedgerStatus_LEDGER_OK:
		return pin, nil
	}
	return &protocol.LedgerResult{
		Status: protocol.LedgerStatus_LEDGER_OK,
		TrainingStepTrace: &protocol.TrainingStepTrace{
			Pin:      pin.GetTrainingStepPin(),
			Programs: programs,
		},
	}, nil
}

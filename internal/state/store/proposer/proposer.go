package proposer

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/backoff"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
)

// Replica is this store's replica, accessed on its owner's goroutine.
type Replica interface {
	// Post queues a command for the owner's goroutine.
	Post(command func())
	Table(shard uint32) *shardtable.Table
	Prepare(request *protocol.PrepareRequest, reply func(*protocol.PrepareResponse))
	Accept(request *protocol.AcceptRequest, reply func(*protocol.AcceptResponse))
}

// Peers sends requests to the other replicas. done is called once, on any goroutine.
type Peers interface {
	Send(store string, request *protocol.Request, done func(*protocol.Response, error))
}

// Retainer retains a turn on a majority of the replicas. done is called once, on the owner's
// goroutine, with LEDGER_OK on success.
type Retainer interface {
	RetainOnMajority(shard register.ShardView, turn *protocol.Turn, deadline time.Time, done func(protocol.LedgerStatus))
}

// Observer counts the events of proposers.
type Observer interface {
	// ProposalStarted is called with the number of operations in a proposal.
	ProposalStarted(operations int)
	// ProposalPreempted is called when a proposal loses to a competing proposer.
	ProposalPreempted()
	// ProposalUnavailable is called when a phase reaches no majority.
	ProposalUnavailable()
}

// Options configure a Proposer. All are required.
type Options struct {
	// Store names this store among the replicas.
	Store string
	// Name is the proposer's name in ballots. It must differ at every start.
	Name     string
	Replica  Replica
	Peers    Peers
	Retainer Retainer
	Observer Observer
	Clock    lifecycle.Clock
	Backoff  *backoff.Backoff
	// View returns the current view of a shard.
	View func(shard uint32) register.ShardView
	// Fail stops the store after an unrecoverable error.
	Fail func(error)
}

// Proposer proposes for all registers of one group.
type Proposer struct {
	options   Options
	ballots   *register.BallotGenerator
	proposals map[shardtable.Key]*proposal
}

// New returns a proposer without proposals.
func New(options Options) *Proposer {
	return &Proposer{
		options:   options,
		ballots:   register.NewBallotGenerator(options.Name),
		proposals: map[shardtable.Key]*proposal{},
	}
}

// Operation is one ledger operation that waits for its register.
type Operation struct {
	Message  *protocol.LedgerOperation
	Deadline time.Time
	// Reply is called once, on the owner's goroutine.
	Reply func(*protocol.LedgerResult)
}

// IsProposing reports whether a register has a proposal in progress.
func (p *Proposer) IsProposing(key shardtable.Key) bool { return p.proposals[key] != nil }

// Proposals returns the number of registers with a proposal in progress.
func (p *Proposer) Proposals() int { return len(p.proposals) }

// Begin starts an operation under the view of its shard with which it was routed.
func (p *Proposer) Begin(shard register.ShardView, operation *Operation) {
	switch body := operation.Message.GetBody().(type) {
	case *protocol.LedgerOperation_SettleTurn:
		p.commitTurn(shard, operation, body.SettleTurn)
	case *protocol.LedgerOperation_BeginCall:
		p.beginCall(shard, operation, body.BeginCall)
	default:
		p.propose(shard, shardtable.Key{
			Program: operation.Message.GetProgram(),
			Call:    ledger.CallRequestID(operation.Message),
		}, operation)
	}
}

// commitTurn charges a turn once a majority of the replicas retains it.
func (p *Proposer) commitTurn(shard register.ShardView, operation *Operation, commit *protocol.SettleTurn) {
	p.options.Retainer.RetainOnMajority(shard, commit.GetTurn(), operation.Deadline, func(status protocol.LedgerStatus) {
		switch status {
		case protocol.LedgerStatus_LEDGER_OK:
			p.propose(shard, programKey(operation), operation)
		case protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT:
			operation.Reply(WrongPlacement(p.options.View(shard.Shard).Epoch))
		default:
			operation.Reply(ledger.ResultWithStatus(status))
		}
	})
}

// WrongPlacement returns the result of an operation that was routed under another placement
// than the one with this epoch.
func WrongPlacement(epoch uint64) *protocol.LedgerResult {
	return &protocol.LedgerResult{
		Status:         protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT,
		PlacementEpoch: epoch,
	}
}

func programKey(operation *Operation) shardtable.Key {
	return shardtable.Key{Program: operation.Message.GetProgram()}
}

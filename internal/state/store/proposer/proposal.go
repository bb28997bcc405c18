package proposer

import (
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
)

// proposal serializes the operations on one register. Operations that wait while a change is
// in progress are batched into the next change.
type proposal struct {
	proposer *Proposer
	key      shardtable.Key
	shard    register.ShardView
	waiting  []*Operation
	// batch contains the operations of the change in progress; change is nil when there is none.
	batch  batch
	change *register.Change
	// retries counts the failed attempts of the change in progress.
	retries int
	// backingOff is true while the change waits for its retry.
	backingOff bool
}

// propose queues an operation on its register.
func (p *Proposer) propose(shard register.ShardView, key shardtable.Key, operation *Operation) {
	current := p.proposals[key]
	if current == nil {
		current = &proposal{proposer: p, key: key, batch: batch{key: key, clock: p.options.Clock}}
		p.proposals[key] = current
	}
	current.waiting = append(current.waiting, operation)
	if current.change == nil {
		current.shard = shard
		current.startNext()
	}
}

func (p *proposal) options() *Options { return &p.proposer.options }

// startNext begins a change for the waiting operations, or removes the proposal when there are none.
func (p *proposal) startNext() {
	p.fillBatch()
	if len(p.batch.operations) == 0 {
		delete(p.proposer.proposals, p.key)
		return
	}
	p.retries = 0
	p.backingOff = false
	p.shard = p.options().View(p.shard.Shard)
	if !p.shard.Role.Votes() {
		p.answerAll(WrongPlacement(p.shard.Epoch))
		p.startNext()
		return
	}
	p.proposer.ballots.Advance(p.options().Clock.Now().UnixMilli())
	p.options().Observer.ProposalStarted(len(p.batch.operations))
	p.change = register.NewChange(register.ChangeOptions{
		Key:              p.key.ToProto(),
		Shard:            p.shard.Shard,
		Epoch:            p.shard.Epoch,
		Quorum:           p.shard.Quorum,
		Ballots:          p.proposer.ballots,
		Update:           p.update(),
		PreparedProposal: p.takePrepared(),
	})
	p.send(p.change.Start())
}

// fillBatch moves up to maxBatch waiting operations into the batch; operations past their
// deadline are answered LEDGER_UNAVAILABLE instead.
func (p *proposal) fillBatch() {
	now := p.options().Clock.Now()
	p.batch.operations = p.batch.operations[:0]
	count := 0
	for _, operation := range p.waiting {
		if len(p.batch.operations) == maxBatch {
			break
		}
		count++
		if now.Before(operation.Deadline) {
			p.batch.operations = append(p.batch.operations, operation)
			continue
		}
		operation.Reply(ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE))
	}
	p.waiting = append(p.waiting[:0], p.waiting[count:]...)
}

// takePrepared lets the change skip its prepare phase when this store made the last change
// and its own replica still has that state.
func (p *proposal) takePrepared() register.PreparedProposal {
	entry, found := p.options().Replica.Table(p.shard.Shard).Registers.Get(p.key)
	if !found {
		return register.PreparedProposal{}
	}
	// A prepared proposal is valid for one change: if that fails, this replica may have a value that is not chosen.
	epoch := entry.PreparedEpoch
	entry.PreparedEpoch = 0
	name := p.options().Name
	if epoch != p.shard.Epoch || entry.State.Learned ||
		entry.State.Promised.Proposer != name || entry.State.Accepted.Proposer != name {
		return register.PreparedProposal{}
	}
	return register.PreparedProposal{Epoch: epoch, Ballot: entry.State.Promised, Value: entry.State.Value}
}

// update returns a function that applies the batch to a value, or nil when the batch only reads.
func (p *proposal) update() register.UpdateFunc {
	if p.batch.isRead() {
		return nil
	}
	return func(current []byte) ([]byte, bool) {
		next, changed, err := p.batch.apply(current)
		if err != nil {
			p.options().Fail(err)
			return nil, false
		}
		return next, changed
	}
}

// send sends messages to the replicas; the handlers of their responses call advance.
func (p *proposal) send(messages []register.Message) {
	change := p.change
	for _, message := range messages {
		if message.Store == p.options().Store {
			p.sendLocally(change, message)
		} else {
			p.sendToPeer(change, message)
		}
	}
	p.advance(change)
}

func (p *proposal) sendLocally(change *register.Change, message register.Message) {
	replica := p.options().Replica
	if message.Prepare != nil {
		replica.Prepare(message.Prepare, func(answer *protocol.PrepareResponse) {
			replica.Post(func() { p.handlePrepareResponse(change, message, answer) })
		})
		return
	}
	replica.Accept(message.Accept, func(answer *protocol.AcceptResponse) {
		replica.Post(func() { p.handleAcceptResponse(change, message, answer) })
	})
}

func (p *proposal) sendToPeer(change *register.Change, message register.Message) {
	request := &protocol.Request{Body: &protocol.Request_Accept{Accept: message.Accept}}
	if message.Prepare != nil {
		request.Body = &protocol.Request_Prepare{Prepare: message.Prepare}
	}
	p.options().Peers.Send(message.Store, request, func(response *protocol.Response, err error) {
		p.options().Replica.Post(func() {
			switch {
			case err == nil && response.GetPrepare() != nil:
				p.handlePrepareResponse(change, message, response.GetPrepare())
			case err == nil && response.GetAccept() != nil:
				p.handleAcceptResponse(change, message, response.GetAccept())
			default:
				change.HandleFailure(message.Store, message.PhaseNumber)
				p.advance(change)
			}
		})
	})
}

func (p *proposal) handlePrepareResponse(
	change *register.Change, message register.Message, answer *protocol.PrepareResponse,
) {
	if p.change != change {
		return
	}
	p.send(change.HandlePrepareResponse(message.Store, message.PhaseNumber, answer))
}

func (p *proposal) handleAcceptResponse(
	change *register.Change, message register.Message, answer *protocol.AcceptResponse,
) {
	if p.change != change {
		return
	}
	p.send(change.HandleAcceptResponse(message.Store, message.PhaseNumber, answer))
}

// advance acts on the status of the change.
func (p *proposal) advance(change *register.Change) {
	if p.change != change || p.backingOff {
		return
	}
	switch change.Status() {
	case register.StatusChosen:
		p.finish()
	case register.StatusPreempted:
		p.options().Observer.ProposalPreempted()
		p.retryLater()
	case register.StatusUnavailable:
		p.options().Observer.ProposalUnavailable()
		p.retryLater()
	case register.StatusWrongPlacement:
		p.answerAll(WrongPlacement(change.SeenEpoch()))
		p.startNext()
	}
}

// finish replies to the batch once its value is chosen, and records whether the next change
// may skip its prepare phase.
func (p *proposal) finish() {
	if entry, found := p.options().Replica.Table(p.shard.Shard).Registers.Get(p.key); found {
		entry.PreparedEpoch = 0
		prepared := p.change.PreparedProposal()
		if !prepared.Ballot.IsZero() && prepared.Ballot == entry.State.Promised {
			entry.PreparedEpoch = prepared.Epoch
		}
	}
	value := p.change.Value()
	p.change = nil
	operations := p.batch.operations
	p.batch.operations = nil
	for i, operation := range operations {
		operation.Reply(p.result(i, operation, value))
	}
	p.startNext()
}

func (p *proposal) result(i int, operation *Operation, value []byte) *protocol.LedgerResult {
	result, err := p.batch.result(i, operation, value)
	if err != nil {
		p.options().Fail(err)
		return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE)
	}
	return result
}

func (p *proposal) answerAll(result *protocol.LedgerResult) {
	p.change = nil
	operations := p.batch.operations
	p.batch.operations = nil
	for _, operation := range operations {
		operation.Reply(result)
	}
}

// retryLater schedules a retry after a backoff. Retries end once all operations are past their deadline.
func (p *proposal) retryLater() {
	change := p.change
	p.backingOff = true
	wait := p.options().Backoff.Wait(p.retries)
	p.retries++
	p.options().Clock.AfterFunc(wait, func() {
		p.options().Replica.Post(func() { p.retry(change) })
	})
}

func (p *proposal) retry(change *register.Change) {
	if p.change != change {
		return
	}
	p.backingOff = false
	if p.batch.isExpired() {
		p.answerAll(ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE))
		p.startNext()
		return
	}
	if current := p.options().View(p.shard.Shard); current.Epoch != p.shard.Epoch {
		p.answerAll(WrongPlacement(current.Epoch))
		p.startNext()
		return
	}
	p.proposer.ballots.Advance(p.options().Clock.Now().UnixMilli())
	p.send(change.Retry())
}

package store

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/records"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
)

// operation is one ledger operation that waits for its register.
type operation struct {
	message  *protocol.LedgerOperation
	deadline time.Time
	// reply is called once, on the group's goroutine.
	reply func(*protocol.LedgerResult)
}

// proposal serializes the operations on one register. What waits while a
// change is under way goes into the next change together.
type proposal struct {
	group   *group
	key     shardtable.Key
	shard   register.ShardView
	waiting []*operation
	active  []*operation
	results []*protocol.LedgerResult
	change  *register.Change
	retries int
	// resting says that a retry is due later.
	resting bool
}

// propose queues an operation on its register.
func (g *group) propose(shard register.ShardView, key shardtable.Key, op *operation) {
	p := g.proposals[key]
	if p == nil {
		p = &proposal{group: g, key: key}
		g.proposals[key] = p
	}
	p.waiting = append(p.waiting, op)
	if p.change == nil {
		p.shard = shard
		p.startNext()
	}
}

// startNext begins a change for all that waits, or ends the proposal when nothing does.
func (p *proposal) startNext() {
	p.takeWaiting()
	if len(p.active) == 0 {
		delete(p.group.proposals, p.key)
		return
	}
	p.retries = 0
	p.resting = false
	p.shard = p.group.store.shardView(p.shard.Shard)
	if !p.shard.Role.Votes() {
		p.answerAll(&protocol.LedgerResult{
			Status:         protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT,
			PlacementEpoch: p.shard.Epoch,
		})
		p.startNext()
		return
	}
	p.group.ballots.Advance(p.group.store.options.Clock.Now().UnixMilli())
	p.group.store.metrics.changes.Inc()
	p.group.store.metrics.batched.Add(float64(len(p.active)))
	p.change = register.NewChange(register.ChangeOptions{
		Key:              p.key.ToProto(),
		Shard:            p.shard.Shard,
		Epoch:            p.shard.Epoch,
		Quorum:           p.shard.Quorum,
		Ballots:          p.group.ballots,
		Update:           p.function(),
		PreparedProposal: p.head(),
	})
	p.send(p.change.Start())
}

// takeWaiting makes a batch of the operations whose callers still wait.
func (p *proposal) takeWaiting() {
	now := p.group.store.options.Clock.Now()
	p.active = p.active[:0]
	taken := 0
	for _, op := range p.waiting {
		if len(p.active) == largestBatch {
			break
		}
		taken++
		if now.Before(op.deadline) {
			p.active = append(p.active, op)
			continue
		}
		op.reply(ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE))
	}
	p.waiting = append(p.waiting[:0], p.waiting[taken:]...)
}

// head lets the change skip its prepare round when this store made the last
// change and its own replica still holds it.
func (p *proposal) head() register.PreparedProposal {
	held, found := p.group.table(p.shard.Shard).Registers.Get(p.key)
	if !found {
		return register.PreparedProposal{}
	}
	// A head serves one change: when that one fails, this replica may hold a value that is not chosen.
	epoch := held.PreparedEpoch
	held.PreparedEpoch = 0
	if epoch != p.shard.Epoch || held.State.Learned ||
		held.State.Promised.Proposer != p.group.store.proposerName ||
		held.State.Accepted.Proposer != p.group.store.proposerName {
		return register.PreparedProposal{}
	}
	return register.PreparedProposal{Epoch: epoch, Ballot: held.State.Promised, Value: held.State.Value}
}

// function applies the batch to a value, or is nil when the batch only reads.
func (p *proposal) function() register.UpdateFunc {
	reads := true
	for _, op := range p.active {
		reads = reads && ledger.IsRead(op.message)
	}
	if reads {
		return nil
	}
	return func(current []byte) ([]byte, bool) {
		next, changed, err := p.apply(current)
		if err != nil {
			p.group.store.fail(err)
			return nil, false
		}
		return next, changed
	}
}

// apply decides each operation of the batch on what the one before left.
func (p *proposal) apply(current []byte) (next []byte, changed bool, err error) {
	if p.key.Call != "" {
		return applyBatch(p, current, records.DecodeCall, ledger.ApplyCall)
	}
	return applyBatch(p, current, records.DecodeProgram, ledger.Apply)
}

// applyBatch collects the results of the batch and encodes the record that it
// left. Decide returns a nil record when the operation changes nothing.
func applyBatch[T any, R interface {
	*T
	proto.Message
}](
	p *proposal, current []byte, decode func([]byte) (R, error),
	decide func(R, *protocol.LedgerOperation, time.Time) (R, *protocol.LedgerResult),
) (next []byte, changed bool, err error) {
	now := p.group.store.options.Clock.Now()
	p.results = p.results[:0]
	record, err := decode(current)
	if err != nil {
		return nil, false, err
	}
	for _, op := range p.active {
		after, result := decide(record, op.message, now)
		if after != nil {
			record, changed = after, true
		}
		p.results = append(p.results, result)
	}
	if !changed {
		return nil, false, nil
	}
	next, err = proto.Marshal(record)
	return next, true, err
}

// send passes messages to the replicas; their answers come back to advance.
func (p *proposal) send(messages []register.Message) {
	change := p.change
	for _, message := range messages {
		if message.Store == p.group.store.options.Self.GetName() {
			p.sendLocally(change, message)
		} else {
			p.sendToPeer(change, message)
		}
	}
	p.advance(change)
}

func (p *proposal) sendLocally(change *register.Change, message register.Message) {
	if message.Prepare != nil {
		p.group.prepare(message.Prepare, func(answer *protocol.PrepareResponse) {
			p.group.mailbox.Post(func() { p.prepared(change, message, answer) })
		})
		return
	}
	p.group.accept(message.Accept, func(answer *protocol.AcceptResponse) {
		p.group.mailbox.Post(func() { p.accepted(change, message, answer) })
	})
}

func (p *proposal) sendToPeer(change *register.Change, message register.Message) {
	request := &protocol.Request{Body: &protocol.Request_Accept{Accept: message.Accept}}
	if message.Prepare != nil {
		request.Body = &protocol.Request_Prepare{Prepare: message.Prepare}
	}
	p.group.store.peers.Send(message.Store, request, func(response *protocol.Response, err error) {
		p.group.mailbox.Post(func() {
			switch {
			case err == nil && response.GetPrepare() != nil:
				p.prepared(change, message, response.GetPrepare())
			case err == nil && response.GetAccept() != nil:
				p.accepted(change, message, response.GetAccept())
			default:
				change.HandleFailure(message.Store, message.PhaseNumber)
				p.advance(change)
			}
		})
	})
}

func (p *proposal) prepared(change *register.Change, message register.Message, answer *protocol.PrepareResponse) {
	if p.change != change {
		return
	}
	p.send(change.HandlePrepareResponse(message.Store, message.PhaseNumber, answer))
}

func (p *proposal) accepted(change *register.Change, message register.Message, answer *protocol.AcceptResponse) {
	if p.change != change {
		return
	}
	p.send(change.HandleAcceptResponse(message.Store, message.PhaseNumber, answer))
}

// advance acts on how far the change has come.
func (p *proposal) advance(change *register.Change) {
	if p.change != change || p.resting {
		return
	}
	switch change.Status() {
	case register.StatusChosen:
		p.chosen()
	case register.StatusPreempted:
		p.group.store.metrics.preempted.Inc()
		p.retryLater()
	case register.StatusUnavailable:
		p.group.store.metrics.unavailable.Inc()
		p.retryLater()
	case register.StatusWrongPlacement:
		p.answerAll(&protocol.LedgerResult{
			Status:         protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT,
			PlacementEpoch: change.SeenEpoch(),
		})
		p.startNext()
	}
}

// chosen answers the batch and remembers whether the next change may skip a round.
func (p *proposal) chosen() {
	if held, found := p.group.table(p.shard.Shard).Registers.Get(p.key); found {
		held.PreparedEpoch = 0
		if head := p.change.PreparedProposal(); !head.Ballot.IsZero() && head.Ballot == held.State.Promised {
			held.PreparedEpoch = head.Epoch
		}
	}
	value := p.change.Value()
	p.change = nil
	active := p.active
	p.active = nil
	for i, op := range active {
		op.reply(p.resultOf(i, op, value))
	}
	p.startNext()
}

// resultOf gives what apply decided. Of a batch of reads each is answered from the chosen value.
func (p *proposal) resultOf(i int, op *operation, value []byte) *protocol.LedgerResult {
	if !ledger.IsRead(op.message) {
		return p.results[i]
	}
	record, err := records.DecodeProgram(value)
	if err != nil {
		p.group.store.fail(err)
		return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE)
	}
	_, result := ledger.Apply(record, op.message, p.group.store.options.Clock.Now())
	return result
}

func (p *proposal) answerAll(result *protocol.LedgerResult) {
	p.change = nil
	active := p.active
	p.active = nil
	for _, op := range active {
		op.reply(result)
	}
}

// retryLater tries again after a random wait that grows, until no caller waits any more.
func (p *proposal) retryLater() {
	change := p.change
	p.resting = true
	wait := p.group.backoff(p.retries)
	p.retries++
	p.group.store.options.Clock.AfterFunc(wait, func() {
		p.group.mailbox.Post(func() { p.retry(change) })
	})
}

func (p *proposal) retry(change *register.Change) {
	if p.change != change {
		return
	}
	p.resting = false
	if p.allExpired() {
		p.answerAll(ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE))
		p.startNext()
		return
	}
	if current := p.group.store.shardView(p.shard.Shard); current.Epoch != p.shard.Epoch {
		p.answerAll(&protocol.LedgerResult{
			Status:         protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT,
			PlacementEpoch: current.Epoch,
		})
		p.startNext()
		return
	}
	p.group.ballots.Advance(p.group.store.options.Clock.Now().UnixMilli())
	p.send(change.Retry())
}

func (p *proposal) allExpired() bool {
	now := p.group.store.options.Clock.Now()
	for _, op := range p.active {
		if now.Before(op.deadline) {
			return false
		}
	}
	return true
}

// backoff gives a wait that doubles with the retries, with full jitter.
func (g *group) backoff(retries int) time.Duration {
	limit := min(firstRetryWait<<min(retries, 16), longestRetryWait)
	return limit/2 + time.Duration(g.random.Int64N(int64(limit)/2+1))
}

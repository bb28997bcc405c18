package statesuite

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	minBackoff = 4 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// proposal runs the changes of one register, one after the other.
type proposal struct {
	store         *storeProcess
	key           registerKey
	shard         uint32
	waiting       []*change
	active        *change
	runningChange *register.Change
	retries       int
	backingOff    bool
}

// change is one function to apply, or a read when function is nil.
type change struct {
	function register.UpdateFunc
	deadline time.Time
	// done is called with the chosen value, or with the status of the failure.
	done func(value []byte, status protocol.LedgerStatus, epoch uint64)
}

func (p *storeProcess) propose(shard uint32, key registerKey, added *change) {
	known := p.proposals[key]
	if known == nil {
		known = &proposal{store: p, key: key, shard: shard}
		p.proposals[key] = known
	}
	known.waiting = append(known.waiting, added)
	if known.active == nil {
		known.startNext()
	}
}

func (p *proposal) startNext() {
	p.active, p.runningChange, p.retries, p.backingOff = nil, nil, 0, false
	if len(p.waiting) == 0 {
		delete(p.store.proposals, p.key)
		return
	}
	p.active, p.waiting = p.waiting[0], p.waiting[1:]
	table := p.store.table(p.shard)
	if !table.role.Votes() {
		p.end(nil, protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT)
		return
	}
	p.runningChange = register.NewChange(register.ChangeOptions{
		Key: p.key.message(), Shard: p.shard, Epoch: table.epoch, Quorum: table.quorum,
		Ballots: p.store.ballots, Update: p.active.function, PreparedProposal: p.head(table),
	})
	p.send(p.runningChange.Start())
}

// head lets a change skip its prepare phase. A head serves one change only: when that one fails, the local replica may
// have accepted a value that is not chosen, and no other replica promised its ballot.
func (p *proposal) head(table *shardTable) register.PreparedProposal {
	current := table.registers[p.key]
	if current == nil {
		return register.PreparedProposal{}
	}
	headEpoch := current.headEpoch
	if p.store.suite.options.Mutation != StoreReusesFailedHead {
		current.headEpoch = 0
	}
	if headEpoch != table.epoch || current.state.Learned ||
		current.state.Promised.Proposer != p.store.proposer || current.state.Accepted.Proposer != p.store.proposer {
		return register.PreparedProposal{}
	}
	return register.PreparedProposal{Epoch: headEpoch, Ballot: current.state.Promised, Value: current.state.Value}
}

func (p *proposal) send(messages []register.Message) {
	running := p.runningChange
	for _, message := range messages {
		p.sendOne(running, message)
	}
	p.advance(running)
}

func (p *proposal) sendOne(running *register.Change, message register.Message) {
	answered := func(body any) {
		// A local answer may come synchronously; it is handled after the messages are sent.
		p.store.environment.After(0, func() { p.answered(running, message, body) })
	}
	if message.Store == p.store.self.GetName() {
		if message.Prepare != nil {
			p.store.prepare(message.Prepare, func(answer *protocol.PrepareResponse) { answered(answer) })
		} else {
			p.store.accept(message.Accept, func(answer *protocol.AcceptResponse) { answered(answer) })
		}
		return
	}
	var body any = message.Accept
	if message.Prepare != nil {
		body = message.Prepare
	}
	p.store.endpoint.call(sim.Address(message.Store), body, peerTimeout, answered)
}

func (p *proposal) answered(running *register.Change, message register.Message, body any) {
	if p.runningChange != running {
		return
	}
	switch answer := body.(type) {
	case *protocol.PrepareResponse:
		p.send(running.HandlePrepareResponse(message.Store, message.PhaseNumber, answer))
	case *protocol.AcceptResponse:
		p.send(running.HandleAcceptResponse(message.Store, message.PhaseNumber, answer))
	default:
		running.HandleFailure(message.Store, message.PhaseNumber)
		p.advance(running)
	}
}

func (p *proposal) advance(running *register.Change) {
	if p.runningChange != running || p.backingOff {
		return
	}
	switch running.Status() {
	case register.StatusChosen:
		p.chosen()
	case register.StatusPreempted, register.StatusUnavailable:
		p.backOff()
	case register.StatusWrongPlacement:
		p.end(nil, protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT)
	}
}

func (p *proposal) chosen() {
	table := p.store.table(p.shard)
	if current := table.registers[p.key]; current != nil {
		current.headEpoch = 0
		if head := p.runningChange.PreparedProposal(); !head.Ballot.IsZero() && head.Ballot == current.state.Promised {
			current.headEpoch = head.Epoch
		}
	}
	p.end(p.runningChange.Value(), protocol.LedgerStatus_LEDGER_OK)
}

func (p *proposal) end(value []byte, status protocol.LedgerStatus) {
	active := p.active
	p.runningChange = nil
	active.done(value, status, p.store.table(p.shard).epoch)
	p.startNext()
}

func (p *proposal) backOff() {
	running := p.runningChange
	p.backingOff = true
	limit := min(minBackoff<<min(p.retries, 16), maxBackoff)
	p.retries++
	wait := limit/2 + time.Duration(p.store.environment.Random().Int64N(int64(limit)/2+1))
	p.store.environment.After(wait, func() {
		if p.runningChange != running {
			return
		}
		p.backingOff = false
		if !p.store.environment.Now().Before(p.active.deadline) {
			p.end(nil, protocol.LedgerStatus_LEDGER_UNAVAILABLE)
			return
		}
		p.send(running.Retry())
	})
}

package statesuite

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	firstBackoff   = 4 * time.Millisecond
	longestBackoff = 200 * time.Millisecond
)

// proposal takes the changes of one register through one after the other.
type proposal struct {
	store   *storeProcess
	key     registerKey
	shard   uint32
	waiting []*change
	active  *change
	running *register.Change
	retries int
	resting bool
}

// change is one function to apply, or a read when function is nil.
type change struct {
	function register.UpdateFunc
	deadline time.Time
	// done gets the chosen value, or the status that says why there is none.
	done func(value []byte, status protocol.LedgerStatus, epoch uint64)
}

func (p *storeProcess) propose(shard uint32, key registerKey, wanted *change) {
	known := p.proposals[key]
	if known == nil {
		known = &proposal{store: p, key: key, shard: shard}
		p.proposals[key] = known
	}
	known.waiting = append(known.waiting, wanted)
	if known.active == nil {
		known.startNext()
	}
}

func (p *proposal) startNext() {
	p.active, p.running, p.retries, p.resting = nil, nil, 0, false
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
	p.running = register.NewChange(register.ChangeOptions{
		Key: p.key.message(), Shard: p.shard, Epoch: table.epoch, Quorum: table.quorum,
		Ballots: p.store.ballots, Update: p.active.function, PreparedProposal: p.head(table),
	})
	p.send(p.running.Start())
}

// head lets a change skip its prepare round. A head serves one change only: when that one fails, the replica here may
// have accepted a value that is not chosen, and nobody else promised its ballot.
func (p *proposal) head(table *shardTable) register.PreparedProposal {
	held := table.registers[p.key]
	if held == nil {
		return register.PreparedProposal{}
	}
	headEpoch := held.headEpoch
	if p.store.suite.options.Mutation != StoreReusesFailedHead {
		held.headEpoch = 0
	}
	if headEpoch != table.epoch || held.state.Learned ||
		held.state.Promised.Proposer != p.store.proposer || held.state.Accepted.Proposer != p.store.proposer {
		return register.PreparedProposal{}
	}
	return register.PreparedProposal{Epoch: headEpoch, Ballot: held.state.Promised, Value: held.state.Value}
}

func (p *proposal) send(messages []register.Message) {
	running := p.running
	for _, message := range messages {
		p.sendOne(running, message)
	}
	p.advance(running)
}

func (p *proposal) sendOne(running *register.Change, message register.Message) {
	answered := func(body any) {
		// Local answers may come at once; they wait for the messages to be sent.
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
	p.store.endpoint.call(sim.Address(message.Store), body, peerPatience, answered)
}

func (p *proposal) answered(running *register.Change, message register.Message, body any) {
	if p.running != running {
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
	if p.running != running || p.resting {
		return
	}
	switch running.Status() {
	case register.StatusChosen:
		p.chosen()
	case register.StatusPreempted, register.StatusUnavailable:
		p.rest()
	case register.StatusWrongPlacement:
		p.end(nil, protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT)
	}
}

func (p *proposal) chosen() {
	table := p.store.table(p.shard)
	if held := table.registers[p.key]; held != nil {
		held.headEpoch = 0
		if head := p.running.PreparedProposal(); !head.Ballot.IsZero() && head.Ballot == held.state.Promised {
			held.headEpoch = head.Epoch
		}
	}
	p.end(p.running.Value(), protocol.LedgerStatus_LEDGER_OK)
}

func (p *proposal) end(value []byte, status protocol.LedgerStatus) {
	active := p.active
	p.running = nil
	active.done(value, status, p.store.table(p.shard).epoch)
	p.startNext()
}

func (p *proposal) rest() {
	running := p.running
	p.resting = true
	limit := min(firstBackoff<<min(p.retries, 16), longestBackoff)
	p.retries++
	wait := limit/2 + time.Duration(p.store.environment.Random().Int64N(int64(limit)/2+1))
	p.store.environment.After(wait, func() {
		if p.running != running {
			return
		}
		p.resting = false
		if !p.store.environment.Now().Before(p.active.deadline) {
			p.end(nil, protocol.LedgerStatus_LEDGER_UNAVAILABLE)
			return
		}
		p.send(running.Retry())
	})
}

package statesuite

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// listOperation appends an id to a list in a register, or reads the list when id is empty. Appending is idempotent, as
// every change of a register.
type listOperation struct {
	key   string
	id    string
	epoch uint64
}

type listAnswer struct {
	ids []string
}

const listSeparator = ","

func decodeList(value []byte) []string {
	if len(value) == 0 {
		return nil
	}
	return strings.Split(string(value), listSeparator)
}

func (p *storeProcess) serveList(operation listOperation, reply func(any)) {
	shard := ledger.ShardOf(operation.key, shardCount)
	table := p.table(shard)
	if p.rejection(table, operation.epoch) != notRejected {
		return
	}
	key := registerKey{program: operation.key}
	if operation.id == "" && p.suite.options.Mutation == StoreReadsOneReplica {
		reply(listAnswer{ids: decodeList(table.entry(key).state.Value)})
		return
	}
	wantedChange := &change{
		deadline: p.environment.Now().Add(storeOperation),
		done: func(value []byte, status protocol.LedgerStatus, _ uint64) {
			if status == protocol.LedgerStatus_LEDGER_OK {
				reply(listAnswer{ids: decodeList(value)})
			}
		},
	}
	if operation.id != "" {
		wantedChange.function = func(current []byte) ([]byte, bool) {
			ids := decodeList(current)
			if slices.Contains(ids, operation.id) {
				return nil, false
			}
			return []byte(strings.Join(append(ids, operation.id), listSeparator)), true
		}
	}
	p.propose(shard, key, wantedChange)
}

func (p *storeProcess) serveLedger(operation *protocol.LedgerOperation, reply func(*protocol.LedgerResult)) {
	shard := ledger.ShardOf(operation.GetProgram(), shardCount)
	table := p.table(shard)
	if p.rejection(table, operation.GetPlacementEpoch()) != notRejected {
		reply(&protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT, PlacementEpoch: table.epoch})
		return
	}
	switch body := operation.GetBody().(type) {
	case *protocol.LedgerOperation_ReadTurns:
		p.readTurn(table, operation.GetProgram(), body.ReadTurns.GetLastTurn(), reply)
	case *protocol.LedgerOperation_SettleTurn:
		p.commitTurn(table, operation, reply)
	case *protocol.LedgerOperation_BeginCall:
		p.beginCall(shard, operation, body.BeginCall, reply)
	default:
		p.applyLedger(shard, operation, reply)
	}
}

// applyLedger applies an operation to the register of its program or call.
func (p *storeProcess) applyLedger(shard uint32, operation *protocol.LedgerOperation,
	reply func(*protocol.LedgerResult),
) {
	key := registerKey{program: operation.GetProgram(), call: ledger.CallRequestID(operation)}
	var result *protocol.LedgerResult
	wantedChange := &change{
		deadline: p.environment.Now().Add(storeOperation),
		done: func(value []byte, status protocol.LedgerStatus, epoch uint64) {
			switch {
			case status != protocol.LedgerStatus_LEDGER_OK:
				reply(&protocol.LedgerResult{Status: status, PlacementEpoch: epoch})
			case ledger.IsRead(operation):
				_, read := ledger.Apply(decodeProgram(value), operation, p.environment.Now())
				reply(read)
			default:
				reply(result)
			}
		},
	}
	if !ledger.IsRead(operation) {
		wantedChange.function = func(current []byte) (next []byte, changed bool) {
			next, result = p.decide(current, operation, key.call != "")
			return next, next != nil
		}
	}
	p.propose(shard, key, wantedChange)
}

// decide applies an operation to a value; next is nil when nothing changes.
func (p *storeProcess) decide(current []byte, operation *protocol.LedgerOperation, isCall bool) (next []byte,
	result *protocol.LedgerResult,
) {
	var changed proto.Message
	if isCall {
		record, answer := ledger.ApplyCall(decodeCall(current), operation, p.environment.Now())
		result = answer
		if record != nil {
			changed = record
		}
	} else {
		record, answer := ledger.Apply(decodeProgram(current), operation, p.environment.Now())
		result = answer
		if record != nil {
			changed = record
		}
	}
	if changed == nil {
		return nil, result
	}
	next, err := proto.Marshal(changed)
	if err != nil {
		p.environment.Exit(err)
	}
	return next, result
}

// commitTurn retains the turn on a majority, then charges it.
func (p *storeProcess) commitTurn(table *shardTable, operation *protocol.LedgerOperation,
	reply func(*protocol.LedgerResult),
) {
	epoch, quorum := table.epoch, table.quorum
	if p.suite.options.Mutation == StoreCommitsBeforeRetaining {
		p.retainTurn(table, operation.GetSettleTurn().GetTurn(), func() {})
		p.applyLedger(table.shard, operation, reply)
		return
	}
	turn := operation.GetSettleTurn().GetTurn()
	acknowledged := map[string]bool{}
	ended := false
	acknowledge := func(store string) {
		acknowledged[store] = true
		if !ended && quorum.Reached(func(member string) bool { return acknowledged[member] }) {
			ended = true
			p.applyLedger(table.shard, operation, reply)
		}
	}
	for _, store := range quorum.Members() {
		if store == p.self.GetName() {
			p.retainTurn(table, turn, func() { acknowledge(store) })
			continue
		}
		request := &protocol.KeepTurnRequest{Shard: table.shard, PlacementEpoch: epoch, Turn: turn}
		p.endpoint.call(sim.Address(store), request, storeOperation, func(body any) {
			if answer, answered := body.(*protocol.KeepTurnResponse); answered && answer.GetRefusal() == notRejected {
				acknowledge(store)
			}
		})
	}
}

// readTurn reports a turn as missing only when a majority lacks it.
func (p *storeProcess) readTurn(table *shardTable, program, id string, reply func(*protocol.LedgerResult)) {
	if retained := table.turns[turnKey(program, id)]; retained != nil && retained.durable {
		reply(&protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_OK, Turns: []*protocol.Turn{retained.turn}})
		return
	}
	missing := &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_TURN_MISSING}
	if p.suite.options.Mutation == StoreReportsMissingFromOneReplica {
		reply(missing)
		return
	}
	epoch, quorum := table.epoch, table.quorum
	lacking := map[string]bool{p.self.GetName(): true}
	ended, outstanding := false, 0
	end := func(result *protocol.LedgerResult) {
		if !ended {
			ended = true
			reply(result)
		}
	}
	for _, store := range quorum.Members() {
		if store == p.self.GetName() {
			continue
		}
		outstanding++
		request := &protocol.FetchTurnsRequest{
			Shard: table.shard, PlacementEpoch: epoch, Program: program, LastTurn: id,
			Limit: 1,
		}
		p.endpoint.call(sim.Address(store), request, peerTimeout, func(body any) {
			outstanding--
			answer, answered := body.(*protocol.FetchTurnsResponse)
			switch {
			case answered && len(answer.GetTurns()) > 0:
				end(&protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_OK, Turns: answer.GetTurns()})
			case answered && answer.GetRefusal() == notRejected:
				lacking[store] = true
			}
			if outstanding > 0 {
				return
			}
			if table.epoch == epoch && table.role.Votes() &&
				quorum.Reached(func(member string) bool { return lacking[member] }) {
				end(missing)
				return
			}
			end(ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE))
		})
	}
}

// beginCall records the intent and then checks that the session's epoch is still in force.
func (p *storeProcess) beginCall(shard uint32, operation *protocol.LedgerOperation, begin *protocol.BeginCall,
	reply func(*protocol.LedgerResult),
) {
	p.applyLedger(shard, operation, func(result *protocol.LedgerResult) {
		if result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
			reply(result)
			return
		}
		read := &protocol.LedgerOperation{
			Program: operation.GetProgram(), Body: &protocol.LedgerOperation_ReadProgram{ReadProgram: &protocol.ReadProgram{}},
		}
		p.applyLedger(shard, read, func(current *protocol.LedgerResult) {
			if current.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
				reply(ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE))
				return
			}
			check := ledger.CheckEpoch(current.GetProgram(), begin.GetSession(), begin.GetEpoch())
			if check.GetStatus() == protocol.LedgerStatus_LEDGER_OK {
				check = result
			}
			reply(check)
		})
	})
}

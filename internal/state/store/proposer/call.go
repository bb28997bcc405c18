package proposer

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/records"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
)

// beginCall writes the intent between two checks of the session's epoch. Only the second check
// is decisive: it reads the program's register after the intent is chosen, so a result LEDGER_OK
// is ordered before every later claim, and an owner that was fenced meanwhile never issues the
// call. The first check avoids writing a useless intent for an owner that is already fenced; the
// state of this replica suffices for it when the epoch is current there.
func (p *Proposer) beginCall(shard register.ShardView, operation *Operation, begin *protocol.BeginCall) {
	if record := p.localProgram(shard, operation); isCurrentEpoch(record, begin) {
		p.writeIntent(shard, operation, begin, record)
		return
	}
	p.checkEpoch(shard, operation, begin, func(record *protocol.ProgramRecord) {
		p.writeIntent(shard, operation, begin, record)
	})
}

// localProgram returns this replica's record of a program, which may be stale, or nil if it has none.
func (p *Proposer) localProgram(shard register.ShardView, operation *Operation) *protocol.ProgramRecord {
	entry, found := p.options.Replica.Table(shard.Shard).Registers.Get(programKey(operation))
	if !found {
		return nil
	}
	record, err := records.DecodeProgram(entry.State.Value)
	if err != nil {
		return nil
	}
	return record
}

func isCurrentEpoch(record *protocol.ProgramRecord, begin *protocol.BeginCall) bool {
	return ledger.CheckEpoch(record, begin.GetSession(), begin.GetEpoch()).GetStatus() == protocol.LedgerStatus_LEDGER_OK
}

// writeIntent writes the intent and permits the call if its epoch is still current afterwards.
func (p *Proposer) writeIntent(
	shard register.ShardView, operation *Operation, begin *protocol.BeginCall, record *protocol.ProgramRecord,
) {
	message := proto.CloneOf(operation.Message)
	if begin.GetKeepingMillis() == 0 {
		message.GetBeginCall().KeepingMillis = record.GetKeepingMillis()
	}
	intent := &Operation{Message: message, Deadline: operation.Deadline, Reply: func(result *protocol.LedgerResult) {
		if result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
			operation.Reply(result)
			return
		}
		p.checkEpoch(shard, operation, begin, func(*protocol.ProgramRecord) { operation.Reply(result) })
	}}
	key := shardtable.Key{Program: operation.Message.GetProgram(), Call: begin.GetRequestId()}
	p.propose(shard, key, intent)
}

// checkEpoch reads the program's register from a majority. It calls onCurrent if the epoch of
// the call is current, and replies with the rejection otherwise.
func (p *Proposer) checkEpoch(
	shard register.ShardView, operation *Operation, begin *protocol.BeginCall, onCurrent func(*protocol.ProgramRecord),
) {
	readProgram := &Operation{
		Message: &protocol.LedgerOperation{
			Program: operation.Message.GetProgram(),
			Body:    &protocol.LedgerOperation_ReadProgram{ReadProgram: &protocol.ReadProgram{}},
		},
		Deadline: operation.Deadline,
		Reply: func(result *protocol.LedgerResult) {
			if result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
				operation.Reply(result)
				return
			}
			check := ledger.CheckEpoch(result.GetProgram(), begin.GetSession(), begin.GetEpoch())
			if check.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
				operation.Reply(check)
				return
			}
			onCurrent(result.GetProgram())
		},
	}
	p.propose(shard, programKey(operation), readProgram)
}

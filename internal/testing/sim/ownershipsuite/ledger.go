package ownershipsuite

import (
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// ledgerState is what the stores would hold on a majority.
type ledgerState struct {
	programs map[string]*protocol.ProgramRecord
	calls    map[string]*protocol.CallRecord
}

func newLedgerState() *ledgerState {
	return &ledgerState{programs: make(map[string]*protocol.ProgramRecord), calls: make(map[string]*protocol.CallRecord)}
}

func (l *ledgerState) session(program, name string) *protocol.SessionRecord {
	for _, session := range l.programs[program].GetSessions() {
		if session.GetSession() == name {
			return session
		}
	}
	return nil
}

// ledgerProcess applies operations with the real decision code.
type ledgerProcess struct {
	suite       *suite
	environment *sim.Environment
}

func (s *suite) buildLedger(environment *sim.Environment) (sim.Process, error) {
	return &ledgerProcess{suite: s, environment: environment}, nil
}

// Receive serves one operation.
func (l *ledgerProcess) Receive(from sim.Address, message any) {
	request, isPacket := message.(packet)
	operation, isOperation := request.body.(*protocol.LedgerOperation)
	if !isPacket || request.reply || !isOperation {
		return
	}
	l.environment.Send(request.answerTo(from), packet{id: request.id, reply: true, body: l.apply(operation)})
}

func (l *ledgerProcess) apply(operation *protocol.LedgerOperation) *protocol.LedgerResult {
	if ledger.CallRequestID(operation) != "" {
		return l.applyCall(operation)
	}
	state := l.suite.ledger
	before := l.epochOf(operation)
	changed, result := ledger.Apply(state.programs[operation.GetProgram()], operation, l.environment.Now())
	if l.suite.options.Mutation == MutationNoEpoch && result.GetStatus() == protocol.LedgerStatus_LEDGER_FENCED {
		result = &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_OK, Epoch: result.GetEpoch(), LastTurn: result.GetLastTurn()}
	}
	if changed != nil {
		state.programs[operation.GetProgram()] = changed
	}
	l.suite.rules.ledgerAnswered(operation, before, result)
	if l.suite.world.Tracing() {
		l.environment.Tracef("%v: %s", operation, result.GetStatus())
	}
	return result
}

// epochOf is the epoch in force of the session that an operation names.
func (l *ledgerProcess) epochOf(operation *protocol.LedgerOperation) uint64 {
	return l.suite.ledger.session(operation.GetProgram(), sessionOf(operation)).GetEpoch()
}

func sessionOf(operation *protocol.LedgerOperation) string {
	switch body := operation.GetBody().(type) {
	case *protocol.LedgerOperation_ReserveTurn:
		return body.ReserveTurn.GetSession()
	case *protocol.LedgerOperation_SettleTurn:
		return body.SettleTurn.GetSession()
	case *protocol.LedgerOperation_ReleaseTurn:
		return body.ReleaseTurn.GetSession()
	case *protocol.LedgerOperation_ClaimSession:
		return body.ClaimSession.GetSession()
	case *protocol.LedgerOperation_BeginCall:
		return body.BeginCall.GetSession()
	default:
		return ""
	}
}

// applyCall decides on the call's register and then, as a store does, checks the epoch.
func (l *ledgerProcess) applyCall(operation *protocol.LedgerOperation) *protocol.LedgerResult {
	state := l.suite.ledger
	id := operation.GetProgram() + "/" + ledger.CallRequestID(operation)
	changed, result := ledger.ApplyCall(state.calls[id], operation, l.environment.Now())
	if changed != nil {
		state.calls[id] = changed
	}
	begin := operation.GetBeginCall()
	if begin == nil || result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
		return result
	}
	record := state.programs[operation.GetProgram()]
	return ledger.CheckEpoch(record, begin.GetSession(), begin.GetEpoch())
}

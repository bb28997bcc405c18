package ownershipsuite

import (
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

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
	before := l.epochOf(operation)
	result := l.suite.ledger.Apply(operation, l.environment.Now())
	if ledger.CallRequestID(operation) != "" {
		return result
	}
	if l.suite.options.Mutation == MutationLedgerIgnoresEpoch &&
		result.GetStatus() == protocol.LedgerStatus_LEDGER_FENCED {
		result = &protocol.LedgerResult{
			Status: protocol.LedgerStatus_LEDGER_OK, Epoch: result.GetEpoch(),
			LastTurn: result.GetLastTurn(),
		}
	}
	l.suite.rules.observeLedgerResult(operation, before, result)
	if l.suite.world.Tracing() {
		l.environment.Tracef("%v: %s", operation, result.GetStatus())
	}
	return result
}

// epochOf returns the epoch in force of the session that an operation names.
func (l *ledgerProcess) epochOf(operation *protocol.LedgerOperation) uint64 {
	return l.suite.ledger.Epoch(operation.GetProgram(), sessionOf(operation))
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

package servingsuite

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// ledgerState stands for the state on a majority of stores; it outlives the process.
type ledgerState struct {
	programs map[string]*protocol.ProgramRecord
	calls    map[string]*protocol.CallRecord
	// turns are the retained turns by id.
	turns map[string]*protocol.Turn
}

func newLedgerState() *ledgerState {
	return &ledgerState{
		programs: make(map[string]*protocol.ProgramRecord), calls: make(map[string]*protocol.CallRecord),
		turns: make(map[string]*protocol.Turn),
	}
}

// readTurn requests a retained turn; the answer is a turnRead, with a nil turn for none.
type readTurn struct{ id string }

type turnRead struct{ turn *protocol.Turn }

// ledgerProcess applies operations with the real decision code.
type ledgerProcess struct {
	environment *sim.Environment
	transport   *transport
	state       *ledgerState
}

func (s *suite) buildLedger(environment *sim.Environment) (sim.Process, error) {
	l := &ledgerProcess{environment: environment, state: s.ledger}
	l.transport = newTransport(environment, l.serve)
	return l, nil
}

// Receive implements sim.Process.
func (l *ledgerProcess) Receive(from sim.Address, message any) { l.transport.receive(from, message) }

// ConnectionBroken implements sim.ConnectionObserver.
func (l *ledgerProcess) ConnectionBroken(peer sim.Address) { l.transport.connectionBroken(peer) }

func (l *ledgerProcess) serve(opened *stream, body any) {
	switch body := body.(type) {
	case *protocol.LedgerOperation:
		opened.send(proto.CloneOf(l.apply(body)))
	case readTurn:
		opened.send(turnRead{turn: l.state.turns[body.id]})
	}
}

func (l *ledgerProcess) apply(operation *protocol.LedgerOperation) *protocol.LedgerResult {
	if ledger.CallOf(operation) != "" {
		return l.applyCall(operation)
	}
	changed, result := ledger.Apply(l.state.programs[operation.GetProgram()], operation, l.environment.Now())
	if changed != nil {
		l.state.programs[operation.GetProgram()] = changed
	}
	if committed := operation.GetSettleTurn(); committed != nil && result.GetStatus() == protocol.LedgerStatus_LEDGER_OK {
		l.state.turns[committed.GetTurn().GetId()] = committed.GetTurn()
	}
	return result
}

// applyCall applies an operation to the call's register and then, as a store does, checks the epoch.
func (l *ledgerProcess) applyCall(operation *protocol.LedgerOperation) *protocol.LedgerResult {
	id := operation.GetProgram() + "/" + ledger.CallOf(operation)
	changed, result := ledger.ApplyCall(l.state.calls[id], operation, l.environment.Now())
	if changed != nil {
		l.state.calls[id] = changed
	}
	begin := operation.GetBeginCall()
	if begin == nil || result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
		return result
	}
	return ledger.CheckEpoch(l.state.programs[operation.GetProgram()], begin.GetSession(), begin.GetEpoch())
}

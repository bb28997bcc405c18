package servingsuite

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
	"github.com/rosestand/rosestand/internal/testing/sim/ledgermodel"
)

// ledgerState stands for the state on a majority of stores; it outlives the process.
type ledgerState struct {
	*ledgermodel.Ledger
	// turns are the retained turns by id.
	turns map[string]*protocol.Turn
}

func newLedgerState() *ledgerState {
	return &ledgerState{Ledger: ledgermodel.New(), turns: make(map[string]*protocol.Turn)}
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
	result := l.state.Apply(operation, l.environment.Now())
	if commit := operation.GetSettleTurn(); commit != nil && result.GetStatus() == protocol.LedgerStatus_LEDGER_OK {
		l.state.turns[commit.GetTurn().GetId()] = commit.GetTurn()
	}
	return result
}

package store_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/rosestand/rosestand/internal/protocol"
)

// program takes the turns of one session.
type program struct {
	fleet    *fleet
	name     string
	epoch    uint64
	turns    []string
	requests int
	// padding lengthens the text of each turn.
	padding string
	// retention is how long turns are retained; zero means the ledger's default.
	retention time.Duration
	// previousProgram and previousTurn identify the turn of another program that the first turn continues.
	previousProgram, previousTurn string
}

func (f *fleet) program(name string) *program {
	GinkgoHelper()
	return f.programWithRetention(name, 0)
}

// programWithRetention claims a session whose turns are retained for the given time.
func (f *fleet) programWithRetention(name string, retention time.Duration) *program {
	GinkgoHelper()
	p := &program{fleet: f, name: name, retention: retention}
	p.claim("front-1")
	return p
}

func (p *program) claim(owner string) {
	GinkgoHelper()
	result := p.fleet.do(&protocol.LedgerOperation{
		Program: p.name,
		Body: &protocol.LedgerOperation_ClaimSession{ClaimSession: &protocol.ClaimSession{
			Session: p.name, Owner: owner, OwnerIncarnation: 1, Tenant: "tenant", Budget: 1_000_000,
			KeepingMillis: p.retention.Milliseconds(),
		}},
	})
	Expect(result.GetStatus()).To(Equal(protocol.LedgerStatus_LEDGER_OK))
	p.epoch = result.GetEpoch()
}

func (p *program) last() string {
	if len(p.turns) == 0 {
		return p.previousTurn
	}
	return p.turns[len(p.turns)-1]
}

func (p *program) reserve() *protocol.LedgerOperation {
	p.requests++
	return &protocol.LedgerOperation{
		Program: p.name,
		Body: &protocol.LedgerOperation_ReserveTurn{ReserveTurn: &protocol.ReserveTurn{
			RequestId: fmt.Sprintf("%s-r%d", p.name, p.requests), Session: p.name, Epoch: p.epoch, Ceiling: 10,
			PreviousTurn: p.last(), Fork: p.previousProgram != "",
		}},
	}
}

func (p *program) commit() *protocol.LedgerOperation {
	request := fmt.Sprintf("%s-r%d", p.name, p.requests)
	now := p.fleet.clock.Now()
	turn := &protocol.Turn{
		Id: "turn_" + request, Program: p.name, Session: p.name, RequestId: request, PreviousTurn: p.last(),
		KeptAtMillis: now.UnixMilli(), Output: []*protocol.Item{{Role: "assistant", Text: request + p.padding}},
	}
	if len(p.turns) == 0 {
		turn.PreviousProgram = p.previousProgram
	}
	if p.retention > 0 {
		turn.KeepUntilMillis = now.Add(p.retention).UnixMilli()
	}
	return &protocol.LedgerOperation{
		Program: p.name,
		Body: &protocol.LedgerOperation_SettleTurn{SettleTurn: &protocol.SettleTurn{
			RequestId: request, Session: p.name, Epoch: p.epoch, Tokens: 7, Turn: turn,
		}},
	}
}

func (p *program) takeTurn() {
	GinkgoHelper()
	Expect(p.fleet.do(p.reserve()).GetStatus()).To(Equal(protocol.LedgerStatus_LEDGER_OK))
	p.completeTurn()
}

func (p *program) completeTurn() {
	GinkgoHelper()
	operation := p.commit()
	Expect(p.fleet.do(operation).GetStatus()).To(Equal(protocol.LedgerStatus_LEDGER_OK))
	p.turns = append(p.turns, operation.GetSettleTurn().GetTurn().GetId())
}

func (p *program) readTurns(last string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: p.name,
		Body:    &protocol.LedgerOperation_ReadTurns{ReadTurns: &protocol.ReadTurns{LastTurn: last}},
	}
}

func (p *program) beginCall(request string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: p.name,
		Body: &protocol.LedgerOperation_BeginCall{BeginCall: &protocol.BeginCall{
			RequestId: request, Session: p.name, Epoch: p.epoch, Attempt: "attempt-" + request,
		}},
	}
}

// expectRetained checks that every acknowledged turn can be read.
func (p *program) expectRetained() {
	GinkgoHelper()
	record := p.fleet.do(&protocol.LedgerOperation{Program: p.name, Body: &protocol.LedgerOperation_ReadProgram{}})
	Expect(record.GetStatus()).To(Equal(protocol.LedgerStatus_LEDGER_OK))
	Expect(record.GetProgram().GetSettled()).To(BeNumerically(">=", 7*len(p.turns)))
	history := p.fleet.do(p.readTurns(p.last()))
	Expect(history.GetStatus()).To(Equal(protocol.LedgerStatus_LEDGER_OK))
	Expect(history.GetTurns()).To(HaveLen(len(p.turns)))
	for number, turn := range history.GetTurns() {
		Expect(turn.GetId()).To(Equal(p.turns[len(p.turns)-1-number]))
	}
}

var _ = BeforeEach(func() {
	ignored := goleak.IgnoreCurrent()
	DeferCleanup(func() { Eventually(func() error { return goleak.Find(ignored) }).Should(Succeed()) })
})

package store_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/rosestand/rosestand/internal/protocol"
)

// program drives one session through its turns.
type program struct {
	fleet    *fleet
	name     string
	epoch    uint64
	turns    []string
	requests int
	// padding lengthens the text of each turn.
	padding string
}

func (f *fleet) program(name string) *program {
	GinkgoHelper()
	p := &program{fleet: f, name: name}
	p.claim("front-1", 1)
	return p
}

func (p *program) claim(owner string, incarnation uint64) {
	GinkgoHelper()
	result := p.fleet.do(&protocol.LedgerOperation{Program: p.name, Body: &protocol.LedgerOperation_ClaimSession{ClaimSession: &protocol.ClaimSession{
		Session: p.name, Owner: owner, OwnerIncarnation: incarnation, Tenant: "tenant", Budget: 1_000_000,
	}}})
	Expect(result.GetStatus()).To(Equal(protocol.LedgerStatus_LEDGER_OK))
	p.epoch = result.GetEpoch()
}

func (p *program) last() string {
	if len(p.turns) == 0 {
		return ""
	}
	return p.turns[len(p.turns)-1]
}

func (p *program) reserve() *protocol.LedgerOperation {
	p.requests++
	return &protocol.LedgerOperation{Program: p.name, Body: &protocol.LedgerOperation_ReserveTurn{ReserveTurn: &protocol.ReserveTurn{
		RequestId: fmt.Sprintf("%s-r%d", p.name, p.requests), Session: p.name, Epoch: p.epoch, Ceiling: 10, PreviousTurn: p.last(),
	}}}
}

func (p *program) settle() *protocol.LedgerOperation {
	request := fmt.Sprintf("%s-r%d", p.name, p.requests)
	return &protocol.LedgerOperation{Program: p.name, Body: &protocol.LedgerOperation_SettleTurn{SettleTurn: &protocol.SettleTurn{
		RequestId: request, Session: p.name, Epoch: p.epoch, Tokens: 7, Turn: &protocol.Turn{
			Id: "turn_" + request, Program: p.name, Session: p.name, RequestId: request, PreviousTurn: p.last(),
			KeptAtMillis: p.fleet.clock.Now().UnixMilli(), Output: []*protocol.Item{{Role: "assistant", Text: request + p.padding}},
		},
	}}}
}

func (p *program) takeTurn() {
	GinkgoHelper()
	Expect(p.fleet.do(p.reserve()).GetStatus()).To(Equal(protocol.LedgerStatus_LEDGER_OK))
	p.finishTurn()
}

func (p *program) finishTurn() {
	GinkgoHelper()
	operation := p.settle()
	Expect(p.fleet.do(operation).GetStatus()).To(Equal(protocol.LedgerStatus_LEDGER_OK))
	p.turns = append(p.turns, operation.GetSettleTurn().GetTurn().GetId())
}

func (p *program) readTurns(last string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{Program: p.name, Body: &protocol.LedgerOperation_ReadTurns{ReadTurns: &protocol.ReadTurns{LastTurn: last}}}
}

// expectKept reads everything that was acknowledged.
func (p *program) expectKept() {
	GinkgoHelper()
	record := p.fleet.do(&protocol.LedgerOperation{Program: p.name, Body: &protocol.LedgerOperation_ReadProgram{}})
	Expect(record.GetStatus()).To(Equal(protocol.LedgerStatus_LEDGER_OK))
	Expect(record.GetProgram().GetSettled()).To(BeNumerically(">=", 7*len(p.turns)))
	history := p.fleet.do(p.readTurns(p.last()))
	Expect(history.GetStatus()).To(Equal(protocol.LedgerStatus_LEDGER_OK))
	Expect(history.GetTurns()).To(HaveLen(len(p.turns)))
	for place, turn := range history.GetTurns() {
		Expect(turn.GetId()).To(Equal(p.turns[len(p.turns)-1-place]))
	}
}

var _ = BeforeEach(func() {
	ignored := goleak.IgnoreCurrent()
	DeferCleanup(func() { Eventually(func() error { return goleak.Find(ignored) }).Should(Succeed()) })
})

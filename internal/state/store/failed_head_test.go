package store_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// requestDirectly sends an operation to a store past the cuts.
func (f *fleet) requestDirectly(name string, limit time.Duration, operation *protocol.LedgerOperation) *protocol.LedgerResult {
	GinkgoHelper()
	operation.PlacementEpoch = f.View().Placement.GetShards()[ledger.ShardOf(operation.GetProgram(), shardCount)].GetEpoch()
	return f.await(func() (result *protocol.LedgerResult, err error) {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		err = f.running(name).Serve(ctx, &protocol.Request{Body: &protocol.Request_Ledger{Ledger: operation}}, func(response *protocol.Response) error {
			result = response.GetLedger()
			return nil
		})
		return result, err
	})
}

func newClaim(session string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{Program: "p", Body: &protocol.LedgerOperation_ClaimSession{ClaimSession: &protocol.ClaimSession{
		Session: session, Owner: "front-1", OwnerIncarnation: 1, Tenant: "tenant", Budget: 1_000,
	}}}
}

var _ = Describe("a store whose change failed", func() {
	It("given a change that reached no other replica, when the store is back, then its next change overwrites nothing that the others chose", func() {
		f := newFleet("a", "b", "c")
		Expect(f.requestDirectly("a", awaitTimeout, newClaim("first")).GetStatus()).To(Equal(ok))
		f.setPartitioned("a", true)
		Expect(f.requestDirectly("a", shortTime, newClaim("second")).GetStatus()).To(Equal(unavailable))
		Expect(f.ask("b", awaitTimeout, newClaim("third")).GetStatus()).To(Equal(ok))
		f.clock.advance(20 * time.Second)
		f.setPartitioned("a", false)
		Expect(f.requestDirectly("a", awaitTimeout, newClaim("fourth")).GetStatus()).To(Equal(ok))

		record := f.do(&protocol.LedgerOperation{Program: "p", Body: &protocol.LedgerOperation_ReadProgram{}}).GetProgram()
		var sessions []string
		for _, session := range record.GetSessions() {
			sessions = append(sessions, session.GetSession())
		}
		Expect(sessions).To(ContainElements("first", "third", "fourth"))
	})
})

package store_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
)

// requestDirectlyFromA sends an operation to store a whether or not it is partitioned.
func (f *fleet) requestDirectlyFromA(
	limit time.Duration, operation *protocol.LedgerOperation,
) *protocol.LedgerResult {
	GinkgoHelper()
	operation.PlacementEpoch = f.shardEpoch(operation)
	return f.await(func() (result *protocol.LedgerResult, err error) {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		err = f.running("a").Serve(ctx, &protocol.Request{Body: &protocol.Request_Ledger{Ledger: operation}},
			func(response *protocol.Response) error {
				result = response.GetLedger()
				return nil
			})
		return result, err
	})
}

func newClaim(session string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: "p",
		Body: &protocol.LedgerOperation_ClaimSession{ClaimSession: &protocol.ClaimSession{
			Session: session, Owner: "front-1", OwnerIncarnation: 1, Tenant: "tenant", Budget: 1_000,
		}},
	}
}

var _ = Describe("a store whose change failed", func() {
	It("given a change that reached no other replica, then the next one overwrites nothing that the others chose", func() {
		f := newFleet("a", "b", "c")
		Expect(f.requestDirectlyFromA(awaitTimeout, newClaim("first")).GetStatus()).To(Equal(ok))
		f.setPartitioned("a", true)
		Expect(f.requestDirectlyFromA(shortTimeout, newClaim("second")).GetStatus()).To(Equal(unavailable))
		Expect(f.request("b", awaitTimeout, newClaim("third")).GetStatus()).To(Equal(ok))
		f.clock.advance(20 * time.Second)
		f.setPartitioned("a", false)
		Expect(f.requestDirectlyFromA(awaitTimeout, newClaim("fourth")).GetStatus()).To(Equal(ok))

		record := f.do(&protocol.LedgerOperation{Program: "p", Body: &protocol.LedgerOperation_ReadProgram{}}).GetProgram()
		var sessions []string
		for _, session := range record.GetSessions() {
			sessions = append(sessions, session.GetSession())
		}
		Expect(sessions).To(ContainElements("first", "third", "fourth"))
	})
})

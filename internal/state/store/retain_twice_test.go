package store_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("a replica that receives two requests to retain a turn", func() {
	It("retains it until the later time requested, even while it is still writing the first", func() {
		f := newFleetWithLongTimeouts("a", "b", "c")
		now := f.clock.Now()
		shorter := &protocol.Turn{
			Id: "turn", Program: "p", Session: "p", RequestId: "r",
			KeptAtMillis: now.UnixMilli(), KeepUntilMillis: now.Add(retentionTwelfth).UnixMilli(),
		}
		longer := proto.CloneOf(shorter)
		longer.KeepUntilMillis = now.Add(retention).UnixMilli()
		shard := placedShard(f.View(), &protocol.LedgerOperation{Program: "p"})
		batch := &protocol.RequestBatch{}
		for _, turn := range []*protocol.Turn{shorter, longer} {
			batch.Requests = append(batch.Requests,
				&protocol.Request{Body: &protocol.Request_KeepTurn{KeepTurn: &protocol.KeepTurnRequest{
					Shard: shard.GetShard(), PlacementEpoch: shard.GetEpoch(), Turn: turn,
				}}})
		}
		ctx, cancel := boundedContext()
		defer cancel()
		response, err := (&network{fleet: f}).Call(ctx, "a",
			&protocol.Request{Body: &protocol.Request_StoreBatch{StoreBatch: batch}})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GetStoreBatch().GetResponses()).To(HaveLen(2))
		result := f.request("a", 5*time.Second, newFindTurn("turn"))
		Expect(result.GetTurns()).To(HaveLen(1))
		Expect(result.GetTurns()[0].GetKeepUntilMillis()).To(Equal(longer.GetKeepUntilMillis()))
	})
})

package front_test

import (
	"context"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("a front node that cannot reach the ledger", func() {
	var r *rig
	var f1 *node

	BeforeEach(func() {
		r = newRouteRig()
		f1 = r.front("f1")
	})

	loseLedger := func() {
		r.ledger.setDown(true)
		r.ledger.unreachable.Store(true)
	}

	Describe("for callers of HTTP routes", func() {
		var server *standIn

		BeforeEach(func() {
			server = r.server("s1", func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Path == streamPath || request.URL.Path == turnPath {
					streamOf("yes")(writer, request)
					return
				}
				answerWith(http.StatusOK, "yes")(writer, request)
			})
			loseLedger()
		})

		// No virtual time passes here: a request that waits for anything gets no answer.
		DescribeTable("rejects at once what needs it", func(sent routed) {
			got := f1.route(sent)
			Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
			Expect(got.header.Get("Retry-After")).To(Equal("1.000"))
			Expect(server.requests()).To(BeEmpty())
			Expect(r.ledger.operationCounts).To(BeEmpty(), "the ledger got no request, so nothing is left to undo")
		},
			Entry("a turn", routedTurn{id: "r1", input: "in"}.sent()),
			Entry("a turn that continues another", routedTurn{id: "r2", previous: "r1", input: "in"}.sent()),
			Entry("a stream with a budget", routed{
				target: streamPath, headers: with(testDialect.RequestID, "r1", testDialect.Program, "p1", testDialect.TokenBudget,
					"100"),
			}),
		)

		DescribeTable("still serves what needs none", func(sent routed) {
			got := f1.route(sent)
			Expect(got.status).To(Equal(http.StatusOK), got.body)
			Expect(server.requests()).To(HaveLen(1))
		},
			Entry("a stream without a budget", ownedTalk),
			Entry("a non-repeatable call", ownedWrite),
			Entry("a repeatable call", ownedRead),
		)

		It("reports it as owner to the ingress", func() {
			f2 := r.front("f2")
			f2.ownership.setOwner("c1", "f1")
			got := f2.route(ownedTurn)
			Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
			Expect(got.header.Get("Retry-After")).To(Equal("1.000"))
			Expect(server.requests()).To(BeEmpty())
		})

		It("rejects at once what others own while it is partitioned from them as well", func() {
			f1.ownership.setOwner("c1", "f2")
			r.network.unreachable["f2"] = true
			r.ledger.isolated.Store(true)
			got := f1.route(ownedTurn)
			Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
			Expect(got.header.Get("Retry-After")).To(Equal("1.000"))
		})

		It("serves again as soon as the ledger answers", func() {
			Expect(f1.route(ownedTurn).status).To(Equal(http.StatusServiceUnavailable))
			r.ledger.setDown(false)
			r.ledger.unreachable.Store(false)
			Expect(f1.route(routedTurn{id: "r2", input: "in"}.sent()).status).To(Equal(http.StatusOK))
		})
	})

	Describe("for callers of the native API", func() {
		const valve, sensor = "/v1/tools/valve-plan/calls", "/v1/tools/sensor-data/calls"
		const body = `{"program":"p1","conversation":"s1","arguments":{}}`
		ran := func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, `{}`) }

		It("rejects a turn at once as not run", func() {
			loseLedger()
			got := f1.turn(turnBody("c1", ""), nil)
			Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.text)
			Expect(got.errorCode()).To(Equal("ledger_unavailable"))
			Expect(got.outcome()).To(Equal("not_run"))
		})

		It("answers unknown for a turn that may have been sent before", func() {
			loseLedger()
			got := f1.turn(turnBody("c1", ""), headers{"Idempotency-Key": "k1"})
			Expect(got.errorCode()).To(Equal("ledger_unavailable"))
			Expect(got.outcome()).To(Equal("unknown"))
		})

		It("still serves repeatable calls in sessions that it has claimed", func() {
			r.backEnd("t1", toolServer, ran)
			Expect(f1.do(http.MethodPost, sensor, body, nil).status).To(Equal(http.StatusOK))
			loseLedger()
			Expect(f1.do(http.MethodPost, sensor, body, nil).status).To(Equal(http.StatusOK))
			got := f1.do(http.MethodPost, valve, body, headers{"Idempotency-Key": "k1"})
			Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.text)
			Expect(got.errorCode()).To(Equal("ledger_unavailable"))
		})
	})

	It("is ready unless it alone is isolated", func() {
		loseLedger()
		Expect(front.NotReady(f1.service)).To(BeEmpty(), "all front nodes are in the same position")
		r.ledger.isolated.Store(true)
		Expect(front.NotReady(f1.service)).To(ContainSubstring("cut off"))
		r.ledger.isolated.Store(false)
		Expect(front.NotReady(f1.service)).To(BeEmpty())
	})

	It("has its operations carried out by another front node", func() {
		claim := &protocol.LedgerOperation{
			Program: "p1",
			Body: &protocol.LedgerOperation_ClaimSession{ClaimSession: &protocol.ClaimSession{
				Session: "c1", Owner: "f2", OwnerIncarnation: 1, Tenant: tenant, Budget: 10,
			}},
		}
		request := &protocol.Request{Body: &protocol.Request_Ledger{Ledger: claim}}
		err := f1.service.Serve(context.Background(), request, func(response *protocol.Response) error {
			Expect(response.GetLedger().GetStatus()).To(Equal(protocol.LedgerStatus_LEDGER_OK))
			Expect(response.GetLedger().GetEpoch()).To(BeEquivalentTo(1))
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.ledger.program("p1").GetSessions()).To(HaveLen(1))
	})
})

package front_test

import (
	"context"
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction(
		"github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
}

var _ = Describe("the internal protocol", func() {
	var r *rig
	var f1 *node

	BeforeEach(func() {
		r = newRig()
		f1 = r.front("f1")
	})

	serve := func(request *protocol.Request, send func(*protocol.Response) error) error {
		return f1.service.Serve(context.Background(), request, send)
	}
	ignore := func(*protocol.Response) error { return nil }

	It("returns the core's addresses, serves the directory and rejects requests that are not for a front node", func() {
		Expect(serve(&protocol.Request{Body: &protocol.Request_LocateCore{}}, func(response *protocol.Response) error {
			Expect(response.GetLocateCore().GetLeaderAddress()).To(Equal("core"))
			return nil
		})).To(Succeed())
		Expect(serve(&protocol.Request{Body: &protocol.Request_LookupSession{}}, func(response *protocol.Response) error {
			Expect(response.GetLookupSession()).NotTo(BeNil())
			return nil
		})).To(Succeed())
		Expect(failure.Is(serve(&protocol.Request{Body: &protocol.Request_Propose{}}, ignore),
			failure.UnknownRequest)).To(BeTrue())
	})

	It("rejects a turn that it does not own", func() {
		f1.ownership.beginError = failure.New(failure.NotOwner, protocol.Outcome_NOT_RUN, "not mine")
		request := &protocol.TurnRequest{RequestId: "r", Session: "s", Program: "p", Tenant: tenant, Model: model}
		Expect(failure.Is(serve(&protocol.Request{Body: &protocol.Request_Turn{Turn: request}}, ignore),
			failure.NotOwner)).To(BeTrue())
		Expect(r.ledger.operationCounts).To(BeEmpty())
	})

	It("ends the stream of a reader that falls too far behind with a typed failure", func() {
		const words = 3000
		text := make([]string, words)
		for at := range text {
			text[at] = "w"
		}
		// The reader is blocked until the front node has ended its stream and cancelled the back end's request.
		givenUp := make(chan struct{})
		r.backEnd("m1", modelServer, func(writer http.ResponseWriter, request *http.Request) {
			writeWords(writer, text...)
			<-request.Context().Done()
			close(givenUp)
		})
		request := &protocol.TurnRequest{RequestId: "r", Session: "s", Program: "p", Tenant: tenant, Model: model}
		passedOn := 0
		err := serve(&protocol.Request{Body: &protocol.Request_Turn{Turn: request}}, func(*protocol.Response) error {
			<-givenUp
			passedOn++
			return nil
		})
		Expect(passedOn).To(Equal(1), "a reader whose stream was ended gets nothing more")
		Expect(failure.Is(err, failure.SlowReader)).To(BeTrue(), "%v", err)
		Eventually(func() []*protocol.Reservation { return r.ledger.program("p").GetReservations() }).Should(BeEmpty())
	})
})

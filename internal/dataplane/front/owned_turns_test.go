package front_test

import (
	"bufio"
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("a turn owned by another front node", func() {
	var r *rig
	var f1 *node

	BeforeEach(func() {
		r = newRig()
		f1 = r.front("f1")
	})

	var f2 *node

	BeforeEach(func() {
		f2 = r.front("f2")
		f1.ownership.setOwner("s1", "f2")
		r.backEnd("m1", modelServer, modelAnswer("far", " away"))
	})

	It("is forwarded by the ingress", func() {
		got := f1.turn(turnBody("s1", ""), nil)
		Expect(got.status).To(Equal(http.StatusOK), got.text)
		Expect(got.at("rosestand", "owner")).To(Equal("f2"))
	})

	It("resumes after the stream between the nodes broke, without a gap or a duplicate", func() {
		r.network.partitioned["f2"] = 2
		response := f1.open(context.Background(), http.MethodPost, "/v1/responses",
			turnBody("s1", `,"stream":true,"background":true`), nil)
		defer func() { _ = response.Body.Close() }()
		done := make(chan []sseEvent)
		go func() { done <- readEvents(bufio.NewReader(response.Body), 10) }()
		Eventually(func() int {
			f1.ownership.mutex.Lock()
			defer f1.ownership.mutex.Unlock()
			return f1.ownership.forgotten["s1"]
		}).Should(Equal(1))
		var events []sseEvent
		Eventually(func() bool {
			r.clock.passBackoff()
			select {
			case events = <-done:
				return true
			default:
				return false
			}
		}).Should(BeTrue())
		Expect(ids(events)).To(Equal([]string{"1-1", "1-2", "1-3", "1-4"}))
		Expect(events[3].kind).To(Equal("response.completed"))
	})

	It("is rejected as not run when the owner is unreachable and the ledger stored the tombstone", func() {
		r.network.unreachable["f2"] = true
		answered := make(chan answer)
		go func() {
			defer GinkgoRecover()
			answered <- f1.turn(turnBody("s1", ""), headers{"Idempotency-Key": "k1"})
		}()
		var got answer
		Eventually(func() bool {
			r.clock.passBackoff()
			select {
			case got = <-answered:
				return true
			default:
				return false
			}
		}).Should(BeTrue())
		Expect(got.outcome()).To(Equal("not_run"))
		Expect(r.ledger.count("RefuseRequest")).To(Equal(1))
		r.network.unreachable["f2"] = false
		late := f2.turn(turnBody("s1", ""), headers{"Idempotency-Key": "k1"})
		Expect(late.errorCode()).To(Equal("request_refused"), "a late duplicate of a rejected request must never run")
	})

	It("forwards nothing from a stream that skips an event", func() {
		r.network.peers["f2"] = skippingPeer{}
		answered := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			answered <- f1.turn(turnBody("s1", ""), nil)
		}()
		Eventually(func() int {
			r.clock.passBackoff()
			return len(answered)
		}).Should(Equal(1))
		got := <-answered
		Expect(got.outcome()).To(Equal("ran"))
		Expect(got.text).NotTo(ContainSubstring("skipped to"))
	})

	It("is rejected by the ledger's answer once a duplicate of it may have arrived", func() {
		answered := make(chan answer, 1)
		r.network.partitioned["f2"] = 0
		f2.ownership.beginError = failure.New(failure.BudgetReserved, protocol.Outcome_NOT_RUN, "later")
		r.network.unreachable["f3"] = true
		go func() {
			defer GinkgoRecover()
			answered <- f1.turn(turnBody("s1", ""), nil)
		}()
		Eventually(func() int {
			f1.ownership.mutex.Lock()
			defer f1.ownership.mutex.Unlock()
			return f1.ownership.forgotten["s1"]
		}).Should(Equal(1))
		f1.ownership.setOwner("s1", "f3")
		Eventually(func() int {
			r.clock.passBackoff()
			return len(answered)
		}).Should(Equal(1))
		Expect((<-answered).outcome()).To(Equal("not_run"))
		Expect(r.ledger.count("RefuseRequest")).To(Equal(1))
	})

	It("is forwarded to the new owner after the old one yielded the session", func() {
		f2.ownership.beginError = failure.New(failure.NotOwner, protocol.Outcome_NOT_RUN, "given up")
		answered := make(chan answer)
		go func() {
			defer GinkgoRecover()
			answered <- f1.turn(turnBody("s1", ""), nil)
		}()
		Eventually(func() int {
			f1.ownership.mutex.Lock()
			defer f1.ownership.mutex.Unlock()
			return f1.ownership.forgotten["s1"]
		}).Should(BeNumerically(">", 0))
		f1.ownership.setOwner("s1", "f1")
		var got answer
		Eventually(func() bool {
			r.clock.passBackoff()
			select {
			case got = <-answered:
				return true
			default:
				return false
			}
		}).Should(BeTrue())
		Expect(got.at("rosestand", "owner")).To(Equal("f1"))
	})
})

// skippingPeer is a faulty owner whose stream omits one event.
type skippingPeer struct{}

func (skippingPeer) Serve(_ context.Context, request *protocol.Request, send func(*protocol.Response) error) error {
	attempt := request.GetTurn().GetLastAttempt() + 1
	for _, event := range []*protocol.TurnEvent{
		{Attempt: attempt, Sequence: 1, Body: &protocol.TurnEvent_Created{Created: &protocol.TurnCreated{TurnId: "turn_x"}}},
		{Attempt: attempt, Sequence: 3, Body: &protocol.TurnEvent_Completed{
			Completed: &protocol.TurnCompleted{Text: "skipped to"},
		}},
	} {
		if err := send(&protocol.Response{Body: &protocol.Response_TurnEvent{TurnEvent: event}}); err != nil {
			return err
		}
	}
	return nil
}

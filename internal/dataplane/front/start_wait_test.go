package front_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("a request that arrives while its front node starts", func() {
	var r *rig
	var f1 *node
	var server *standIn
	var inForce *corelink.View

	BeforeEach(func() {
		r = newRouteRig()
		server = r.server("s1", answerWith(http.StatusOK, "ok"))
		inForce = r.view
		r.put(&corelink.View{
			Configuration: &protocol.Configuration{Version: 1}, Membership: inForce.Membership,
			BackEnds: inForce.BackEnds,
		})
		f1 = r.front("f1")
	})

	// sendAndWait sends a request and returns when it waits.
	sendAndWait := func(sent routed) <-chan routedAnswer {
		answers := f1.routeAside(sent)
		Eventually(f1.service.StartWaiters).Should(Equal(1))
		return answers
	}

	It("is served as soon as a bundle is in force, within its remaining time", func() {
		answers := sendAndWait(routed{target: "/read/", headers: with(testDialect.TimeLeft, "2000")})
		r.clock.advance(450 * time.Millisecond)
		Expect(answers).NotTo(Receive())
		r.put(inForce)
		var got routedAnswer
		Eventually(answers).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusOK), got.body)
		Expect(server.requests()).To(HaveLen(1))
		Expect(server.requests()[0].header[testDialect.TimeLeft]).To(Equal([]string{"1550"}))
	})

	It("is rejected with Retry-After after half a second, and at once when the start takes too long", func() {
		answers := sendAndWait(routed{target: "/read/"})
		r.clock.advance(500 * time.Millisecond)
		var got routedAnswer
		Eventually(answers).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).To(Equal("0.600"), "what is left of a usual start")
		r.clock.advance(600 * time.Millisecond)
		late := f1.route(routed{target: "/read/"})
		Expect(late.status).To(Equal(http.StatusServiceUnavailable), "it does not wait for a start that takes too long")
		Expect(late.header.Get("Retry-After")).To(Equal("0.300"))
		Expect(server.requests()).To(BeEmpty())
	})

	It("waits at most a quarter of its caller's time", func() {
		answers := sendAndWait(routed{target: "/read/", headers: with(testDialect.TimeLeft, "400")})
		r.clock.advance(99 * time.Millisecond)
		Expect(answers).NotTo(Receive())
		r.clock.advance(time.Millisecond)
		var got routedAnswer
		Eventually(answers).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	})
})

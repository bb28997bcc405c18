package front_test

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("calls about the same object", func() {
	const (
		servers = 8
		calls   = 24
	)

	// serversUsed counts the servers that calls of as many programs go to; object names what each call is about.
	serversUsed := func(isSticky bool, object func(call int) string) int {
		r := newRouteRig()
		node := r.front("f1")
		r.changeBundle(func(active *protocol.Bundle) {
			active.Scheduling.Algorithm = protocol.SchedulingAlgorithm_EXPECTED_FIRST_TOKEN
			for _, route := range active.GetHttpRoutes() {
				route.Sticky = isSticky
			}
		})
		var backEnds []*standIn
		for number := range servers {
			backEnds = append(backEnds, r.server(fmt.Sprintf("s%d", number), answerWith(http.StatusOK, "ok")))
		}
		for call := range calls {
			headers := with(testDialect.Program, fmt.Sprintf("p%d", call), testDialect.Affinity, object(call))
			Expect(node.route(routed{target: nonRepeatablePath, headers: headers}).status).To(Equal(http.StatusOK))
		}
		requests := 0
		for _, backEnd := range backEnds {
			if len(backEnd.requests()) > 0 {
				requests++
			}
		}
		return requests
	}

	It("given a sticky route, then they go to one server, whichever program they belong to", func() {
		Expect(serversUsed(true, func(int) string { return "meter-7" })).To(Equal(1))
	})

	It("given a sticky route and many objects, then they spread over the servers", func() {
		Expect(serversUsed(true, func(call int) string { return fmt.Sprintf("meter-%d", call) })).To(BeNumerically(">",
			servers/2))
	})

	It("given a route that is not sticky, then programs spread over the servers", func() {
		Expect(serversUsed(false, func(int) string { return "meter-7" })).To(BeNumerically(">", servers/2))
	})
})

package front_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/protocol"
)

// loadReporter reports its load with each answer.
func loadReporter(load string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(testDialect.ServerLoad, load)
		answerWith(http.StatusOK, "ok")(writer, request)
	}
}

var _ = Describe("the load that a server reports with its answers", func() {
	call := func(program string) routed {
		return routed{target: nonRepeatablePath, headers: with(testDialect.Program, program)}
	}

	It("keeps calls away from a server that other front nodes load, until the report is stale", func() {
		r := newRouteRig()
		r.changeBundle(func(active *protocol.Bundle) {
			active.Scheduling.Algorithm = protocol.SchedulingAlgorithm_EXPECTED_FIRST_TOKEN
		})
		node := r.front("f1")
		busy := r.server("s1", loadReporter("running=6,queued=4,capacity=6"))
		Expect(node.route(call("first")).status).To(Equal(http.StatusOK))
		idle := r.server("s2", loadReporter("running=0,queued=0,capacity=6"))
		for _, program := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			Expect(node.route(call(program)).status).To(Equal(http.StatusOK))
		}
		Expect(busy.requests()).To(HaveLen(1))
		Expect(idle.requests()).To(HaveLen(8))
	})

	DescribeTable("is requested only when the last report is stale",
		func(answersCarryLoad bool, reportedAgo, sampledAgo time.Duration, isFresh bool) {
			Expect(front.IsFresh(answersCarryLoad, reportedAgo, sampledAgo)).To(Equal(isFresh))
		},
		Entry("a recent sample", false, 200*time.Millisecond, 200*time.Millisecond, true),
		Entry("an older sample", false, 300*time.Millisecond, 300*time.Millisecond, false),
		Entry("a recent answer that reported the load", true, 900*time.Millisecond, 4*time.Second, true),
		Entry("an older answer", true, 1100*time.Millisecond, 4*time.Second, false),
		Entry("answers alone, which report no memory use", true, time.Millisecond, 6*time.Second, false),
	)
})

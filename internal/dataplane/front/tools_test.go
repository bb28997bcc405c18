package front_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
)

const toolServer = protocol.BackEndKind_TOOL_SERVER

var _ = Describe("a tool call", func() {
	var r *rig
	var f1 *node
	var runs atomic.Int32
	const valve, sensor = "/v1/tools/valve-plan/calls", "/v1/tools/sensor-data/calls"
	const body = `{"program":"p1","conversation":"s1","arguments":{"open":3}}`

	BeforeEach(func() {
		r = newRig()
		f1 = r.front("f1")
		runs.Store(0)
	})

	run := func(writer http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		writer.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(writer, `{"done":true}`)
	}
	breakOff := func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}
	call := func(path, key string) answer {
		set := headers{}
		if key != "" {
			set["Idempotency-Key"] = key
		}
		return f1.do(http.MethodPost, path, body, set)
	}

	It("runs once and is answered from the ledger when repeated", func() {
		r.backEnd("t1", toolServer, run)
		for range 3 {
			got := call(valve, "k1")
			Expect(got.status).To(Equal(http.StatusOK), got.text)
			Expect(got.at("status")).To(Equal("200"))
			Expect(got.at("result", "done")).To(Equal("true"))
		}
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})

	It("carries the fencing token and the key to the server", func() {
		var received http.Header
		r.backEnd("t1", toolServer, func(writer http.ResponseWriter, request *http.Request) {
			received = request.Header.Clone()
			run(writer, request)
		})
		call(valve, "k1")
		Expect(received.Get("Rosestand-Epoch")).To(Equal("1"))
		Expect(received.Get("Rosestand-Session")).To(Equal("s1"))
		Expect(received.Get("Idempotency-Key")).To(Equal("k1"))
	})

	It("never runs again after an answer was lost", func() {
		r.backEnd("t1", toolServer, breakOff)
		r.backEnd("t2", toolServer, breakOff)
		for range 3 {
			got := call(valve, "k1")
			Expect(got.errorCode()).To(Equal("outcome_unknown"))
			Expect(got.outcome()).To(Equal("unknown"))
		}
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})

	It("is not retried by the transport when a reused connection breaks", func() {
		r.backEnd("t1", toolServer, func(writer http.ResponseWriter, request *http.Request) {
			if runs.Load() == 0 {
				run(writer, request)
				return
			}
			breakOff(writer, request)
		})
		Expect(call(valve, "k1").status).To(Equal(http.StatusOK))
		Expect(call(valve, "k2").errorCode()).To(Equal("outcome_unknown"))
		Expect(runs.Load()).To(BeEquivalentTo(2))
	})

	It("goes to another server when it certainly was not run", func() {
		reject := func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusTooManyRequests) }
		r.backEnd("t1", toolServer, reject)
		r.backEnd("t2", toolServer, reject)
		rejection := call(valve, "k1")
		Expect(rejection.errorCode()).To(Equal("overloaded"))
		Expect(rejection.outcome()).To(Equal("not_run"))
		r.backEnd("t3", toolServer, run)
		Expect(call(valve, "k1").outcome()).To(Equal("not_run"), "a rejection applies to every later request with the key")
		Expect(runs.Load()).To(BeZero())
		Expect(call(valve, "k2").status).To(Equal(http.StatusOK))
	})

	It("is retried when it is repeatable", func() {
		r.backEnd("t1", toolServer, func(writer http.ResponseWriter, request *http.Request) {
			if runs.Load() == 0 {
				breakOff(writer, request)
			}
			run(writer, request)
		})
		r.backEnd("t2", toolServer, run)
		got := call(sensor, "")
		Expect(got.status).To(Equal(http.StatusOK), got.text)
		Expect(r.ledger.count("BeginCall")).To(BeZero())
	})

	It("needs a route, and a key when it is non-repeatable", func() {
		Expect(call(valve, "").errorCode()).To(Equal("missing_field"))
		Expect(call("/v1/tools/none/calls", "k").errorCode()).To(Equal("unknown_tool"))
	})

	It("has the outcome unknown while the ledger is unreachable, and is never issued", func() {
		r.backEnd("t1", toolServer, run)
		Expect(call(sensor, "").status).To(Equal(http.StatusOK))
		r.ledger.setDown(true)
		answered := make(chan answer)
		go func() {
			defer GinkgoRecover()
			answered <- call(valve, "k1")
		}()
		var got answer
		Eventually(func() bool {
			r.clock.advance(500 * time.Millisecond)
			select {
			case got = <-answered:
				return true
			default:
				return false
			}
		}).Should(BeTrue())
		Expect(got.outcome()).To(Equal("unknown"))
		Expect(runs.Load()).To(BeEquivalentTo(1), "only the sensor was read")
	})

	It("has the outcome unknown when the stream to the owner broke, and its repeat gets the outcome", func() {
		r.front("f2")
		f1.ownership.setOwner("s1", "f2")
		arrived, release := make(chan struct{}), make(chan struct{})
		r.backEnd("t1", toolServer, func(writer http.ResponseWriter, request *http.Request) {
			close(arrived)
			<-release
			run(writer, request)
		})
		r.network.partitioned["f2"], r.network.partitionWhen["f2"] = 0, arrived
		lost := call(valve, "k1")
		Expect(lost.outcome()).To(Equal("unknown"), lost.text)
		close(release)
		Expect(runs.Load()).To(BeNumerically("<=", 1))
		Expect(call(valve, "k1").outcome()).To(BeElementOf("unknown", ""))
		Expect(runs.Load()).To(BeNumerically("<=", 1))
	})

	It("is rejected as not run when no owner is reachable, and never runs", func() {
		f2 := r.front("f2")
		f1.ownership.setOwner("s1", "f2")
		r.backEnd("t1", toolServer, run)
		r.network.unreachable["f2"] = true
		answered := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			answered <- call(valve, "k1")
		}()
		Eventually(func() int {
			r.clock.passBackoff()
			return len(answered)
		}).Should(Equal(1))
		Expect((<-answered).outcome()).To(Equal("not_run"))
		late := f2.do(http.MethodPost, valve, body, headers{"Idempotency-Key": "k1"})
		Expect(late.errorCode()).To(Equal("request_refused"))
		Expect(runs.Load()).To(BeZero())
	})

	It("never runs again after its caller disconnected", func() {
		arrived := make(chan struct{})
		r.backEnd("t1", toolServer, func(_ http.ResponseWriter, request *http.Request) {
			runs.Add(1)
			close(arrived)
			<-request.Context().Done()
		})
		ctx, disconnect := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, f1.server.URL+valve, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Rosestand-Tenant", tenant)
		request.Header.Set("Idempotency-Key", "k1")
		callerError := make(chan error)
		go func() {
			_, err := f1.server.Client().Do(request)
			callerError <- err
		}()
		<-arrived
		disconnect()
		Expect(<-callerError).To(MatchError(context.Canceled))
		Expect(call(valve, "k1").errorCode()).To(Equal("outcome_unknown"))
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})
})

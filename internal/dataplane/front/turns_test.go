package front_test

import (
	"bufio"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

const modelServer = protocol.BackEndKind_MODEL_SERVER

var _ = Describe("a turn", func() {
	var r *rig
	var f1 *node

	BeforeEach(func() {
		r = newRig()
		f1 = r.front("f1")
	})

	When("a model server answers", func() {
		BeforeEach(func() { r.backEnd("m1", modelServer, modelAnswer("good", " day")) })

		It("is answered completely, retained and charged", func() {
			got := f1.turn(turnBody("s1", ""), headers{"Idempotency-Key": "k1", "Rosestand-Nonce": "n1"})
			Expect(got.status).To(Equal(http.StatusOK), got.text)
			Expect(got.header.Get("Rosestand-Request-Id")).To(Equal("k1"))
			Expect(got.at("rosestand", "nonce")).To(Equal("n1"))
			Expect(got.at("rosestand", "back_end")).To(Equal("m1"))
			Expect(got.at("rosestand", "bundle_version")).To(Equal("5"))
			Expect(got.at("usage", "input_tokens_details", "cached_tokens")).To(Equal("3"))
			Expect(got.text).To(ContainSubstring(`"text":"good day"`))
			Expect(r.ledger.program("p1").GetSettled()).To(BeEquivalentTo(2))
			Expect(r.ledger.program("p1").GetReservations()).To(BeEmpty())
		})

		It("streams numbered events", func() {
			response := f1.open(context.Background(), http.MethodPost, "/v1/responses", turnBody("s1", `,"stream":true`), nil)
			defer func() { _ = response.Body.Close() }()
			events := readEvents(bufio.NewReader(response.Body), 10)
			Expect(ids(events)).To(Equal([]string{"1-1", "1-2", "1-3", "1-4"}))
			Expect(events[0].kind).To(Equal("response.created"))
			Expect(events[1].data).To(HaveKeyWithValue("delta", "good"))
			Expect(events[3].kind).To(Equal("response.completed"))
		})

		It("claims the session once and continues from the retained turn without reading it again", func() {
			first := f1.turn(turnBody("s1", ""), nil)
			second := f1.turn(turnBody("s1", `,"previous_response_id":"`+first.at("id")+`"`), nil)
			Expect(second.status).To(Equal(http.StatusOK), second.text)
			Expect(r.ledger.count("ClaimSession")).To(Equal(1))
			Expect(r.ledger.count("ReadTurns")).To(BeZero())
		})

		It("can be continued as soon as it was answered", func() {
			previous := ""
			for range 40 {
				got := f1.turn(turnBody("s1", previous), nil)
				Expect(got.status).To(Equal(http.StatusOK), got.text)
				previous = `,"previous_response_id":"` + got.at("id") + `"`
			}
		})

		It("finds the conversation by the turn that it continues", func() {
			first := f1.turn(turnBody("s1", ""), nil)
			second := f1.turn(`{"model":"`+model+`","program":"p1","input":"more","previous_response_id":"`+first.at("id")+`"}`,
				nil)
			Expect(second.status).To(Equal(http.StatusOK), second.text)
			Expect(second.at("conversation")).To(Equal("s1"))
		})

		It("rejects an invalid continuation and a turn that is not retained", func() {
			f1.turn(turnBody("s1", ""), nil)
			missing := f1.turn(turnBody("s1", `,"previous_response_id":"turn_none"`), nil)
			Expect(missing.errorCode()).To(Equal("turn_missing"))
			Expect(missing.at("error", "path")).To(Equal("previous_response_id"))
			wrong := f1.turn(turnBody("s1", ""), nil)
			Expect(wrong.status).To(Equal(http.StatusConflict))
			Expect(wrong.errorCode()).To(Equal("wrong_continuation"))
			Expect(wrong.outcome()).To(Equal("not_run"))
		})

		It("is answered from the ledger under the same key without running again", func() {
			first := f1.turn(turnBody("s1", ""), headers{"Idempotency-Key": "k1"})
			again := f1.turn(turnBody("s1", ""), headers{"Idempotency-Key": "k1"})
			Expect(again.status).To(Equal(http.StatusOK), again.text)
			Expect(again.at("id")).To(Equal(first.at("id")))
			Expect(again.text).To(ContainSubstring(`"text":"good day"`))
			Expect(r.ledger.program("p1").GetSettled()).To(BeEquivalentTo(2))
		})

		It("is rejected for a spent budget only when it did not run", func() {
			Expect(f1.turn(turnBody("s1", `,"program_budget":2`), nil).status).To(Equal(http.StatusOK))
			spent := f1.turn(turnBody("s2", ""), nil)
			Expect(spent.status).To(Equal(http.StatusPaymentRequired))
			Expect(spent.errorCode()).To(Equal("budget_spent"))
			Expect(spent.outcome()).To(Equal("not_run"))
		})

		It("is not accessible to other tenants", func() {
			f1.turn(turnBody("s1", ""), nil)
			configuration := proto.CloneOf(r.view.Configuration)
			configuration.Version = 2
			configuration.Active.Routes[0].Tenant = ""
			r.put(&corelink.View{Configuration: configuration, Membership: r.view.Membership, BackEnds: r.view.BackEnds})
			foreign := f1.turn(turnBody("s1", ""), headers{"Rosestand-Tenant": "menon"})
			Expect(foreign.errorCode()).To(Equal("unknown_program"))
			read := f1.do(http.MethodGet, "/v1/responses/turn_x?program=p1", "", headers{"Rosestand-Tenant": "menon"})
			Expect(read.errorCode()).To(Equal("unknown_program"))
		})

		It("is not looked up under a name reserved for the ledger", func() {
			read := f1.do(http.MethodGet, "/v1/responses/turn_x?program="+ledger.TrainingStepProgram("17"), "", nil)
			Expect(read.errorCode()).To(Equal("invalid_field"))
			Expect(read.at("error", "path")).To(Equal("program"))
			Expect(r.ledger.operationCounts).To(BeEmpty())
		})

		It("has an explanation of its path", func() {
			f1.turn(turnBody("s1", ""), headers{"Idempotency-Key": "k1"})
			got := f1.do(http.MethodGet, "/v1/explain/k1", "", nil)
			Expect(got.status).To(Equal(http.StatusOK))
			for _, want := range []string{
				`"holder"`, `"m1"`, "PREFIX_AFFINITY", "ledger reserve", "first token",
				"ledger settle",
			} {
				Expect(got.text).To(ContainSubstring(want))
			}
			Expect(f1.do(http.MethodGet, "/v1/explain/none", "", nil).errorCode()).To(Equal("not_found"))
		})

		It("is read and streamed again with its event numbers", func() {
			first := f1.turn(turnBody("s1", ""), nil)
			read := f1.do(http.MethodGet, "/v1/responses/"+first.at("id")+"?program=p1", "", nil)
			Expect(read.text).To(ContainSubstring(`"text":"good day"`))
			response := f1.open(context.Background(), http.MethodGet,
				"/v1/responses/"+first.at("id")+"?program=p1&stream=true&starting_after=2", "", nil)
			defer func() { _ = response.Body.Close() }()
			events := readEvents(bufio.NewReader(response.Body), 10)
			Expect(ids(events)).To(Equal([]string{"1-3", "1-4"}))
			Expect(field(events[1].data, "response", "id")).To(Equal(first.at("id")))
			Expect(field(events[1].data, "response", "rosestand", "back_end")).To(Equal("m1"))
		})

		It("is streamed from the ledger as a new attempt at a front node that never saw it", func() {
			first := f1.turn(turnBody("s1", ""), nil)
			f2 := r.front("f2")
			response := f2.open(context.Background(), http.MethodGet,
				"/v1/responses/"+first.at("id")+"?program=p1&stream=true&starting_after=2", "", nil)
			defer func() { _ = response.Body.Close() }()
			Expect(ids(readEvents(bufio.NewReader(response.Body), 10))).To(Equal([]string{"2-1", "2-2", "2-3"}))
		})
	})

	When("the first server fails", func() {
		It("is retried under a higher number and never splices", func() {
			var requests atomic.Int32
			breaking := func(writer http.ResponseWriter, request *http.Request) {
				if requests.Add(1) == 1 {
					writeWords(writer, "lost")
					panic(http.ErrAbortHandler)
				}
				modelAnswer("whole")(writer, request)
			}
			r.backEnd("m1", modelServer, breaking)
			r.backEnd("m2", modelServer, breaking)
			response := f1.open(context.Background(), http.MethodPost, "/v1/responses", turnBody("s1", `,"stream":true`), nil)
			defer func() { _ = response.Body.Close() }()
			events := readEvents(bufio.NewReader(response.Body), 10)
			Expect(ids(events)).To(Equal([]string{"1-1", "1-2", "2-1", "2-2", "2-3"}))
			Expect(events[4].data["response"]).To(HaveKeyWithValue("output", ContainElement(HaveKeyWithValue("content",
				ContainElement(HaveKeyWithValue("text", "whole"))))))
			Expect(r.ledger.program("p1").GetSettled()).To(BeEquivalentTo(2), "tokens of both attempts are charged")
		})

		It("goes to another server after a rejection, and is rejected with Retry-After when all reject", func() {
			busy := func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Retry-After", "4")
				writer.WriteHeader(http.StatusServiceUnavailable)
			}
			r.backEnd("m1", modelServer, busy)
			rejection := f1.turn(turnBody("s1", ""), nil)
			Expect(rejection.status).To(Equal(http.StatusServiceUnavailable))
			Expect(rejection.errorCode()).To(Equal("overloaded"))
			Expect(rejection.outcome()).To(Equal("not_run"))
			Expect(rejection.header.Get("Retry-After")).To(Equal("4"))
			r.backEnd("m2", modelServer, modelAnswer("yes"))
			Expect(f1.turn(turnBody("s2", ""), nil).status).To(Equal(http.StatusOK))
		})

		It("has the outcome unknown when no other server is left", func() {
			r.backEnd("m1", modelServer, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
			got := f1.turn(turnBody("s1", ""), nil)
			Expect(got.errorCode()).To(Equal("back_end_failed"))
			Expect(got.outcome()).To(Equal("unknown"))
		})
	})

	It("is retried elsewhere when its server is unresponsive", func() {
		// Sockets use the wall clock; the stall is far above what the responsive server needs.
		r.stall = 2 * time.Second
		f3 := r.front("f3")
		var requests atomic.Int32
		silentOnce := func(writer http.ResponseWriter, request *http.Request) {
			if requests.Add(1) == 1 {
				<-request.Context().Done()
				return
			}
			modelAnswer("spoken")(writer, request)
		}
		r.backEnd("m1", modelServer, silentOnce)
		r.backEnd("m2", modelServer, silentOnce)
		got := f3.turn(turnBody("s1", ""), nil)
		Expect(got.status).To(Equal(http.StatusOK), got.text)
		Expect(got.at("rosestand", "attempt")).To(Equal("2"))
	})

	It("never forwards an answer to another request", func() {
		r.backEnd("m1", modelServer, func(writer http.ResponseWriter, request *http.Request) {
			writer.Header().Set("Rosestand-Nonce", "foreign")
			modelAnswer("secret")(writer, request)
		})
		got := f1.turn(turnBody("s1", ""), nil)
		Expect(got.errorCode()).To(Equal("answer_mismatch"))
		Expect(got.text).NotTo(ContainSubstring("secret"))
	})

	It("frees its server at once when its caller disconnects, and charges what was forwarded", func() {
		freed := make(chan struct{})
		r.backEnd("m1", modelServer, func(writer http.ResponseWriter, request *http.Request) {
			writeWords(writer, "one", "two")
			<-request.Context().Done()
			close(freed)
		})
		ctx, disconnect := context.WithCancel(context.Background())
		response := f1.open(ctx, http.MethodPost, "/v1/responses", turnBody("s1", `,"stream":true`), nil)
		defer func() { _ = response.Body.Close() }()
		Expect(readEvents(bufio.NewReader(response.Body), 3)).To(HaveLen(3))
		disconnect()
		Eventually(freed).Should(BeClosed())
		Eventually(func() uint64 { return r.ledger.program("p1").GetSettled() }).Should(BeEquivalentTo(2))
	})

	It("runs in the background on request, and is resumed after the last event", func() {
		release := make(chan struct{})
		r.backEnd("m1", modelServer, func(writer http.ResponseWriter, request *http.Request) {
			writeWords(writer, "one")
			<-release
			writeWords(writer, "two")
			finishAnswer(writer, request, 2)
		})
		ctx, disconnect := context.WithCancel(context.Background())
		response := f1.open(ctx, http.MethodPost, "/v1/responses", turnBody("s1", `,"stream":true,"background":true`), nil)
		events := readEvents(bufio.NewReader(response.Body), 2)
		disconnect()
		_ = response.Body.Close()
		id := field(events[0].data, "response", "id")
		resumed := f1.open(context.Background(), http.MethodGet, "/v1/responses/"+id+"?program=p1&stream=true", "",
			headers{"Last-Event-ID": events[1].id})
		defer func() { _ = resumed.Body.Close() }()
		close(release)
		Expect(ids(readEvents(bufio.NewReader(resumed.Body), 10))).To(Equal([]string{"1-3", "1-4"}))
	})

	It("ends at its deadline with its true outcome", func() {
		arrived := make(chan struct{})
		r.backEnd("m1", modelServer, func(_ http.ResponseWriter, request *http.Request) {
			close(arrived)
			<-request.Context().Done()
		})
		answered := make(chan answer)
		go func() {
			defer GinkgoRecover()
			answered <- f1.turn(turnBody("s1", `,"timeout_millis":5000`), nil)
		}()
		<-arrived
		r.clock.advance(5 * time.Second)
		var got answer
		Eventually(answered).Should(Receive(&got))
		Expect(got.errorCode()).To(Equal("deadline_exceeded"))
		Expect(got.outcome()).To(Equal("unknown"))
	})

	It("forwards nothing once authority is lost", func() {
		release := make(chan struct{})
		r.backEnd("m1", modelServer, func(writer http.ResponseWriter, request *http.Request) {
			writeWords(writer, "one")
			<-release
			writeWords(writer, "late")
			<-request.Context().Done()
		})
		response := f1.open(context.Background(), http.MethodPost, "/v1/responses", turnBody("s1", `,"stream":true`), nil)
		defer func() { _ = response.Body.Close() }()
		reader := bufio.NewReader(response.Body)
		Expect(readEvents(reader, 2)).To(HaveLen(2))
		f1.ownership.revoked.Store(true)
		close(release)
		rest := readEvents(reader, 10)
		Expect(rest).To(HaveLen(1))
		Expect(rest[0].kind).To(Equal("response.failed"))
		Expect(field(rest[0].data, "error", "code")).To(Equal("no_authority"))
		Expect(field(rest[0].data, "error", "outcome")).To(Equal("ran"))
	})

	It("completes before a drain ends", func() {
		arrived, release := make(chan struct{}), make(chan struct{})
		r.backEnd("m1", modelServer, func(writer http.ResponseWriter, request *http.Request) {
			close(arrived)
			<-release
			modelAnswer("last")(writer, request)
		})
		answered, drained := make(chan answer, 1), make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			answered <- f1.turn(turnBody("s1", ""), nil)
		}()
		<-arrived
		go func() { drained <- f1.service.Drain(context.Background()) }()
		Eventually(f1.link.draining.Load).Should(BeTrue())
		Consistently(drained, 20*time.Millisecond).ShouldNot(Receive())
		close(release)
		Expect((<-answered).status).To(Equal(http.StatusOK))
		Eventually(func() int {
			r.clock.advance(time.Second)
			return len(drained)
		}).Should(Equal(1))
		Expect(<-drained).To(Succeed())
	})

	It("is not issued to a draining server", func() {
		r.backEnd("m1", modelServer, modelAnswer("no"))
		next := proto.CloneOf(r.view.BackEnds)
		next.Version++
		next.BackEnds[0].State = protocol.BackEndState_DRAINING
		r.put(&corelink.View{Configuration: r.view.Configuration, Membership: r.view.Membership, BackEnds: next})
		got := f1.turn(turnBody("s1", ""), nil)
		Expect(got.errorCode()).To(Equal("no_back_end"))
		Expect(got.header.Get("Retry-After")).To(Equal("1"))
	})

	It("while the ledger is unreachable, is unknown under the caller's key and not run without one", func() {
		r.backEnd("m1", modelServer, modelAnswer("no"))
		r.ledger.setDown(true)
		Expect(f1.turn(turnBody("s1", ""), headers{"Idempotency-Key": "k1"}).outcome()).To(Equal("unknown"))
		got := f1.turn(turnBody("s2", ""), nil)
		Expect(got.errorCode()).To(Equal("ledger_unavailable"))
		Expect(got.outcome()).To(Equal("not_run"))
	})

	It("excludes other turns of the conversation while it runs", func() {
		release := make(chan struct{})
		arrived := make(chan struct{})
		r.backEnd("m1", modelServer, func(writer http.ResponseWriter, request *http.Request) {
			close(arrived)
			<-release
			modelAnswer("one")(writer, request)
		})
		answered := make(chan answer)
		go func() {
			defer GinkgoRecover()
			answered <- f1.turn(turnBody("s1", ""), headers{"Idempotency-Key": "k1"})
		}()
		<-arrived
		Expect(f1.turn(turnBody("s1", ""), nil).errorCode()).To(Equal("session_busy"))
		go func() {
			defer GinkgoRecover()
			answered <- f1.turn(turnBody("s1", ""), headers{"Idempotency-Key": "k1"})
		}()
		close(release)
		var first, second answer
		Eventually(answered).Should(Receive(&first))
		Eventually(answered).Should(Receive(&second))
		Expect(first.at("id")).To(Equal(second.at("id")))
	})
})

package front_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

var _ = Describe("a generation of a training step", func() {
	var r *rig
	var f1, f2 *node

	BeforeEach(func() {
		r = newRouteRig()
		f1, f2 = r.front("f1"), r.front("f2")
	})

	Describe("of servers of two versions", func() {
		var older, newer []*weightsServer

		BeforeEach(func() {
			older = []*weightsServer{r.weightsServer("s1", 4), r.weightsServer("s2", 4)}
			newer = []*weightsServer{r.weightsServer("s3", 5), r.weightsServer("s4", 5)}
		})

		It("runs on one version at all front nodes, on both kinds of route", func() {
			for number := range 20 {
				f1.generate(stepTurn(fmt.Sprint("a", number)))
				f2.generate(stepTurn(fmt.Sprint("b", number)))
				f1.generate(onStream(stepTurn(fmt.Sprint("c", number))))
			}
			Expect(count(older[0].standIn, older[1].standIn)).To(BeZero())
			Expect(count(newer[0].standIn, newer[1].standIn)).To(Equal(60))
			Expect(r.ledger.count("PinTrainingStep")).To(Equal(2), "each front node asks once")
			for _, received := range newer[0].requests() {
				Expect(received.header.Get(testDialect.ExpectedWeights)).To(Equal("5"))
				Expect(received.header.Get(testDialect.ServerRank)).To(Equal("9"))
			}
		})

		It("keeps its version after the fleet was upgraded, also at a new front node", func() {
			f1.generate(stepTurn("a"))
			for _, server := range older {
				server.weights.Store(6)
				r.announceWeights(server.id, 6)
			}
			newer[0].weights.Store(6)
			r.announceWeights("s3", 6)
			f1.generate(stepTurn("b"))
			r.front("f3").generate(stepTurn("c"))
			Expect(newer[1].ran.Load() + newer[0].ran.Load()).To(BeEquivalentTo(3))
			for _, id := range []string{"a", "b", "c"} {
				Expect(r.ledger.generations("p-" + id)).To(Equal([]generations{{version: 5, completed: 1}}))
			}
			Expect(count(older[0].standIn, older[1].standIn)).To(BeZero())
			f1.generate(stepTurnOf("run-1/step-8", "d"))
			Expect(newer[1].bodyOf("d")).To(Equal("the server never got d"),
				"the next step is free to take the version that most have")
		})

		It("goes to another server of its version when the chosen one has loaded other weights", func() {
			newer[0].weights.Store(6)
			for number := range 10 {
				f1.generate(stepTurn(fmt.Sprint("a", number)))
			}
			Expect(newer[1].ran.Load()).To(BeEquivalentTo(10))
			Expect(newer[0].ran.Load()).To(BeZero())
			Expect(count(newer[0].standIn)).To(BeNumerically("<=", 1), "a server is asked once while its announcement is fresh")
			Expect(count(older[0].standIn, older[1].standIn)).To(BeZero())
		})

		It("is rejected at once when no server of its version is left", func() {
			f1.generate(stepTurn("a"))
			for _, server := range newer {
				server.weights.Store(6)
			}
			got := f1.route(stepTurn("b"))
			expectUnavailable(got)
			Expect(newer[0].ran.Load() + newer[1].ran.Load()).To(BeEquivalentTo(1))
			r.announceWeights("s3", 6)
			r.announceWeights("s4", 6)
			expectUnavailable(f1.route(stepTurn("c")))
			expectUnavailable(r.front("f3").route(stepTurn("d")))
			r.waitUntilIdle(f1)
			Expect(r.ledger.program("p-b").GetReservations()).To(BeEmpty())
			Expect(r.ledger.program("p-b").GetSettled()).To(BeZero())
		})

		It("is not issued to a draining server of its version", func() {
			f1.generate(stepTurn("a"))
			r.drainServer("s3")
			r.drainServer("s4")
			expectUnavailable(f1.route(stepTurn("b")))
		})

		It("shows its step and version in its explanation", func() {
			f1.generate(stepTurn("a"))
			response, err := http.Get(f1.server.URL + "/v1/explain/a")
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = response.Body.Close() }()
			text, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(text)).To(ContainSubstring("run-1/step-7, pinned to version 5 of model advisor"))
			Expect(string(text)).To(ContainSubstring("has not the training step's version of the weights"))
		})
	})

	Describe("and the ledger", func() {
		BeforeEach(func() { r.weightsServer("s1", 4) })

		DescribeTable("counts it before its caller has the complete answer", func(target string) {
			traced := r.traceLedger()
			sent := stepTurn("a")
			sent.target = target
			f1.generate(sent)
			Expect(traced("a")).To(Equal(tracedRequest{versions: []uint64{4}, completed: true, tokens: 2}))
			Expect(r.ledger.generations("p-a")).To(Equal([]generations{{version: 4, completed: 1}}))
		},
			Entry("on a route that retains turns", turnPath),
			Entry("on a route that retains none", streamPath),
		)

		It("that is unreachable keeps it from every server", func() {
			r.ledger.setDown(true)
			for _, sent := range []routed{stepTurn("a"), onStream(stepTurn("b"))} {
				got := f1.route(sent)
				Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
				Expect(got.body).To(HavePrefix("ledger_unavailable: "))
				Expect(got.header).To(HaveKeyWithValue("Retry-After", []string{"1.000"}))
			}
			r.ledger.setDown(false)
			f1.generate(stepTurn("c"))
		})

		It("that is known to be unreachable gets no operations", func() {
			r.ledger.unreachable.Store(true)
			Expect(f1.route(stepTurn("a")).status).To(Equal(http.StatusServiceUnavailable))
			Expect(r.ledger.count("PinTrainingStep")).To(BeZero())
		})

		It("that has the program in another step rejects it", func() {
			f1.generate(stepTurn("a"))
			another := stepTurnOf("run-1/step-8", "b")
			another.headers.Set(testDialect.Program, "p-a")
			without := stepTurn("c")
			without.headers.Set(testDialect.Program, "p-a")
			without.headers.Set(testDialect.TokenBudget, "100")
			without.headers.Del(testDialect.TrainingStep)
			for _, sent := range []routed{another, without} {
				got := f1.route(sent)
				Expect(got.status).To(Equal(http.StatusConflict), got.body)
				Expect(got.body).To(HavePrefix("step_mismatch: "))
			}
		})

		It("that has the step with another model rejects it", func() {
			f1.generate(stepTurn("a"))
			r.changeServer("s1", func(server *protocol.BackEnd) { server.ModelVersions = map[string]uint64{"judge": 4} })
			for _, n := range []*node{f1, f2} {
				got := n.route(stepTurn("b"))
				Expect(got.status).To(Equal(http.StatusConflict), got.body)
				Expect(got.body).To(HavePrefix("step_mismatch: "))
			}
		})
	})

	Describe("of a group with several models", func() {
		var own, judge *weightsServer

		BeforeEach(func() {
			own, judge = r.weightsServer("s1", 4), r.weightsServer("s2", 7)
			r.changeServer("s2", func(server *protocol.BackEnd) { server.ModelVersions = map[string]uint64{"judge": 7} })
		})

		It("runs on the model that its first turn names, at every front node", func() {
			for at, n := range []*node{f1, f2} {
				n.generate(onModel("judge", stepTurnOf("run-1/judged", fmt.Sprint("j", at))))
				n.generate(onModel(stepModel, stepTurnOf("run-1/own", fmt.Sprint("o", at))))
				n.generate(stepTurnOf("run-1/judged", fmt.Sprint("k", at)))
			}
			Expect(judge.ran.Load()).To(BeEquivalentTo(4))
			Expect(own.ran.Load()).To(BeEquivalentTo(2))
			Expect(r.ledger.generations("p-k1")).To(Equal([]generations{{version: 7, completed: 1}}))
		})

		It("is rejected when it names another model than that of its step", func() {
			f1.generate(onModel("judge", stepTurn("a")))
			for at, n := range []*node{f1, f2} {
				got := n.route(onModel(stepModel, stepTurn(fmt.Sprint("b", at))))
				Expect(got.status).To(Equal(http.StatusConflict), got.body)
				Expect(got.body).To(HavePrefix("step_mismatch: "))
			}
			Expect(own.requests()).To(BeEmpty())
		})

		It("is rejected while no server has the model that it names, and pins nothing", func() {
			expectUnavailable(f1.route(onModel("critic", stepTurn("a"))))
			Expect(r.ledger.count("PinTrainingStep")).To(BeZero())
			for _, name := range []string{"", "a b"} {
				Expect(f1.route(onModel(name, stepTurn("b"+name))).status).To(Equal(http.StatusBadRequest), name)
			}
		})
	})

	Describe("whose server loads other weights", func() {
		var traced func(string) tracedRequest

		BeforeEach(func() { traced = r.traceLedger() })

		DescribeTable("before its first event is not forwarded", func(target, version string, recorded uint64) {
			r.weightsServerWith("s1", 4, func(_ *weightsServer, writer http.ResponseWriter, request *http.Request) {
				streamNaming(writer, request, version, event(1, "a"))
			})
			sent := stepTurn("a")
			sent.target = target
			got := f1.route(sent)
			Expect(got.status).To(Equal(http.StatusBadGateway))
			Expect(got.body).To(HavePrefix("step_version_changed: "))
			r.waitUntilIdle(f1)
			Expect(traced("a")).To(Equal(tracedRequest{versions: []uint64{recorded}, tokens: 1}))
			Expect(r.ledger.generations("p-a")).To(Equal([]generations{{version: recorded, discarded: 1}}))
		},
			Entry("on a route that retains turns", turnPath, "5", uint64(5)),
			Entry("on a route that retains none", streamPath, "5", uint64(5)),
			Entry("on a route that retains turns, without naming a version", turnPath, "", uint64(0)),
		)

		DescribeTable("in mid-stream is aborted and counted as discarded", func(target string) {
			change := strings.ToLower(testDialect.WeightVersions) + ": 5\n" + event(2, "b")
			r.weightsServerWith("s1", 4, func(_ *weightsServer, writer http.ResponseWriter, request *http.Request) {
				streamNaming(writer, request, "4", event(1, "a"), change, event(3, "c"))
			})
			sent := stepTurn("a")
			sent.target = target
			got := f1.route(sent)
			Expect(got.broken).To(HaveOccurred(), "it must not look complete")
			Expect(got.body).To(Equal(event(1, "a")))
			r.waitUntilIdle(f1)
			Expect(traced("a")).To(Equal(tracedRequest{versions: []uint64{4, 5}, tokens: 1}))
			Expect(r.ledger.turn("a")).To(BeNil())
			Expect(r.ledger.generations("p-a")).To(Equal([]generations{{version: 5, discarded: 1}}))
		},
			Entry("on a route that retains turns", turnPath),
			Entry("on a route that retains none", streamPath),
		)
	})

	It("whose session is lost before it is recorded never looks complete", func() {
		r.weightsServer("s1", 4)
		r.ledger.intercept = func(operation *protocol.LedgerOperation) *protocol.LedgerResult {
			if released := operation.GetReleaseTurn(); released.GetCompleted() {
				_, err := r.ledger.Do(context.Background(), &protocol.LedgerOperation{
					Program: operation.GetProgram(),
					Body: &protocol.LedgerOperation_ClaimSession{ClaimSession: &protocol.ClaimSession{
						Session: released.GetSession(), Owner: "f9", OwnerIncarnation: 1,
					}},
				})
				Expect(err).NotTo(HaveOccurred())
			}
			return nil
		}
		got := f1.route(onStream(stepTurn("a")))
		Expect(got.broken).To(HaveOccurred())
		r.waitUntilIdle(f1)
		Expect(r.ledger.generations("p-a")).To(Equal([]generations{{discarded: 1}}))
	})

	It("is rejected at once when its step name is invalid or it names no program", func() {
		server := r.weightsServer("s1", 4)
		for _, name := range []string{"a b", "", strings.Repeat("x", 129), "a\tb"} {
			Expect(f1.route(stepTurnOf(name, "a")).status).To(Equal(http.StatusBadRequest), name)
		}
		duplicated := stepTurn("a")
		duplicated.headers.Add(testDialect.TrainingStep, "another")
		Expect(f1.route(duplicated).status).To(Equal(http.StatusBadRequest))
		alone := onStream(stepTurn("a"))
		alone.headers.Del(testDialect.Program)
		Expect(f1.route(alone).status).To(Equal(http.StatusBadRequest))
		register := stepTurn("a")
		register.headers.Set(testDialect.Program, ledger.TrainingStepProgram(stepName))
		Expect(f1.route(register).status).To(Equal(http.StatusBadRequest), "the register of a step is not a program")
		Expect(server.requests()).To(BeEmpty())
	})

	It("is rejected without the ledger where no server names a version", func() {
		r.server("s1", turnServer)
		expectUnavailable(f1.route(stepTurn("a")))
		Expect(r.ledger.count("PinTrainingStep")).To(BeZero())
	})

	It("that its server rejects does not eject the server", func() {
		server := r.weightsServer("s1", 4)
		f1.generate(stepTurn("a"))
		server.weights.Store(5)
		for number := range 10 {
			expectUnavailable(f1.route(stepTurn(fmt.Sprint("b", number))))
			r.clock.advance(front.RejectedVersionTTL)
		}
		f1.take(routedTurn{id: "live", input: "x"})
	})
})

var _ = Describe("a turn outside training steps", func() {
	It("goes to servers of any version, with the same headers and operations", func() {
		r := newRouteRig()
		f1 := r.front("f1")
		plain := r.server("s1", turnServer)
		f1.take(routedTurn{id: "before", input: "x"})
		operations := r.ledger.kinds()
		r.drainServer("s1")
		versioned := []*weightsServer{r.weightsServer("s2", 4), r.weightsServer("s3", 5)}
		f1.take(routedTurn{id: "after", input: "x"})
		for kind, times := range r.ledger.kinds() {
			Expect(times).To(Equal(2*operations[kind]), kind)
		}
		sent := plain.requests()[0].header
		for _, server := range versioned {
			for _, received := range server.requests() {
				Expect(received.header.Get(testDialect.ServerRank)).To(Equal(sent.Get(testDialect.ServerRank)))
				Expect(received.header).To(HaveLen(len(sent)))
			}
		}
		reached := map[string]int{}
		for number := range 40 {
			id := "t" + strconv.Itoa(number)
			f1.take(routedTurn{id: id, program: "p" + id, session: "c" + id, input: "x"})
		}
		for _, server := range versioned {
			reached[server.id] = count(server.standIn)
		}
		Expect(reached).To(HaveLen(2))
		Expect(reached["s2"]).NotTo(BeZero())
		Expect(reached["s3"]).NotTo(BeZero())
	})

	It("is forwarded whatever versions its server names", func() {
		r := newRouteRig()
		f1 := r.front("f1")
		change := strings.ToLower(testDialect.WeightVersions) + ": 5\n" + event(2, "b")
		r.weightsServerWith("s1", 4, func(_ *weightsServer, writer http.ResponseWriter, request *http.Request) {
			streamNaming(writer, request, "3", event(1, "a"), change)
		})
		response, err := f1.begin(context.Background(), routedTurn{id: "t", input: "x"}.sent())
		Expect(err).NotTo(HaveOccurred())
		got := readRouted(response)
		Expect(got.broken).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(event(1, "a") + change))
	})
})

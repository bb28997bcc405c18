package core_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/core"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/strictjson"
)

// bundleWithLimit returns the default bundle with another queue limit.
func bundleWithLimit(version uint64, limit uint32) *protocol.Bundle {
	limited := bundle.Default(version)
	limited.Limits.MaxQueued = limit
	return limited
}

// bundleWithRoutes returns a complete bundle of 350 HTTP routes; the changed one has another time-out.
func bundleWithRoutes(version uint64, changed int) *protocol.Bundle {
	routes := &protocol.Bundle{Version: version, Groups: []*protocol.ServerGroup{{Name: "desk"}}}
	for number := range 350 {
		routes.HttpRoutes = append(routes.HttpRoutes, &protocol.HttpRoute{
			Name: fmt.Sprintf("r%03d", number), Host: "h", Prefix: fmt.Sprintf("/%d/", number), TimeoutMillis: 1000,
			Kind: protocol.HttpRouteKind_HTTP_REPEATABLE, Targets: []*protocol.WeightedGroup{{Group: "desk", Weight: 1}},
		})
	}
	routes.HttpRoutes[changed].TimeoutMillis = 2000
	return routes
}

// pollDeltas polls for a configuration newer than the given version and accepts deltas.
func (m *member) pollDeltas(
	ctx context.Context, node *protocol.Node, configuration uint64,
) (*protocol.PollControlResponse, error) {
	known := m.machine.View().Versions()
	known.Configuration = configuration
	var answer *protocol.PollControlResponse
	err := m.service.Serve(ctx, pollRequest(&protocol.PollControlRequest{
		Node: node.GetName(), Incarnation: node.GetIncarnation(), Known: known, WaitMillis: 20_000, AcceptsDeltas: true,
	}), func(response *protocol.Response) error {
		answer = response.GetPollControl()
		return nil
	})
	return answer, err
}

var _ = Describe("the adapter interface of the control plane", func() {
	var f *fleet
	var leader *member
	ctx := context.Background()
	BeforeEach(func() {
		f = newFleet(2, func(options *core.Options) { options.TrustOperators = true })
		leader = f.lead(f.members[0])
	})
	logIndex := func() uint64 {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		return f.index
	}

	Describe("releases", func() {
		It("are active once acknowledged, also after a change of leader", func() {
			Expect(leader.service.ActiveBundle(ctx)).To(BeNil())
			Expect(leader.service.ReleaseBundle(ctx, bundleWithLimit(5, 50), 0)).To(Succeed())
			next := f.lead(f.members[1])
			active, err := next.service.ActiveBundle(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(active.GetVersion()).To(BeEquivalentTo(5))
		})

		It("distinguish the errors for another active version, an invalid bundle and a follower", func() {
			Expect(leader.service.ReleaseBundle(ctx, bundleWithLimit(5, 50), 0)).To(Succeed())
			conflict := leader.service.ReleaseBundle(ctx, bundleWithLimit(6, 50), 4)
			Expect([]bool{
				core.IsConflict(conflict), core.IsInvalid(conflict),
				core.IsNotLeader(conflict),
			}).To(Equal([]bool{true, false, false}))
			versionTaken := leader.service.ReleaseBundle(ctx, bundleWithLimit(5, 51), 0)
			Expect([]bool{
				core.IsConflict(versionTaken), core.IsInvalid(versionTaken),
				core.IsNotLeader(versionTaken),
			}).To(Equal([]bool{true, false, false}))
			invalid := leader.service.ReleaseBundle(ctx, bundleWithLimit(3, 50), 5)
			Expect([]bool{
				core.IsConflict(invalid), core.IsInvalid(invalid),
				core.IsNotLeader(invalid),
			}).To(Equal([]bool{false, true, false}))
			follower := f.members[1].service
			atFollower := follower.ReleaseBundle(ctx, bundleWithLimit(6, 50), 5)
			Expect([]bool{
				core.IsConflict(atFollower), core.IsInvalid(atFollower),
				core.IsNotLeader(atFollower),
			}).To(Equal([]bool{false, false, true}))
			_, err := follower.ActiveBundle(ctx)
			Expect(core.IsNotLeader(err)).To(BeTrue(), "%v", err)
			Expect(follower.LeaderHTTPAddress()).To(Equal(leader.core.GetHttpAddress()))
			Expect(leader.service.LeaderHTTPAddress()).To(BeEmpty())
			f.lead(nil)
			Expect(follower.LeaderHTTPAddress()).To(BeEmpty())
		})

		It("are acknowledged again after a lost response, 300 further releases and a restart", func() {
			f.set(func() { leader.loseAnswers = true })
			lost := leader.service.ReleaseBundle(ctx, bundleWithLimit(5, 50), 0)
			Expect(failure.From(lost).GetOutcome()).To(Equal(protocol.Outcome_UNKNOWN))
			Expect([]bool{
				core.IsConflict(lost), core.IsInvalid(lost),
				core.IsNotLeader(lost),
			}).To(Equal([]bool{false, false, false}))
			f.set(func() { leader.loseAnswers = false })
			Expect(leader.service.ReleaseBundle(ctx, bundleWithLimit(5, 50), 0)).To(Succeed())
			for version := uint64(6); version < 306; version++ {
				Expect(leader.service.ReleaseBundle(ctx, bundleWithLimit(version, uint32(version)), version-1)).To(Succeed())
			}
			next := f.lead(f.members[1])
			next.restart()
			Expect(next.service.ReleaseBundle(ctx, bundleWithLimit(5, 50), 0)).To(Succeed())
			active, err := next.service.ActiveBundle(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(active.GetVersion()).To(BeEquivalentTo(305))
		})

		It("exclude each other: exactly one of 16 concurrent releases is accepted", func() {
			var group sync.WaitGroup
			outcomes := make([]error, 16)
			for i := range outcomes {
				group.Go(func() {
					outcomes[i] = leader.service.ReleaseBundle(ctx, bundleWithLimit(uint64(5+i%2), uint32(100+i)), 0)
				})
			}
			group.Wait()
			winners := 0
			for i, err := range outcomes {
				if err == nil {
					winners++
					Expect(leader.machine.View().Configuration.GetActive().GetLimits().GetMaxQueued()).To(BeEquivalentTo(100 + i))
					continue
				}
				Expect(core.IsConflict(err)).To(BeTrue(), "%v", err)
			}
			Expect(winners).To(Equal(1))
		})

		It("reach a polling front node as deltas within a coalescing interval, over 300 changes", func() {
			front, configuration := frontNode("f1", 1), &protocol.Configuration{}
			for version := uint64(1); version <= 300; version++ {
				Expect(leader.service.ReleaseBundle(ctx, bundleWithRoutes(version, int(version)), version-1)).To(Succeed())
				f.advance(core.DefaultCoalesceInterval)
				// The virtual clock stands still, so a poll that is wrongly delayed runs into this deadline.
				waiting, cancel := context.WithTimeout(ctx, 30*time.Second)
				answer, err := leader.pollDeltas(waiting, front, configuration.GetVersion())
				cancel()
				Expect(err).NotTo(HaveOccurred())
				if version == 1 {
					configuration = answer.GetConfiguration()
				} else {
					Expect(answer.GetConfiguration()).To(BeNil())
					configuration, err = bundle.ApplyDelta(configuration, answer.GetConfigurationDelta())
					Expect(err).NotTo(HaveOccurred())
				}
				Expect(configuration.GetActive().GetVersion()).To(Equal(version))
			}
		})

		It("are forbidden if the settings do not trust operators", func() {
			strict := newFleet(1, nil)
			service := strict.lead(strict.members[0]).service
			Expect(failure.Is(service.ReleaseBundle(ctx, bundleWithLimit(5, 50), 0), failure.Forbidden)).To(BeTrue())
		})
	})

	Describe("announcements of back ends", func() {
		server := func(state protocol.BackEndState, capacity uint32) *protocol.BackEnd {
			return &protocol.BackEnd{
				Id: "s1", Address: "10.1.0.1:1", Incarnation: 1, Kind: protocol.BackEndKind_MODEL_SERVER,
				State: state, Capacity: capacity,
			}
		}
		ready, draining := protocol.BackEndState_READY, protocol.BackEndState_DRAINING
		current := func() *protocol.BackEnd { return leader.machine.View().BackEnd("s1") }
		BeforeEach(func() {
			f.advance(6 * time.Second)
			Expect(leader.service.AnnounceBackEnd(ctx, server(ready, 4), 1)).To(Succeed())
		})

		It("renew the lease without writing to the log", func() {
			before := logIndex()
			for sequence := uint64(2); sequence < 12; sequence++ {
				f.advance(time.Second)
				Expect(leader.service.AnnounceBackEnd(ctx, server(ready, 4), sequence)).To(Succeed())
			}
			Expect(logIndex()).To(Equal(before))
			f.advance(core.DefaultBackEndLease + 100*time.Millisecond)
			Expect(current()).To(BeNil())
		})

		It("renew the lease for the duration in the settings", func() {
			short := newFleet(1, func(options *core.Options) { options.BackEndLease = 2 * time.Second })
			leader := short.lead(short.members[0])
			short.advance(2 * time.Second)
			Expect(leader.service.AnnounceBackEnd(ctx, server(ready, 4), 1)).To(Succeed())
			short.advance(1900 * time.Millisecond)
			Expect(leader.machine.View().BackEnd("s1")).NotTo(BeNil())
			short.advance(200 * time.Millisecond)
			Expect(leader.machine.View().BackEnd("s1")).To(BeNil())
		})

		It("have no effect when they are outdated, even if the later ones were not written to the log", func() {
			Expect(leader.service.AnnounceBackEnd(ctx, server(ready, 6), 2)).To(Succeed())
			Expect(leader.service.AnnounceBackEnd(ctx, server(ready, 6), 5)).To(Succeed())
			before := logIndex()
			Expect(leader.service.AnnounceBackEnd(ctx, server(ready, 4), 4)).To(Succeed())
			Expect(current().GetCapacity()).To(BeEquivalentTo(6))
			By("announcing to a new leader, which has only the log")
			leader = f.lead(f.members[1])
			Expect(leader.service.AnnounceBackEnd(ctx, server(ready, 4), 1)).To(Succeed())
			Expect(current().GetCapacity()).To(BeEquivalentTo(6))
			Expect(logIndex()).To(Equal(before))
		})

		It("do not renew the lease when they are outdated", func() {
			Expect(leader.service.AnnounceBackEnd(ctx, server(ready, 4), 9)).To(Succeed())
			for range 6 {
				f.advance(time.Second)
				Expect(leader.service.AnnounceBackEnd(ctx, server(ready, 4), 8)).To(Succeed())
			}
			Expect(current()).To(BeNil())
		})

		It("of draining are acknowledged once the view is active on every front node, repeated ones without a write", func() {
			front := frontNode("f1", 1)
			leader.renew(front, leader.machine.View().Versions())
			announce := func(sequence uint64) <-chan error {
				outcome := make(chan error, 1)
				go func() { outcome <- leader.service.AnnounceBackEnd(ctx, server(draining, 4), sequence) }()
				return outcome
			}
			first := announce(2)
			Eventually(func() protocol.BackEndState { return current().GetState() }).Should(Equal(draining))
			before := logIndex()
			second := announce(3)
			f.advance(time.Second)
			Expect(first).NotTo(Receive())
			Expect(second).NotTo(Receive())
			leader.renew(front, leader.machine.View().Versions())
			Eventually(first).Should(Receive(BeNil()))
			Eventually(second).Should(Receive(BeNil()))
			Eventually(announce(4)).Should(Receive(BeNil()))
			Expect(logIndex()).To(Equal(before))
			Expect(leader.service.AnnounceBackEnd(ctx, server(ready, 4), 5)).To(Succeed())
			Expect(current().GetState()).To(Equal(draining))
		})

		It("of draining are acknowledged when the lease of an unresponsive front node expires", func() {
			leader.renew(frontNode("f1", 1), leader.machine.View().Versions())
			outcome := make(chan error, 1)
			go func() { outcome <- leader.service.AnnounceBackEnd(ctx, server(draining, 4), 2) }()
			Eventually(func() protocol.BackEndState { return current().GetState() }).Should(Equal(draining))
			f.advance(core.DefaultLease)
			Expect(outcome).NotTo(Receive())
			f.advance(400 * time.Millisecond)
			Eventually(outcome).Should(Receive(BeNil()))
		})

		It("of draining are not acknowledged when they are outdated and the back end is ready", func() {
			Expect(leader.service.AnnounceBackEnd(ctx, server(ready, 4), 7)).To(Succeed())
			outdated := leader.service.AnnounceBackEnd(ctx, server(draining, 4), 6)
			Expect(failure.Is(outdated, failure.InvalidOrder)).To(BeTrue(), "%v", outdated)
			Expect(current().GetState()).To(Equal(ready))
		})

		It("do not restore a removed back end, and its removal waits for the front nodes", func() {
			front := frontNode("f1", 1)
			leader.renew(front, leader.machine.View().Versions())
			outcome := make(chan error, 1)
			go func() { outcome <- leader.service.RemoveBackEnd(ctx, "s1", 0) }()
			Eventually(current).Should(BeNil())
			f.advance(time.Second)
			Expect(outcome).NotTo(Receive())
			leader.renew(front, leader.machine.View().Versions())
			Eventually(outcome).Should(Receive(BeNil()))
			before := logIndex()
			Expect(leader.service.AnnounceBackEnd(ctx, server(ready, 4), 9)).To(Succeed())
			Expect(leader.service.RemoveBackEnd(ctx, "s1", 0)).To(Succeed())
			Expect(current()).To(BeNil())
			Expect(logIndex()).To(Equal(before))
		})

		It("are rejected on a follower and without an id or address", func() {
			follower := f.members[1].service
			Expect(core.IsNotLeader(follower.AnnounceBackEnd(ctx, server(ready, 4), 2))).To(BeTrue())
			Expect(core.IsNotLeader(follower.RemoveBackEnd(ctx, "s1", 0))).To(BeTrue())
			Expect(core.IsInvalid(leader.service.AnnounceBackEnd(ctx, &protocol.BackEnd{Address: "a"}, 1))).To(BeTrue())
			Expect(core.IsInvalid(leader.service.AnnounceBackEnd(ctx, &protocol.BackEnd{Id: "s2"}, 1))).To(BeTrue())
			Expect(core.IsInvalid(leader.service.RemoveBackEnd(ctx, "", 1))).To(BeTrue())
		})

		It("coexist with the heartbeats that front nodes relay", func() {
			leader.heartbeat(modelServer("m1"))
			Expect(leader.service.AnnounceBackEnd(ctx, modelServer("m1"), 3)).To(Succeed())
			leader.heartbeat(modelServer("m1"))
			Expect(leader.service.RemoveBackEnd(ctx, "m1", 0)).To(Succeed())
			leader.heartbeat(modelServer("m1"))
			Expect(leader.machine.View().BackEnd("m1")).To(BeNil())
		})
	})

	Describe("the emptying of a store", func() {
		It("continues after a change of leader, and repeating the order changes nothing", func() {
			for number := range 4 {
				leader.renew(storeNode(fmt.Sprintf("s%d", number), fmt.Sprintf("z%d", number)), leader.machine.View().Versions())
			}
			f.advance(1500 * time.Millisecond)
			Expect(leader.machine.View().Placement.GetShards()).NotTo(BeEmpty())
			Expect(leader.service.StoreState(ctx, "s1")).To(Equal(core.StoreServing))
			Expect(leader.service.EmptyStore(ctx, "s1")).To(Succeed())
			Expect(leader.service.EmptyStore(ctx, "s1")).To(Succeed())
			Expect(core.IsTooFewStores(leader.service.EmptyStore(ctx, "s2"))).To(BeTrue())
			Expect(core.IsUnknownStore(leader.service.EmptyStore(ctx, "s9"))).To(BeTrue())
			next := f.lead(f.members[1])
			next.restart()
			Expect(next.service.StoreState(ctx, "s1")).To(Equal(core.StoreEmptying))
			_, err := next.service.StoreState(ctx, "s9")
			Expect(core.IsUnknownStore(err)).To(BeTrue(), "%v", err)
			_, err = leader.service.StoreState(ctx, "s1")
			Expect(core.IsNotLeader(err)).To(BeTrue(), "%v", err)
		})

		It("is accepted for the last store of a zone while enough stores remain", func() {
			for number, zone := range []string{"z0", "z0", "z1", "z2"} {
				leader.renew(storeNode(fmt.Sprintf("s%d", number), zone), leader.machine.View().Versions())
			}
			f.advance(1500 * time.Millisecond)
			Expect(leader.machine.View().Placement.GetShards()).NotTo(BeEmpty())
			Expect(leader.service.EmptyStore(ctx, "s2")).To(Succeed())
			Expect(core.IsTooFewStores(leader.service.EmptyStore(ctx, "s1"))).To(BeTrue())
		})
	})

	Describe("over HTTP, without a token", func() {
		send := func(to *member, method, path, body string) *httptest.ResponseRecorder {
			request := httptest.NewRequest(method, path, strings.NewReader(body))
			recorder := httptest.NewRecorder()
			to.service.ServeHTTP(recorder, request)
			return recorder
		}

		It("releases a bundle and returns it", func() {
			Expect(send(leader, "GET", "/v1/releases/active", "").Code).To(Equal(http.StatusNotFound))
			content, err := strictjson.Marshal(bundleWithLimit(7, 70))
			Expect(err).NotTo(HaveOccurred())
			Expect(send(leader, "PUT", "/v1/releases/7", string(content)).Code).To(Equal(http.StatusOK))
			Expect(send(leader, "PUT", "/v1/releases/7", string(content)).Code).To(Equal(http.StatusOK))
			Expect(send(leader, "PUT", "/v1/releases/9?base=6",
				`{"partial":true,"limits":{"max_queued":90}}`).Code).To(Equal(http.StatusConflict))
			Expect(send(leader, "PUT", "/v1/releases/9?base=7",
				`{"partial":true,"limits":{"max_queued":90}}`).Code).To(Equal(http.StatusOK))
			Expect(send(leader, "PUT", "/v1/releases/8?base=9",
				`{"partial":true}`).Code).To(Equal(http.StatusUnprocessableEntity))
			Expect(send(leader, "PUT", "/v1/releases/11?base=x", `{}`).Code).To(Equal(http.StatusBadRequest))
			Expect(send(leader, "GET", "/v1/releases/active", "").Body.String()).To(MatchRegexp(`"max_queued":\s*90`))
			redirected := send(f.members[1], "GET", "/v1/releases/active", "")
			Expect(redirected.Code).To(Equal(http.StatusTemporaryRedirect))
			Expect(redirected.Header().Get("Location")).To(HaveSuffix("/v1/releases/active"))
		})

		It("accepts announcements and removals of back ends", func() {
			Expect(send(leader, "PUT", "/v1/backends/s1?sequence=4",
				`{"address":"10.1.0.1:1","state":"READY","group":"desk"}`).Code).To(Equal(http.StatusOK))
			Expect(leader.machine.View().BackEnd("s1").GetGroup()).To(Equal("desk"))
			Expect(send(leader, "PUT", "/v1/backends/s1?sequence=5", `{"id":"s2"}`).Code).To(Equal(http.StatusBadRequest))
			Expect(send(leader, "DELETE", "/v1/backends/s1", "").Code).To(Equal(http.StatusOK))
			Expect(send(leader, "PUT", "/v1/backends/s1?sequence=6",
				`{"address":"10.1.0.1:1","state":"READY"}`).Code).To(Equal(http.StatusOK))
			Expect(leader.machine.View().BackEnd("s1")).To(BeNil())
		})

		It("reports the state of a store", func() {
			leader.renew(storeNode("s0", "z0"), leader.machine.View().Versions())
			Expect(send(leader, "GET", "/v1/stores/s0", "").Body.String()).To(ContainSubstring(`"state":"ready"`))
			Expect(send(leader, "GET", "/v1/stores/s9", "").Code).To(Equal(http.StatusNotFound))
			Expect(send(leader, "POST", "/v1/stores/s0/empty", `{"stores_to_keep":3}`).Code).To(Equal(http.StatusBadRequest),
				"the order id is missing")
			ordered := httptest.NewRequest(http.MethodPost, "/v1/stores/s0/empty", strings.NewReader(`{"stores_to_keep":3}`))
			ordered.Header.Set("Rosestand-Order", "e1")
			rejected := httptest.NewRecorder()
			leader.service.ServeHTTP(rejected, ordered)
			Expect(rejected.Code).To(Equal(http.StatusConflict))
			Expect(rejected.Body.String()).To(ContainSubstring("too_few_stores"))
		})

		It("rejects releases and announcements if the settings do not trust operators", func() {
			strict := newFleet(1, nil)
			leader := strict.lead(strict.members[0])
			Expect(send(leader, "PUT", "/v1/releases/7", "{}").Code).To(Equal(http.StatusUnauthorized))
			Expect(send(leader, "PUT", "/v1/backends/s1", "{}").Code).To(Equal(http.StatusUnauthorized))
		})
	})
})

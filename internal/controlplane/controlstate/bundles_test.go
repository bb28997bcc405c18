package controlstate_test

import (
	"fmt"
	"maps"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("bundles", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.accepted("first", put(bundle.Default(1)))
		h.accepted("sign-1", h.sign(1, nil))
	})
	active := func() uint64 { return h.state.View().Configuration.GetActive().GetVersion() }

	Describe("when two operators submit the same version", func() {
		It("accepts exactly one bundle and returns its status to the other operator", func() {
			first := h.accepted("a", put(partialOnPrevious(2, 10)))
			rejection := h.rejected("b", put(partialOnPrevious(2, 20)))
			Expect(codes(rejection)).To(Equal("version_taken"))
			Expect(proto.Equal(rejection.GetWinner(), first.GetBundle())).To(BeTrue())
		})

		It("acknowledges the same content with another order id", func() {
			first := h.accepted("a", put(partialOnPrevious(2, 10)))
			again := h.accepted("b", put(partialOnPrevious(2, 10)))
			Expect(again.GetIndex()).To(Equal(first.GetIndex()))
		})
	})

	Describe("given an invalid bundle", func() {
		It("rejects a version gap, a wrong base and invalid content, and lists every fault", func() {
			gap := partialOnPrevious(9, 10)
			gap.BaseVersion = 1
			gap.Limits.RetryPercent = 200
			rejection := h.rejected("a", put(gap))
			Expect(codes(rejection)).To(Equal("invalid_bundle"))
			Expect(rejection.GetFaults()).To(HaveLen(2))
			Expect(rejection.GetFaults()[0].GetPath()).To(Equal("version"))
			Expect(rejection.GetFaults()[1].GetPath()).To(Equal("limits.retry_percent"))

			h.accepted("b", put(partialOnPrevious(2, 10)))
			stale := partialOnPrevious(3, 30)
			stale.BaseVersion = 1
			Expect(codes(h.rejected("c", put(stale)))).To(Equal("wrong_base"))
			Expect(h.state.View().Newest).To(BeEquivalentTo(2))
		})

		It("rejects a partial bundle when there is no bundle to base it on", func() {
			Expect(codes(newHarness().rejected("a", put(partialOnPrevious(1, 10))))).To(Equal("wrong_base"))
		})
	})

	Describe("given a sign-off", func() {
		It("activates the merged bundle and never returns to an older one", func() {
			h.accepted("a", put(partialOnPrevious(2, 10)))
			h.accepted("b", put(partialOnPrevious(3, 20)))
			h.accepted("sign-3", h.sign(3, nil))
			Expect(active()).To(BeEquivalentTo(3))
			Expect(codes(h.rejected("sign-2", h.sign(2, nil)))).To(Equal("invalid_order"))
			Expect(active()).To(BeEquivalentTo(3))
		})

		It("rejects a signature of another version", func() {
			h.accepted("a", put(partialOnPrevious(2, 10)))
			forged := h.sign(1, nil)
			forged.GetSignBundle().Version = 2
			Expect(codes(h.rejected("b", forged))).To(Equal("bad_signature"))
			Expect(active()).To(BeEquivalentTo(1))
		})

		It("rotates the sign-off keys and acknowledges the sign-off of that bundle again", func() {
			rotated := partialOnPrevious(2, 10)
			rotated.SignOffKeys = []*protocol.SignOffKey{{Name: "bob", PublicKey: fmt.Sprintf("%064x", 1)}}
			h.accepted("a", put(rotated))
			sign := h.sign(2, nil)
			first := h.accepted("b", sign)
			Expect(h.accepted("c", sign).GetIndex()).To(Equal(first.GetIndex()))
			h.accepted("d", put(partialOnPrevious(3, 30)))
			Expect(codes(h.rejected("e", h.sign(3, nil)))).To(Equal("bad_signature"))
		})
	})

	Describe("given a roll-out", func() {
		BeforeEach(func() {
			h.accepted("a", put(partialOnPrevious(2, 10)))
			h.accepted("sign-2", h.sign(2, &protocol.Rollout{ShareBasisPoints: 500}))
		})

		It("keeps the old bundle active until the candidate is promoted", func() {
			Expect(active()).To(BeEquivalentTo(1))
			Expect(h.state.View().Configuration.GetCandidate().GetVersion()).To(BeEquivalentTo(2))
			h.accepted("share", rollout(protocol.RolloutAction_ROLLOUT_SET, 2, 5000))
			h.accepted("promote", rollout(protocol.RolloutAction_ROLLOUT_PROMOTE, 2, 0))
			Expect(active()).To(BeEquivalentTo(2))
			Expect(h.state.View().Configuration.GetCandidate()).To(BeNil())
		})

		It("never activates a withdrawn candidate, and accepts a next bundle based on the version before it", func() {
			h.accepted("withdraw", rollout(protocol.RolloutAction_ROLLOUT_WITHDRAW, 2, 0))
			Expect(h.state.View().Bundle(2).Status.GetState()).To(Equal(protocol.BundleState_WITHDRAWN))
			Expect(codes(h.rejected("again", rollout(protocol.RolloutAction_ROLLOUT_SET, 2, 1)))).To(Equal("invalid_order"))
			next := partialOnPrevious(3, 30)
			next.BaseVersion = 1
			h.accepted("b", put(next))
		})

		It("rejects a second candidate and one that is not signed off", func() {
			h.accepted("b", put(partialOnPrevious(3, 30)))
			Expect(codes(h.rejected("c", rollout(protocol.RolloutAction_ROLLOUT_SET, 3, 1)))).To(Equal("not_signed"))
			Expect(codes(h.rejected("d", h.sign(3, &protocol.Rollout{})))).To(Equal("change_under_way"))
			h.accepted("e", h.sign(3, nil))
			Expect(h.state.View().Configuration.GetCandidate()).To(BeNil())
			Expect(h.state.View().Bundle(2).Status.GetState()).To(Equal(protocol.BundleState_WITHDRAWN))
		})
	})

	Describe("given an order id that was used before", func() {
		It("rejects another order", func() {
			h.accepted("a", put(partialOnPrevious(2, 10)))
			Expect(codes(h.rejected("a", put(partialOnPrevious(3, 10))))).To(Equal("invalid_order"))
			Expect(h.state.View().Newest).To(BeEquivalentTo(2))
		})

		It("rejects the same order again, although it would be accepted as a new one", func() {
			h.rejected("early", rollout(protocol.RolloutAction_ROLLOUT_PROMOTE, 2, 0))
			h.accepted("a", put(partialOnPrevious(2, 10)))
			h.accepted("sign-2", h.sign(2, &protocol.Rollout{}))
			h.rejected("early", rollout(protocol.RolloutAction_ROLLOUT_PROMOTE, 2, 0))
			Expect(active()).To(BeEquivalentTo(1))
		})
	})

	Describe("given orders of every kind, 1,000 later changes and a snapshot", func() {
		It("returns the first result of each order again and keeps the newest bundle", func() {
			for number := range 4 {
				h.accepted("", join(store(number, 1, "disk")))
			}
			h.accepted("", upsert(&protocol.BackEnd{
				Id: "model-1", Address: "127.0.0.1:9001", Incarnation: 5,
				State: protocol.BackEndState_READY,
			}))
			orders := map[string]*protocol.Command{
				"first":  put(bundle.Default(1)),
				"sign-1": h.sign(1, nil),
				"put-2":  put(partialOnPrevious(2, 10)),
			}
			h.accepted("put-2", orders["put-2"])
			maps.Copy(orders, map[string]*protocol.Command{
				"sign-2": h.sign(2, &protocol.Rollout{ShareBasisPoints: 100}),
				"drain":  drain("model-1", 5), "empty": emptyStore("store-3"), "retire": retireStore("store-3"),
			})
			results := map[string]*protocol.CommandResult{}
			for _, id := range []string{"first", "sign-1", "put-2", "sign-2", "drain", "empty", "retire"} {
				results[id] = proto.CloneOf(h.accepted(id, orders[id]))
			}
			orders["share"] = rollout(protocol.RolloutAction_ROLLOUT_SET, 2, 700)
			results["share"] = proto.CloneOf(h.accepted("share", orders["share"]))
			orders["promote"] = rollout(protocol.RolloutAction_ROLLOUT_PROMOTE, 2, 0)
			results["promote"] = proto.CloneOf(h.accepted("promote", orders["promote"]))
			orders["loser"] = put(partialOnPrevious(2, 99))
			results["loser"] = proto.CloneOf(h.apply("loser", orders["loser"]))

			for version := uint64(3); version < 503; version++ {
				h.accepted(fmt.Sprintf("put-%d", version), put(partialOnPrevious(version, uint32(version))))
				h.accepted(fmt.Sprintf("sign-%d", version), h.sign(version, nil))
			}
			for round := range 2 {
				before := h.state.View().Versions()
				for id, order := range orders {
					again := h.apply(id, order)
					Expect(proto.Equal(again, results[id])).To(BeTrue(),
						"round %d, order %s: got %v, want %v", round, id, again, results[id])
				}
				Expect(proto.Equal(before, h.state.View().Versions())).To(BeTrue())
				Expect(h.state.View().Newest).To(BeEquivalentTo(502))
				Expect(active()).To(BeEquivalentTo(502))
				h.restart()
			}
		})
	})

	Describe("given a snapshot with bundles that are not signed off", func() {
		It("restores all of them, and they can be signed off", func() {
			for version := uint64(2); version <= 200; version++ {
				h.accepted("", put(partialOnPrevious(version, uint32(version))))
			}
			before := h.state.View()
			h.restart()
			for version := uint64(1); version <= 200; version++ {
				Expect(proto.Equal(h.state.View().Bundle(version).Merged, before.Bundle(version).Merged)).To(BeTrue())
			}
			h.accepted("late", h.sign(150, nil))
			Expect(active()).To(BeEquivalentTo(150))
		})

		It("is rejected when a merged bundle does not match its digest", func() {
			snapshot := h.state.Snapshot()
			damaged := proto.CloneOf(snapshot)
			damaged.MergedBundles[0].Limits.MaxQueued = 4711
			h.restart()
			Expect(restoreError(damaged)).To(MatchError(ContainSubstring("digest")))
		})
	})
})

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
	var w *world
	BeforeEach(func() {
		w = newWorld()
		w.accepted("first", put(bundle.Default(1)))
		w.accepted("sign-1", w.sign(1, nil))
	})
	active := func() uint64 { return w.state.View().Configuration.GetActive().GetVersion() }

	Describe("given two operators who race for one number", func() {
		It("lets exactly one win and names it to the other", func() {
			first := w.accepted("a", put(queued(2, 10)))
			rejection := w.rejected("b", put(queued(2, 20)))
			Expect(codes(rejection)).To(Equal("version_taken"))
			Expect(proto.Equal(rejection.GetWinner(), first.GetBundle())).To(BeTrue())
		})

		It("acknowledges the same content under another order id", func() {
			first := w.accepted("a", put(queued(2, 10)))
			again := w.accepted("b", put(queued(2, 10)))
			Expect(again.GetIndex()).To(Equal(first.GetIndex()))
		})
	})

	Describe("given a bundle that does not fit", func() {
		It("rejects a gap in the numbers, a wrong base and bad content with every fault", func() {
			gap := queued(9, 10)
			gap.BaseVersion = 1
			gap.Limits.RetryPercent = 200
			rejection := w.rejected("a", put(gap))
			Expect(codes(rejection)).To(Equal("invalid_bundle"))
			Expect(rejection.GetFaults()).To(HaveLen(2))
			Expect(rejection.GetFaults()[0].GetPath()).To(Equal("version"))
			Expect(rejection.GetFaults()[1].GetPath()).To(Equal("limits.retry_percent"))

			w.accepted("b", put(queued(2, 10)))
			stale := queued(3, 30)
			stale.BaseVersion = 1
			Expect(codes(w.rejected("c", put(stale)))).To(Equal("wrong_base"))
			Expect(w.state.View().Newest).To(BeEquivalentTo(2))
		})

		It("rejects a partial bundle when there is none to build on", func() {
			Expect(codes(newWorld().rejected("a", put(queued(1, 10))))).To(Equal("wrong_base"))
		})
	})

	Describe("given a sign-off", func() {
		It("puts the complete bundle in force and never returns to an older one", func() {
			w.accepted("a", put(queued(2, 10)))
			w.accepted("b", put(queued(3, 20)))
			w.accepted("sign-3", w.sign(3, nil))
			Expect(active()).To(BeEquivalentTo(3))
			Expect(codes(w.rejected("sign-2", w.sign(2, nil)))).To(Equal("invalid_order"))
			Expect(active()).To(BeEquivalentTo(3))
		})

		It("rejects a signature over anything else", func() {
			w.accepted("a", put(queued(2, 10)))
			forged := w.sign(1, nil)
			forged.GetSignBundle().Version = 2
			Expect(codes(w.rejected("b", forged))).To(Equal("bad_signature"))
			Expect(active()).To(BeEquivalentTo(1))
		})

		It("rotates keys through a bundle and still acknowledges the sign-off that did it", func() {
			rotated := queued(2, 10)
			rotated.SignOffKeys = []*protocol.SignOffKey{{Name: "bob", PublicKey: fmt.Sprintf("%064x", 1)}}
			w.accepted("a", put(rotated))
			sign := w.sign(2, nil)
			first := w.accepted("b", sign)
			Expect(w.accepted("c", sign).GetIndex()).To(Equal(first.GetIndex()))
			w.accepted("d", put(queued(3, 30)))
			Expect(codes(w.rejected("e", w.sign(3, nil)))).To(Equal("bad_signature"))
		})
	})

	Describe("given a roll-out", func() {
		BeforeEach(func() {
			w.accepted("a", put(queued(2, 10)))
			w.accepted("sign-2", w.sign(2, &protocol.Rollout{ShareBasisPoints: 500}))
		})

		It("keeps the old bundle in force beside the candidate until it is promoted", func() {
			Expect(active()).To(BeEquivalentTo(1))
			Expect(w.state.View().Configuration.GetCandidate().GetVersion()).To(BeEquivalentTo(2))
			w.accepted("share", rollout(protocol.RolloutAction_ROLLOUT_SET, 2, 5000))
			w.accepted("promote", rollout(protocol.RolloutAction_ROLLOUT_PROMOTE, 2, 0))
			Expect(active()).To(BeEquivalentTo(2))
			Expect(w.state.View().Configuration.GetCandidate()).To(BeNil())
		})

		It("never puts a withdrawn candidate in force, and lets the next bundle build on the one before", func() {
			w.accepted("withdraw", rollout(protocol.RolloutAction_ROLLOUT_WITHDRAW, 2, 0))
			Expect(w.state.View().Bundle(2).Status.GetState()).To(Equal(protocol.BundleState_WITHDRAWN))
			Expect(codes(w.rejected("again", rollout(protocol.RolloutAction_ROLLOUT_SET, 2, 1)))).To(Equal("invalid_order"))
			next := queued(3, 30)
			next.BaseVersion = 1
			w.accepted("b", put(next))
		})

		It("allows one candidate at a time and rejects one that is not signed off", func() {
			w.accepted("b", put(queued(3, 30)))
			Expect(codes(w.rejected("c", rollout(protocol.RolloutAction_ROLLOUT_SET, 3, 1)))).To(Equal("not_signed"))
			Expect(codes(w.rejected("d", w.sign(3, &protocol.Rollout{})))).To(Equal("change_under_way"))
			w.accepted("e", w.sign(3, nil))
			Expect(w.state.View().Configuration.GetCandidate()).To(BeNil())
			Expect(w.state.View().Bundle(2).Status.GetState()).To(Equal(protocol.BundleState_WITHDRAWN))
		})
	})

	Describe("given an order id that was used", func() {
		It("rejects it for another order", func() {
			w.accepted("a", put(queued(2, 10)))
			Expect(codes(w.rejected("a", put(queued(3, 10))))).To(Equal("invalid_order"))
			Expect(w.state.View().Newest).To(BeEquivalentTo(2))
		})

		It("rejects it again although the order would be accepted by now", func() {
			w.rejected("early", rollout(protocol.RolloutAction_ROLLOUT_PROMOTE, 2, 0))
			w.accepted("a", put(queued(2, 10)))
			w.accepted("sign-2", w.sign(2, &protocol.Rollout{}))
			w.rejected("early", rollout(protocol.RolloutAction_ROLLOUT_PROMOTE, 2, 0))
			Expect(active()).To(BeEquivalentTo(1))
		})
	})

	Describe("given orders of every kind, 1,000 later changes and a snapshot", func() {
		It("acknowledges each again with its first result and keeps the newest bundle", func() {
			for number := range 4 {
				w.accepted("", join(store(number, 1, "disk")))
			}
			w.accepted("", upsert(&protocol.BackEnd{
				Id: "model-1", Address: "127.0.0.1:9001", Incarnation: 5,
				State: protocol.BackEndState_READY,
			}))
			orders := map[string]*protocol.Command{
				"first":  put(bundle.Default(1)),
				"sign-1": w.sign(1, nil),
				"put-2":  put(queued(2, 10)),
			}
			w.accepted("put-2", orders["put-2"])
			maps.Copy(orders, map[string]*protocol.Command{
				"sign-2": w.sign(2, &protocol.Rollout{ShareBasisPoints: 100}),
				"drain":  drain("model-1", 5), "empty": emptyStore("store-3"), "retire": retireStore("store-3"),
			})
			results := map[string]*protocol.CommandResult{}
			for _, id := range []string{"first", "sign-1", "put-2", "sign-2", "drain", "empty", "retire"} {
				results[id] = proto.CloneOf(w.accepted(id, orders[id]))
			}
			orders["share"] = rollout(protocol.RolloutAction_ROLLOUT_SET, 2, 700)
			results["share"] = proto.CloneOf(w.accepted("share", orders["share"]))
			orders["promote"] = rollout(protocol.RolloutAction_ROLLOUT_PROMOTE, 2, 0)
			results["promote"] = proto.CloneOf(w.accepted("promote", orders["promote"]))
			orders["loser"] = put(queued(2, 99))
			results["loser"] = proto.CloneOf(w.apply("loser", orders["loser"]))

			for version := uint64(3); version < 503; version++ {
				w.accepted(fmt.Sprintf("put-%d", version), put(queued(version, uint32(version))))
				w.accepted(fmt.Sprintf("sign-%d", version), w.sign(version, nil))
			}
			for round := range 2 {
				before := w.state.View().Versions()
				for id, order := range orders {
					again := w.apply(id, order)
					Expect(proto.Equal(again, results[id])).To(BeTrue(), "round %d, %s: %v, first %v", round, id, again, results[id])
				}
				Expect(proto.Equal(before, w.state.View().Versions())).To(BeTrue())
				Expect(w.state.View().Newest).To(BeEquivalentTo(502))
				Expect(active()).To(BeEquivalentTo(502))
				w.restart()
			}
		})
	})

	Describe("given a snapshot with bundles that wait for their sign-off", func() {
		It("keeps them all, to be signed later", func() {
			for version := uint64(2); version <= 200; version++ {
				w.accepted("", put(queued(version, uint32(version))))
			}
			before := w.state.View()
			w.restart()
			for version := uint64(1); version <= 200; version++ {
				Expect(proto.Equal(w.state.View().Bundle(version).Merged, before.Bundle(version).Merged)).To(BeTrue())
			}
			w.accepted("late", w.sign(150, nil))
			Expect(active()).To(BeEquivalentTo(150))
		})

		It("is rejected when it contradicts itself", func() {
			snapshot := w.state.Snapshot()
			damaged := proto.CloneOf(snapshot)
			damaged.MergedBundles[0].Limits.MaxQueued = 4711
			w.restart()
			Expect(restoreError(damaged)).To(MatchError(ContainSubstring("digest")))
		})
	})
})

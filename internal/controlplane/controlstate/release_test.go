package controlstate_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// partialWithoutBase returns a partial bundle that sets one limit and has no base version.
func partialWithoutBase(version uint64, limit uint32) *protocol.Bundle {
	return &protocol.Bundle{Version: version, Partial: true, Limits: &protocol.LimitPolicy{MaxQueued: limit}}
}

var _ = Describe("the release of a bundle", func() {
	var h *harness
	active := func() *protocol.Bundle { return h.state.View().Configuration.GetActive() }
	BeforeEach(func() {
		h = newHarness()
		h.accepted("", release(completeBundle(5, 50), 0))
	})

	It("activates a bundle in one step, signed off by the core, under any higher version", func() {
		Expect(active().GetVersion()).To(BeEquivalentTo(5))
		status := h.accepted("", release(completeBundle(19, 190), 5)).GetBundle()
		Expect(active().GetLimits().GetMaxQueued()).To(BeEquivalentTo(190))
		Expect(status.GetState()).To(Equal(protocol.BundleState_SIGNED))
		Expect(status.GetSignedBy()).To(Equal(controlstate.SignedByCore))
		Expect(status.GetSignedIndex()).To(Equal(h.index))
		Expect(status.GetMergedDigest()).To(Equal(bundle.Digest(active())))
		Expect(h.state.View().Bundle(7)).To(BeNil())
		Expect(h.state.View().BundleStatuses(0, 10)).To(HaveLen(2))
		Expect(h.state.View().BundleStatuses(19, 10)).To(HaveLen(1))
	})

	It("merges a partial bundle onto the active version", func() {
		h.accepted("", release(partialWithoutBase(9, 90), 5))
		Expect(active().GetLimits().GetMaxQueued()).To(BeEquivalentTo(90))
		Expect(active().GetRoutes()).To(HaveLen(len(bundle.Default(1).GetRoutes())))
		h.accepted("", release(&protocol.Bundle{
			Version: 12, BaseVersion: 9, Partial: true,
			RemovedRoutes: []string{"caroni-valve-plan"},
		}, 9))
		Expect(active().GetRoutes()).To(HaveLen(len(bundle.Default(1).GetRoutes()) - 1))
	})

	It("accepts only one of two bundles based on the same version, with the same version or another", func() {
		h.accepted("", release(completeBundle(7, 70), 5))
		Expect(codes(h.rejected("", release(completeBundle(7, 71), 5)))).To(Equal(string(failure.VersionTaken)))
		lost := h.rejected("", release(completeBundle(8, 80), 5))
		Expect(codes(lost)).To(Equal(string(failure.WrongBase)))
		Expect(lost.GetWinner().GetVersion()).To(BeEquivalentTo(7))
		Expect(active().GetLimits().GetMaxQueued()).To(BeEquivalentTo(70))
	})

	It("acknowledges the same release again after hundreds of changes and restarts", func() {
		first := h.accepted("", release(partialWithoutBase(6, 60), 5))
		for version := uint64(7); version < 407; version++ {
			h.accepted("", release(partialWithoutBase(version, uint32(version)), version-1))
			if version%100 == 0 {
				h.restart()
			}
		}
		h.restart()
		before := h.state.View().Versions()
		again := h.accepted("", release(partialWithoutBase(6, 60), 5))
		Expect(again.GetBundle().GetMergedDigest()).To(Equal(first.GetBundle().GetMergedDigest()))
		Expect(again.GetIndex()).To(Equal(first.GetIndex()))
		Expect(h.accepted("", release(completeBundle(5, 50), 0)).GetBundle().GetVersion()).To(BeEquivalentTo(5))
		Expect(active().GetVersion()).To(BeEquivalentTo(406))
		Expect(proto.Equal(h.state.View().Versions(), before)).To(BeTrue())
	})

	It("treats the same content and version on another base as another release", func() {
		h.accepted("", release(completeBundle(7, 70), 5))
		Expect(codes(h.rejected("", release(completeBundle(7, 70), 6)))).To(Equal(string(failure.VersionTaken)))
	})

	It("never activates a bundle that was rejected, also when it is sent again", func() {
		h.accepted("", release(completeBundle(7, 70), 5))
		h.rejected("", release(completeBundle(8, 80), 5))
		h.accepted("", release(completeBundle(9, 90), 7))
		h.rejected("", release(completeBundle(8, 80), 5))
		h.rejected("", release(completeBundle(8, 80), 9))
		Expect(active().GetLimits().GetMaxQueued()).To(BeEquivalentTo(90))
		Expect(h.state.View().Bundle(8)).To(BeNil())
	})

	DescribeTable("rejects as an invalid bundle", func(submitted *protocol.Bundle, path string) {
		rejection := h.rejected("", release(submitted, 5))
		Expect(codes(rejection)).To(Equal(string(failure.InvalidBundle)))
		Expect(rejection.GetFaults()).To(HaveLen(1))
		Expect(rejection.GetFaults()[0].GetPath()).To(Equal(path))
		Expect(active().GetVersion()).To(BeEquivalentTo(5))
	},
		Entry("a version below the active one", completeBundle(4, 1), "version"),
		Entry("no version", completeBundle(0, 1), "version"),
		Entry("an unknown group", &protocol.Bundle{
			Version: 6,
			Routes:  []*protocol.Route{{Name: "a", Model: "m", Group: "absent"}},
		}, "routes[0].group"),
		Entry("a base other than the expected version", &protocol.Bundle{Version: 6, BaseVersion: 3, Partial: true},
			"base_version"),
		Entry("an HTTP route without a time-out",
			&protocol.Bundle{Version: 6, Partial: true, HttpRoutes: []*protocol.HttpRoute{{
				Name: "a", Host: "h", Prefix: "/", Kind: protocol.HttpRouteKind_HTTP_REPEATABLE,
				Targets: []*protocol.WeightedGroup{{Group: bundle.GroupDesk, Weight: 1}},
			}}}, "http_routes[0].timeout_millis"),
	)

	It("rejects a first bundle that is partial, and one without content", func() {
		h = newHarness()
		Expect(codes(h.rejected("", release(partialWithoutBase(1, 1), 0)))).To(Equal(string(failure.InvalidBundle)))
		Expect(codes(h.rejected("", release(nil, 0)))).To(Equal(string(failure.InvalidBundle)))
		Expect(active()).To(BeNil())
	})

	It("withdraws the older candidate of a roll-out", func() {
		h.accepted("", put(completeBundle(6, 60)))
		h.accepted("", h.sign(6, &protocol.Rollout{ShareBasisPoints: 100}))
		Expect(codes(h.rejected("", release(completeBundle(6, 61), 5)))).To(Equal(string(failure.VersionTaken)))
		h.accepted("", release(completeBundle(7, 70), 5))
		Expect(h.state.View().Configuration.GetCandidate()).To(BeNil())
		Expect(h.state.View().Bundle(6).Status.GetState()).To(Equal(protocol.BundleState_WITHDRAWN))
		h.restart()
		Expect(h.state.View().Bundle(6).Status.GetState()).To(Equal(protocol.BundleState_WITHDRAWN))
	})

	It("can be mixed with submitting and signing off bundles", func() {
		h.accepted("", put(completeBundle(6, 60)))
		h.accepted("", h.sign(6, nil))
		h.accepted("", release(partialWithoutBase(9, 90), 6))
		Expect(h.accepted("", put(partialOnPrevious(10, 100))).GetBundle().GetBaseVersion()).To(BeEquivalentTo(9))
		h.accepted("", h.sign(10, nil))
		Expect(codes(h.rejected("", release(partialWithoutBase(12, 1), 9)))).To(Equal(string(failure.WrongBase)))
		By("keeping the core as the signer of a released bundle that a key signs, too")
		h.accepted("", release(partialWithoutBase(12, 120), 10))
		again := h.accepted("", h.sign(12, nil))
		Expect(again.GetBundle().GetSignedBy()).To(Equal(controlstate.SignedByCore))
	})

	It("results in a delta for a node with an older version, also when each release was complete and had 3000 routes",
		func() {
			routes := func(version uint64, changed int) *protocol.Bundle {
				routes := &protocol.Bundle{Version: version, Groups: []*protocol.ServerGroup{{Name: "g"}}}
				for i := range 3000 {
					routes.HttpRoutes = append(routes.HttpRoutes, &protocol.HttpRoute{
						Name: fmt.Sprintf("r%04d", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), TimeoutMillis: 1000,
						Kind: protocol.HttpRouteKind_HTTP_REPEATABLE, Targets: []*protocol.WeightedGroup{{Group: "g", Weight: 1}},
					})
				}
				routes.HttpRoutes[changed].TimeoutMillis = 2000
				return routes
			}
			h.accepted("", release(routes(6, 0), 5))
			known := h.state.View().Configuration
			for version := uint64(7); version < 17; version++ {
				h.accepted("", release(routes(version, int(version)), version-1))
			}
			h.restart()
			snapshot, delta := h.state.View().ConfigurationSince(known.GetVersion())
			Expect(snapshot).To(BeNil())
			Expect(proto.Size(delta)).To(BeNumerically("<", 5000))
			applied, err := bundle.ApplyDelta(known, delta)
			Expect(err).NotTo(HaveOccurred())
			Expect(applied.GetActiveDigest()).To(Equal(h.state.View().Configuration.GetActiveDigest()))
		})
})

var _ = Describe("numbered announcements of back ends", func() {
	var h *harness
	server := func(state protocol.BackEndState, capacity uint32) *protocol.BackEnd {
		return &protocol.BackEnd{Id: "s1", Address: "10.0.0.1:1", Incarnation: 1, State: state, Capacity: capacity}
	}
	ready, draining := protocol.BackEndState_READY, protocol.BackEndState_DRAINING
	current := func() *protocol.BackEnd { return h.state.View().BackEnd("s1") }
	BeforeEach(func() {
		h = newHarness()
		h.accepted("", announce(server(ready, 4), 10))
	})

	It("change nothing when a later one was applied, also after a restart", func() {
		h.accepted("", announce(server(ready, 6), 12))
		h.restart()
		h.accepted("", announce(server(ready, 4), 11))
		Expect(current().GetCapacity()).To(BeEquivalentTo(6))
		h.accepted("", announce(server(ready, 8), 13))
		Expect(current().GetCapacity()).To(BeEquivalentTo(8))
	})

	It("do not make a draining back end ready", func() {
		h.accepted("", announce(server(draining, 4), 12))
		h.accepted("", announce(server(ready, 4), 13))
		Expect(current().GetState()).To(Equal(draining))
	})

	It("do not add a back end that departed, known or unknown before, unless its incarnation is new", func() {
		h.accepted("", depart("s1", 0))
		h.restart()
		h.accepted("", announce(server(ready, 4), 14))
		h.accepted("", upsert(server(ready, 4)))
		Expect(current()).To(BeNil())
		Expect(h.state.View().Removed("s1")).To(BeTrue())
		next := server(ready, 4)
		next.Incarnation = 2
		h.accepted("", announce(next, 1))
		Expect(current()).NotTo(BeNil())
		h.accepted("", depart("unknown", 0))
		h.accepted("", announce(&protocol.BackEnd{Id: "unknown", Address: "10.0.0.2:1", State: ready}, 3))
		Expect(h.state.View().BackEnd("unknown")).To(BeNil())
	})

	It("do not add a back end again after another one took over its address", func() {
		other := &protocol.BackEnd{Id: "s2", Address: "10.0.0.1:1", Incarnation: 1, State: ready}
		h.accepted("", announce(other, 1))
		Expect(current()).To(BeNil())
		h.accepted("", announce(server(ready, 4), 11))
		Expect(current()).To(BeNil())
		Expect(h.state.View().BackEnd("s2")).NotTo(BeNil())
	})

	It("add a back end again after its lease expired, unless they are outdated", func() {
		h.accepted("", announce(server(ready, 6), 12))
		h.accepted("", removeBackEnd("s1", 1))
		h.accepted("", announce(server(ready, 4), 11))
		Expect(current()).To(BeNil())
		h.accepted("", announce(server(ready, 6), 13))
		Expect(current()).NotTo(BeNil())
	})

	It("are dropped an hour after the back end was removed", func() {
		applyAt := func(millis int64, command *protocol.Command) {
			timed := proto.CloneOf(command)
			timed.ProposedAtMillis = millis
			h.accepted("", timed)
		}
		applyAt(1_000, depart("s1", 0))
		applyAt(1_000+3_600_000, depart("s3", 0))
		Expect(h.state.View().Removed("s1")).To(BeTrue())
		applyAt(1_001+3_600_000, depart("s4", 0))
		Expect(h.state.View().Removed("s1")).To(BeFalse())
		Expect(h.state.Snapshot().GetAnnouncements()).To(HaveLen(2))
	})
})

var _ = Describe("an order to empty a store that requires a number of others", func() {
	empty := func(name string) *protocol.Command {
		return &protocol.Command{Body: &protocol.Command_EmptyStore{EmptyStore: &protocol.EmptyStoreCommand{
			Store:        name,
			StoresToKeep: 3,
		}}}
	}

	It("is rejected while too few stores remain, and accepted once another joined", func() {
		h := newHarness()
		for number := range 4 {
			h.accepted("", join(store(number, 1, "disk")))
		}
		h.accepted("", initializePlacement(4, 3))
		h.accepted("", empty("store-1"))
		h.accepted("", empty("store-1"))
		Expect(codes(h.rejected("", empty("store-2")))).To(Equal(string(failure.TooFewStores)))
		Expect(codes(h.rejected("", empty("store-9")))).To(Equal(string(failure.NotFound)))
		h.accepted("", join(store(5, 1, "disk")))
		h.accepted("", empty("store-2"))
	})

	It("counts an absent store that still has shards", func() {
		h := newHarness()
		for number := range 4 {
			h.accepted("", join(store(number, 1, "disk")))
		}
		h.accepted("", initializePlacement(4, 3))
		h.accepted("", removeNode("store-3", 1))
		h.accepted("", empty("store-1"))
	})
})

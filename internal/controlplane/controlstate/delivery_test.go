package controlstate_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
)

func restoreError(snapshot *protocol.ControlState) error {
	_, err := controlstate.Restore(snapshot)
	return err
}

// manyRoutes returns a bundle of version 1 with a number of routes over 490 tenants.
func manyRoutes(routes int) *protocol.Bundle {
	submitted := &protocol.Bundle{Version: 1, Groups: []*protocol.ServerGroup{{Name: "assistants"}}}
	for i := range 490 {
		submitted.Tenants = append(submitted.Tenants, &protocol.TenantPolicy{Name: fmt.Sprintf("tenant-%03d", i)})
	}
	for i := range routes {
		tenant, model := fmt.Sprintf("tenant-%03d", i%490), fmt.Sprintf("model-%02d", i/490)
		submitted.Routes = append(submitted.Routes,
			&protocol.Route{Name: tenant + "-" + model, Tenant: tenant, Model: model, Group: "assistants"})
	}
	return submitted
}

func partialWithRoute(version uint64) *protocol.Bundle {
	name := fmt.Sprintf("extra-%d", version)
	return &protocol.Bundle{
		Version: version, BaseVersion: version - 1, Partial: true,
		Routes: []*protocol.Route{{Name: name, Model: name, Group: "assistants"}},
	}
}

var _ = Describe("delivery of a bundle of 10,000 routes", func() {
	It("returns a delta from every earlier version that results in the current configuration", func() {
		h := newHarness()
		h.accepted("", put(manyRoutes(10_000)))
		h.accepted("", h.sign(1, nil))
		earlier := []*protocol.Configuration{h.state.View().Configuration}
		for version := uint64(2); version <= 6; version++ {
			h.accepted("", put(partialWithRoute(version)))
			if version == 4 {
				continue // Version 5 is based on it and activates its content.
			}
			h.accepted("", h.sign(version, nil))
			earlier = append(earlier, h.state.View().Configuration)
		}
		h.accepted("", put(partialWithRoute(7)))
		h.accepted("", h.sign(7, &protocol.Rollout{ShareBasisPoints: 100}))
		for round := range 2 {
			view := h.state.View()
			for _, configuration := range earlier {
				snapshot, delta := view.ConfigurationSince(configuration.GetVersion())
				Expect(snapshot).To(BeNil(), "round %d", round)
				Expect(proto.Size(delta)).To(BeNumerically("<", 2000))
				applied, err := bundle.ApplyDelta(configuration, delta)
				Expect(err).NotTo(HaveOccurred())
				Expect(proto.Equal(applied, view.Configuration)).To(BeTrue())
			}
			h.restart()
		}
		snapshot, delta := h.state.View().ConfigurationSince(0)
		Expect(delta).To(BeNil())
		Expect(proto.Equal(snapshot, h.state.View().Configuration)).To(BeTrue())
	})

	It("returns the full configuration when a delta would not be smaller", func() {
		h := newHarness()
		h.accepted("", put(manyRoutes(1000)))
		h.accepted("", h.sign(1, nil))
		known := h.state.View().Configuration.GetVersion()
		h.accepted("", put(bundle.Default(2)))
		h.accepted("", h.sign(2, nil))
		snapshot, delta := h.state.View().ConfigurationSince(known)
		Expect(delta).To(BeNil())
		Expect(snapshot.GetActive().GetVersion()).To(BeEquivalentTo(2))
	})

	It("keeps the delta of one route below 500 bytes and the configuration below 1 MiB", func() {
		h := newHarness()
		h.accepted("", put(manyRoutes(10_000)))
		h.accepted("", h.sign(1, nil))
		known := h.state.View().Configuration.GetVersion()
		h.accepted("", put(partialWithRoute(2)))
		h.accepted("", h.sign(2, nil))
		_, delta := h.state.View().ConfigurationSince(known)
		for i := range 330 {
			h.accepted("", join(front(i, 1)))
		}
		for i := range 600 {
			h.accepted("", upsert(&protocol.BackEnd{
				Id: fmt.Sprintf("model-server-%03d", i), Kind: protocol.BackEndKind_MODEL_SERVER,
				State:   protocol.BackEndState_READY,
				Address: fmt.Sprintf("10.0.%d.%d:9000", i/200, i%200), Zone: fmt.Sprintf("z%d", i%6),
				Region: fmt.Sprintf("r%d", i%3),
				Group:  "assistants", Models: []string{"booking-assistant", "climate-advisor"},
				Incarnation: 1764650000000 + uint64(i), Capacity: 64,
			}))
		}
		view := h.state.View()
		GinkgoWriter.Printf("bytes: delta of one route of 10,000: %d; full snapshot: %d; "+
			"membership of 330: %d; back ends of 600: %d; control snapshot: %d\n",
			proto.Size(delta), proto.Size(view.Configuration), proto.Size(view.Membership), proto.Size(view.BackEnds),
			proto.Size(h.state.Snapshot()))
		Expect(proto.Size(delta)).To(BeNumerically("<", 500))
		Expect(proto.Size(view.Configuration)).To(BeNumerically("<", 1<<20))
	})
})

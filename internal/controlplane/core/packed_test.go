package core_test

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"unsafe"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/core"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/packing"
)

// pollBytes returns the value of the poll byte counter for a kind of section.
func pollBytes(registry *prometheus.Registry, kind string) float64 {
	GinkgoHelper()
	families, err := registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		if family.GetName() != "rosestand_core_poll_bytes_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			if metric.GetLabel()[0].GetValue() == kind {
				return metric.GetCounter().GetValue()
			}
		}
	}
	return 0
}

var _ = Describe("a full snapshot of a view", func() {
	It("is sent packed to a node that accepts packed views, and plain to others", func() {
		d := &pollingFleet{fleet: newFleet(1, nil)}
		d.leader = d.fleet.lead(d.fleet.members[0])
		for number := range 60 {
			node := &protocol.Node{
				Name: fmt.Sprintf("front-%03d", number), Kind: protocol.NodeKind_FRONT,
				Incarnation: uint64(1_790_000_000_000 + number*37),
				Address:     fmt.Sprintf("10.0.1.%d:7380", number), HttpAddress: fmt.Sprintf("10.0.1.%d:8149", number),
				Zone: "z1", Region: "r1",
			}
			join := &protocol.JoinNodeCommand{Node: node}
			d.propose(&protocol.Command{Body: &protocol.Command_JoinNode{JoinNode: join}})
		}
		poll := func(name string, packed bool) *protocol.PollControlResponse {
			answer, err := d.leader.call(pollRequest(&protocol.PollControlRequest{
				Node: name, Known: &protocol.ControlVersions{}, AcceptsDeltas: true, AcceptsPackedViews: packed,
			}))
			Expect(err).NotTo(HaveOccurred())
			return answer.GetPollControl()
		}
		packed, plain := poll("f1", true), poll("f2", false)
		Expect(packed.GetMembership()).To(BeNil())
		unpacked := &protocol.MembershipView{}
		Expect(packing.Unpack(packed.GetPackedMembership(), unpacked)).To(Succeed())
		Expect(proto.Equal(unpacked, plain.GetMembership())).To(BeTrue())
		Expect(plain.GetPackedMembership()).To(BeEmpty())
		Expect(len(packed.GetPackedMembership())).To(BeNumerically("<", proto.Size(unpacked)/3))
	})
})

var _ = Describe("a full snapshot of the configuration", func() {
	var d *pollingFleet
	var registry *prometheus.Registry
	BeforeEach(func() {
		registry = prometheus.NewRegistry()
		public, private, err := ed25519.GenerateKey(rand.NewChaCha8([32]byte{5}))
		Expect(err).NotTo(HaveOccurred())
		d = &pollingFleet{private: private, fleet: newFleet(1, func(options *core.Options) { options.Registerer = registry })}
		d.leader = d.fleet.lead(d.fleet.members[0])
		d.propose(&protocol.Command{Body: &protocol.Command_SeedSignOffKeys{SeedSignOffKeys: &protocol.SeedSignOffKeysCommand{
			Keys: []*protocol.SignOffKey{{Name: "ann", PublicKey: hex.EncodeToString(public)}},
		}}})
		d.activateBundle(fleetBundle())
	})
	poll := func(name string, known uint64, packed bool) *protocol.PollControlResponse {
		GinkgoHelper()
		answer, err := d.leader.call(pollRequest(&protocol.PollControlRequest{
			Node: name, Known: &protocol.ControlVersions{Configuration: known}, AcceptsDeltas: true,
			AcceptsPackedConfiguration: packed,
		}))
		Expect(err).NotTo(HaveOccurred())
		return answer.GetPollControl()
	}

	It("is packed once for all nodes that accept it, and its packed size is counted", func() {
		first, second := poll("f1", 0, true), poll("f2", 0, true)
		Expect(first.GetConfiguration()).To(BeNil())
		unpacked := &protocol.Configuration{}
		Expect(packing.Unpack(first.GetPackedConfiguration(), unpacked)).To(Succeed())
		Expect(proto.Equal(unpacked, d.leader.machine.View().Configuration)).To(BeTrue())
		firstData := unsafe.SliceData(first.GetPackedConfiguration())
		Expect(unsafe.SliceData(second.GetPackedConfiguration())).To(BeIdenticalTo(firstData))
		Expect(pollBytes(registry, "configuration_packed")).To(BeEquivalentTo(2 * len(first.GetPackedConfiguration())))
		Expect(pollBytes(registry, "configuration")).To(BeZero())
	})

	It("is sent plain to a node that does not accept it packed", func() {
		Expect(poll("f1", 0, true).GetPackedConfiguration()).NotTo(BeEmpty())
		plain := poll("f2", 0, false)
		Expect(plain.GetPackedConfiguration()).To(BeEmpty())
		Expect(proto.Equal(plain.GetConfiguration(), d.leader.machine.View().Configuration)).To(BeTrue())
		Expect(pollBytes(registry, "configuration")).To(BeEquivalentTo(proto.Size(plain.GetConfiguration())))
	})

	It("is packed again for a new version, while a change is still sent as a delta", func() {
		known := d.leader.machine.View().Configuration.GetVersion()
		former := poll("f1", 0, true).GetPackedConfiguration()
		d.activateBundle(&protocol.Bundle{
			Version: 2, BaseVersion: 1, Partial: true,
			Routes: []*protocol.Route{{Name: "extra", Model: "extra", Group: "assistants"}},
		})
		// Uses another node, because coalescing would delay the response to f1, which was just sent an update.
		delta := poll("f2", known, true)
		Expect(delta.GetConfigurationDelta()).NotTo(BeNil())
		Expect(delta.GetPackedConfiguration()).To(BeEmpty())
		Expect(poll("f3", 0, true).GetPackedConfiguration()).NotTo(Equal(former))
	})
})

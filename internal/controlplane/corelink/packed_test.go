package corelink_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/packing"
)

// publishPackedConfiguration publishes a configuration with the given bytes as its packed form.
func (c *fakeCore) publishPackedConfiguration(full *protocol.Configuration, packed []byte) {
	c.publish(func(state *protocol.PollControlResponse) {
		state.Configuration, state.PackedConfiguration = full, packed
	})
}

// unpackedPolls counts the polls that requested an unpacked configuration.
func (c *fakeCore) unpackedPolls() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for _, poll := range c.polls {
		if !poll.GetAcceptsPackedConfiguration() {
			count++
		}
	}
	return count
}

func TestGivenAPackedConfigurationThenItIsApplied(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		full := configuration(10, "one")
		packed, err := packing.Pack(full)
		g.Expect(err).NotTo(HaveOccurred())
		core.publishPackedConfiguration(full, packed)
		advance(100 * time.Millisecond)
		g.Expect(proto.Equal(link.View().Configuration, full)).To(BeTrue())
		g.Expect(core.unpackedPolls()).To(BeZero())
	})
}

func TestGivenAPackedConfigurationThatCannotBeAppliedThenAnUnpackedOneIsRequested(t *testing.T) {
	full := configuration(10, "one")
	good, err := packing.Pack(full)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	wrong := proto.CloneOf(full)
	wrong.ActiveDigest = "00"
	otherDigest, err := packing.Pack(wrong)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for name, packed := range map[string][]byte{
		"damaged": bytes.Repeat([]byte{7}, 40), "truncated": good[:len(good)-1], "another digest": otherDigest,
		"oversized": encoder.EncodeAll(make([]byte, packing.MaxUnpackedBytes+1), nil),
	} {
		t.Run(name, func(t *testing.T) {
			withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
				core.publishPackedConfiguration(full, packed)
				advance(time.Second)
				g.Expect(proto.Equal(link.View().Configuration, full)).To(BeTrue())
				g.Expect(core.unpackedPolls()).To(Equal(1))
				g.Expect(core.lastPoll().GetAcceptsPackedConfiguration()).To(
					BeTrue(), "only one poll must request the unpacked form",
				)
				g.Expect(link.HasAuthority()).To(BeTrue())
			})
		})
	}
}

// publishPackedMembership publishes a membership with the given bytes as its packed form.
func (c *fakeCore) publishPackedMembership(full *protocol.MembershipView, packed []byte) {
	c.publish(func(state *protocol.PollControlResponse) {
		state.Membership, state.PackedMembership = full, packed
	})
}

func TestGivenAPackedViewThenItIsAppliedAndADamagedOneIsRequestedUnpacked(t *testing.T) {
	full := &protocol.MembershipView{Version: 50, Nodes: []*protocol.Node{{
		Name: "front-1", Kind: protocol.NodeKind_FRONT, Incarnation: 5, Address: "10.0.0.5:1",
	}}}
	good, err := packing.Pack(full)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for name, test := range map[string]struct {
		packed        []byte
		unpackedPolls int
	}{"intact": {good, 0}, "truncated": {good[:len(good)-1], 1}, "damaged": {bytes.Repeat([]byte{7}, 40), 1}} {
		t.Run(name, func(t *testing.T) {
			expectPackedMembership(t, full, test.packed, test.unpackedPolls)
		})
	}
}

func expectPackedMembership(t *testing.T, full *protocol.MembershipView, packed []byte, unpackedPolls int) {
	t.Helper()
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		core.publishPackedMembership(full, packed)
		advance(time.Second)
		g.Expect(proto.Equal(link.View().Membership, full)).To(BeTrue())
		g.Expect(core.unpackedPolls()).To(Equal(unpackedPolls))
	})
}

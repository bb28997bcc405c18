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

// packedAs publishes a configuration with the bytes given as its packed form.
func (c *fakeCore) packedAs(whole *protocol.Configuration, packed []byte) {
	c.publish(func(state *protocol.PollControlResponse) {
		state.Configuration, state.PackedConfiguration = whole, packed
	})
}

// plainPolls counts the polls that asked for a configuration that is not packed.
func (c *fakeCore) plainPolls() int {
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

func TestGivenAPackedConfigurationThenItIsPutInForce(t *testing.T) {
	given(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		whole := configuration(10, "one")
		packed, err := packing.PackConfiguration(whole)
		g.Expect(err).NotTo(HaveOccurred())
		core.packedAs(whole, packed)
		pass(100 * time.Millisecond)
		g.Expect(proto.Equal(link.View().Configuration, whole)).To(BeTrue())
		g.Expect(core.plainPolls()).To(BeZero())
	})
}

func TestGivenAPackedConfigurationThatDoesNotFitThenThePlainOneIsAskedFor(t *testing.T) {
	whole := configuration(10, "one")
	good, err := packing.PackConfiguration(whole)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	wrong := proto.CloneOf(whole)
	wrong.ActiveDigest = "00"
	otherDigest, err := packing.PackConfiguration(wrong)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for name, packed := range map[string][]byte{
		"damaged": bytes.Repeat([]byte{7}, 40), "cut": good[:len(good)-1], "another digest": otherDigest,
		"oversized": encoder.EncodeAll(make([]byte, packing.MaxUnpackedBytes+1), nil),
	} {
		t.Run(name, func(t *testing.T) {
			given(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
				core.packedAs(whole, packed)
				pass(time.Second)
				g.Expect(proto.Equal(link.View().Configuration, whole)).To(BeTrue())
				g.Expect(core.plainPolls()).To(Equal(1))
				g.Expect(core.lastPoll().GetAcceptsPackedConfiguration()).To(BeTrue(), "only the one poll asks for the plain form")
				g.Expect(link.HasAuthority()).To(BeTrue())
			})
		})
	}
}

// membersPackedAs publishes a membership with the bytes given as its packed form.
func (c *fakeCore) membersPackedAs(whole *protocol.MembershipView, packed []byte) {
	c.publish(func(state *protocol.PollControlResponse) {
		state.Membership, state.PackedMembership = whole, packed
	})
}

func TestGivenAPackedViewThenItIsPutInForceAndADamagedOneIsAskedForPlain(t *testing.T) {
	whole := &protocol.MembershipView{Version: 50, Nodes: []*protocol.Node{{
		Name: "front-1", Kind: protocol.NodeKind_FRONT, Incarnation: 5, Address: "10.0.0.5:1",
	}}}
	good, err := packing.Pack(whole)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for name, given := range map[string]struct {
		packed []byte
		plain  int
	}{"whole": {good, 0}, "cut": {good[:len(good)-1], 1}, "damaged": {bytes.Repeat([]byte{7}, 40), 1}} {
		t.Run(name, func(t *testing.T) {
			givenPackedMembers(t, whole, given.packed, given.plain)
		})
	}
}

func givenPackedMembers(t *testing.T, whole *protocol.MembershipView, packed []byte, plainPolls int) {
	t.Helper()
	given(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		core.membersPackedAs(whole, packed)
		pass(time.Second)
		g.Expect(proto.Equal(link.View().Membership, whole)).To(BeTrue())
		g.Expect(core.plainPolls()).To(Equal(plainPolls))
	})
}

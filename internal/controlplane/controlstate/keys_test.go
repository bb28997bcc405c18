package controlstate_test

import (
	"crypto/ed25519"
	"encoding/hex"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("sign-off keys after a rotation", func() {
	It("stay active under a complete bundle without keys, so that a removed key is never valid again", func() {
		h := newHarness()
		h.accepted("", put(bundle.Default(1)))
		h.accepted("", h.sign(1, nil))
		public, private, err := ed25519.GenerateKey(rand.NewChaCha8([32]byte{9}))
		Expect(err).NotTo(HaveOccurred())
		rotated := partialOnPrevious(2, 10)
		rotated.SignOffKeys = []*protocol.SignOffKey{{Name: "ann", PublicKey: hex.EncodeToString(public)}}
		h.accepted("", put(rotated))
		h.accepted("", h.sign(2, nil))
		first := h.private

		h.private = private
		h.accepted("", put(bundle.Default(3)))
		Expect(h.state.View().Bundle(3).Merged.GetSignOffKeys()).To(BeEmpty())
		h.accepted("", h.sign(3, nil))
		for range 2 {
			Expect(h.state.View().ActiveKeys).To(HaveLen(1))
			Expect(h.state.View().ActiveKeys[0].GetPublicKey()).To(Equal(hex.EncodeToString(public)))
			h.restart()
		}

		h.accepted("", put(partialOnPrevious(4, 30)))
		h.private = first
		Expect(codes(h.rejected("", h.sign(4, nil)))).To(Equal("bad_signature"))
		h.private = private
		h.accepted("", h.sign(4, nil))
	})
})

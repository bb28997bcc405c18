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
	It("stay in force under a complete bundle that names none, so that a removed key is never valid again", func() {
		w := newWorld()
		w.accepted("", put(bundle.Default(1)))
		w.accepted("", w.sign(1, nil))
		public, private, err := ed25519.GenerateKey(rand.NewChaCha8([32]byte{9}))
		Expect(err).NotTo(HaveOccurred())
		rotated := queued(2, 10)
		rotated.SignOffKeys = []*protocol.SignOffKey{{Name: "ann", PublicKey: hex.EncodeToString(public)}}
		w.accepted("", put(rotated))
		w.accepted("", w.sign(2, nil))
		first := w.private

		w.private = private
		w.accepted("", put(bundle.Default(3)))
		Expect(w.state.View().Bundle(3).Merged.GetSignOffKeys()).To(BeEmpty())
		w.accepted("", w.sign(3, nil))
		for range 2 {
			Expect(w.state.View().KeysInForce).To(HaveLen(1))
			Expect(w.state.View().KeysInForce[0].GetPublicKey()).To(Equal(hex.EncodeToString(public)))
			w.restart()
		}

		w.accepted("", put(queued(4, 30)))
		w.private = first
		Expect(codes(w.rejected("", w.sign(4, nil)))).To(Equal("bad_signature"))
		w.private = private
		w.accepted("", w.sign(4, nil))
	})
})

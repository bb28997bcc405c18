package packing_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/packing"
)

func packable(routes int) *protocol.Configuration {
	made := &protocol.Configuration{Version: 7, Active: &protocol.Bundle{Version: 5}, ActiveDigest: "digest", Rollout: &protocol.Rollout{}}
	for i := range routes {
		made.Active.Routes = append(made.Active.Routes, &protocol.Route{Name: fmt.Sprintf("route-%d", i), Group: "assistants"})
	}
	return made
}

func TestAPackedConfigurationComesOutAsItWentIn(t *testing.T) {
	for _, configuration := range []*protocol.Configuration{{}, {Version: 1}, packable(1), packable(10_000)} {
		g := NewWithT(t)
		packed, err := packing.PackConfiguration(configuration)
		g.Expect(err).NotTo(HaveOccurred())
		unpacked, err := packing.UnpackConfiguration(packed)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(proto.Equal(unpacked, configuration)).To(BeTrue())
	}
}

func TestADamagedPackedConfigurationIsRefused(t *testing.T) {
	g := NewWithT(t)
	whole := packable(50)
	packed, err := packing.PackConfiguration(whole)
	g.Expect(err).NotTo(HaveOccurred())
	for at := range packed {
		flipped := bytes.Clone(packed)
		flipped[at] ^= 0x10
		// A bit that the format does not use may be flipped; the content is then the same.
		if unpacked, err := packing.UnpackConfiguration(flipped); err == nil {
			g.Expect(proto.Equal(unpacked, whole)).To(BeTrue(), "byte %d", at)
		} else {
			g.Expect(isTyped(err)).To(BeTrue(), "byte %d: %v", at, err)
		}
		if at > 0 {
			_, err = packing.UnpackConfiguration(packed[:at])
			g.Expect(isTyped(err)).To(BeTrue(), "cut at %d: %v", at, err)
		}
	}
	_, err = packing.UnpackConfiguration(compressed(t, []byte{0xff, 0xff}))
	g.Expect(errors.HasType(err, (*packing.DamagedError)(nil))).To(BeTrue(), "no message inside: %v", err)
}

func TestAnOversizedConfigurationIsRefused(t *testing.T) {
	large := make([]byte, packing.MaxUnpackedBytes+1)
	half := compressed(t, large[:packing.MaxUnpackedBytes/2+1])
	for name, packed := range map[string][]byte{
		"one frame": compressed(t, large), "two frames": append(bytes.Clone(half), half...), "size not told": streamed(t, large),
	} {
		_, err := packing.UnpackConfiguration(packed)
		if !errors.HasType(err, (*packing.OversizedError)(nil)) {
			t.Errorf("%s: %v", name, err)
		}
	}
	_, err := packing.PackConfiguration(&protocol.Configuration{ActiveDigest: string(large)})
	if !errors.HasType(err, (*packing.OversizedError)(nil)) {
		t.Errorf("packing: %v", err)
	}
}

func isTyped(err error) bool {
	return errors.HasType(err, (*packing.DamagedError)(nil)) || errors.HasType(err, (*packing.OversizedError)(nil))
}

func compressed(t *testing.T, content []byte) []byte {
	t.Helper()
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		t.Fatal(err)
	}
	return encoder.EncodeAll(content, nil)
}

// streamed compresses without the size of the content in the header.
func streamed(t *testing.T, content []byte) []byte {
	t.Helper()
	var packed bytes.Buffer
	encoder, err := zstd.NewWriter(&packed, zstd.WithEncoderConcurrency(1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := encoder.Write(content); err != nil {
		t.Fatal(err)
	}
	if err := encoder.Close(); err != nil {
		t.Fatal(err)
	}
	return packed.Bytes()
}

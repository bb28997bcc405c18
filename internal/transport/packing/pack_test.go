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

func sampleConfiguration(routes int) *protocol.Configuration {
	configuration := &protocol.Configuration{
		Version: 7, Active: &protocol.Bundle{Version: 5}, ActiveDigest: "digest", Rollout: &protocol.Rollout{},
	}
	for i := range routes {
		configuration.Active.Routes = append(
			configuration.Active.Routes, &protocol.Route{Name: fmt.Sprintf("route-%d", i), Group: "assistants"},
		)
	}
	return configuration
}

func TestUnpackReturnsThePackedConfiguration(t *testing.T) {
	for _, configuration := range []*protocol.Configuration{
		{}, {Version: 1}, sampleConfiguration(1), sampleConfiguration(10_000),
	} {
		g := NewWithT(t)
		packed, err := packing.Pack(configuration)
		g.Expect(err).NotTo(HaveOccurred())
		unpacked, err := unpackConfiguration(packed)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(proto.Equal(unpacked, configuration)).To(BeTrue())
	}
}

func TestUnpackRejectsDamagedBytes(t *testing.T) {
	g := NewWithT(t)
	configuration := sampleConfiguration(50)
	packed, err := packing.Pack(configuration)
	g.Expect(err).NotTo(HaveOccurred())
	for index := range packed {
		flipped := bytes.Clone(packed)
		flipped[index] ^= 0x10
		// Flipping a bit that the format does not use leaves the content unchanged.
		if unpacked, err := unpackConfiguration(flipped); err == nil {
			g.Expect(proto.Equal(unpacked, configuration)).To(BeTrue(), "byte %d flipped: the unpacked content differs", index)
		} else {
			g.Expect(isTyped(err)).To(BeTrue(), "byte %d flipped: got %v, want an error of this package", index, err)
		}
		if index > 0 {
			_, err = unpackConfiguration(packed[:index])
			g.Expect(isTyped(err)).To(BeTrue(), "truncated at %d: got %v, want an error of this package", index, err)
		}
	}
	_, err = unpackConfiguration(compressed(t, []byte{0xff, 0xff}))
	g.Expect(errors.HasType(err, (*packing.DamagedError)(nil))).To(
		BeTrue(), "bytes that are not a message: got %v, want a *DamagedError", err,
	)
}

func TestOversizedMessagesAreRejected(t *testing.T) {
	large := make([]byte, packing.MaxUnpackedBytes+1)
	half := compressed(t, large[:packing.MaxUnpackedBytes/2+1])
	for name, packed := range map[string][]byte{
		"one frame": compressed(t, large), "two frames": append(bytes.Clone(half), half...),
		"no size in the header": streamed(t, large),
	} {
		_, err := unpackConfiguration(packed)
		if !errors.HasType(err, (*packing.OversizedError)(nil)) {
			t.Errorf("unpacking an oversized message, %s: got %v, want an *OversizedError", name, err)
		}
	}
	_, err := packing.Pack(&protocol.Configuration{ActiveDigest: string(large)})
	if !errors.HasType(err, (*packing.OversizedError)(nil)) {
		t.Errorf("packing an oversized message: got %v, want an *OversizedError", err)
	}
}

func unpackConfiguration(packed []byte) (*protocol.Configuration, error) {
	configuration := &protocol.Configuration{}
	return configuration, packing.Unpack(packed, configuration)
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

// streamed compresses content without its size in the frame header.
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

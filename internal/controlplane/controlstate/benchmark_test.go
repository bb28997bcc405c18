package controlstate_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
)

// BenchmarkPutAndSign measures how long a core process takes to apply an operator's change that adds one route to
// 10,000.
func BenchmarkPutAndSign(b *testing.B) {
	RegisterTestingT(b)
	h := newHarness()
	h.accepted("", put(manyRoutes(10_000)))
	h.accepted("", h.sign(1, nil))
	version := uint64(1)
	for b.Loop() {
		version++
		h.accepted(fmt.Sprintf("put-%d", version), put(partialWithRoute(version)))
		h.accepted(fmt.Sprintf("sign-%d", version), h.sign(version, nil))
	}
}

// BenchmarkSnapshot measures encoding and restoring a snapshot with 10,000 routes and a month of orders (1,400 a day).
func BenchmarkSnapshot(b *testing.B) {
	RegisterTestingT(b)
	h := newHarness()
	h.accepted("", put(manyRoutes(10_000)))
	h.accepted("", h.sign(1, nil))
	empty := proto.Size(h.state.Snapshot())
	const orders = 30 * 1400
	for i := range orders {
		h.accepted(fmt.Sprintf("%08d-0000-4000-8000-000000000000", i), drain("model-1", 0))
	}
	var size int
	for b.Loop() {
		encoded, err := proto.Marshal(h.state.Snapshot())
		Expect(err).NotTo(HaveOccurred())
		decoded := &protocol.ControlState{}
		Expect(proto.Unmarshal(encoded, decoded)).To(Succeed())
		_, err = controlstate.Restore(decoded)
		Expect(err).NotTo(HaveOccurred())
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "bytes")
	b.ReportMetric(float64(size-empty)/orders, "bytes/order")
}

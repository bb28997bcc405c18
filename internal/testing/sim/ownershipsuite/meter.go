package ownershipsuite

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// frameOverhead is what the internal protocol adds to a message: its length, kind, id and deadline.
const frameOverhead = 16

// traffic is what one node sent and received.
type traffic struct {
	messages int
	bytes    int
	// viewBytes is what the membership views read took.
	viewBytes int
}

// meter measures one stretch of a run. All methods do nothing on a nil meter.
type meter struct {
	nodes    map[sim.Address]*traffic
	waits    []time.Duration
	lastDone time.Duration
	lastView time.Duration
	// lastSettled is when the last range gained was complete.
	lastSettled time.Duration
	views       map[uint64]bool
}

func newMeter() *meter {
	return &meter{nodes: make(map[sim.Address]*traffic), views: make(map[uint64]bool)}
}

func (m *meter) node(address sim.Address) *traffic {
	found := m.nodes[address]
	if found == nil {
		found = &traffic{}
		m.nodes[address] = found
	}
	return found
}

// count adds a message to what both ends carried.
func (m *meter) count(from, to sim.Address, message proto.Message) {
	if m == nil {
		return
	}
	size := proto.Size(message) + frameOverhead
	for _, address := range []sim.Address{from, to} {
		carried := m.node(address)
		carried.messages++
		carried.bytes += size
	}
}

func (m *meter) view(now time.Duration, address sim.Address, membership *protocol.MembershipView) {
	if m == nil {
		return
	}
	m.node(address).viewBytes += proto.Size(membership) + frameOverhead
	m.views[membership.GetVersion()] = true
	m.lastView = now
}

func (m *meter) reregistered(now time.Duration, waits []time.Duration) {
	if m == nil {
		return
	}
	m.waits = append(m.waits, waits...)
	m.lastDone = now
}

func (m *meter) settled(now time.Duration) {
	if m != nil {
		m.lastSettled = now
	}
}

// quantile of the waits; zero without any.
func (m *meter) quantile(q float64) time.Duration {
	if len(m.waits) == 0 {
		return 0
	}
	slices.Sort(m.waits)
	return m.waits[int(q*float64(len(m.waits)-1))]
}

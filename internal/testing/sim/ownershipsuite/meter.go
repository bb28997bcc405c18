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

// traffic counts what one node sent and received.
type traffic struct {
	messages int
	bytes    int
	// viewBytes is the size of the membership views that were read.
	viewBytes int
}

// trafficMeter measures a part of a run. All methods do nothing on a nil meter.
type trafficMeter struct {
	nodes            map[sim.Address]*traffic
	waits            []time.Duration
	lastRegistration time.Duration
	lastView         time.Duration
	// rangesComplete is when the last range that was gained was complete.
	rangesComplete time.Duration
	views          map[uint64]bool
}

func newTrafficMeter() *trafficMeter {
	return &trafficMeter{nodes: make(map[sim.Address]*traffic), views: make(map[uint64]bool)}
}

func (m *trafficMeter) node(address sim.Address) *traffic {
	found := m.nodes[address]
	if found == nil {
		found = &traffic{}
		m.nodes[address] = found
	}
	return found
}

// countMessage counts a message at both ends.
func (m *trafficMeter) countMessage(from, to sim.Address, message proto.Message) {
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

func (m *trafficMeter) observeView(now time.Duration, address sim.Address, membership *protocol.MembershipView) {
	if m == nil {
		return
	}
	m.node(address).viewBytes += proto.Size(membership) + frameOverhead
	m.views[membership.GetVersion()] = true
	m.lastView = now
}

func (m *trafficMeter) observeRegistration(now time.Duration, waits []time.Duration) {
	if m == nil {
		return
	}
	m.waits = append(m.waits, waits...)
	m.lastRegistration = now
}

func (m *trafficMeter) observeRangesComplete(now time.Duration) {
	if m != nil {
		m.rangesComplete = now
	}
}

// quantile returns a quantile of the waits, zero without any.
func (m *trafficMeter) quantile(q float64) time.Duration {
	if len(m.waits) == 0 {
		return 0
	}
	slices.Sort(m.waits)
	return m.waits[int(q*float64(len(m.waits)-1))]
}

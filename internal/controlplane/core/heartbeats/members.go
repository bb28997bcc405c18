package heartbeats

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/protocol"
)

// RelayingMembers is what the leader knows of the members that send it batches of heartbeats. It belongs to one
// goroutine.
type RelayingMembers struct {
	// lastBatch is when the last batch of a member was received, by the member's id.
	lastBatch map[uint64]time.Time
}

// NewRelayingMembers makes an empty table.
func NewRelayingMembers() *RelayingMembers {
	return &RelayingMembers{lastBatch: map[uint64]time.Time{}}
}

// Reset forgets all members, as a new leader does.
func (m *RelayingMembers) Reset() { clear(m.lastBatch) }

// ObserveBatch records that a member sent a batch.
func (m *RelayingMembers) ObserveBatch(member uint64, now time.Time) { m.lastBatch[member] = now }

// Reachable lists those of the members that sent a batch recently and have an address that back ends can be given.
func (m *RelayingMembers) Reachable(members []*protocol.CoreMember, now time.Time) []*protocol.CoreMember {
	var reachable []*protocol.CoreMember
	for _, member := range members {
		lastBatch, known := m.lastBatch[member.GetId()]
		if known && now.Sub(lastBatch) <= maxRelayAge && member.GetHttpAddress() != "" {
			reachable = append(reachable, member)
		}
	}
	return reachable
}

// ChooseMember picks the member that a back end should send its heartbeats to, one near it if there is any: always
// the same for the same members; nil when there are none.
func ChooseMember(members []*protocol.CoreMember, backEnd *protocol.BackEnd) *protocol.CoreMember {
	return highestWeight(nearestMembers(members, backEnd), backEnd.GetId())
}

// nearestMembers are the members in a back end's zone, else those in its region, else all.
func nearestMembers(members []*protocol.CoreMember, backEnd *protocol.BackEnd) []*protocol.CoreMember {
	var sameZone, sameRegion []*protocol.CoreMember
	for _, member := range members {
		if zone := member.GetZone(); zone != "" && zone == backEnd.GetZone() {
			sameZone = append(sameZone, member)
		}
		if region := member.GetRegion(); region != "" && region == backEnd.GetRegion() {
			sameRegion = append(sameRegion, member)
		}
	}
	switch {
	case len(sameZone) > 0:
		return sameZone
	case len(sameRegion) > 0:
		return sameRegion
	default:
		return members
	}
}

// highestWeight picks by the highest hash of member and back end (rendezvous hashing), so that a member that joins or
// leaves moves only the back ends that it takes or had.
func highestWeight(members []*protocol.CoreMember, backEndID string) *protocol.CoreMember {
	var chosen *protocol.CoreMember
	var highest uint64
	for _, member := range members {
		weight := xxhash.Sum64String(strconv.FormatUint(member.GetId(), 10) + "/" + backEndID)
		if chosen == nil || weight > highest {
			chosen, highest = member, weight
		}
	}
	return chosen
}

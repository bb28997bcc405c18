package heartbeats

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/protocol"
)

// RelayingMembers tracks, on the leader, the members that send it batches of heartbeats. It is not safe for concurrent
// use.
type RelayingMembers struct {
	// lastBatch is when the last batch of a member was received, by the member's id.
	lastBatch map[uint64]time.Time
}

// NewRelayingMembers returns an empty table.
func NewRelayingMembers() *RelayingMembers {
	return &RelayingMembers{lastBatch: map[uint64]time.Time{}}
}

// Reset removes all members; a new leader calls it.
func (m *RelayingMembers) Reset() { clear(m.lastBatch) }

// ObserveBatch records that a member sent a batch.
func (m *RelayingMembers) ObserveBatch(member uint64, now time.Time) { m.lastBatch[member] = now }

// Reachable returns the members that sent a batch within maxRelayAge and have an HTTP address for back ends.
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

// ChooseMember returns the member that a back end should send its heartbeats to, or nil if there are no members. It
// prefers members near the back end, and always returns the same one for the same members.
func ChooseMember(members []*protocol.CoreMember, backEnd *protocol.BackEnd) *protocol.CoreMember {
	return highestWeight(nearestMembers(members, backEnd), backEnd.GetId())
}

// nearestMembers returns the members in a back end's zone, else those in its region, else all.
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

// highestWeight returns the member with the highest hash of member and back end (rendezvous hashing), so that a member
// that joins or leaves reassigns only the back ends that it gains or loses.
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

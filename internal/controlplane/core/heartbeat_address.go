package core

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/protocol"
)

// HeartbeatAddress is the HTTP address (ip:port) of the core member that a back end should send its heartbeats to: always the
// same while the same members are up. It is empty while no member but the leader is known to take them.
func (s *Service) HeartbeatAddress(backEnd *protocol.BackEnd) string {
	members := s.owner.heartbeatMembers.Load()
	if members == nil {
		return ""
	}
	return chooseMember(nearestMembers(*members, backEnd), backEnd.GetId()).GetHttpAddress()
}

// nameMembers sets the members that back ends are told of.
func (o *owner) setHeartbeatMembers(members []*protocol.CoreMember) {
	o.heartbeatMembers.Store(&members)
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

// chooseMember picks one by the highest hash of member and back end (rendezvous hashing), so that a member that comes or goes
// moves only the back ends that it takes or had; nil when there are none.
func chooseMember(members []*protocol.CoreMember, backEndID string) *protocol.CoreMember {
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

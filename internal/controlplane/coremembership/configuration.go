package coremembership

import (
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
)

// findMember returns the newest member whose name, or whose id in decimal, equals name; nil when there is none.
func findMember(members []*protocol.CoreMember, name string) *protocol.CoreMember {
	for _, member := range slices.Backward(members) {
		if member.GetName() == name || strconv.FormatUint(member.GetId(), 10) == name {
			return member
		}
	}
	return nil
}

// withVoter returns a copy of the configuration in which a member's voter flag is set to voter.
func withVoter(configuration *protocol.CoreConfiguration, id uint64, voter bool) *protocol.CoreConfiguration {
	next := proto.CloneOf(configuration)
	consensus.Member(next, id).Voter = voter
	return next
}

func withoutMember(configuration *protocol.CoreConfiguration, id uint64) *protocol.CoreConfiguration {
	next := proto.CloneOf(configuration)
	next.Members = withoutID(next.GetMembers(), id)
	return next
}

// withMember returns a copy of the configuration that has the member as a standby. A member that is present already
// gets the new fields and keeps its voter flag.
func withMember(configuration *protocol.CoreConfiguration, member *protocol.CoreMember) *protocol.CoreConfiguration {
	next := proto.CloneOf(configuration)
	added := proto.CloneOf(member)
	added.Voter = false
	for position, existing := range next.GetMembers() {
		if existing.GetId() == member.GetId() {
			added.Voter = existing.GetVoter()
			next.Members[position] = added
			return next
		}
	}
	next.Members = append(next.Members, added)
	return next
}

func withoutID(members []*protocol.CoreMember, id uint64) []*protocol.CoreMember {
	return slices.DeleteFunc(slices.Clone(members), func(member *protocol.CoreMember) bool {
		return member.GetId() == id
	})
}

package coremembership

import (
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// maxMembers is the maximum number of members of a group, including standbys.
	maxMembers = 64
	// maxRetired is the maximum number of removed members in a configuration; the oldest are dropped first.
	maxRetired = 64
)

// Admit returns the change that adds a member as a standby or updates its fields, or nil when the
// configuration already has the member as it is. A member that an operator removed is admitted again
// only by an operator.
// Errors: *InvalidMemberError, *UnsafeChangeError, *MemberRetiredError, *MemberInUseError.
func Admit(view *View, member *protocol.CoreMember, byOperator bool) (*Change, error) {
	if err := checkAdmission(view, member, byOperator); err != nil {
		return nil, err
	}
	next := withMember(view.Configuration, member)
	next.Retired = withoutID(next.GetRetired(), member.GetId())
	if proto.Equal(next, view.Configuration) {
		return nil, nil
	}
	return &Change{Configuration: next, Reason: "admit " + member.GetName()}, nil
}

func checkAdmission(view *View, member *protocol.CoreMember, byOperator bool) error {
	switch {
	case member.GetId() == 0:
		return &InvalidMemberError{Field: "id"}
	case member.GetName() == "":
		return &InvalidMemberError{Field: "name"}
	case member.GetAddress() == "":
		return &InvalidMemberError{Field: "address"}
	case consensus.Member(view.Configuration, member.GetId()) != nil:
		return nil
	case len(view.Configuration.GetMembers()) >= maxMembers:
		return &UnsafeChangeError{Reason: "there are " + strconv.Itoa(maxMembers) + " members already"}
	}
	for _, retired := range view.Configuration.GetRetired() {
		if retired.GetId() == member.GetId() && !byOperator {
			return &MemberRetiredError{Name: member.GetName()}
		}
	}
	for _, other := range view.Configuration.GetMembers() {
		if other.GetName() == member.GetName() && view.isAlive(other.GetId()) {
			return &MemberInUseError{Name: member.GetName()}
		}
	}
	return nil
}

// RemovalStep is the next step in the removal of a member.
type RemovalStep int

const (
	// AlreadyRemoved means that the member was removed earlier; there is no change.
	AlreadyRemoved RemovalStep = iota
	// TransferFirst means that the member is the leader itself: leadership must be transferred first, and the
	// next leader removes the member.
	TransferFirst
	// PromoteFirst means that the change promotes a standby; the removal follows once that is committed.
	PromoteFirst
	// RemoveNow means that the change removes the member.
	RemoveNow
)

// Remove returns the next step, and its change if any, of the removal of a member by an operator. The member is
// identified by its name or its id in decimal.
// Errors: *MemberUnknownError, *UnsafeChangeError.
func Remove(view *View, name string) (RemovalStep, *Change, error) {
	member := findMember(view.Configuration.GetMembers(), name)
	switch {
	case member == nil && findMember(view.Configuration.GetRetired(), name) == nil:
		return 0, nil, &MemberUnknownError{Member: name}
	case member == nil:
		return AlreadyRemoved, nil, nil
	case member.GetId() == view.Self:
		return TransferFirst, nil, nil
	}
	if promotion := promotionBeforeRemoval(view, member); promotion != nil {
		return PromoteFirst, promotion, nil
	}
	if member.GetVoter() && !view.hasQuorumWithout(member.GetId()) {
		return 0, nil, &UnsafeChangeError{Reason: "no live majority would be left"}
	}
	next := withoutMember(view.Configuration, member.GetId())
	next.Retired = append(withoutID(next.GetRetired(), member.GetId()), member)
	next.Retired = next.GetRetired()[max(0, len(next.GetRetired())-maxRetired):]
	return RemoveNow, &Change{Configuration: next, Reason: "remove " + member.GetName()}, nil
}

// promotionBeforeRemoval returns the promotion of a standby that must precede the removal of a voter, or nil. Without
// it the group would have fewer voters than its target although a standby is available: a group of two voters does not
// survive the loss of either.
func promotionBeforeRemoval(view *View, member *protocol.CoreMember) *Change {
	if !member.GetVoter() || len(view.voters()) > view.TargetVoters {
		return nil
	}
	return promoteStandby(view)
}

// TransferTarget returns the id of the member that leadership is transferred to: the one with that name or id, or,
// when name is empty, the live voter with the longest log.
// Errors: *MemberUnknownError, *UnsafeChangeError when no other voter is alive.
func TransferTarget(view *View, name string) (uint64, error) {
	if name != "" {
		member := findMember(view.Configuration.GetMembers(), name)
		if member == nil {
			return 0, &MemberUnknownError{Member: name}
		}
		return member.GetId(), nil
	}
	var best consensus.PeerStatus
	for _, peer := range view.Peers {
		if !peer.Voter || !view.isAlive(peer.ID) {
			continue
		}
		// Ties are broken by the lowest id, which makes the choice deterministic.
		isBetter := peer.Match > best.Match || peer.Match == best.Match && peer.ID < best.ID
		if best.ID == 0 || isBetter {
			best = peer
		}
	}
	if best.ID == 0 {
		return 0, &UnsafeChangeError{Reason: "no other voter is alive"}
	}
	return best.ID, nil
}

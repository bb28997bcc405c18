package coremembership

import (
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// maxMembers bounds the members of a group, standbys included.
	maxMembers = 64
	// maxRetired bounds the removed members that a group remembers; the oldest are dropped first.
	maxRetired = 64
)

// Admit decides the change that adds a member as a standby, or updates its addresses; nil when the
// configuration has it already. A member that an operator removed is admitted again only by an
// operator. Errors: *InvalidMemberError, *UnsafeChangeError, *MemberRetiredError, *MemberInUseError.
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

// RemovalStep is the next step towards the removal of a member.
type RemovalStep int

const (
	// AlreadyRemoved needs no change.
	AlreadyRemoved RemovalStep = iota
	// TransferFirst needs a transfer of leadership, since the leader is the member to remove; the next
	// leader can remove it.
	TransferFirst
	// PromoteFirst comes with a change that promotes a standby; the removal follows it.
	PromoteFirst
	// RemoveNow comes with the change that removes the member.
	RemoveNow
)

// Remove decides the next step of an operator's removal of the member of that name or id.
// Errors: *MemberUnknownError, *UnsafeChangeError.
func Remove(view *View, name string) (RemovalStep, *Change, error) {
	member := find(view.Configuration.GetMembers(), name)
	switch {
	case member == nil && find(view.Configuration.GetRetired(), name) == nil:
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

// promotionBeforeRemoval promotes a standby before a voter is removed, so that there are never fewer
// voters than wanted while a standby is available: two voters could not bear the loss of either.
func promotionBeforeRemoval(view *View, member *protocol.CoreMember) *Change {
	if !member.GetVoter() || len(view.voters()) > view.TargetVoters {
		return nil
	}
	return promoteStandby(view)
}

// TransferTarget is the id of the member of that name or id, or of the live voter with the longest
// log when name is empty. Errors: *MemberUnknownError, *UnsafeChangeError when no other voter is alive.
func TransferTarget(view *View, name string) (uint64, error) {
	if name != "" {
		member := find(view.Configuration.GetMembers(), name)
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
		// Of equal logs the lowest id counts, so that the choice is deterministic.
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

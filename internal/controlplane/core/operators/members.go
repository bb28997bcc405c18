package operators

import (
	"context"
	"slices"
	"strconv"

	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// An order that adds or removes a member of the core is written to the control
// log, together with that member, before it is carried out. If the order is sent
// again it applies to the same member, identified by its id: a machine that joins
// again with an empty folder has a new id under its old name. An order has no
// further effect once a later order about the same member was accepted.

// addMember admits the core process at the address in the body.
func (h *Handler) addMember(ctx context.Context, request *operatorRequest) (*response, error) {
	requested := &protocol.CoreMember{}
	if err := readBody(request, requested); err != nil {
		return nil, err
	}
	if requested.GetAddress() == "" {
		return nil, missingField("address")
	}
	if err := h.consensus.Barrier(ctx); err != nil {
		return nil, controllog.Failure(err)
	}
	member := h.control.View().MemberAdded(request.orderID)
	repeated := member != nil
	if !repeated {
		var err error
		if member, err = h.consensus.Identify(ctx, requested.GetAddress()); err != nil {
			return nil, controllog.Failure(err)
		}
	}
	recorded, err := h.recordMember(ctx, "add_member", request, &protocol.ChangeMemberCommand{
		Subject: requested.GetAddress(), Member: member,
	})
	if err != nil {
		return nil, err
	}
	if h.isLatestOrder(request, recorded) && (!repeated || !h.isMember(recorded)) {
		if err := h.consensus.Admit(ctx, recorded); err != nil {
			return nil, controllog.Failure(err)
		}
	}
	return protoResponse(recorded)
}

// removedMember is the response to the removal of a core member; Removed is false if there was no such member.
type removedMember struct {
	Member  string `json:"member"`
	Removed bool   `json:"removed"`
}

// removeMember removes a core member permanently. The removal of a member that was removed before is acknowledged too.
func (h *Handler) removeMember(ctx context.Context, request *operatorRequest) (*response, error) {
	if err := h.consensus.Barrier(ctx); err != nil {
		return nil, controllog.Failure(err)
	}
	name := request.arguments[0]
	recorded, err := h.recordMember(ctx, "remove_member", request, &protocol.ChangeMemberCommand{
		Remove: true, Subject: name, Member: h.findMember(name),
	})
	if err != nil {
		return nil, err
	}
	removed := recorded.GetId() != 0
	if removed && h.isLatestOrder(request, recorded) {
		err := controllog.Failure(h.consensus.RemoveMember(ctx, strconv.FormatUint(recorded.GetId(), 10)))
		if err != nil && !failure.Is(err, failure.NotFound) {
			return nil, err
		}
	}
	return okResponse(removedMember{Member: name, Removed: removed}), nil
}

// recordMember writes the order to the control log and returns the member that was recorded when the order was first
// sent.
func (h *Handler) recordMember(
	ctx context.Context, kind string, request *operatorRequest, command *protocol.ChangeMemberCommand,
) (*protocol.CoreMember, error) {
	result, err := h.proposer.Propose(ctx, &protocol.Command{
		OrderId: request.orderID, Body: &protocol.Command_ChangeMember{ChangeMember: command},
	})
	if err := h.recordResult(kind, request, result, err); err != nil {
		return nil, err
	}
	return result.GetMember(), nil
}

// isLatestOrder reports whether the request's order is the latest one about the member.
func (h *Handler) isLatestOrder(request *operatorRequest, member *protocol.CoreMember) bool {
	return h.control.View().MemberOrder(member.GetId()) == request.orderID
}

func (h *Handler) isMember(member *protocol.CoreMember) bool {
	return slices.ContainsFunc(h.consensus.Status().GetConfiguration().GetMembers(),
		func(other *protocol.CoreMember) bool {
			return other.GetId() == member.GetId()
		})
}

// findMember returns the newest member with that name, or the one with that id in
// decimal, among the current members and then among the removed ones; nil if there
// is none.
func (h *Handler) findMember(name string) *protocol.CoreMember {
	configuration := h.consensus.Status().GetConfiguration()
	for _, members := range [][]*protocol.CoreMember{configuration.GetMembers(), configuration.GetRetired()} {
		for _, member := range slices.Backward(members) {
			if member.GetName() == name || strconv.FormatUint(member.GetId(), 10) == name {
				return member
			}
		}
	}
	return nil
}

package core

import (
	"context"
	"net/http"
	"slices"
	"strconv"

	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Orders about members of the core are written to the control log before they
// are carried out, with the member that they mean. An order that is sent again
// means the same member by its id, which is new when a machine joins anew with
// an empty folder under an old name; and it does nothing more once a later order
// about that member was given.

// addMember admits the core process at an address.
func (s *Service) addMember(ctx context.Context, request *operatorRequest) (*answer, error) {
	requested := &protocol.CoreMember{}
	if err := readBody(request, requested); err != nil {
		return nil, err
	}
	if requested.GetAddress() == "" {
		return nil, failure.New(failure.MissingField, protocol.Outcome_NOT_RUN, "must be set", failure.WithPath("address"))
	}
	if err := s.consensus.Barrier(ctx); err != nil {
		return nil, controllog.Failure(err)
	}
	member := s.machine.View().MemberAdded(request.orderID)
	repeated := member != nil
	if !repeated {
		var err error
		if member, err = s.consensus.Identify(ctx, requested.GetAddress()); err != nil {
			return nil, controllog.Failure(err)
		}
	}
	recorded, err := s.recordMember(ctx, "add_member", request, &protocol.ChangeMemberCommand{Subject: requested.GetAddress(), Member: member})
	if err != nil {
		return nil, err
	}
	if s.isLatestOrder(request, recorded) && (!repeated || !s.isMember(recorded)) {
		if err := s.consensus.Admit(ctx, recorded); err != nil {
			return nil, controllog.Failure(err)
		}
	}
	return protoAnswer(recorded)
}

// removeAnswer says that a core member is gone; Removed is false when there was none of that name.
type removeAnswer struct {
	Member  string `json:"member"`
	Removed bool   `json:"removed"`
}

// removeMember removes a core member for good. One that is gone already is acknowledged.
func (s *Service) removeMember(ctx context.Context, request *operatorRequest) (*answer, error) {
	if err := s.consensus.Barrier(ctx); err != nil {
		return nil, controllog.Failure(err)
	}
	name := request.arguments[0]
	recorded, err := s.recordMember(ctx, "remove_member", request, &protocol.ChangeMemberCommand{Remove: true, Subject: name, Member: s.findMember(name)})
	if err != nil {
		return nil, err
	}
	removed := recorded.GetId() != 0
	if removed && s.isLatestOrder(request, recorded) {
		err := controllog.Failure(s.consensus.RemoveMember(ctx, strconv.FormatUint(recorded.GetId(), 10)))
		if err != nil && !failure.Is(err, failure.NotFound) {
			return nil, err
		}
	}
	return &answer{status: http.StatusOK, document: removeAnswer{Member: name, Removed: removed}}, nil
}

// pinMember writes the order to the log and returns the member that it meant when it was first given.
func (s *Service) recordMember(ctx context.Context, kind string, request *operatorRequest, command *protocol.ChangeMemberCommand) (*protocol.CoreMember, error) {
	result, err := s.proposer.Propose(ctx, &protocol.Command{
		OrderId: request.orderID, Body: &protocol.Command_ChangeMember{ChangeMember: command},
	})
	if err != nil {
		s.metrics.orders.WithLabelValues(kind, failure.From(err).GetCode()).Inc()
		return nil, err
	}
	if err := s.orderResult(kind, request, result); err != nil {
		return nil, err
	}
	return result.GetMember(), nil
}

// isLastOrder reports that no later order was given about the member.
func (s *Service) isLatestOrder(request *operatorRequest, member *protocol.CoreMember) bool {
	return s.machine.View().MemberOrder(member.GetId()) == request.orderID
}

func (s *Service) isMember(member *protocol.CoreMember) bool {
	return slices.ContainsFunc(s.consensus.Status().GetConfiguration().GetMembers(), func(other *protocol.CoreMember) bool {
		return other.GetId() == member.GetId()
	})
}

// findMember looks a member up by name, the newest first, or by its id, among
// those there and then among those removed; nil when there is none.
func (s *Service) findMember(name string) *protocol.CoreMember {
	configuration := s.consensus.Status().GetConfiguration()
	for _, members := range [][]*protocol.CoreMember{configuration.GetMembers(), configuration.GetRetired()} {
		for _, member := range slices.Backward(members) {
			if member.GetName() == name || strconv.FormatUint(member.GetId(), 10) == name {
				return member
			}
		}
	}
	return nil
}

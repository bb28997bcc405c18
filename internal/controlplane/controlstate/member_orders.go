package controlstate

import (
	"maps"
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// memberOrders has the orders that add or remove members of the core. It is immutable: a change copies it, which is
// cheap because such orders are few.
type memberOrders struct {
	// last maps the id of a member to the id of the last order about it.
	last map[uint64]string
	// added maps the id of an order to the member that it adds.
	added map[string]*protocol.CoreMember
}

func (m *memberOrders) with(orderID string, member *protocol.CoreMember, remove bool) *memberOrders {
	next := &memberOrders{last: map[uint64]string{}, added: map[string]*protocol.CoreMember{}}
	maps.Copy(next.last, m.last)
	maps.Copy(next.added, m.added)
	next.last[member.GetId()] = orderID
	if !remove {
		next.added[orderID] = member
	}
	return next
}

// changeMember records the member that an order adds or removes. Apply filters out repeated orders, so a repeated
// order does not replace a later one as the last order about its member.
func (s *State) changeMember(
	index uint64, orderID string, command *protocol.ChangeMemberCommand,
) *protocol.CommandResult {
	member := command.GetMember()
	switch {
	case orderID == "":
		return reject(codeInvalidOrder, "an order about a core member needs an id", fault("order_id", "must be set"))
	case member.GetId() == 0 && !command.GetRemove():
		return reject(codeInvalidOrder, "there is no such core member", fault("member", "must be set"))
	case member.GetId() != 0:
		s.memberOrders = s.memberOrders.with(orderID, member, command.GetRemove())
	}
	return &protocol.CommandResult{Accepted: true, Index: index, Member: member}
}

// MemberOrder returns the id of the last order about a core member; empty when there was none.
func (v *View) MemberOrder(memberID uint64) string { return v.memberOrders.last[memberID] }

// MemberAdded returns the member that an order adds; nil for any other order.
func (v *View) MemberAdded(orderID string) *protocol.CoreMember { return v.memberOrders.added[orderID] }

func (s *State) encodeMemberOrders() []*protocol.MemberOrder {
	var encoded []*protocol.MemberOrder
	for _, id := range slices.Sorted(maps.Keys(s.memberOrders.last)) {
		encoded = append(encoded, &protocol.MemberOrder{MemberId: id, OrderId: s.memberOrders.last[id]})
	}
	for _, order := range slices.Sorted(maps.Keys(s.memberOrders.added)) {
		encoded = append(encoded, &protocol.MemberOrder{OrderId: order, Added: s.memberOrders.added[order]})
	}
	return encoded
}

func decodeMemberOrders(encoded []*protocol.MemberOrder) *memberOrders {
	decoded := &memberOrders{last: map[uint64]string{}, added: map[string]*protocol.CoreMember{}}
	for _, order := range encoded {
		if order.GetAdded() != nil {
			decoded.added[order.GetOrderId()] = order.GetAdded()
			continue
		}
		decoded.last[order.GetMemberId()] = order.GetOrderId()
	}
	return decoded
}

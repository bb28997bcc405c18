package controlstate

import (
	"maps"
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// memberOrders says which orders were given about members of the core. It is
// immutable: a change replaces it by a copy, as orders about members are few.
type memberOrders struct {
	// last is the id of the last order about each member.
	last map[uint64]string
	// added holds the members that orders to add one meant, by order id.
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

// changeMember remembers which member an order meant. An order seen before does
// not come here, so that the last order about a member stays the last one.
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

// MemberOrder gives the id of the last order about a core member; empty when there was none.
func (v *View) MemberOrder(memberID uint64) string { return v.memberOrders.last[memberID] }

// MemberAdded gives the member that an order to add one meant; nil for any other order.
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

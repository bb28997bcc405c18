package statesuite

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	// memberAttempts bounds the attempts of an order about a member while its outcome is unknown.
	memberAttempts = 6
	// removedProcessLifetime is how long a removed member's process continues, and tries to join again.
	removedProcessLifetime = 2 * time.Second
)

// acknowledgedMember is an order about a core member whose effect was acknowledged to an operator.
type acknowledgedMember struct {
	order  memberOrder
	member *protocol.CoreMember
}

// replaceMember removes a core member and adds an empty machine at a new address in its place.
func (o *operator) replaceMember(next func()) {
	s := o.suite
	if s.replacingMember || s.world.Elapsed() > faultsEnd || len(s.coreAddresses()) != s.shape.cores || !s.coreComplete() {
		next()
		return
	}
	s.replacingMember = true
	victim := s.world.Machine(o.pickMember())
	end := func() {
		s.replacingMember = false
		next()
	}
	removal := memberOrder{id: o.name("remove"), remove: true, subject: string(victim.Address())}
	o.memberOrder(removal, memberAttempts, func(member *protocol.CoreMember) {
		if member.GetId() == 0 {
			end()
			return
		}
		s.removedMembers[member.GetId()] = true
		o.resendAddition(member)
		s.world.After(removedProcessLifetime, func() { s.removeCoreMachine(victim, member) })
		s.world.After(replacementDelay, func() { o.addMember(s.addCore(victim.Zone(), false), end) })
	})
}

// removeCoreMachine removes the machine of a removed member, unless it lost its disk meanwhile and so is another member
// now.
func (s *suite) removeCoreMachine(machine *sim.Machine, removed *protocol.CoreMember) {
	process, running := machine.Process().(*coreProcess)
	if !running || process.self.GetId() == removed.GetId() {
		machine.Remove()
	}
}

// pickMember prefers members that were added by an order, so that older orders about them can be sent again.
func (o *operator) pickMember() sim.Address {
	addresses := o.suite.coreAddresses()
	for _, known := range o.suite.memberOrders {
		address := sim.Address(known.order.subject)
		if !known.order.remove && o.suite.present(address) && o.environment.Random().IntN(2) == 0 {
			return address
		}
	}
	return addresses[o.environment.Random().IntN(len(addresses))]
}

func (o *operator) addMember(address sim.Address, end func()) {
	o.memberOrder(memberOrder{id: o.name("add"), subject: string(address)}, memberAttempts,
		func(*protocol.CoreMember) { end() })
}

// resendAddition resends the order that once added a member that is removed now: it must stay removed.
func (o *operator) resendAddition(removed *protocol.CoreMember) {
	for _, known := range o.suite.memberOrders {
		if !known.order.remove && known.member.GetId() == removed.GetId() {
			o.suite.counts.lateAdditions++
			o.resendMemberOrder(known, func() {})
		}
	}
}

// memberOrder submits an order, with retries while its outcome is unknown. done is called with nil when it stays
// unknown or was rejected.
func (o *operator) memberOrder(order memberOrder, attempts int, done func(*protocol.CoreMember)) {
	if attempts == 0 {
		done(nil)
		return
	}
	o.link.call(order, operatorTimeout, func(answer any) {
		reply, answered := answer.(memberReply)
		if !answered {
			o.memberOrder(order, attempts-1, done)
			return
		}
		if reply.member != nil {
			o.suite.memberOrders = append(o.suite.memberOrders, acknowledgedMember{order: order, member: reply.member})
			o.suite.counts.memberOrders++
		}
		done(reply.member)
	})
}

func (o *operator) resendMemberOrder(known acknowledgedMember, next func()) {
	o.link.call(known.order, operatorTimeout, func(answer any) {
		if reply, answered := answer.(memberReply); answered {
			o.suite.rules.ordersIdempotent.Check(proto.Equal(reply.member, known.member),
				"order %s meant %v and later %v", known.order.id, known.member, reply.member)
		}
		next()
	})
}

package statesuite

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// Messages about members of the core. Orders are carried out as internal/controlplane/core does: written to the log with the member
// that they mean, then carried out unless a later order about that member was given.
type (
	memberOrder struct {
		id      string
		remove  bool
		subject string
	}
	// memberReply names the member that the order meant; nil when it was refused.
	memberReply struct{ member *protocol.CoreMember }
	identify    struct{}
	identity    struct{ member *protocol.CoreMember }
)

const (
	identifyPatience   = 300 * time.Millisecond
	membershipInterval = 40 * time.Millisecond
	membershipPatience = 2 * time.Second
)

func (p *coreProcess) serveMemberOrder(order memberOrder, reply func(any)) {
	p.read(func(answer any) {
		if _, fresh := answer.(readReply); !fresh {
			reply(notLeader{})
			return
		}
		p.soon(func() { p.findMeant(order, reply) })
	})
}

// findMeant finds the member that an order means, or that it meant when it was first given.
func (p *coreProcess) findMeant(order memberOrder, reply func(any)) {
	if order.remove {
		p.pinMember(order, p.memberNamed(order.subject), false, reply)
		return
	}
	if known := p.state.View().MemberAdded(order.id); known != nil {
		p.pinMember(order, known, true, reply)
		return
	}
	p.endpoint.call(sim.Address(order.subject), identify{}, identifyPatience, func(answer any) {
		found, answered := answer.(identity)
		if !answered {
			reply(unknownOutcome{})
			return
		}
		p.soon(func() { p.pinMember(order, found.member, false, reply) })
	})
}

func (p *coreProcess) memberNamed(name string) *protocol.CoreMember {
	configuration, _ := p.node.Configuration()
	// The newest first: a machine that lost its disk joins anew under the same name.
	for _, members := range [][]*protocol.CoreMember{configuration.GetMembers(), configuration.GetRetired()} {
		for _, member := range slices.Backward(members) {
			if member.GetName() == name {
				return member
			}
		}
	}
	return nil
}

// pinMember writes the order to the log, then carries it out.
func (p *coreProcess) pinMember(order memberOrder, member *protocol.CoreMember, again bool, reply func(any)) {
	data, err := proto.Marshal(&protocol.Command{OrderId: order.id, Body: &protocol.Command_ChangeMember{
		ChangeMember: &protocol.ChangeMemberCommand{Remove: order.remove, Subject: order.subject, Member: member},
	}})
	if err != nil {
		p.fatal(err)
		return
	}
	p.propose(data, func(answer any) {
		pinned, known := answer.(commandReply)
		switch {
		case !known:
			reply(answer)
		case !pinned.result.GetAccepted():
			reply(memberReply{})
		default:
			p.soon(func() { p.carryOutMemberOrder(order, pinned.result.GetMember(), again, reply) })
		}
	})
}

func (p *coreProcess) carryOutMemberOrder(order memberOrder, meant *protocol.CoreMember, again bool, reply func(any)) {
	configuration, _ := p.node.Configuration()
	isMember := consensus.Member(configuration, meant.GetId()) != nil
	isLast := p.state.View().MemberOrder(meant.GetId()) == order.id
	repeats := p.suite.options.Mutation == CoreRepeatsMemberOrders
	done := func() { reply(memberReply{member: meant}) }
	switch {
	case meant.GetId() == 0 || !isLast && !repeats, isMember != order.remove:
		done()
	case !order.remove && again && !isLast && !repeats:
		done()
	case order.remove && meant.GetId() == p.self.GetId():
		p.handLeadershipOver()
		reply(unknownOutcome{})
	case order.remove && p.suite.options.Mutation == CoreRemovesBeforeReplacing && !p.safeWithout(meant.GetId()):
		reply(unknownOutcome{})
	default:
		p.changeByOrder(configuration, order, meant)
		p.awaitMembership(meant.GetId(), !order.remove, p.environment.Now().Add(membershipPatience), done, func() { reply(unknownOutcome{}) })
	}
}

func (p *coreProcess) changeByOrder(configuration *protocol.CoreConfiguration, order memberOrder, meant *protocol.CoreMember) {
	if !order.remove {
		next := proto.Clone(configuration).(*protocol.CoreConfiguration)
		learner := proto.Clone(meant).(*protocol.CoreMember)
		learner.Voter = false
		next.Members = append(next.Members, learner)
		next.Retired = slices.DeleteFunc(next.Retired, func(member *protocol.CoreMember) bool { return member.GetId() == meant.GetId() })
		p.change(next, "add "+meant.GetName()+" by order")
		return
	}
	if consensus.Member(configuration, meant.GetId()).GetVoter() && p.suite.options.Mutation != CoreRemovesBeforeReplacing {
		// The planner removes it once another voter stands in its place.
		p.plan.leaving = meant.GetId()
		return
	}
	p.change(p.retire(configuration, meant), "remove "+meant.GetName()+" by order")
}

// retire takes a member out for good.
func (p *coreProcess) retire(configuration *protocol.CoreConfiguration, meant *protocol.CoreMember) *protocol.CoreConfiguration {
	next := withoutMember(configuration, meant.GetId())
	if p.suite.options.Mutation != CoreForgetsRemovedMembers {
		next.Retired = append(next.Retired, proto.Clone(meant).(*protocol.CoreMember))
	}
	return next
}

// safeWithout says whether a majority is left without a member that was heard of not long ago. A mutation takes that for enough.
func (p *coreProcess) safeWithout(id uint64) bool {
	status := p.node.Status()
	voters := consensus.Voters(status.Configuration)
	if !slices.Contains(voters, id) {
		return true
	}
	alive := 1
	for _, contact := range status.Peers {
		isOther := contact.ID != id && contact.ID != status.ID && slices.Contains(voters, contact.ID)
		if isOther && p.environment.Now().Sub(contact.LastContact) < aliveWithin {
			alive++
		}
	}
	return alive >= consensus.Quorum(len(voters)-1)
}

func (p *coreProcess) handLeadershipOver() {
	status := p.node.Status()
	best, match := uint64(0), uint64(0)
	for _, contact := range status.Peers {
		isVoter := slices.Contains(consensus.Voters(status.Configuration), contact.ID)
		if isVoter && contact.ID != status.ID && contact.Match >= match {
			best, match = contact.ID, contact.Match
		}
	}
	if best != 0 && p.node.Transfer(best, p.environment.Now()) == nil {
		p.suite.counts.handovers++
	}
}

// awaitMembership waits until a configuration with or without a member is committed.
func (p *coreProcess) awaitMembership(id uint64, present bool, deadline time.Time, done, failed func()) {
	p.environment.After(membershipInterval, func() {
		p.enqueue(func() {
			status := p.node.Status()
			settled := status.ConfigurationIndex <= status.Commit && (consensus.Member(status.Configuration, id) != nil) == present
			switch {
			case status.Role != consensus.Leader, !p.environment.Now().Before(deadline):
				failed()
			case settled:
				done()
			default:
				p.awaitMembership(id, present, deadline, done, failed)
			}
		})
	})
}

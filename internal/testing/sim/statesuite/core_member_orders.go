package statesuite

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// Messages about members of the core. Orders are carried out as internal/controlplane/core does: committed to the log
// with the member that they mean, then carried out unless there is a later order about that member.
type (
	memberOrder struct {
		id      string
		remove  bool
		subject string
	}
	// memberReply names the member that the order means; nil when it was rejected.
	memberReply struct{ member *protocol.CoreMember }
	identify    struct{}
	identity    struct{ member *protocol.CoreMember }
)

const (
	identifyTimeout    = 300 * time.Millisecond
	membershipInterval = 40 * time.Millisecond
	membershipTimeout  = 2 * time.Second
)

func (p *coreProcess) serveMemberOrder(order memberOrder, reply func(any)) {
	p.read(func(answer any) {
		if _, fresh := answer.(readReply); !fresh {
			reply(notLeader{})
			return
		}
		p.enqueueNext(func() { p.resolveMember(order, reply) })
	})
}

// resolveMember finds the member that an order means, or that it meant when it was first given.
func (p *coreProcess) resolveMember(order memberOrder, reply func(any)) {
	if order.remove {
		p.logMemberOrder(order, p.memberNamed(order.subject), false, reply)
		return
	}
	if known := p.state.View().MemberAdded(order.id); known != nil {
		p.logMemberOrder(order, known, true, reply)
		return
	}
	p.endpoint.call(sim.Address(order.subject), identify{}, identifyTimeout, func(answer any) {
		found, answered := answer.(identity)
		if !answered {
			reply(unknownOutcome{})
			return
		}
		p.enqueueNext(func() { p.logMemberOrder(order, found.member, false, reply) })
	})
}

func (p *coreProcess) memberNamed(name string) *protocol.CoreMember {
	configuration, _ := p.node.Configuration()
	// The newest first: a machine that lost its disk joins again, as another member under the same name.
	for _, members := range [][]*protocol.CoreMember{configuration.GetMembers(), configuration.GetRetired()} {
		for _, member := range slices.Backward(members) {
			if member.GetName() == name {
				return member
			}
		}
	}
	return nil
}

// logMemberOrder commits the order with its member to the log, then carries it out.
func (p *coreProcess) logMemberOrder(order memberOrder, member *protocol.CoreMember, again bool, reply func(any)) {
	data, err := proto.Marshal(&protocol.Command{OrderId: order.id, Body: &protocol.Command_ChangeMember{
		ChangeMember: &protocol.ChangeMemberCommand{Remove: order.remove, Subject: order.subject, Member: member},
	}})
	if err != nil {
		p.fatal(err)
		return
	}
	p.propose(data, func(answer any) {
		logged, known := answer.(commandReply)
		switch {
		case !known:
			reply(answer)
		case !logged.result.GetAccepted():
			reply(memberReply{})
		default:
			p.enqueueNext(func() { p.carryOutMemberOrder(order, logged.result.GetMember(), again, reply) })
		}
	})
}

func (p *coreProcess) carryOutMemberOrder(order memberOrder, member *protocol.CoreMember, again bool, reply func(any)) {
	configuration, _ := p.node.Configuration()
	isMember := consensus.Member(configuration, member.GetId()) != nil
	isLast := p.state.View().MemberOrder(member.GetId()) == order.id
	repeats := p.suite.options.Mutation == CoreRepeatsMemberOrders
	done := func() { reply(memberReply{member: member}) }
	switch {
	case member.GetId() == 0 || !isLast && !repeats, isMember != order.remove:
		done()
	case !order.remove && again && !isLast && !repeats:
		done()
	case order.remove && member.GetId() == p.self.GetId():
		p.transferLeadership()
		reply(unknownOutcome{})
	case order.remove && p.suite.options.Mutation == CoreRemovesBeforeReplacing && !p.hasQuorumWithout(member.GetId()):
		reply(unknownOutcome{})
	default:
		p.changeByOrder(configuration, order, member)
		p.awaitMembership(member.GetId(), !order.remove, p.environment.Now().Add(membershipTimeout), done,
			func() { reply(unknownOutcome{}) })
	}
}

func (p *coreProcess) changeByOrder(configuration *protocol.CoreConfiguration, order memberOrder,
	subject *protocol.CoreMember,
) {
	if !order.remove {
		next := proto.Clone(configuration).(*protocol.CoreConfiguration)
		learner := proto.Clone(subject).(*protocol.CoreMember)
		learner.Voter = false
		next.Members = append(next.Members, learner)
		next.Retired = slices.DeleteFunc(next.Retired,
			func(member *protocol.CoreMember) bool { return member.GetId() == subject.GetId() })
		p.change(next, "add "+subject.GetName()+" by order")
		return
	}
	if consensus.Member(configuration, subject.GetId()).GetVoter() &&
		p.suite.options.Mutation != CoreRemovesBeforeReplacing {
		// The planner removes it once another voter has replaced it.
		p.plan.removing = subject.GetId()
		return
	}
	p.change(p.retire(configuration, subject), "remove "+subject.GetName()+" by order")
}

// retire removes a member for good: it must not join again by itself.
func (p *coreProcess) retire(configuration *protocol.CoreConfiguration,
	member *protocol.CoreMember,
) *protocol.CoreConfiguration {
	next := withoutMember(configuration, member.GetId())
	if p.suite.options.Mutation != CoreForgetsRemovedMembers {
		next.Retired = append(next.Retired, proto.Clone(member).(*protocol.CoreMember))
	}
	return next
}

// hasQuorumWithout reports whether the other voters with recent contact are a quorum without a member. Only
// CoreRemovesBeforeReplacing relies on it.
func (p *coreProcess) hasQuorumWithout(id uint64) bool {
	status := p.node.Status()
	voters := consensus.Voters(status.Configuration)
	if !slices.Contains(voters, id) {
		return true
	}
	alive := 1
	for _, contact := range status.Peers {
		isOther := contact.ID != id && contact.ID != status.ID && slices.Contains(voters, contact.ID)
		if isOther && p.environment.Now().Sub(contact.LastContact) < contactTimeout {
			alive++
		}
	}
	return alive >= consensus.Quorum(len(voters)-1)
}

func (p *coreProcess) transferLeadership() {
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
			committed := status.ConfigurationIndex <= status.Commit && (consensus.Member(status.Configuration,
				id) != nil) == present
			switch {
			case status.Role != consensus.Leader, !p.environment.Now().Before(deadline):
				failed()
			case committed:
				done()
			default:
				p.awaitMembership(id, present, deadline, done, failed)
			}
		})
	})
}

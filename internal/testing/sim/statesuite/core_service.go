package statesuite

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K {
	return slices.Sorted(maps.Keys(table))
}

func (p *coreProcess) serve(_ sim.Address, body any, reply func(any)) {
	switch body.(type) {
	case identify:
		reply(identity{member: p.self})
		return
	case locateCore:
		reply(located{leader: p.leaderAddress(), term: p.node.Term()})
		return
	case localRead:
		reply(readReply{view: p.state.View()})
		return
	}
	p.enqueue(func() {
		if p.node.Role() != consensus.Leader {
			reply(notLeader{})
			return
		}
		switch body := body.(type) {
		case coreCommand:
			p.propose(body.command, reply)
		case coreRead:
			p.read(reply)
		case memberOrder:
			p.serveMemberOrder(body, reply)
		case joinCore:
			p.admit(body.member)
			reply(joinReply{})
		case renewNode:
			if !p.recordRenewal(body.node) {
				join := &protocol.JoinNodeCommand{Node: body.node}
				p.proposeCommand(&protocol.Command{Body: &protocol.Command_JoinNode{JoinNode: join}})
			}
			reply(renewReply{})
		}
	})
}

func (p *coreProcess) leaderAddress() sim.Address {
	configuration, _ := p.node.Configuration()
	return sim.Address(consensus.Member(configuration, p.node.Leader()).GetAddress())
}

func (p *coreProcess) propose(command []byte, reply func(any)) {
	index, term, err := p.node.Propose([][]byte{command}, p.environment.Now())
	if err != nil {
		reply(notLeader{})
		return
	}
	p.proposals[index] = proposedCommand{term: term, reply: reply}
}

// proposeCommand proposes a command of the leader itself.
func (p *coreProcess) proposeCommand(command *protocol.Command) {
	data, err := proto.Marshal(command)
	if err != nil {
		p.fatal(err)
		return
	}
	p.propose(data, func(any) {})
}

func (p *coreProcess) read(reply func(any)) {
	if p.suite.options.Mutation == CoreReadsWithoutLease {
		reply(readReply{view: p.state.View()})
		return
	}
	p.nextRead++
	if err := p.node.Read(p.nextRead, p.environment.Now()); err != nil {
		reply(notLeader{})
		return
	}
	p.reads[p.nextRead] = func(confirmed bool) {
		if !confirmed {
			reply(notLeader{})
			return
		}
		view := p.state.View()
		if p.suite.options.Mutation == CoreReportsEmptiedEarly {
			view = withEmptiedEarly(view)
		}
		reply(readReply{view: view})
	}
}

func (p *coreProcess) confirm(result consensus.ReadResult) {
	done := p.reads[result.ID]
	delete(p.reads, result.ID)
	if done == nil {
		return
	}
	if result.Failed {
		done(false)
		return
	}
	p.confirmedReads = append(p.confirmedReads, confirmedRead{index: result.Index, done: done})
}

// answerReads answers the confirmed reads whose index is applied.
func (p *coreProcess) answerReads() {
	reads := p.confirmedReads
	p.confirmedReads = nil
	for _, read := range reads {
		if read.index <= p.node.Applied() {
			read.done(true)
		} else {
			p.confirmedReads = append(p.confirmedReads, read)
		}
	}
}

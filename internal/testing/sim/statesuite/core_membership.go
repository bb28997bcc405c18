package statesuite

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/placement"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	contactTimeout    = 3 * time.Second
	replaceVoterAfter = 3 * time.Second
	caughtUpEntries   = 16
	storeLease        = 3 * time.Second
	storeLostAfter    = 6 * time.Second
	shardCount        = 4
	replicaCount      = 3
	maximumMoves      = 2
	joinTimeout       = 500 * time.Millisecond
)

// corePlan is a leader's state between planning steps.
type corePlan struct {
	nextStep time.Time
	term     uint64
	// lastRenewals is when each store last renewed its lease in this term.
	lastRenewals map[string]time.Time
	leaderSince  time.Time
	// removing is the voter to remove by order once another has replaced it.
	removing uint64
}

// joinLater requests admission until the known configuration contains this member.
func (p *coreProcess) joinLater(delay time.Duration) {
	p.environment.After(delay, func() {
		configuration, _ := p.node.Configuration()
		if consensus.Member(configuration, p.self.GetId()) == nil {
			seeds := p.suite.coreAddresses()
			seed := seeds[p.environment.Random().IntN(len(seeds))]
			p.endpoint.call(seed, joinCore{member: p.self}, joinTimeout, func(any) {})
		}
		p.joinLater(planInterval)
	})
}

func (p *coreProcess) admit(member *protocol.CoreMember) {
	configuration, _ := p.node.Configuration()
	isMember := func(other *protocol.CoreMember) bool { return other.GetId() == member.GetId() }
	if slices.ContainsFunc(configuration.GetMembers(), isMember) ||
		slices.ContainsFunc(configuration.GetRetired(), isMember) {
		return
	}
	next := proto.Clone(configuration).(*protocol.CoreConfiguration)
	next.Members = append(next.Members, proto.Clone(member).(*protocol.CoreMember))
	p.change(next, "admit "+member.GetName())
}

func (p *coreProcess) change(next *protocol.CoreConfiguration, reason string) {
	if _, err := p.node.ProposeConfiguration(next, p.environment.Now()); err == nil {
		p.environment.Tracef("membership: %s", reason)
		p.suite.counts.membershipChanges++
	}
}

// planMembership plans the next step for members, leases of stores and shards, on a leader with its lease.
func (p *coreProcess) planMembership() {
	now := p.environment.Now()
	if p.node.Role() != consensus.Leader || now.Before(p.plan.nextStep) || !p.environment.Alive() {
		return
	}
	status := p.node.Status()
	if status.Applied < status.TermStart || !now.Before(p.node.LeaseEnds(now)) {
		return
	}
	if p.plan.term != status.Term {
		p.plan = corePlan{term: status.Term, lastRenewals: map[string]time.Time{}, leaderSince: now}
	}
	p.plan.nextStep = now.Add(planInterval)
	p.planMembers(status, now)
	p.planStores(now)
	p.enqueue(func() {})
}

// planMembers promotes learners while there are too few voters and removes lost members once there are enough.
func (p *coreProcess) planMembers(status consensus.Status, now time.Time) {
	contacts := map[uint64]consensus.PeerStatus{}
	for _, contact := range status.Peers {
		contacts[contact.ID] = contact
	}
	sinceContact := func(id uint64) time.Duration {
		if id == status.ID {
			return 0
		}
		return now.Sub(contacts[id].LastContact)
	}
	var inContact, lost, learners []*protocol.CoreMember
	for _, member := range status.Configuration.GetMembers() {
		switch {
		case member.GetId() == p.plan.removing:
			lost = slices.Insert(lost, 0, member)
		case sinceContact(member.GetId()) >= replaceVoterAfter:
			lost = append(lost, member)
		case member.GetVoter():
			inContact = append(inContact, member)
		case contacts[member.GetId()].Match+caughtUpEntries >= status.LastIndex:
			learners = append(learners, member)
		}
	}
	p.suite.shape.order(inContact, learners)
	targetVoters := p.suite.shape.voters
	voters := len(consensus.Voters(status.Configuration))
	switch {
	case len(inContact) < targetVoters && len(learners) > 0:
		p.change(withVoter(status.Configuration, learners[0].GetId(), true), "promote "+learners[0].GetName())
	case len(lost) > 0 && (voters > targetVoters || !lost[0].GetVoter()) &&
		len(inContact) >= consensus.Quorum(max(voters-1, 1)):
		p.change(p.withoutLost(status.Configuration, lost[0]), "remove "+lost[0].GetName())
	case len(inContact) > targetVoters:
		surplus := inContact[len(inContact)-1]
		if surplus.GetId() == status.ID {
			surplus = inContact[0]
		}
		p.change(withVoter(status.Configuration, surplus.GetId(), false), "demote "+surplus.GetName())
	}
}

// withoutLost removes a lost member, for good when an order said so.
func (p *coreProcess) withoutLost(configuration *protocol.CoreConfiguration,
	member *protocol.CoreMember,
) *protocol.CoreConfiguration {
	if member.GetId() == p.plan.removing {
		return p.retire(configuration, member)
	}
	return withoutMember(configuration, member.GetId())
}

func withVoter(configuration *protocol.CoreConfiguration, id uint64, voter bool) *protocol.CoreConfiguration {
	next := proto.Clone(configuration).(*protocol.CoreConfiguration)
	consensus.Member(next, id).Voter = voter
	return next
}

func withoutMember(configuration *protocol.CoreConfiguration, id uint64) *protocol.CoreConfiguration {
	next := proto.Clone(configuration).(*protocol.CoreConfiguration)
	next.Members = slices.DeleteFunc(next.Members, func(member *protocol.CoreMember) bool { return member.GetId() == id })
	return next
}

// recordRenewal records that a store renewed its lease. It returns false when the store must join first.
func (p *coreProcess) recordRenewal(node *protocol.Node) bool {
	if p.plan.lastRenewals != nil {
		p.plan.lastRenewals[node.GetName()] = p.environment.Now()
	}
	return proto.Equal(p.state.View().Node(node.GetName()), node)
}

func (p *coreProcess) planStores(now time.Time) {
	view := p.state.View()
	if len(view.FirstKeys) == 0 {
		p.proposeCommand(&protocol.Command{Body: &protocol.Command_SeedSignOffKeys{
			SeedSignOffKeys: &protocol.SeedSignOffKeysCommand{Keys: p.suite.publicKeys()},
		}})
	}
	lost := map[string]bool{}
	for _, shard := range view.Placement.GetShards() {
		for _, replica := range append(slices.Clone(shard.GetCurrent()), shard.GetNext()...) {
			lost[replica.GetStore()] = p.sinceRenewal(replica.GetStore(), now) >= storeLostAfter
		}
	}
	for _, node := range view.Membership.GetNodes() {
		if p.sinceRenewal(node.GetName(), now) >= storeLease {
			p.proposeCommand(&protocol.Command{Body: &protocol.Command_RemoveNode{RemoveNode: &protocol.RemoveNodeCommand{
				Name: node.GetName(), Incarnation: node.GetIncarnation(), Reason: "lease ran out",
			}}})
		}
	}
	if len(view.Placement.GetShards()) == 0 {
		p.initializePlacement(view)
		return
	}
	for _, step := range placement.Plan(placement.Input{
		Placement: view.Placement, Nodes: view.Membership.GetNodes(), Lost: lost, MaxMoves: maximumMoves,
	}) {
		p.suite.counts.moves++
		p.proposeCommand(&protocol.Command{Body: &protocol.Command_MoveShard{MoveShard: step}})
	}
}

func (p *coreProcess) initializePlacement(view *controlstate.View) {
	if placement.CountZones(placement.UsableStores(view.Placement, view.Membership.GetNodes())) < replicaCount {
		return
	}
	p.proposeCommand(&protocol.Command{Body: &protocol.Command_InitializePlacement{
		InitializePlacement: &protocol.InitializePlacementCommand{
			ShardCount: shardCount, ReplicaCount: replicaCount,
			OverRegions: len(p.suite.shape.regions) > 1,
		},
	}})
}

func (p *coreProcess) sinceRenewal(store string, now time.Time) time.Duration {
	lastRenewal, known := p.plan.lastRenewals[store]
	if !known {
		lastRenewal = p.plan.leaderSince
	}
	return now.Sub(lastRenewal)
}

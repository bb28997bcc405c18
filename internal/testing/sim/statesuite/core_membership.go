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
	aliveWithin       = 3 * time.Second
	replaceVoterAfter = 3 * time.Second
	caughtUpEntries   = 16
	storeLease        = 3 * time.Second
	storeLostAfter    = 6 * time.Second
	shardCount        = 4
	replicaCount      = 3
	maximumMoves      = 2
	joinPatience      = 500 * time.Millisecond
)

// corePlan is what a leader remembers to plan the next steps.
type corePlan struct {
	nextStep time.Time
	term     uint64
	// heard is when each store last renewed; it starts anew with each leadership.
	heard map[string]time.Time
	since time.Time
	// leaving is the voter that is to go by an order once another stands in its place.
	leaving uint64
}

// joinLater asks to be admitted until the configuration at hand names this member.
func (p *coreProcess) joinLater(delay time.Duration) {
	p.environment.After(delay, func() {
		configuration, _ := p.node.Configuration()
		if consensus.Member(configuration, p.self.GetId()) == nil {
			seeds := p.suite.coreAddresses()
			seed := seeds[p.environment.Random().IntN(len(seeds))]
			p.endpoint.call(seed, joinCore{member: p.self}, joinPatience, func(any) {})
		}
		p.joinLater(planInterval)
	})
}

func (p *coreProcess) admit(member *protocol.CoreMember) {
	configuration, _ := p.node.Configuration()
	isMember := func(other *protocol.CoreMember) bool { return other.GetId() == member.GetId() }
	if slices.ContainsFunc(configuration.GetMembers(), isMember) || slices.ContainsFunc(configuration.GetRetired(), isMember) {
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

// planMembership lets a leader under its lease take the next step for members, leases of stores and shards.
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
		p.plan = corePlan{term: status.Term, heard: map[string]time.Time{}, since: now}
	}
	p.plan.nextStep = now.Add(planInterval)
	p.planMembers(status, now)
	p.planStores(now)
	p.enqueue(func() {})
}

// planMembers promotes learners while voters are lacking and removes lost members once there are enough.
func (p *coreProcess) planMembers(status consensus.Status, now time.Time) {
	contacts := map[uint64]consensus.PeerStatus{}
	for _, contact := range status.Peers {
		contacts[contact.ID] = contact
	}
	silence := func(id uint64) time.Duration {
		if id == status.ID {
			return 0
		}
		return now.Sub(contacts[id].LastContact)
	}
	var kept, lost, learners []*protocol.CoreMember
	for _, member := range status.Configuration.GetMembers() {
		switch {
		case member.GetId() == p.plan.leaving:
			lost = slices.Insert(lost, 0, member)
		case silence(member.GetId()) >= replaceVoterAfter:
			lost = append(lost, member)
		case member.GetVoter():
			kept = append(kept, member)
		case contacts[member.GetId()].Match+caughtUpEntries >= status.LastIndex:
			learners = append(learners, member)
		}
	}
	p.suite.shape.order(kept, learners)
	targetVoters := p.suite.shape.voters
	voters := len(consensus.Voters(status.Configuration))
	switch {
	case len(kept) < targetVoters && len(learners) > 0:
		p.change(withVoter(status.Configuration, learners[0].GetId(), true), "promote "+learners[0].GetName())
	case len(lost) > 0 && (voters > targetVoters || !lost[0].GetVoter()) && len(kept) >= consensus.Quorum(max(voters-1, 1)):
		p.change(p.withoutLost(status.Configuration, lost[0]), "remove "+lost[0].GetName())
	case len(kept) > targetVoters:
		surplus := kept[len(kept)-1]
		if surplus.GetId() == status.ID {
			surplus = kept[0]
		}
		p.change(withVoter(status.Configuration, surplus.GetId(), false), "demote "+surplus.GetName())
	}
}

// withoutLost removes a lost member, for good when that was ordered.
func (p *coreProcess) withoutLost(configuration *protocol.CoreConfiguration, member *protocol.CoreMember) *protocol.CoreConfiguration {
	if member.GetId() == p.plan.leaving {
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

// noteRenewal remembers that a store renewed its lease. It returns false when it must be joined first.
func (p *coreProcess) noteRenewal(node *protocol.Node) bool {
	if p.plan.heard != nil {
		p.plan.heard[node.GetName()] = p.environment.Now()
	}
	return proto.Equal(p.state.View().Node(node.GetName()), node)
}

func (p *coreProcess) planStores(now time.Time) {
	view := p.state.View()
	if len(view.FirstKeys) == 0 {
		p.proposeOwn(&protocol.Command{Body: &protocol.Command_SeedSignOffKeys{
			SeedSignOffKeys: &protocol.SeedSignOffKeysCommand{Keys: p.suite.publicKeys()},
		}})
	}
	lost := map[string]bool{}
	for _, shard := range view.Placement.GetShards() {
		for _, replica := range append(slices.Clone(shard.GetCurrent()), shard.GetNext()...) {
			lost[replica.GetStore()] = p.silentFor(replica.GetStore(), now) >= storeLostAfter
		}
	}
	for _, node := range view.Membership.GetNodes() {
		if p.silentFor(node.GetName(), now) >= storeLease {
			p.proposeOwn(&protocol.Command{Body: &protocol.Command_RemoveNode{RemoveNode: &protocol.RemoveNodeCommand{
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
		p.proposeOwn(&protocol.Command{Body: &protocol.Command_MoveShard{MoveShard: step}})
	}
}

func (p *coreProcess) initializePlacement(view *controlstate.View) {
	if placement.CountZones(placement.UsableStores(view.Placement, view.Membership.GetNodes())) < replicaCount {
		return
	}
	p.proposeOwn(&protocol.Command{Body: &protocol.Command_InitializePlacement{
		InitializePlacement: &protocol.InitializePlacementCommand{ShardCount: shardCount, ReplicaCount: replicaCount, OverRegions: len(p.suite.shape.regions) > 1},
	}})
}

func (p *coreProcess) silentFor(store string, now time.Time) time.Duration {
	heard, known := p.plan.heard[store]
	if !known {
		heard = p.plan.since
	}
	return now.Sub(heard)
}

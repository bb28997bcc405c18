// Package placement decides which stores hold the shards of the ledger: the
// first placement, and the moves that replace lost stores, empty stores, spread
// replicas over failure domains and balance the load. It is pure; the tables that
// it reads are not changed.
package placement

import (
	"cmp"
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Input is what the planner decides from.
type Input struct {
	Placement *protocol.Placement
	// Nodes are those of the membership view; other kinds than stores are ignored.
	Nodes []*protocol.Node
	// Lost names the stores that have been without a lease for so long that their shards are to move.
	Lost map[string]bool
	// MaxMoves bounds the shards that move at one time.
	MaxMoves int
}

// Plan proposes the next steps, most urgent first: cancel moves to lost stores, empty stores and replace lost ones,
// separate replicas that share a region, then those that share a zone, then balance. It returns no more steps than
// MaxMoves allows beside the moves in progress.
func Plan(input Input) []*protocol.MoveShardCommand {
	p := newPlan(input)
	p.cancelMoves()
	p.evacuateStores()
	p.separateRegions()
	p.separateZones()
	p.balance()
	return p.steps
}

type plan struct {
	input  Input
	usable []*protocol.Node
	spread *spread
	loads  map[string]int
	// moving marks the shards that move already or were given a step here.
	moving         map[uint32]bool
	remainingMoves int
	steps          []*protocol.MoveShardCommand
}

func newPlan(input Input) *plan {
	p := &plan{input: input, loads: map[string]int{}, moving: map[uint32]bool{}, remainingMoves: input.MaxMoves}
	for _, node := range UsableStores(input.Placement, input.Nodes) {
		if !input.Lost[node.GetName()] {
			p.usable = append(p.usable, node)
		}
	}
	p.spread = newSpread(p.usable, input.Nodes, ReplicaCount(input.Placement))
	for _, shard := range input.Placement.GetShards() {
		target := shard.GetCurrent()
		if len(shard.GetNext()) > 0 {
			target = shard.GetNext()
			p.moving[shard.GetShard()] = true
			p.remainingMoves--
		}
		for _, replica := range target {
			p.loads[replica.GetStore()]++
		}
	}
	return p
}

func (p *plan) cancelMoves() {
	for _, shard := range p.input.Placement.GetShards() {
		for _, replica := range shard.GetNext() {
			if FindReplica(shard.GetCurrent(), replica.GetStore()) == nil && p.input.Lost[replica.GetStore()] {
				p.steps = append(p.steps, &protocol.MoveShardCommand{Shard: shard.GetShard(), ExpectedEpoch: shard.GetEpoch()})
			}
		}
	}
}

// evacuateStores moves shards off stores that are being emptied or are lost.
func (p *plan) evacuateStores() {
	for _, shard := range p.input.Placement.GetShards() {
		for _, replica := range shard.GetCurrent() {
			leaving := p.input.Lost[replica.GetStore()] || slices.Contains(p.input.Placement.GetEmptying(), replica.GetStore())
			if leaving && p.replace(shard, replica.GetStore(), nil) {
				break
			}
		}
	}
}

// separateRegions moves a replica that shares its region with another when a store in another region can take it.
func (p *plan) separateRegions() {
	if p.spread.overRegions {
		p.separate(p.spread.regions)
	}
}

// separateZones moves a replica that shares its zone with another when a store in another zone can take it.
func (p *plan) separateZones() { p.separate(p.spread.zones) }

// separate moves a replica that shares its failure domain with another to a domain that no other replica has. The
// domains are the region or zone of each store.
func (p *plan) separate(domains map[string]string) {
	for _, shard := range p.input.Placement.GetShards() {
		seen := map[string]bool{}
		for _, replica := range shard.GetCurrent() {
			domain, known := domains[replica.GetStore()]
			if known && seen[domain] && p.replace(shard, replica.GetStore(), domains) {
				break
			}
			seen[domain] = true
		}
	}
}

// balance evens out the number of replicas while no replica is rebuilding.
func (p *plan) balance() {
	if len(p.usable) < 2 || IsRebuilding(p.input.Placement) {
		return
	}
	for p.remainingMoves > 0 {
		byLoad := slices.SortedFunc(slices.Values(p.usable), func(a, b *protocol.Node) int {
			return cmp.Or(cmp.Compare(p.loads[a.GetName()], p.loads[b.GetName()]), cmp.Compare(a.GetName(), b.GetName()))
		})
		if !p.moveOneShard(byLoad) {
			return
		}
	}
}

// moveOneShard moves one shard from the fullest store that can release one to the emptiest that can take it.
func (p *plan) moveOneShard(byLoad []*protocol.Node) bool {
	for _, target := range byLoad {
		for _, source := range slices.Backward(byLoad) {
			if p.loads[source.GetName()]-p.loads[target.GetName()] < 2 {
				break
			}
			for _, shard := range p.input.Placement.GetShards() {
				if p.canMove(shard, source, target) && p.addMove(shard, source.GetName(), target) {
					return true
				}
			}
		}
	}
	return false
}

func (p *plan) canMove(shard *protocol.ShardPlacement, source, target *protocol.Node) bool {
	if FindReplica(shard.GetCurrent(), source.GetName()) == nil || FindReplica(shard.GetCurrent(),
		target.GetName()) != nil {
		return false
	}
	remaining := without(shard.GetCurrent(), source.GetName())
	return !sharesDomain(p.spread.zones, remaining, target.GetName()) && p.spread.preservesRegions(shard.GetCurrent(),
		source.GetName(), target.GetName())
}

// replace moves one replica of a shard to the best store. With domains (the region or zone of each store) it demands
// one that no other replica has, and no fewer regions than before.
func (p *plan) replace(shard *protocol.ShardPlacement, store string, domains map[string]string) bool {
	if p.moving[shard.GetShard()] || p.remainingMoves <= 0 {
		return false
	}
	remaining := without(shard.GetCurrent(), store)
	var candidates []*protocol.Node
	for _, node := range p.usable {
		fits := domains == nil || !sharesDomain(domains, remaining,
			node.GetName()) && p.spread.preservesRegions(shard.GetCurrent(), store, node.GetName())
		if fits && FindReplica(shard.GetCurrent(), node.GetName()) == nil {
			candidates = append(candidates, node)
		}
	}
	target := p.spread.choose(candidates, remaining, p.loads)
	return target != nil && p.addMove(shard, store, target)
}

// addMove records a move when the replicas that stay are a majority that can vote.
func (p *plan) addMove(shard *protocol.ShardPlacement, leaving string, target *protocol.Node) bool {
	if p.moving[shard.GetShard()] || p.remainingMoves <= 0 || !majorityActive(shard, leaving) {
		return false
	}
	next := append(without(shard.GetCurrent(), leaving),
		&protocol.Replica{Store: target.GetName(), StorageId: target.GetStorageId()})
	p.steps = append(p.steps, &protocol.MoveShardCommand{
		Shard: shard.GetShard(), ExpectedEpoch: shard.GetEpoch(),
		Next: next,
	})
	p.moving[shard.GetShard()] = true
	p.remainingMoves--
	p.loads[leaving]--
	p.loads[target.GetName()]++
	return true
}

func majorityActive(shard *protocol.ShardPlacement, leaving string) bool {
	active := 0
	for _, replica := range shard.GetCurrent() {
		if replica.GetStore() != leaving && replica.GetState() == protocol.ReplicaState_REPLICA_ACTIVE {
			active++
		}
	}
	return active > len(shard.GetCurrent())/2
}

func without(replicas []*protocol.Replica, store string) []*protocol.Replica {
	remaining := make([]*protocol.Replica, 0, len(replicas)+1)
	for _, replica := range replicas {
		if replica.GetStore() != store {
			remaining = append(remaining, replica)
		}
	}
	return remaining
}

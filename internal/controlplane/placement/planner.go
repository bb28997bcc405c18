// Package placement computes which stores hold the shards of the ledger: the
// first placement, and the moves that replace lost stores, empty stores, spread
// replicas over failure domains and balance the load. It is pure and does not modify
// the placements that it reads.
package placement

import (
	"cmp"
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Input is the state from which Plan computes moves.
type Input struct {
	Placement *protocol.Placement
	// Nodes are the nodes of the membership view; those that are not stores are ignored.
	Nodes []*protocol.Node
	// Lost contains the names of the stores that have been without a lease for so long that their shards must move.
	Lost map[string]bool
	// MaxMoves bounds the shards that move concurrently.
	MaxMoves int
}

// Plan proposes the next steps, most urgent first: cancel moves to lost stores, empty stores and replace lost ones,
// separate replicas that share a region, then those that share a zone, then balance. Moves in progress count towards
// MaxMoves; cancellations do not.
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
	// moving marks the shards that are already moving or have a move in steps.
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

// cancelMoves cancels the moves of shards whose new store is lost.
func (p *plan) cancelMoves() {
	for _, shard := range p.input.Placement.GetShards() {
		for _, replica := range shard.GetNext() {
			if FindReplica(shard.GetCurrent(), replica.GetStore()) == nil && p.input.Lost[replica.GetStore()] {
				p.steps = append(p.steps, &protocol.MoveShardCommand{Shard: shard.GetShard(), ExpectedEpoch: shard.GetEpoch()})
			}
		}
	}
}

// evacuateStores moves shards from stores that are being emptied or are lost.
func (p *plan) evacuateStores() {
	for _, shard := range p.input.Placement.GetShards() {
		for _, replica := range shard.GetCurrent() {
			mustMove := p.input.Lost[replica.GetStore()] || slices.Contains(p.input.Placement.GetEmptying(), replica.GetStore())
			if mustMove && p.replace(shard, replica.GetStore(), nil) {
				break
			}
		}
	}
}

// separateRegions moves a replica that shares its region with another when a store in another region can take it.
func (p *plan) separateRegions() {
	if p.spread.distinctRegions {
		p.separate(p.spread.regions)
	}
}

// separateZones moves a replica that shares its zone with another when a store in another zone can take it.
func (p *plan) separateZones() { p.separate(p.spread.zones) }

// separate moves a replica that shares its failure domain with another one to a domain without a replica. The domains
// are the region or zone of each store.
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

// balance equalizes the number of replicas per store, unless a replica is rebuilding.
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

// moveOneShard moves one shard from the most loaded store that can release one to the least loaded store that can take
// it. It returns false when there is no such move that improves the balance.
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

// canMove reports whether a shard can move from source to target: the target must not be in the zone of another
// replica, and the replicas must be in no fewer regions than before.
func (p *plan) canMove(shard *protocol.ShardPlacement, source, target *protocol.Node) bool {
	if FindReplica(shard.GetCurrent(), source.GetName()) == nil || FindReplica(shard.GetCurrent(),
		target.GetName()) != nil {
		return false
	}
	remaining := withoutStore(shard.GetCurrent(), source.GetName())
	return !sharesDomain(p.spread.zones, remaining, target.GetName()) && p.spread.preservesRegions(shard.GetCurrent(),
		source.GetName(), target.GetName())
}

// replace moves one replica of a shard to the best store. With domains (the region or zone of each store) the store
// must be in a domain without another replica, and the replicas in no fewer regions than before.
func (p *plan) replace(shard *protocol.ShardPlacement, store string, domains map[string]string) bool {
	if p.moving[shard.GetShard()] || p.remainingMoves <= 0 {
		return false
	}
	remaining := withoutStore(shard.GetCurrent(), store)
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

// addMove adds a move if the remaining replicas include a majority that can vote.
func (p *plan) addMove(shard *protocol.ShardPlacement, source string, target *protocol.Node) bool {
	if p.moving[shard.GetShard()] || p.remainingMoves <= 0 || !majorityActive(shard, source) {
		return false
	}
	next := append(withoutStore(shard.GetCurrent(), source),
		&protocol.Replica{Store: target.GetName(), StorageId: target.GetStorageId()})
	p.steps = append(p.steps, &protocol.MoveShardCommand{
		Shard: shard.GetShard(), ExpectedEpoch: shard.GetEpoch(),
		Next: next,
	})
	p.moving[shard.GetShard()] = true
	p.remainingMoves--
	p.loads[source]--
	p.loads[target.GetName()]++
	return true
}

// majorityActive reports whether a majority of the replicas of a shard is active without the one on the leaving store.
func majorityActive(shard *protocol.ShardPlacement, leaving string) bool {
	active := 0
	for _, replica := range shard.GetCurrent() {
		if replica.GetStore() != leaving && replica.GetState() == protocol.ReplicaState_REPLICA_ACTIVE {
			active++
		}
	}
	return active > len(shard.GetCurrent())/2
}

func withoutStore(replicas []*protocol.Replica, store string) []*protocol.Replica {
	remaining := make([]*protocol.Replica, 0, len(replicas)+1)
	for _, replica := range replicas {
		if replica.GetStore() != store {
			remaining = append(remaining, replica)
		}
	}
	return remaining
}

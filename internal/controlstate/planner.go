package controlstate

import (
	"cmp"
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// PlanInput is what the planner looks at.
type PlanInput struct {
	Placement *protocol.Placement
	// Nodes are those of the membership view; other kinds than stores are passed over.
	Nodes []*protocol.Node
	// Lost names the stores that have been without a lease for so long that their shards are to move.
	Lost map[string]bool
	// MaxMoves bounds the shards that move at one time.
	MaxMoves int
}

// Plan proposes the next steps, most pressing first: give up moves to lost
// stores, empty stores and replace lost ones, part replicas that share a zone,
// then balance. It returns no more steps than MaxMoves allows beside the moves under way.
func Plan(input PlanInput) []*protocol.MoveShardCommand {
	p := newPlan(input)
	p.giveUpMoves()
	p.leaveStores()
	p.partZones()
	p.balance()
	return p.steps
}

type plan struct {
	input  PlanInput
	usable []*protocol.Node
	zones  map[string]string
	loads  map[string]int
	// moving marks the shards that move already or were given a step here.
	moving map[uint32]bool
	free   int
	steps  []*protocol.MoveShardCommand
}

func newPlan(input PlanInput) *plan {
	p := &plan{input: input, zones: map[string]string{}, loads: map[string]int{}, moving: map[uint32]bool{}, free: input.MaxMoves}
	for _, node := range usableStores(input.Placement, input.Nodes) {
		if !input.Lost[node.GetName()] {
			p.usable = append(p.usable, node)
		}
	}
	p.zones = zonesByStore(input.Nodes)
	for _, shard := range input.Placement.GetShards() {
		target := shard.GetCurrent()
		if len(shard.GetNext()) > 0 {
			target = shard.GetNext()
			p.moving[shard.GetShard()] = true
			p.free--
		}
		for _, replica := range target {
			p.loads[replica.GetStore()]++
		}
	}
	return p
}

func (p *plan) giveUpMoves() {
	for _, shard := range p.input.Placement.GetShards() {
		for _, replica := range shard.GetNext() {
			if findReplica(shard.GetCurrent(), replica.GetStore()) == nil && p.input.Lost[replica.GetStore()] {
				p.steps = append(p.steps, &protocol.MoveShardCommand{Shard: shard.GetShard(), ExpectedEpoch: shard.GetEpoch()})
			}
		}
	}
}

// leaveStores moves shards off stores that are being emptied or are lost.
func (p *plan) leaveStores() {
	for _, shard := range p.input.Placement.GetShards() {
		for _, replica := range shard.GetCurrent() {
			leaving := p.input.Lost[replica.GetStore()] || slices.Contains(p.input.Placement.GetEmptying(), replica.GetStore())
			if leaving && p.replace(shard, replica.GetStore(), false) {
				break
			}
		}
	}
}

// partZones moves a replica that shares its zone with another when a store in a zone of its own is there.
func (p *plan) partZones() {
	for _, shard := range p.input.Placement.GetShards() {
		seen := map[string]bool{}
		for _, replica := range shard.GetCurrent() {
			zone, known := p.zones[replica.GetStore()]
			if known && seen[zone] && p.replace(shard, replica.GetStore(), true) {
				break
			}
			seen[zone] = true
		}
	}
}

// balance evens the number of replicas out while every replica is whole.
func (p *plan) balance() {
	if len(p.usable) < 2 || rebuilding(p.input.Placement) {
		return
	}
	for p.free > 0 {
		byLoad := slices.SortedFunc(slices.Values(p.usable), func(a, b *protocol.Node) int {
			return cmp.Or(cmp.Compare(p.loads[a.GetName()], p.loads[b.GetName()]), cmp.Compare(a.GetName(), b.GetName()))
		})
		if !p.evenOut(byLoad) {
			return
		}
	}
}

// evenOut moves one shard from the fullest store that can give to the emptiest that can take.
func (p *plan) evenOut(byLoad []*protocol.Node) bool {
	for _, target := range byLoad {
		for _, source := range slices.Backward(byLoad) {
			if p.loads[source.GetName()]-p.loads[target.GetName()] < 2 {
				break
			}
			for _, shard := range p.input.Placement.GetShards() {
				if p.canTake(shard, source, target) && p.step(shard, source.GetName(), target) {
					return true
				}
			}
		}
	}
	return false
}

func (p *plan) canTake(shard *protocol.ShardPlacement, source, target *protocol.Node) bool {
	if findReplica(shard.GetCurrent(), source.GetName()) == nil || findReplica(shard.GetCurrent(), target.GetName()) != nil {
		return false
	}
	return !p.zoneTaken(without(shard.GetCurrent(), source.GetName()), target.GetZone())
}

func (p *plan) zoneTaken(replicas []*protocol.Replica, zone string) bool {
	for _, replica := range replicas {
		if held, known := p.zones[replica.GetStore()]; known && held == zone {
			return true
		}
	}
	return false
}

// replace moves one replica of a shard to the best store; ownZone demands a zone that no other replica has.
func (p *plan) replace(shard *protocol.ShardPlacement, store string, ownZone bool) bool {
	if p.moving[shard.GetShard()] || p.free <= 0 {
		return false
	}
	kept := without(shard.GetCurrent(), store)
	var candidates []*protocol.Node
	for _, node := range p.usable {
		zoneFits := !ownZone || !p.zoneTaken(kept, node.GetZone())
		if zoneFits && findReplica(shard.GetCurrent(), node.GetName()) == nil {
			candidates = append(candidates, node)
		}
	}
	target := pickStore(candidates, kept, p.loads, p.zones)
	return target != nil && p.step(shard, store, target)
}

// step records a move when the replicas that stay are a majority that can vote.
func (p *plan) step(shard *protocol.ShardPlacement, leaving string, target *protocol.Node) bool {
	if p.moving[shard.GetShard()] || p.free <= 0 || !majorityActive(shard, leaving) {
		return false
	}
	next := append(without(shard.GetCurrent(), leaving), &protocol.Replica{Store: target.GetName(), StorageId: target.GetStorageId()})
	p.steps = append(p.steps, &protocol.MoveShardCommand{Shard: shard.GetShard(), ExpectedEpoch: shard.GetEpoch(), Next: next})
	p.moving[shard.GetShard()] = true
	p.free--
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
	kept := make([]*protocol.Replica, 0, len(replicas)+1)
	for _, replica := range replicas {
		if replica.GetStore() != store {
			kept = append(kept, replica)
		}
	}
	return kept
}

func rebuilding(placement *protocol.Placement) bool {
	for _, shard := range placement.GetShards() {
		for _, replica := range shard.GetCurrent() {
			if replica.GetState() == protocol.ReplicaState_REPLICA_REBUILDING {
				return true
			}
		}
	}
	return false
}

// usableStores lists the stores that may take shards, by name.
func usableStores(placement *protocol.Placement, nodes []*protocol.Node) []*protocol.Node {
	var stores []*protocol.Node
	for _, node := range nodes {
		if usable(placement, node) {
			stores = append(stores, node)
		}
	}
	return stores
}

func usable(placement *protocol.Placement, node *protocol.Node) bool {
	return node.GetKind() == protocol.NodeKind_STORE && !node.GetDraining() &&
		!slices.Contains(placement.GetEmptying(), node.GetName()) &&
		!slices.Contains(placement.GetEmptied(), node.GetName())
}

func zonesByStore(nodes []*protocol.Node) map[string]string {
	zones := map[string]string{}
	for _, node := range nodes {
		if node.GetKind() == protocol.NodeKind_STORE {
			zones[node.GetName()] = node.GetZone()
		}
	}
	return zones
}

// CountStoreZones gives the number of distinct zones with a store that may take shards.
func CountStoreZones(placement *protocol.Placement, nodes []*protocol.Node) int {
	return countZones(usableStores(placement, nodes))
}

func countZones(stores []*protocol.Node) int {
	zones := map[string]bool{}
	for _, store := range stores {
		zones[store.GetZone()] = true
	}
	return len(zones)
}

// pickStore chooses among stores not yet taken: a zone of its own first, then the least load, then the name.
func pickStore(stores []*protocol.Node, taken []*protocol.Replica, loads map[string]int, zones map[string]string) *protocol.Node {
	var best *protocol.Node
	bestShares := false
	for _, store := range stores {
		if findReplica(taken, store.GetName()) != nil {
			continue
		}
		shares := false
		for _, replica := range taken {
			shares = shares || zones[replica.GetStore()] == store.GetZone()
		}
		better := best == nil || (bestShares && !shares) ||
			(shares == bestShares && loads[store.GetName()] < loads[best.GetName()])
		if better {
			best, bestShares = store, shares
		}
	}
	return best
}

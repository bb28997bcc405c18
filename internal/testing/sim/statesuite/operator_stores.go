package statesuite

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// newMachineAfter is when a machine is added in the place of one that an operator took away.
const newMachineAfter = 500 * time.Millisecond

// leastStores is how many stores must stay when one is emptied.
const leastStores = replicaCount + 1

// emptyOrRetire retires a store that is acknowledged as empty, or orders that one be emptied.
func (o *operator) emptyOrRetire(next func()) {
	o.withView(next, func(view *controlstate.View) {
		placement := view.Placement
		if len(placement.GetEmptied()) > 0 {
			o.retire(view, placement.GetEmptied()[0], next)
			return
		}
		stores := usableStores(view)
		if len(placement.GetEmptying()) > 0 || len(stores) <= leastStores || len(placement.GetShards()) == 0 {
			next()
			return
		}
		store := stores[o.environment.Random().IntN(len(stores))]
		empty := &protocol.EmptyStoreCommand{Store: store}
		if len(o.suite.shape.regions) > 0 {
			empty.KeepSpread = new(!o.suite.options.GiveUpSpread)
		}
		o.order("empty", &protocol.Command{Body: &protocol.Command_EmptyStore{EmptyStore: empty}}, next)
	})
}

func usableStores(view *controlstate.View) []string {
	var stores []string
	for _, node := range view.Membership.GetNodes() {
		if node.GetKind() == protocol.NodeKind_STORE {
			stores = append(stores, node.GetName())
		}
	}
	return stores
}

// retire ends a store and takes its machine, with its disk, away.
func (o *operator) retire(view *controlstate.View, store string, next func()) {
	for _, shard := range view.Placement.GetShards() {
		o.suite.rules.emptied.Check(!names(shard, store) && len(shard.GetCurrent()) == replicaCount,
			"an operator reads that %s is empty while shard %d is at %v", store, shard.GetShard(), shard.GetCurrent())
	}
	command := &protocol.Command{
		OrderId: o.name("retire"),
		Body:    &protocol.Command_RetireStore{RetireStore: &protocol.RetireStoreCommand{Store: store}},
	}
	o.link.order(command, operatorPatience, func(result *protocol.CommandResult) {
		if result.GetAccepted() {
			o.suite.acknowledge(command, result)
			o.suite.takeStoreAway(sim.Address(store))
		}
		next()
	})
}

func (s *suite) takeStoreAway(address sim.Address) {
	if !s.present(address) {
		return
	}
	machine := s.world.Machine(address)
	s.world.Tracef("%s is retired and taken away", address)
	s.counts.retired++
	machine.Remove()
	s.world.After(newMachineAfter, func() { s.addStore(machine.Zone()) })
}

// emptiedEarly shows stores as emptied that are still to be: a mutation.
func emptiedEarly(view *controlstate.View) *controlstate.View {
	early := *view
	placement := &protocol.Placement{
		Epoch: view.Placement.GetEpoch(), Shards: view.Placement.GetShards(), Retired: view.Placement.GetRetired(),
		Emptied: slices.Concat(view.Placement.GetEmptied(), view.Placement.GetEmptying()),
	}
	early.Placement = placement
	return &early
}
